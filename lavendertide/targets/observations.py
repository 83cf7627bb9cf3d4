"""What this daemon has seen of targets that others may hold, and which it prefers.

Own observations come before what endpoints say. A target that loses several attempts
in a row is asked last for a time that grows with each ejection; then one query asks it
again, and if it answers, it gets a growing share while it warms up. At most a share of
an index's targets is ejected at a time, and an ejected target is still asked when no
other replica is left. A target that leaves is not asked at all for some seconds.
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
    """Whether a target is worth asking."""

    USABLE = "usable"
    AVOID = "avoid"
    EXCLUDED = "excluded"


class Trust(Enum):
    """How far a target is trusted after its losses."""

    WHOLE = "whole"
    EJECTED = "ejected"
    PROBED = "probed"
    WARMING = "warming"


@dataclass(slots=True)
class _Observed:
    index: IndexName
    trust: Trust = Trust.WHOLE
    losses: int = 0
    ejections: int = 0
    until_s: float = 0.0
    leaving_until_s: float = 0.0
    asked: int = 0


@dataclass(slots=True)
class _IndexState:
    seen: set[TargetId] = field(default_factory=set)
    ejected: set[TargetId] = field(default_factory=set)


class TargetObservations:
    """Observations of all targets that this daemon's queries have asked.

    Memory is bounded: beyond a number of targets the oldest one is forgotten.
    """

    def __init__(self) -> None:
        self._by_target: dict[TargetId, _Observed] = {}
        self._by_index: dict[IndexName, _IndexState] = {}
        self._notable: set[TargetId] = set()

    @property
    def has_notable(self) -> bool:
        """Whether any target is anything else than usable."""
        return bool(self._notable)

    def note_answer(self, target: TargetId, index: IndexName, now_s: float) -> None:
        """Notes an answer."""
        observed = self._observed(target, index)
        observed.losses = 0
        if observed.trust in (Trust.EJECTED, Trust.PROBED):
            self._by_index[index].ejected.discard(target)
            observed.trust = Trust.WARMING
            observed.until_s = now_s + WARM_UP_S

    def note_loss(self, target: TargetId, index: IndexName, now_s: float) -> None:
        """Notes that an attempt was lost or timed out at the target."""
        observed = self._observed(target, index)
        observed.losses += 1
        if observed.trust is Trust.PROBED or observed.losses >= LOSSES_TO_EJECT:
            self._eject(target, observed, now_s)

    def note_leaving(self, target: TargetId, index: IndexName, now_s: float) -> None:
        """Notes that the target or its holder says that it is leaving."""
        self._observed(target, index).leaving_until_s = now_s + LEAVING_KEPT_S
        self._notable.add(target)

    def preference(self, target: TargetId, now_s: float) -> Preference:
        """Returns whether a target is worth asking now."""
        if target not in self._notable:
            return Preference.USABLE
        observed = self._by_target[target]
        if now_s < observed.leaving_until_s:
            return Preference.EXCLUDED
        match observed.trust:
            case Trust.WHOLE:
                self._notable.discard(target)
                return Preference.USABLE
            case Trust.EJECTED:
                return self._preference_of_ejected(observed, now_s)
            case Trust.PROBED:
                return self._preference_of_probed(observed, now_s)
            case Trust.WARMING:
                return self._preference_of_warming(observed, now_s)

    def _preference_of_ejected(self, observed: _Observed, now_s: float) -> Preference:
        if now_s < observed.until_s:
            return Preference.AVOID
        observed.trust = Trust.PROBED
        observed.until_s = now_s + EJECTION_MIN_S
        return Preference.USABLE

    def _preference_of_probed(self, observed: _Observed, now_s: float) -> Preference:
        if now_s < observed.until_s:
            return Preference.AVOID
        observed.until_s = now_s + EJECTION_MIN_S
        return Preference.USABLE

    def _preference_of_warming(self, observed: _Observed, now_s: float) -> Preference:
        if now_s >= observed.until_s:
            observed.trust = Trust.WHOLE
            observed.ejections = 0
            return Preference.USABLE
        observed.asked += 1
        warmed = 1.0 - (observed.until_s - now_s) / WARM_UP_S
        step = observed.asked % WARM_UP_STEPS
        return Preference.USABLE if step <= warmed * WARM_UP_STEPS else Preference.AVOID

    def _eject(self, target: TargetId, observed: _Observed, now_s: float) -> None:
        state = self._by_index[observed.index]
        bound = EJECTED_SHARE_MAX * len(state.seen)
        if target not in state.ejected and len(state.ejected) + 1 > bound:
            return
        state.ejected.add(target)
        self._notable.add(target)
        time_s = min(EJECTION_MAX_S, EJECTION_MIN_S * 2.0**observed.ejections)
        observed.ejections = min(observed.ejections + 1, 10)
        observed.trust = Trust.EJECTED
        observed.until_s = now_s + time_s

    def _observed(self, target: TargetId, index: IndexName) -> _Observed:
        observed = self._by_target.get(target)
        if observed is None:
            if len(self._by_target) >= TARGETS_MAX:
                self._forget(next(iter(self._by_target)))
            observed = self._by_target[target] = _Observed(index)
            self._by_index.setdefault(index, _IndexState()).seen.add(target)
        return observed

    def _forget(self, target: TargetId) -> None:
        observed = self._by_target.pop(target)
        state = self._by_index[observed.index]
        state.seen.discard(target)
        state.ejected.discard(target)
        self._notable.discard(target)
        if not state.seen:
            del self._by_index[observed.index]
