"""Outlier ejection of targets, from the outcomes of this daemon's attempts.

The targets may be held by other daemons. A target that loses several attempts in a row
is ejected: it is tried last, for a time that doubles with each ejection up to
`EJECTION_MAX_S`. One query probes it then, and if it answers, it gets a growing share
of the queries while it warms up. The ejected share of an index's targets is bounded,
and an ejected target is still used if no other replica is left. A target that is
leaving is excluded for some seconds. Own observations take precedence over what health
endpoints report.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from lavendertide.ids import IndexName, TargetId

LOSSES_TO_EJECT: Final = 3
EJECTION_MIN_S: Final = 1.0
EJECTION_MAX_S: Final = 30.0
EJECTED_SHARE_MAX: Final = 0.5
WARM_UP_S: Final = 5.0
WARM_UP_STEPS: Final = 8
LEAVING_KEPT_S: Final = 5.0
TARGETS_MAX: Final = 8_192


class Preference(Enum):
    """Whether a query should use a target."""

    USABLE = "usable"
    AVOID = "avoid"
    EXCLUDED = "excluded"


class EjectionState(Enum):
    """Progress of a target from its ejection back to normal use."""

    NONE = "whole"
    EJECTED = "ejected"
    PROBED = "probed"
    WARMING = "warming"


@dataclass(slots=True)
class _TargetRecord:
    """What is known of a target.

    Attributes:
        index: The index under which it was first observed, and counts as ejected.
    """

    index: IndexName
    state: EjectionState = EjectionState.NONE
    losses: int = 0
    ejections: int = 0
    until_s: float = 0.0
    leaving_until_s: float = 0.0
    warm_up_queries: int = 0


@dataclass(slots=True)
class _IndexState:
    targets: set[TargetId] = field(default_factory=set)
    ejected: set[TargetId] = field(default_factory=set)


class TargetObservations:
    """Observations of all targets that this daemon's queries have used.

    Memory is bounded: beyond `TARGETS_MAX` the oldest target is discarded.
    """

    def __init__(self) -> None:
        self._by_target: dict[TargetId, _TargetRecord] = {}
        self._by_index: dict[IndexName, _IndexState] = {}
        self._restricted: set[TargetId] = set()

    @property
    def has_restricted(self) -> bool:
        """Whether any target may be avoided or excluded."""
        return bool(self._restricted)

    def record_answer(self, target: TargetId, index: IndexName, now_s: float) -> None:
        """Records an answer; an ejected or probed target starts to warm up."""
        record = self._record_of(target, index)
        record.losses = 0
        if record.state in (EjectionState.EJECTED, EjectionState.PROBED):
            # Not `index`: a newer configuration may have moved the target.
            self._by_index[record.index].ejected.discard(target)
            record.state = EjectionState.WARMING
            record.until_s = now_s + WARM_UP_S

    def record_loss(self, target: TargetId, index: IndexName, now_s: float) -> None:
        """Records a lost or timed-out attempt.

        The target is ejected after a failed probe or `LOSSES_TO_EJECT` losses in a row.
        """
        record = self._record_of(target, index)
        record.losses += 1
        if record.state is EjectionState.PROBED or record.losses >= LOSSES_TO_EJECT:
            self._eject(target, record, now_s)

    def record_leaving(self, target: TargetId, index: IndexName, now_s: float) -> None:
        """Records that the target or its holder reported that it is leaving."""
        self._record_of(target, index).leaving_until_s = now_s + LEAVING_KEPT_S
        self._restricted.add(target)

    def is_leaving(self, target: TargetId, now_s: float) -> bool:
        """Returns whether a target has recently reported that it is leaving."""
        record = self._by_target.get(target)
        return record is not None and now_s < record.leaving_until_s

    def preference(self, target: TargetId, now_s: float) -> Preference:
        """Returns whether a query should use a target now.

        Each call counts as one query: it may start a probe or advance the warm-up.
        """
        if target not in self._restricted:
            return Preference.USABLE
        record = self._by_target[target]
        if now_s < record.leaving_until_s:
            return Preference.EXCLUDED
        match record.state:
            case EjectionState.NONE:
                self._restricted.discard(target)
                return Preference.USABLE
            case EjectionState.EJECTED:
                return self._preference_of_ejected(record, now_s)
            case EjectionState.PROBED:
                return self._preference_of_probed(record, now_s)
            case EjectionState.WARMING:
                return self._preference_of_warming(record, now_s)

    def _preference_of_ejected(self, record: _TargetRecord, now_s: float) -> Preference:
        if now_s < record.until_s:
            return Preference.AVOID
        record.state = EjectionState.PROBED
        record.until_s = now_s + EJECTION_MIN_S
        return Preference.USABLE

    def _preference_of_probed(self, record: _TargetRecord, now_s: float) -> Preference:
        if now_s < record.until_s:
            return Preference.AVOID
        record.until_s = now_s + EJECTION_MIN_S
        return Preference.USABLE

    def _preference_of_warming(self, record: _TargetRecord, now_s: float) -> Preference:
        if now_s >= record.until_s:
            record.state = EjectionState.NONE
            record.ejections = 0
            return Preference.USABLE
        record.warm_up_queries += 1
        warmed = 1.0 - (record.until_s - now_s) / WARM_UP_S
        step = record.warm_up_queries % WARM_UP_STEPS
        return Preference.USABLE if step <= warmed * WARM_UP_STEPS else Preference.AVOID

    def _eject(self, target: TargetId, record: _TargetRecord, now_s: float) -> None:
        state = self._by_index[record.index]
        ejected_max = EJECTED_SHARE_MAX * len(state.targets)
        if target not in state.ejected and len(state.ejected) + 1 > ejected_max:
            return
        state.ejected.add(target)
        self._restricted.add(target)
        ejection_s = min(EJECTION_MAX_S, EJECTION_MIN_S * 2.0**record.ejections)
        record.ejections = min(record.ejections + 1, 10)
        record.state = EjectionState.EJECTED
        record.until_s = now_s + ejection_s

    def _record_of(self, target: TargetId, index: IndexName) -> _TargetRecord:
        record = self._by_target.get(target)
        if record is None:
            if len(self._by_target) >= TARGETS_MAX:
                self._discard(next(iter(self._by_target)))
            record = self._by_target[target] = _TargetRecord(index)
            self._by_index.setdefault(index, _IndexState()).targets.add(target)
        return record

    def _discard(self, target: TargetId) -> None:
        record = self._by_target.pop(target)
        state = self._by_index[record.index]
        state.targets.discard(target)
        state.ejected.discard(target)
        self._restricted.discard(target)
        if not state.targets:
            del self._by_index[record.index]
