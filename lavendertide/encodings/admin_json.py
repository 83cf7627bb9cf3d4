"""Response documents of the administration API, as typed JSON.

The daemon writes these documents and the command line reads them. docs/PROTOCOLS.md
lists the paths.
"""

import json
from typing import TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError
from returns.result import Failure, Result, Success

from lavendertide.encodings.refusal_json import (
    decode_refusal_document,
    unreadable_response,
)
from lavendertide.errors import Refusal

D = TypeVar("D", bound="Document")


class Document(BaseModel):
    """Base class of all responses.

    Unknown keys are ignored, since a later release may add some.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)


class MemberDocument(Document):
    """One daemon, as listed in another daemon's roster."""

    daemon: str
    host: str
    region: str
    failure_domain: str
    state: str
    incarnation: int
    callers: str
    reachable: bool


class StatusDocument(Document):
    """State of a daemon and its view of the fleet.

    Attributes:
        readiness: Whether the daemon accepts requests.
        configuration: Version in force, zero before the first.
        refused: Why the newest publication was refused, none if it was not.
        in_flight: Number of queries that run on the daemon.
    """

    daemon: str
    host: str
    region: str
    failure_domain: str
    state: str
    readiness: str
    configuration: int
    refused: str | None
    in_flight: int
    members: tuple[MemberDocument, ...]


class ConfigurationRefusalDocument(Document):
    """The newest publication that was refused.

    Attributes:
        problem: The reason and the remedy, in the same words on every daemon.
        checked_here: Whether this daemon has read the publication itself; if not, a
            peer has reported the refusal.
    """

    version: int
    digest: str
    problem: str
    refused_ago_s: float
    checked_here: bool


class ConfigurationServiceDocument(Document):
    """State of the daemon's connection to the configuration service.

    Attributes:
        silence_s: Seconds since the service last responded, none if it never has.
        problem: Why the service does not respond, none if it does.
    """

    watching: bool
    reads: int
    silence_s: float | None
    problem: str | None


class ReplicationDocument(Document):
    """Counts of replication messages sent and adopted since the start.

    Attributes:
        wholes_sent: Full publications sent to peers that a delta could not serve.
        wholes_adopted: Full publications adopted from peers.
        mismatches: Deltas that did not lead to the announced stamp.
    """

    offers_sent: int
    pulls_sent: int
    deltas_sent: int
    wholes_sent: int
    deltas_adopted: int
    wholes_adopted: int
    mismatches: int


class ConfigurationDocument(Document):
    """The configuration in force.

    Attributes:
        digest: Distinguishes publications with the same version.
        source: Whether it came from the service or from a peer.
        needs_refresh: Whether no peer has confirmed yet that it is up to date.
        adopted_at_s: When it was adopted, in seconds since the epoch.
        refused: Why the newest publication was refused, none if it was not.
        refused_at_s: When that was, in seconds since the epoch.
    """

    version: int
    digest: str
    source: str
    needs_refresh: bool
    adopted_ago_s: float
    refusal: ConfigurationRefusalDocument | None
    service: ConfigurationServiceDocument
    spreading: ReplicationDocument
    adopted_at_s: float | None
    plans: int
    indexes: int
    targets: int
    refused: str | None
    remedy: str | None
    refused_at_s: float | None


class EntitlementDocument(Document):
    """Operations that a plan may request on an index."""

    index: str
    operations: tuple[str, ...]


class LocalPlanDocument(Document):
    """Share of a plan on one daemon and how much of it is in use.

    Attributes:
        share: Fraction of the plan that the daemon may grant to callers.
        tokens: Number of queries that may start at once.
        demand_per_s: Queries a second that arrive at the daemon.
    """

    daemon: str
    share: float
    tokens: float
    in_flight: int
    rate_per_s: float
    concurrency: float
    demand_per_s: float


class PlanFleetDocument(Document):
    """Fleet-wide use of a plan, as known to one of the plan's allocators."""

    granted: float
    demand_per_s: float
    shares: dict[str, float]


class PlanDocument(Document):
    """A plan's limits, entitlements and current use.

    Attributes:
        allocators: Daemons that divide the plan among the fleet's daemons and know what
            the whole fleet grants of it.
        fleet: None unless this daemon is one of the allocators.
    """

    plan: str
    owner: str
    plan_class: str
    rate_per_s: float
    burst: int
    concurrency: int
    uses: tuple[EntitlementDocument, ...]
    here: LocalPlanDocument
    allocators: tuple[str, ...]
    fleet: PlanFleetDocument | None


class PlansDocument(Document):
    """Names of the plans that the request's key may see."""

    plans: tuple[str, ...]


class FailureCountDocument(Document):
    """Number of failures with the same reason."""

    kind: str
    reason: str
    fault: str
    count: int


class FailureDocument(Document):
    """One failure of a query.

    Attributes:
        at_s: Time of the failure, in seconds since the epoch.
        shards: Number of shards that it concerns.
    """

    at_s: float
    query: str
    plan: str
    index: str
    kind: str
    reason: str
    fault: str
    shards: int


class FailureLogDocument(Document):
    """Failures of one owner's queries on one daemon."""

    owner: str
    recorded: int
    tallies: tuple[FailureCountDocument, ...]
    entries: tuple[FailureDocument, ...]


class TargetDocument(Document):
    """A target whose slots the daemon holds.

    Attributes:
        state: `opening`, `up`, `down` or `draining`.
        usable_slots: Slots that the daemon may use now; zero while another daemon
            holds them.
        spare_slots: Slots that are free under the lease for a new sub-request.
    """

    target: str
    owner: str
    index: str
    failure_domain: str
    address: str
    state: str
    queued: int
    slots_in_use: int
    usable_slots: int = 0
    spare_slots: int
    slots: int


class TargetsDocument(Document):
    """Targets whose slots the daemon holds and that the request's key may see."""

    targets: tuple[TargetDocument, ...]


class DrainDocument(Document):
    """Response to the request to drain a daemon."""

    daemon: str
    draining: bool


class RefusalDocument(Document):
    """Response to a refused request."""

    kind: str
    fault: str
    message: str
    remedy: str


def encode(document: Document) -> bytes:
    """Returns a document as the body of a response."""
    return document.model_dump_json().encode()


def encode_refusal(refusal: Refusal) -> bytes:
    """Returns the body of the response to a refused request."""
    return encode(
        RefusalDocument(
            kind=refusal.kind.value,
            fault=refusal.fault.value,
            message=refusal.message,
            remedy=refusal.remedy,
        )
    )


def decode(kind: type[D], data: bytes) -> Result[D, Refusal]:
    """Parses the body of a response of an expected kind."""
    try:
        return Success(kind.model_validate_json(data))
    except ValidationError:
        return Failure(unreadable_response())


def decode_refusal(data: bytes) -> Refusal:
    """Parses the body of the response to a refused request."""
    try:
        return decode_refusal_document(json.loads(data))
    except ValueError:
        return unreadable_response()
