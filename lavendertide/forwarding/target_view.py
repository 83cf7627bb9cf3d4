"""Per-host statistics of each target, and the ranking that selects the next target.

A target's score combines the time in which it is expected to complete a request, the
share of its attempts that failed, and whether one of its open requests is late. A late
open request reveals a target that has stopped replying before any reply or timeout
arrives.
A target that fails some attempts is ranked lower; one that fails several in a row is
avoided.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from lavendertide.forwarding.open_calls import OpenCalls
from lavendertide.ids import FailureDomain, TargetId
from lavendertide.overload.target_capacity import TargetCapacity
from lavendertide.registry.record import TargetRecord

# Half-life of the failure rate, so that the target is tried again. Disturbances of a
# target last about as long.
HALF_LIFE_S: Final = 2.0
# Weight of the newest attempt in the moving average of the failure rate.
FAILURE_RATE_WEIGHT: Final = 0.25
# Cost of a failed attempt in usual request times: the attempt itself, its repeat, and
# the repeat's use of a budget that other requests need too.
FAILURE_COST: Final = 4.0
# Failures in a row after which a target is considered down. A target may fail a single
# request and still reply to the next one.
DOWN_AFTER_FAILURES: Final = 2
# How long a target that is down is avoided, doubled for each further failure in a row.
AVOIDED_MIN_S: Final = 0.5
AVOIDED_MAX_S: Final = 4.0
# Bounds the exponent; the pause has reached AVOIDED_MAX_S long before.
DOUBLINGS_MAX: Final = 10
# How long a target receives no requests after another one has replied at its address.
# By then the registry has certainly removed it.
REPLACED_EXCLUSION_S: Final = 15.0
# How long a peer's stall notice is in force, unless a reply ends it earlier.
STALL_NOTICE_S: Final = 0.3
# Score multipliers. Any healthy target ranks before an avoided one. A stalled target
# usually pauses or is busy, so one that is several times slower is no better: with a
# factor of 100, requests for busy targets went to slow ones.
AVOIDED_FACTOR: Final = 1_000.0
STALLED_FACTOR: Final = 3.0
# Extra cost of a target in another failure domain, in usual request times.
REMOTE_DOMAIN_COST: Final = 0.6


@dataclass(slots=True)
class TargetView:
    """This host's statistics of one target. All times are monotonic.

    Attributes:
        capacity: What the target handles well.
        failure_rate: Moving average of the share of failed attempts, as of
            `failure_rate_at_s`.
        failures: Failed attempts in a row.
        outages: How often the target has stopped accepting connections.
        is_unreachable: Whether it accepted none at the last attempt.
        avoided_until_s: End of the time in which the target is ranked last, because it
            is down or full.
        excluded_until_s: End of the time in which the target receives no requests,
            because another target has its address.
        stalled_until_s: End of the time in which a peer's stall notice is in force.
        open_calls: The calls that have no reply yet.
        connections_max: Connections that this host may open to the target; none before
            the first call. Further calls wait for one.
    """

    capacity: TargetCapacity = field(default_factory=TargetCapacity)
    failure_rate: float = 0.0
    failure_rate_at_s: float = 0.0
    failures: int = 0
    outages: int = 0
    is_unreachable: bool = False
    avoided_until_s: float = 0.0
    excluded_until_s: float = 0.0
    stalled_until_s: float = 0.0
    open_calls: OpenCalls = field(default_factory=OpenCalls)
    connections_max: int | None = None

    @property
    def open_count(self) -> int:
        """Requests that this host has sent to the target and that have no reply yet."""
        return len(self.open_calls)

    @property
    def slowness_at_s(self) -> float:
        """When this host last observed the target's speed; zero if it never has."""
        return self.capacity.own.at_s

    def current_slowness(self, now_s: float) -> float:
        """Returns how long work takes at the target, relative to its route's usual."""
        return self.capacity.slowness(now_s)

    @property
    def is_down(self) -> bool:
        """Whether enough attempts in a row have failed to consider the target down."""
        return self.failures >= DOWN_AFTER_FAILURES

    def record_sent(
        self,
        call: int,
        now_s: float,
        late_after_s: float,
        connections_max: int | None = None,
    ) -> None:
        """Records a call that is sent now, or once one of the connections is free.

        Args:
            call: Number of the call.
            now_s: Present time, monotonic.
            late_after_s: Seconds after its sending after which it is late.
            connections_max: Connections that this host may open to the target; any
                number if absent.
        """
        self.connections_max = connections_max
        is_waiting = connections_max is not None and self.open_count >= connections_max
        wait_factor = self.capacity.wait_factor(now_s)
        self.open_calls.add(call, now_s, late_after_s, wait_factor, is_waiting)
        if not is_waiting:
            self.capacity.record_sent()

    def record_connected(self, call: int, now_s: float) -> None:
        """Records that a call is sent which has waited for a connection."""
        if self.open_calls.mark_sent(call, now_s, self.capacity.wait_factor(now_s)):
            self.capacity.record_sent()

    def connection_wait(self) -> float:
        """Returns how many requests a new call waits for on this host's connections."""
        if self.connections_max is None:
            return 0.0
        return self.open_count / self.connections_max

    def record_reply(self, call: int, usual_s: float | None, now_s: float) -> None:
        """Records a successful reply and ends any avoidance and stall.

        Args:
            call: The call that the reply belongs to.
            usual_s: Usual time of the route's work; none if there is none yet.
            now_s: Present time, monotonic.
        """
        work_s = self.open_calls.work_s(call, now_s)
        self.open_calls.remove(call)
        self.failures = 0
        self.avoided_until_s = 0.0
        self.stalled_until_s = 0.0
        self._record_attempt(0.0, now_s)
        if work_s and usual_s:
            self.capacity.record_work(work_s / usual_s, now_s)

    def record_late(self, call: int, usual_s: float | None, now_s: float) -> None:
        """Records that a call is given up whose reply would have taken longer still."""
        work_s = self.open_calls.work_s(call, now_s)
        if work_s and usual_s:
            self.capacity.record_late(work_s / usual_s, now_s)

    def record_failure(self, call: int, now_s: float) -> None:
        """Records a failed attempt; the target is avoided if it is down by now."""
        self.open_calls.remove(call)
        self._record_attempt(1.0, now_s)
        self.failures += 1
        if self.is_down:
            doublings = min(self.failures - DOWN_AFTER_FAILURES, DOUBLINGS_MAX)
            pause_s = min(AVOIDED_MAX_S, AVOIDED_MIN_S * 2.0**doublings)
            self.avoided_until_s = now_s + pause_s

    def record_unreachable(self, call: int, now_s: float) -> None:
        """Records that the target accepted no connection, which is a failed attempt."""
        was_unreachable = self.is_unreachable
        self.record_failure(call, now_s)
        self.outages += not was_unreachable
        self.is_unreachable = True

    def record_refusal(self, call: int, pause_s: float, now_s: float) -> None:
        """Records that the target was full; it is avoided for `pause_s` seconds."""
        self.open_calls.remove(call)
        self._record_attempt(1.0, now_s)
        self.avoided_until_s = max(self.avoided_until_s, now_s + pause_s)

    def record_replaced(self, call: int, now_s: float) -> None:
        """Records a reply of another target at this address; excludes this one."""
        self.open_calls.remove(call)
        self.excluded_until_s = now_s + REPLACED_EXCLUSION_S

    def discard_call(self, call: int) -> None:
        """Removes a call that ended without evidence for or against the target."""
        self.open_calls.remove(call)

    def record_stall(self, now_s: float) -> None:
        """Records a peer's notice that calls to this target are late."""
        self.stalled_until_s = now_s + STALL_NOTICE_S

    def is_stalled(self, now_s: float) -> bool:
        """Returns whether a peer has reported a stall or an open call shows one."""
        if now_s < self.stalled_until_s:
            return True
        return self.open_calls.has_stalled(self.capacity, now_s)

    def is_avoided(self, now_s: float) -> bool:
        """Returns whether the target is considered down or full at present."""
        return now_s < self.avoided_until_s

    def current_failure_rate(self, now_s: float) -> float:
        """Returns the failure rate, which decays towards zero."""
        return self.failure_rate * _decay_factor(self.failure_rate_at_s, now_s)

    def _record_attempt(self, failed: float, now_s: float) -> None:
        current = self.current_failure_rate(now_s)
        self.failure_rate = current + FAILURE_RATE_WEIGHT * (failed - current)
        self.failure_rate_at_s = now_s
        self.is_unreachable = False


class TargetViews:
    """The statistics of all targets that this host has used, and their ranking."""

    def __init__(self, own_domain: FailureDomain) -> None:
        self._own_domain = own_domain
        self._views: dict[TargetId, TargetView] = {}

    @property
    def capacities(self) -> Iterator[tuple[TargetId, TargetCapacity]]:
        """What this host has learned of each target."""
        return ((target, view.capacity) for target, view in self._views.items())

    def view_of(self, target: TargetId) -> TargetView:
        """Returns the view of a target, which is created if there is none."""
        view = self._views.get(target)
        if view is None:
            view = self._views[target] = TargetView()
        return view

    def find(self, target: TargetId) -> TargetView | None:
        """Returns the view of a target; none if this host hasn't used it."""
        return self._views.get(target)

    def record_stall(self, target: TargetId, now_s: float) -> None:
        """Records a peer's stall notice, unless this host hasn't used the target.

        Targets without a view are left out, so that notices take no memory.
        """
        view = self._views.get(target)
        if view is not None:
            view.record_stall(now_s)

    def remove(self, target: TargetId) -> None:
        """Removes the statistics of a target that has left."""
        self._views.pop(target, None)

    def select_usable(
        self, records: tuple[TargetRecord, ...], now_s: float
    ) -> tuple[TargetRecord, ...]:
        """Returns the targets whose address no other target has taken over."""
        if not any(self._is_excluded(record, now_s) for record in records):
            return records
        return tuple(r for r in records if not self._is_excluded(r, now_s))

    def rank_targets(
        self, records: tuple[TargetRecord, ...], now_s: float, jitter: float
    ) -> list[TargetRecord]:
        """Returns the usable targets sorted by score, the best one first.

        Args:
            records: Targets of one service.
            now_s: Present time, monotonic.
            jitter: Between 0 and 1; breaks ties between targets of the same score.
        """
        records = self.select_usable(records, now_s)
        if len(records) < 2:
            return list(records)
        offset = int(jitter * len(records))
        rotated = records[offset:] + records[:offset]
        return sorted(rotated, key=lambda record: self.score(record, now_s))

    def score(self, record: TargetRecord, now_s: float) -> float:
        """Returns the expected cost of a request to a target, in usual request times.

        The target with the lowest score is the best one.
        """
        view = self._views.get(record.target)
        is_remote = record.failure_domain != self._own_domain
        cost = REMOTE_DOMAIN_COST if is_remote else 0.0
        if view is None:
            return 1.0 + cost
        cost_estimate = cost + view.capacity.expected_time(
            view.open_count, record.slots, now_s, view.connection_wait()
        )
        cost_estimate += FAILURE_COST * view.current_failure_rate(now_s)
        if view.is_avoided(now_s):
            return cost_estimate * AVOIDED_FACTOR
        if view.is_stalled(now_s):
            return cost_estimate * STALLED_FACTOR
        return cost_estimate

    def _is_excluded(self, record: TargetRecord, now_s: float) -> bool:
        view = self._views.get(record.target)
        return view is not None and now_s < view.excluded_until_s


def _decay_factor(recorded_at_s: float, now_s: float) -> float:
    """Returns the remaining weight, from 1 to 0, of an observation of that time."""
    age_s = max(0.0, now_s - recorded_at_s)
    factor: float = 0.5 ** (age_s / HALF_LIFE_S)
    return factor
