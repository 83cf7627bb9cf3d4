"""Decides what hosts share about queueing delays, and which reports of peers count.

Load pattern: an overload of the targets spread over many hosts, each of which sees
about one request a second and would notice it seconds late. Hosts share single
observations of their own requests, never those of others, so that no report circulates
and each one loses its effect with age.

While hosts disagree, the median of all observations of a round decides, in which each
peer has at most the weight of one search. Delays that fewer than `HOSTS_MIN` hosts have
seen don't count, since the bottleneck may be the processor or the link of the host that
reports them. Hosts that know of a delay also report their fast requests; without these
the reports of the few hosts with slow ones would decide alone.
"""

import math
import random
import statistics
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final
from zlib import crc32

from lavendertide.ids import DaemonId, RouteName
from lavendertide.overload.capacity import ROUND_MIN_SEARCHES
from lavendertide.overload.delay_observations import QUEUED_MIN_S, Observation

# Shortest time between two notices of a host.
INTERVAL_S: Final = 0.1
# Age from which no observation counts, and age up to which it counts in full.
AGE_MAX_S: Final = 2.0
FULL_WEIGHT_AGE_S: Final = 1.0
# Time for which a delay counts as known after its last report.
DELAY_MEMORY_S: Final = 2.0
# Hosts, including this one, that must have seen a delay within `DELAY_MEMORY_S`.
HOSTS_MIN: Final = 3
REPEAT_HOSTS_MIN: Final = 2
# Time for which a delay must have been known before reports of peers count. Within it
# the hosts that were told of the delay report their fast requests.
ANSWER_S: Final = 0.2
# Observations of one notice. More of one host would add little within 100 ms.
ITEMS_MAX: Final = 4
# Bytes that a host may send in any second, to all peers together. The notices about
# targets have the other half of the 2 KB.
BYTES_PER_S: Final = 1_000
BUDGET_WINDOW_S: Final = 1.0
# Bytes of a frame and of an item, rounded up (tests/encodings/test_peer_frames.py
# compares them with the encoding).
FRAME_BYTES: Final = 40
ITEM_BYTES: Final = 42
# Pressure from which a delay is reported; a half of that from which thinning begins, so
# that hosts know each other's observations by then.
DELAYED_PRESSURE: Final = 0.5
# Highest pressure that counts: half of the shards took the whole objective.
PRESSURE_MAX: Final = 4.0


@dataclass(frozen=True, slots=True)
class OverloadObservation:
    """What one request of the sender shows about the queues of a group's targets.

    Attributes:
        group: Number of the route group (`group_number`).
        pressure_percent: Queueing delay in percent of the allowed one.
        weight: Sub-requests that the observation stands for.
        age_ms: Time since the delay was known, in milliseconds.
        took_ms: Time from the arrival of the request until then.
        queued_ms: The part of it that the request queued.
        is_urgent: Whether its route is one of the most urgent of the group.
        level_percent: The sender's level of admission, in percent of a class.
    """

    group: int
    pressure_percent: int
    weight: int
    age_ms: int
    took_ms: int
    queued_ms: int
    is_urgent: bool
    level_percent: int


def group_number(routes: Iterable[RouteName]) -> int:
    """Returns the number of a group, equal on all hosts with the same route table.

    It is derived from the first name, so that a route that is added later seldom
    changes it.
    """
    return crc32(min(routes).encode()) & 0x7FFF_FFFF


class SharedOverload:
    """The observations of one route group that this host sends and receives."""

    def __init__(self) -> None:
        self._pending: deque[Observation] = deque(maxlen=8 * ITEMS_MAX)
        # By host; none is this one.
        self._delayed_at_s: dict[DaemonId | None, float] = {}
        self._long_delayed_at_s: dict[DaemonId | None, float] = {}
        self._levels: dict[DaemonId, tuple[float, float]] = {}
        self._was_long = False
        self._known_since_s = self._known_until_s = -math.inf

    def record_own(self, observation: Observation) -> None:
        """Adds an observation of this host."""
        self._pending.append(observation)
        if observation.pressure >= DELAYED_PRESSURE:
            self._record_delay(None, observation.queued_s, observation.observed_at_s)

    def accept(
        self, peer: DaemonId, item: OverloadObservation, now_s: float
    ) -> Observation | None:
        """Returns a peer's observation; none if it doesn't count.

        Values that no host of this release sends are dropped, as they would shift the
        time for which a delay has lasted.
        """
        age_s, took_s = item.age_ms / 1_000, item.took_ms / 1_000
        queued_s = item.queued_ms / 1_000
        if not 0.0 <= age_s < AGE_MAX_S or not 0.0 <= queued_s <= took_s:
            return None
        if item.weight < 1 or item.pressure_percent < 0 or item.level_percent < 0:
            return None
        self._levels[peer] = now_s, item.level_percent / 100
        pressure = min(PRESSURE_MAX, item.pressure_percent / 100)
        if pressure >= DELAYED_PRESSURE and age_s < DELAY_MEMORY_S:
            self._record_delay(peer, queued_s, now_s)
        weight = float(min(ROUND_MIN_SEARCHES, item.weight))
        if age_s > FULL_WEIGHT_AGE_S:
            weight *= (AGE_MAX_S - age_s) / (AGE_MAX_S - FULL_WEIGHT_AGE_S)
        observed_s = now_s - age_s
        return Observation(
            observed_s - took_s,
            observed_s - queued_s,
            observed_s,
            queued_s,
            pressure,
            weight,
            item.is_urgent,
            peer,
        )

    def is_delay_known(self, now_s: float) -> bool:
        """Returns whether this host or a peer has seen a delay recently."""
        return now_s - self._known_until_s < DELAY_MEMORY_S

    def take_pending(self, now_s: float) -> list[Observation]:
        """Returns the own observations to send, which are then no longer pending."""
        if not self.is_delay_known(now_s):
            return []
        recent = [
            o for o in self._pending if now_s - o.observed_at_s < FULL_WEIGHT_AGE_S
        ]
        self._pending.clear()
        return recent

    def is_corroborated(self, now_s: float) -> bool:
        """Returns whether the observations of peers count."""
        is_answered = now_s - self._known_since_s >= ANSWER_S
        return is_answered and self.is_seen_by_several(now_s)

    def is_seen_by_several(self, now_s: float) -> bool:
        """Returns whether enough hosts, with this one, have seen a delay recently."""
        return _count_recent(self._delayed_at_s, now_s) >= HOSTS_MIN

    def withholds_repeats(self, now_s: float) -> bool:
        """Returns whether hedges and retries are left to the most urgent routes.

        No request is refused for that, so two hosts are enough.
        """
        return _count_recent(self._delayed_at_s, now_s) >= REPEAT_HOSTS_MIN

    def poll_change(self, now_s: float) -> bool | None:
        """Returns whether several hosts see a long delay, if that has changed."""
        is_long = self.is_long_delay(now_s)
        if is_long == self._was_long:
            return None
        self._was_long = is_long
        return is_long

    def find_joint_level(self, level_max: float, now_s: float) -> float | None:
        """Returns the median level of the peers; none unless most of them thin.

        A host that has had no request during the delay, or has just started, takes it
        over. It is never passed on as an observation, so it doesn't circulate.
        """
        self._levels = {
            peer: known
            for peer, known in self._levels.items()
            if now_s - known[0] < DELAY_MEMORY_S
        }
        levels = [level for _, level in self._levels.values()]
        thinning = sum(level < level_max for level in levels)
        if thinning < HOSTS_MIN or 2 * thinning <= len(levels):
            return None
        return statistics.median_high(levels)

    def is_long_delay(self, now_s: float) -> bool:
        """Returns whether enough hosts have seen a delay longer than any pause."""
        return _count_recent(self._long_delayed_at_s, now_s) >= HOSTS_MIN

    def _record_delay(
        self, peer: DaemonId | None, queued_s: float, now_s: float
    ) -> None:
        self._delayed_at_s[peer] = now_s
        if queued_s >= QUEUED_MIN_S:
            self._long_delayed_at_s[peer] = now_s
        if not self.is_delay_known(now_s):
            self._known_since_s = now_s
        self._known_until_s = now_s


class OverloadSharing:
    """Selects the observations to send, within a bound of bytes a second."""

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._sent_at_s = -math.inf
        self._sent_bytes: deque[tuple[float, int]] = deque()

    def select(
        self,
        groups: Iterable[tuple[int, float, SharedOverload]],
        recipients: int,
        now_s: float,
    ) -> tuple[tuple[OverloadObservation, ...], int]:
        """Returns what to send now, and to how many of the recipients.

        Where a notice has no room for all observations, they are drawn at random; a
        choice by delay would distort the median of the receivers.

        Args:
            groups: Number, level and observations of each group of this host.
            recipients: Number of peers that may be sent to.
            now_s: Present time, monotonic.
        """
        if recipients == 0 or now_s - self._sent_at_s < INTERVAL_S:
            return (), 0
        left = BYTES_PER_S - self._spent_bytes(now_s)
        if left < FRAME_BYTES + ITEM_BYTES:
            return (), 0
        found = [
            _pack(number, level, observation, now_s)
            for number, level, shared in groups
            for observation in shared.take_pending(now_s)
        ]
        if not found:
            return (), 0
        if len(found) > ITEMS_MAX:
            found = self._random.sample(found, ITEMS_MAX)
        while FRAME_BYTES + len(found) * ITEM_BYTES > left:
            found.pop()
        size = FRAME_BYTES + len(found) * ITEM_BYTES
        reached = min(recipients, left // size)
        self._sent_at_s = now_s
        self._sent_bytes.append((now_s, reached * size))
        return tuple(found), reached

    def _spent_bytes(self, now_s: float) -> int:
        while self._sent_bytes and now_s - self._sent_bytes[0][0] >= BUDGET_WINDOW_S:
            self._sent_bytes.popleft()
        return sum(size for _, size in self._sent_bytes)


def _pack(
    group: int, level: float, observation: Observation, now_s: float
) -> OverloadObservation:
    took_s = observation.observed_at_s - observation.arrived_at_s
    return OverloadObservation(
        group,
        round(100 * observation.pressure),
        round(observation.weight),
        round(1_000 * (now_s - observation.observed_at_s)),
        round(1_000 * took_s),
        round(1_000 * min(took_s, observation.queued_s)),
        observation.is_urgent,
        round(100 * level),
    )


def _count_recent(delayed_at_s: dict[DaemonId | None, float], now_s: float) -> int:
    """Returns the number of hosts with a recent delay, and forgets the others."""
    for host, at_s in list(delayed_at_s.items()):
        if now_s - at_s >= DELAY_MEMORY_S:
            del delayed_at_s[host]
    return len(delayed_at_s)
