"""What the administration API answers, as typed JSON.

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
    """An answer of the administration API; a later release may add keys."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class MemberDocument(Document):
    """One daemon as another sees it."""

    daemon: str
    host: str
    region: str
    failure_domain: str
    state: str
    incarnation: int
    callers: str
    reachable: bool


class StatusDocument(Document):
    """A daemon and its view of the fleet.

    Attributes:
        readiness: Whether the daemon takes requests.
        configuration: Version in force, zero before the first.
        refused: Why the newest publication was refused, none if it was not.
        in_flight: Queries that run on the daemon.
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
        problem: The reason and the remedy, the same words on every daemon.
        checked_here: Whether this daemon has read it or heard of it from a peer.
    """

    version: int
    digest: str
    problem: str
    refused_ago_s: float
    checked_here: bool


class ConfigurationServiceDocument(Document):
    """How the daemon stands with the configuration service.

    Attributes:
        silence_s: Time since the service last answered, none for never.
        problem: Why it does not answer, none if it does.
    """

    watching: bool
    reads: int
    silence_s: float | None
    problem: str | None


class ReplicationDocument(Document):
    """What was sent to peers and taken from them since the start."""

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
        digest: Tells apart publications of one version.
        source: Whether it came from the service or from a peer.
        needs_refresh: Whether peers have yet to confirm that it is not old.
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
    """What a plan may do with an index."""

    index: str
    operations: tuple[str, ...]


class LocalPlanDocument(Document):
    """What one daemon grants of a plan.

    Attributes:
        share: The part of the plan that the daemon grants.
        tokens: Queries that may start at once.
        demand_per_s: Queries a second that reach the daemon.
    """

    daemon: str
    share: float
    tokens: float
    in_flight: int
    rate_per_s: float
    concurrency: float
    demand_per_s: float


class PlanFleetDocument(Document):
    """What an allocator of the plan knows of the whole fleet."""

    granted: float
    demand_per_s: float
    shares: dict[str, float]


class PlanDocument(Document):
    """A plan, what it may use and what is left of it.

    Attributes:
        allocators: Daemons that know what the whole fleet grants of the plan.
        fleet: None unless this daemon is one of them.
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
    """The plans that the key may see."""

    plans: tuple[str, ...]


class FailureCountDocument(Document):
    """How often something failed for the same reason."""

    kind: str
    reason: str
    fault: str
    count: int


class FailureDocument(Document):
    """One failure."""

    at_s: float
    query: str
    plan: str
    index: str
    kind: str
    reason: str
    fault: str
    shards: int


class FailureLogDocument(Document):
    """One owner's failures on one daemon."""

    owner: str
    recorded: int
    tallies: tuple[FailureCountDocument, ...]
    entries: tuple[FailureDocument, ...]


class TargetDocument(Document):
    """A target whose slots the daemon holds.

    Attributes:
        state: `opening`, `up`, `down` or `draining`.
        usable_slots: Slots that the daemon may use now; zero while another holds them.
        spare_slots: What a new sub-request would find free under the lease.
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
    """All targets whose slots the daemon holds and that the key may see."""

    targets: tuple[TargetDocument, ...]


class DrainDocument(Document):
    """A drain has begun."""

    daemon: str
    draining: bool


class RefusalDocument(Document):
    """Why a request was refused."""

    kind: str
    fault: str
    message: str
    remedy: str


def encode(document: Document) -> bytes:
    """Returns the body of an answer."""
    return document.model_dump_json().encode()


def encode_refusal(refusal: Refusal) -> bytes:
    """Returns the body of a refusal."""
    return encode(
        RefusalDocument(
            kind=refusal.kind.value,
            fault=refusal.fault.value,
            message=refusal.message,
            remedy=refusal.remedy,
        )
    )


def decode(kind: type[D], data: bytes) -> Result[D, Refusal]:
    """Reads an answer."""
    try:
        return Success(kind.model_validate_json(data))
    except ValidationError:
        return Failure(unreadable_response())


def decode_refusal(data: bytes) -> Refusal:
    """Reads a refusal."""
    try:
        return decode_refusal_document(json.loads(data))
    except ValueError:
        return unreadable_response()
