"""Verdicts on requests that crash targets, and the trials that bring them."""

from dataclasses import dataclass
from enum import Enum

from lavendertide.ids import DaemonId, ExchangeId, Fingerprint, ShardNumber


class VerdictKind(Enum):
    """How a request that was in flight during a crash is treated."""

    SUSPECT = "suspect"
    CLEARED = "cleared"
    QUARANTINED = "condemned"


@dataclass(frozen=True, slots=True)
class Verdict:
    """What is known about a request at a shard where it may have crashed a target.

    Attributes:
        shard: The shard; a condemnation holds for all of them.
        crashes: Crashes with the request in flight; a higher count overrides.
        valid_ms: How long the verdict still holds.
    """

    fingerprint: Fingerprint
    shard: ShardNumber
    kind: VerdictKind
    crashes: int
    valid_ms: int


@dataclass(frozen=True, slots=True)
class Verdicts:
    """Verdicts on requests that crash targets, spread to all peers."""

    items: tuple[Verdict, ...]


@dataclass(frozen=True, slots=True)
class TrialClaim:
    """Asks a suspect's home daemon for the one trial that may run in the region."""

    exchange: ExchangeId
    sender: DaemonId
    fingerprint: Fingerprint
    duration_ms: int


@dataclass(frozen=True, slots=True)
class TrialGrant:
    """Answers a trial claim."""

    exchange: ExchangeId
    is_granted: bool
