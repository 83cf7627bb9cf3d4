"""Decides what a host shares with its peers about slow and fast targets.

The load: a target becomes several times slower, and each of many hosts sends it only a
few requests a second, so that each one alone would need many hundred milliseconds to
find out. Hosts share only what they have observed themselves, so no notice circulates,
and nothing has to be withdrawn: what isn't repeated loses its weight within a second.
While hosts disagree, each one weighs its own recent replies at least as high as a
peer's notice. A notice that names a target of which meanwhile another run has started
misleads for a second at most.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from lavendertide.ids import TargetId
from lavendertide.overload.byte_budget import ByteBudget
from lavendertide.overload.target_capacity import TargetCapacity

# Shortest time between two notices to the same peers.
INTERVAL_S: Final = 0.25
ITEMS_MAX: Final = 64
# Notices of older observations are dropped.
AGE_MAX_S: Final = 1.0
# Slowness, or its reciprocal, from which a target deviates by more than half.
DEVIATION_MIN: Final = 1.5
# Weight of own evidence from which it is shared: that of a reply 250 ms ago.
WEIGHT_MIN: Final = 0.5
# How long a recovery is shared: peers that remember the target as slow for seconds
# would try it late.
RECOVERY_SHARED_S: Final = 0.5
# Share of a second's bytes that is kept for recoveries. Usual variations use up all
# others.
RECOVERY_SHARE: Final = 0.4
# Bytes of a frame and of an item beside the target's name, rounded up
# (tests/encodings/test_peer_frames.py compares them with the encoding).
FRAME_BYTES: Final = 40
ITEM_BYTES: Final = 24


@dataclass(frozen=True, slots=True)
class CapacityObservation:
    """What one host has observed of a target.

    Attributes:
        slowness_percent: Duration of work there, in percent of usual.
        age_ms: Time since the host's last observation, in milliseconds.
    """

    target: TargetId
    slowness_percent: int
    age_ms: int


class CapacitySharing:
    """Selects the observations to share, within a bound of bytes a second.

    Args:
        budget: The bytes of all load information that this host sends.
    """

    def __init__(self, budget: ByteBudget | None = None) -> None:
        self._budget = budget or ByteBudget()
        self._sent_at_s = -math.inf
        self._shared_at_s: dict[TargetId, float] = {}

    def select(
        self,
        capacities: Iterable[tuple[TargetId, TargetCapacity]],
        recipients: int,
        now_s: float,
    ) -> tuple[tuple[CapacityObservation, ...], int]:
        """Returns what to send now, and to how many of the recipients.

        Where the bytes don't suffice for all, the targets that were shared least
        recently come first, then those that deviate most.

        Args:
            capacities: This host's estimates of targets.
            recipients: Number of peers that may be sent to.
            now_s: Present time, monotonic.
        """
        if recipients == 0 or now_s - self._sent_at_s < INTERVAL_S:
            return (), 0
        deviating = [pair for pair in capacities if _is_shared(pair[1], now_s)]
        if not deviating:
            self._shared_at_s.clear()
            return (), 0
        deviating.sort(key=lambda pair: self._urgency(pair[0], pair[1], now_s))
        left = self._budget.left(now_s)
        if not self._is_new_recovery(*deviating[0], now_s):
            left -= int(RECOVERY_SHARE * self._budget.bytes_per_s)
        # Half of a second's bytes at most, so that later changes find some left.
        left = min(left, self._budget.bytes_per_s // 2)
        first_bytes = FRAME_BYTES + _size_of(deviating[0][0])
        reached = min(recipients, left // first_bytes)
        if reached <= 0:
            return (), 0
        chosen: list[CapacityObservation] = []
        size = FRAME_BYTES
        for target, capacity in deviating[:ITEMS_MAX]:
            size += _size_of(target)
            if reached * size > left:
                size -= _size_of(target)
                break
            chosen.append(_observe(target, capacity, now_s))
            self._shared_at_s[target] = now_s
        self._sent_at_s = now_s
        self._budget.record(reached * size, now_s)
        known = {target for target, _ in deviating}
        for gone in self._shared_at_s.keys() - known:
            del self._shared_at_s[gone]
        return tuple(chosen), reached

    def _urgency(
        self, target: TargetId, capacity: TargetCapacity, now_s: float
    ) -> tuple[float, float]:
        deviation = abs(math.log(capacity.own_slowness(now_s)))
        shared_at_s = self._shared_at_s.get(target, -math.inf)
        if self._is_new_recovery(target, capacity, now_s):
            return -math.inf, -math.inf
        return shared_at_s, -deviation

    def _is_new_recovery(
        self, target: TargetId, capacity: TargetCapacity, now_s: float
    ) -> bool:
        """Returns whether a recovery wasn't shared yet, which alone ends a memory."""
        recovered_at_s = capacity.own.recovered_at_s
        is_recent = now_s - recovered_at_s <= RECOVERY_SHARED_S
        return is_recent and self._shared_at_s.get(target, -math.inf) < recovered_at_s


def record_observation(
    capacity: TargetCapacity, observed: CapacityObservation, now_s: float
) -> bool:
    """Records a peer's observation, unless it is old; returns whether it counts."""
    if not 0 <= observed.age_ms <= AGE_MAX_S * 1_000:
        return False
    slowness = observed.slowness_percent / 100
    capacity.record_from_peer(slowness, observed.age_ms / 1_000, now_s)
    return True


def _is_shared(capacity: TargetCapacity, now_s: float) -> bool:
    # First what is cheap: most targets have no recent evidence.
    own = capacity.own
    if now_s - own.at_s > AGE_MAX_S or own.weight_at(now_s) < WEIGHT_MIN:
        return False
    if now_s - own.recovered_at_s <= RECOVERY_SHARED_S:
        return True
    slowness = capacity.own_slowness(now_s)
    return slowness > DEVIATION_MIN or slowness < 1.0 / DEVIATION_MIN


def _observe(
    target: TargetId, capacity: TargetCapacity, now_s: float
) -> CapacityObservation:
    # Unweighted, since the receiver weighs it by its age.
    percent = round(100 * math.exp(capacity.own.mean_log))
    age_ms = round(1_000 * (now_s - capacity.own.at_s))
    return CapacityObservation(target, percent, age_ms)


def _size_of(target: TargetId) -> int:
    return ITEM_BYTES + len(target)
