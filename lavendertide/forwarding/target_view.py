"""What this host has seen of each target, and which one it asks next.

A target is judged by its own replies, relative to how long requests of the same route
take elsewhere, by the part of its attempts that fail, and by the age of its oldest open
request: a target that has stopped answering shows up there long before a reply is late.
One that fails some attempts is asked less; one that fails all of them is avoided.
"""

from dataclasses import dataclass, field
from typing import Final

from lavendertide.ids import FailureDomain, TargetId
from lavendertide.registry.record import TargetRecord

# Weight of the newest reply in the moving average of a target's slowness.
SLOWNESS_WEIGHT: Final = 0.25
# Slowness and failures are forgotten by half after this time, so that the target is
# tried again; the order of the time that a disturbance of a target takes.
HALF_LIFE_S: Final = 2.0
SLOWNESS_MAX: Final = 32.0
# Weight of the newest attempt in the moving share of those that failed.
FAILURE_RATE_WEIGHT: Final = 0.25
# What a failed attempt costs, in usual times of a request: its own, that of the repeat,
# and the repeat's part of a budget that other requests need too.
FAILURE_COST: Final = 4.0
# Failures in a row from which a target is taken to be down; a single one may be that of
# a target which answers the next request.
DOWN_AFTER_FAILURES: Final = 2
# How long it is avoided then, doubled for each further failure in a row.
AVOIDED_MIN_S: Final = 0.5
AVOIDED_MAX_S: Final = 4.0
# Doublings after which that time has long reached its bound.
DOUBLINGS_MAX: Final = 10
# How long a target is not asked at all after another one has answered at its address:
# until the registry has certainly said that it is gone.
REPLACED_EXCLUSION_S: Final = 15.0
# How long peers' notice of a stall counts when they do not take it back.
STALL_NOTICE_S: Final = 0.3
# Times by which a score is multiplied, so that any healthy target goes first.
AVOIDED_FACTOR: Final = 1_000.0
STALLED_FACTOR: Final = 100.0
# Part of a request's usual time that another failure domain costs.
REMOTE_DOMAIN_COST: Final = 0.6


@dataclass(slots=True)
class TargetView:
    """One target as this host sees it.

    Attributes:
        slowness: Moving average of how many times the usual time its replies take, as
            it was at `slowness_at_s`.
        failure_rate: Moving share of its attempts that failed, as it was at
            `failure_rate_at_s`.
        failures: Attempts in a row that failed.
        avoided_until_s: Until when it is asked last, being down or full.
        excluded_until_s: Until when it is not asked, since another has its address.
        stalled_until_s: Until when a peer's notice of a stall counts.
        open_since_s: Of each open request, when it began and when it counts as late.
    """

    slowness: float = 1.0
    slowness_at_s: float = 0.0
    failure_rate: float = 0.0
    failure_rate_at_s: float = 0.0
    failures: int = 0
    avoided_until_s: float = 0.0
    excluded_until_s: float = 0.0
    stalled_until_s: float = 0.0
    open_calls: dict[int, tuple[float, float]] = field(default_factory=dict)

    @property
    def open_count(self) -> int:
        """Requests that this host has sent and that are unanswered."""
        return len(self.open_calls)

    @property
    def is_down(self) -> bool:
        """Whether so many attempts in a row have failed that it is taken to be down."""
        return self.failures >= DOWN_AFTER_FAILURES

    def open_duration_s(self, call: int, now_s: float) -> float:
        """Returns for how long a request has been open; zero if it is not."""
        return now_s - self.open_calls.get(call, (now_s, now_s))[0]

    def record_sent(self, call: int, now_s: float, late_after_s: float) -> None:
        """Notes a request that is being sent."""
        self.open_calls[call] = (now_s, now_s + late_after_s)

    def record_reply(self, call: int, usual_s: float | None, now_s: float) -> None:
        """Notes a reply; it took `usual_s` on average elsewhere."""
        begun = self.open_calls.pop(call, None)
        self.failures = 0
        self.avoided_until_s = 0.0
        self.stalled_until_s = 0.0
        self._record_attempt(0.0, now_s)
        if begun is None or not usual_s:
            return
        ratio = min(SLOWNESS_MAX, (now_s - begun[0]) / usual_s)
        current = self.current_slowness(now_s)
        self.slowness = current + SLOWNESS_WEIGHT * (ratio - current)
        self.slowness_at_s = now_s

    def record_failure(self, call: int, now_s: float) -> None:
        """Notes that an attempt has ended without a reply or with a failure."""
        self.open_calls.pop(call, None)
        self._record_attempt(1.0, now_s)
        self.failures += 1
        if self.is_down:
            doublings = min(self.failures - DOWN_AFTER_FAILURES, DOUBLINGS_MAX)
            pause_s = min(AVOIDED_MAX_S, AVOIDED_MIN_S * 2.0**doublings)
            self.avoided_until_s = now_s + pause_s

    def record_refusal(self, call: int, pause_s: float, now_s: float) -> None:
        """Notes that the target had no room."""
        self.open_calls.pop(call, None)
        self._record_attempt(1.0, now_s)
        self.avoided_until_s = max(self.avoided_until_s, now_s + pause_s)

    def record_replaced(self, call: int, now_s: float) -> None:
        """Notes that another target has answered at this one's address."""
        self.open_calls.pop(call, None)
        self.excluded_until_s = now_s + REPLACED_EXCLUSION_S

    def discard_call(self, call: int) -> None:
        """Notes that a request was given up without a verdict on the target."""
        self.open_calls.pop(call, None)

    def record_stall(self, now_s: float) -> None:
        """Notes that a peer waits for this target longer than usual."""
        self.stalled_until_s = now_s + STALL_NOTICE_S

    def is_stalled(self, now_s: float) -> bool:
        """Returns whether requests wait here longer than usual."""
        if now_s < self.stalled_until_s:
            return True
        return any(now_s >= late_s for _, late_s in self.open_calls.values())

    def is_avoided(self, now_s: float) -> bool:
        """Returns whether it is taken to be down, or to have no room just now."""
        return now_s < self.avoided_until_s

    def current_slowness(self, now_s: float) -> float:
        """Returns how many times the usual time a reply takes, fading towards one."""
        return 1.0 + (self.slowness - 1.0) * _decay_factor(self.slowness_at_s, now_s)

    def current_failure_rate(self, now_s: float) -> float:
        """Returns which part of the attempts fails, fading towards none."""
        return self.failure_rate * _decay_factor(self.failure_rate_at_s, now_s)

    def _record_attempt(self, failed: float, now_s: float) -> None:
        current = self.current_failure_rate(now_s)
        self.failure_rate = current + FAILURE_RATE_WEIGHT * (failed - current)
        self.failure_rate_at_s = now_s


class TargetViews:
    """What this host has seen of all targets."""

    def __init__(self, own_domain: FailureDomain) -> None:
        self._own_domain = own_domain
        self._views: dict[TargetId, TargetView] = {}

    def view_of(self, target: TargetId) -> TargetView:
        """Returns the view of one target."""
        view = self._views.get(target)
        if view is None:
            view = self._views[target] = TargetView()
        return view

    def record_stall(self, target: TargetId, now_s: float) -> None:
        """Notes that a peer waits for a target, if this host has asked it too."""
        view = self._views.get(target)
        if view is not None:
            view.record_stall(now_s)

    def remove(self, target: TargetId) -> None:
        """Drops what was known of a target that is gone."""
        self._views.pop(target, None)

    def select_usable(
        self, records: tuple[TargetRecord, ...], now_s: float
    ) -> tuple[TargetRecord, ...]:
        """Returns the targets that may be asked at all."""
        if not any(self._is_excluded(record, now_s) for record in records):
            return records
        return tuple(r for r in records if not self._is_excluded(r, now_s))

    def rank_targets(
        self, records: tuple[TargetRecord, ...], now_s: float, jitter: float
    ) -> list[TargetRecord]:
        """Returns targets in the order of asking, the best one first.

        Args:
            records: Targets of one service.
            now_s: Present time, monotonic.
            jitter: Between 0 and 1; decides between targets that are equally good.
        """
        records = self.select_usable(records, now_s)
        if len(records) < 2:
            return list(records)
        offset = int(jitter * len(records))
        rotated = records[offset:] + records[:offset]
        return sorted(rotated, key=lambda record: self.score(record, now_s))

    def score(self, record: TargetRecord, now_s: float) -> float:
        """Returns the expected cost of asking a target, relative to a usual one."""
        view = self._views.get(record.target)
        is_remote = record.failure_domain != self._own_domain
        cost = REMOTE_DOMAIN_COST if is_remote else 0.0
        if view is None:
            return 1.0 + cost
        load = view.open_count / max(1, record.slots)
        cost_estimate = view.current_slowness(now_s) * (1.0 + load) + cost
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
    """Returns which part of what was seen at a time still counts."""
    age_s = max(0.0, now_s - recorded_at_s)
    factor: float = 0.5 ** (age_s / HALF_LIFE_S)
    return factor
