"""Status of one daemon's configuration, as operators see it."""

from dataclasses import dataclass
from typing import Any

from lavendertide.configuration.adoption import Configuration, Source
from lavendertide.configuration.replication import (
    ConfigurationReplication,
    ReplicationCounts,
)
from lavendertide.configuration.service_watch import ServiceContact, ServiceWatch
from lavendertide.ids import ConfigurationVersion


@dataclass(frozen=True, slots=True)
class RefusalStatus:
    """The newest refused publication.

    Attributes:
        version: Version of the publication, zero if it could not be parsed.
        digest: Digest that distinguishes publications of the same version.
        problem: Reason and remedy, with the same text on every daemon.
        refused_ago_s: Seconds since this daemon refused it or received the refusal.
        checked_here: Whether this daemon has checked the publication itself, rather
            than received the refusal from a peer.
    """

    version: ConfigurationVersion
    digest: str
    problem: str
    refused_ago_s: float
    checked_here: bool


@dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """Status of the configuration on one daemon.

    Attributes:
        version: The version in force, zero for none.
        digest: Digest that distinguishes publications of the same version.
        adopted_ago_s: Seconds since this daemon adopted it.
        source: Whether it came from the service or from a peer.
        needs_refresh: Whether peers have yet to confirm that it is current.
        refusal: The newest refused publication since the adoption, if any.
        service: State of the connection to the configuration service.
        service_silence_s: Seconds since the last reply of the service, none before the
            first.
        counts: Numbers of messages exchanged with peers.
    """

    version: ConfigurationVersion
    digest: str
    adopted_ago_s: float
    source: Source
    needs_refresh: bool
    refusal: RefusalStatus | None
    service: ServiceContact
    service_silence_s: float | None
    counts: ReplicationCounts


def status_of(
    configuration: Configuration,
    watch: ServiceWatch,
    replication: ConfigurationReplication,
    now_s: float,
) -> ConfigurationStatus:
    """Returns the status of a daemon's configuration."""
    contact = watch.contact
    service_silence_s = None
    if contact.last_reply_at_s is not None:
        service_silence_s = now_s - contact.last_reply_at_s
    return ConfigurationStatus(
        version=configuration.version,
        digest=configuration.stamp.digest.hex(),
        adopted_ago_s=now_s - configuration.adopted_at_s,
        source=configuration.source,
        needs_refresh=replication.needs_refresh(now_s),
        refusal=_refusal_status(configuration, now_s),
        service=contact,
        service_silence_s=service_silence_s,
        counts=replication.counts,
    )


def to_document(status: ConfigurationStatus) -> dict[str, Any]:
    """Returns the status as a JSON document of the administration API."""
    refusal = status.refusal
    return {
        "version": status.version,
        "digest": status.digest,
        "adopted_ago_s": round(status.adopted_ago_s, 3),
        "source": status.source.value,
        "needs_refresh": status.needs_refresh,
        "refusal": None if refusal is None else _refusal_document(refusal),
        "service": {
            "watching": status.service.is_watching,
            "reads": status.service.reads,
            "silence_s": status.service_silence_s,
            "problem": status.service.problem,
        },
        "spreading": {
            "offers_sent": status.counts.offers_sent,
            "pulls_sent": status.counts.pulls_sent,
            "deltas_sent": status.counts.deltas_sent,
            "wholes_sent": status.counts.full_sent,
            "deltas_adopted": status.counts.deltas_adopted,
            "wholes_adopted": status.counts.full_adopted,
            "mismatches": status.counts.mismatches,
        },
    }


def _refusal_status(configuration: Configuration, now_s: float) -> RefusalStatus | None:
    refused = configuration.refused
    if refused is None:
        return None
    return RefusalStatus(
        version=refused.notice.stamp.version,
        digest=refused.notice.stamp.digest.hex(),
        problem=str(refused.refusal),
        refused_ago_s=now_s - refused.refused_at_s,
        checked_here=refused.is_own,
    )


def _refusal_document(refusal: RefusalStatus) -> dict[str, Any]:
    return {
        "version": refusal.version,
        "digest": refusal.digest,
        "problem": refusal.problem,
        "refused_ago_s": round(refusal.refused_ago_s, 1),
        "checked_here": refusal.checked_here,
    }
