"""Tracks the spare slots that each target reported in its last reply.

A hedge is sent only to a target that had a free slot when it last replied. A target
without a recent report gets one hedge at a time, whose reply brings a fresh report.
"""

from dataclasses import dataclass
from typing import Final

from lavendertide.ids import TargetId
from lavendertide.messages import DeclineReason
from lavendertide.targets.observations import TargetObservations

REPORT_TTL_S: Final = 1.0
AVOIDANCE_S: Final = 0.5
REPORTS_MAX: Final = 8_192


@dataclass(slots=True)
class _Report:
    spare_slots: int
    reported_at_s: float
    hedges_open: int = 0
    avoided_until_s: float = 0.0


class TargetReports:
    """The last report of each target that this daemon has sent attempts to.

    Memory is bounded: beyond `REPORTS_MAX` targets the oldest entry is dropped.
    """

    def __init__(self) -> None:
        self._by_target: dict[TargetId, _Report] = {}
        self._avoids_until_s = 0.0
        self._observations = TargetObservations()

    @property
    def observations(self) -> TargetObservations:
        """Outcomes of the attempts at each target."""
        return self._observations

    def record_spare_slots(
        self, target: TargetId, spare_slots: int, now_s: float
    ) -> None:
        """Records the number of slots that were free when a target replied."""
        report = self._report(target, now_s)
        report.spare_slots = spare_slots
        report.reported_at_s = now_s

    def record_decline(
        self, target: TargetId, reason: DeclineReason, spare_slots: int, now_s: float
    ) -> None:
        """Records a decline.

        A target that cannot serve is avoided for `AVOIDANCE_S`.
        """
        self.record_spare_slots(target, spare_slots, now_s)
        match reason:
            case (
                DeclineReason.UNREACHABLE
                | DeclineReason.DRAINING
                | DeclineReason.SHED
                | DeclineReason.NO_LEASE
            ):
                self._avoids_until_s = now_s + AVOIDANCE_S
                self._by_target[target].avoided_until_s = now_s + AVOIDANCE_S
            case _:
                pass

    def has_avoided(self, now_s: float) -> bool:
        """Returns whether any target may be avoided, without looking at each."""
        return now_s < self._avoids_until_s

    def is_avoided(self, target: TargetId, now_s: float) -> bool:
        """Returns whether other replicas are preferred to this target."""
        report = self._by_target.get(target)
        return report is not None and now_s < report.avoided_until_s

    def may_hedge(self, target: TargetId, now_s: float) -> bool:
        """Returns whether the target has a free slot for a hedge, as last reported."""
        report = self._by_target.get(target)
        if report is None:
            return True
        if now_s - report.reported_at_s < REPORT_TTL_S:
            return report.spare_slots > report.hedges_open
        return report.hedges_open == 0

    def begin_hedge(self, target: TargetId, now_s: float) -> None:
        """Counts an open hedge against the reported spare slots."""
        self._report(target, now_s - REPORT_TTL_S).hedges_open += 1

    def end_hedge(self, target: TargetId) -> None:
        """Ends an open hedge that got a reply or was cancelled."""
        report = self._by_target.get(target)
        if report is not None and report.hedges_open:
            report.hedges_open -= 1

    def _report(self, target: TargetId, reported_at_s: float) -> _Report:
        report = self._by_target.get(target)
        if report is None:
            if len(self._by_target) >= REPORTS_MAX:
                del self._by_target[next(iter(self._by_target))]
            report = self._by_target[target] = _Report(0, reported_at_s)
        return report
