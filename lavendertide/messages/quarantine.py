"""Messages about requests that crash targets: verdicts, and trials of suspects."""

from dataclasses import dataclass
from enum import Enum

from lavendertide.ids import DaemonId, ExchangeId, Fingerprint, ShardNumber


class VerdictKind(Enum):
    """How hosts treat a request that was in flight when a target crashed."""

    SUSPECT = "suspect"
    CLEARED = "cleared"
    QUARANTINED = "condemned"


@dataclass(frozen=True, slots=True)
class Verdict:
    """Verdict on a request that may have crashed a target of a shard.

    Attributes:
        shard: The shard of that target; a quarantine applies to all shards.
        crashes: Number of crashes while the request was in flight; of two verdicts
            the one with more crashes overrides the other.
        valid_ms: Time until the verdict expires.
    """

    fingerprint: Fingerprint
    shard: ShardNumber
    kind: VerdictKind
    crashes: int
    valid_ms: int


@dataclass(frozen=True, slots=True)
class Verdicts:
    """Broadcast of verdicts to all peers."""

    items: tuple[Verdict, ...]


@dataclass(frozen=True, slots=True)
class TrialClaim:
    """Requests the right to run a trial of a suspect request.

    Sent to the home daemon of the suspect's fingerprint, which lets only one trial run
    in the region at a time.
    """

    exchange: ExchangeId
    sender: DaemonId
    fingerprint: Fingerprint
    duration_ms: int


@dataclass(frozen=True, slots=True)
class TrialGrant:
    """Reply to a trial claim."""

    exchange: ExchangeId
    is_granted: bool
