"""What targets have announced about themselves in their replies.

A target that is about to leave says so in each reply, and one that is full may say how
long this host has to leave it alone. Both hold for one run of the target. They are kept
apart from the published entries, since an entry may lapse and return while the same run
goes on.
"""

from typing import Final

from lavendertide.registry.record import TargetRecord, TargetRun

# Runs that are remembered as leaving; the oldest are forgotten first. A run that has
# ended never returns, so this only has to cover runs that may still be listed.
LEAVING_MAX: Final = 4_096
# How long an announcement holds if the target publishes no start time, so that a later
# run under the same name can't be told from the one that left.
UNDATED_LEAVING_S: Final = 30.0


class Announcements:
    """The announcements of all targets that are still in force.

    Args:
        last_resort_s: How long after its announcement a leaving target may still get
            requests that no other target can serve.
    """

    def __init__(self, last_resort_s: float) -> None:
        self._last_resort_s = last_resort_s
        self._leaving_since_s: dict[TargetRun, float] = {}
        self._paused_until_s: dict[TargetRun, float] = {}

    def record_leaving(self, run: TargetRun, now_s: float) -> bool:
        """Records that a run is leaving; returns whether that is new."""
        if self.is_leaving(run, now_s):
            return False
        self._leaving_since_s[run] = now_s
        if len(self._leaving_since_s) > LEAVING_MAX:
            del self._leaving_since_s[next(iter(self._leaving_since_s))]
        return True

    def record_pause(self, run: TargetRun, until_s: float, now_s: float) -> None:
        """Records that a run wants no requests of this host until a time."""
        self._paused_until_s = {
            paused: end_s
            for paused, end_s in self._paused_until_s.items()
            if end_s > now_s
        }
        known_s = self._paused_until_s.get(run, 0.0)
        self._paused_until_s[run] = max(known_s, until_s)

    def is_leaving(self, run: TargetRun, now_s: float) -> bool:
        """Returns whether a run has announced that it is leaving."""
        since_s = self._leaving_since_s.get(run)
        if since_s is None:
            return False
        return run.is_dated or now_s < since_s + UNDATED_LEAVING_S

    def pause_end_s(self, run: TargetRun, now_s: float) -> float | None:
        """Returns the monotonic time at which a run's pause ends; none without one."""
        until_s = self._paused_until_s.get(run, 0.0)
        return until_s if now_s < until_s else None

    def select_available(
        self, records: tuple[TargetRecord, ...], now_s: float
    ) -> tuple[TargetRecord, ...]:
        """Returns the targets that want new requests.

        If there are none, these are the targets that have announced only a short time
        ago that they are leaving: they still serve, and without them the callers would
        be refused.
        """
        if not self._leaving_since_s and not self._paused_until_s:
            return records
        accepting = [r for r in records if self.pause_end_s(r.run, now_s) is None]
        staying = [r for r in accepting if not self.is_leaving(r.run, now_s)]
        if staying:
            return tuple(staying)
        return tuple(r for r in accepting if self._is_last_resort(r.run, now_s))

    def _is_last_resort(self, run: TargetRun, now_s: float) -> bool:
        return now_s < self._leaving_since_s.get(run, 0.0) + self._last_resort_s
