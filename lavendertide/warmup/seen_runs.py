"""Which run of each target this host has seen last.

A run that returns after a lapse of its entry must not be taken for a new one.
"""

from collections.abc import Iterable
from typing import Final

from lavendertide.ids import TargetId
from lavendertide.registry.record import TargetRecord, TargetRun

# Targets that are remembered. A large deployment has 2,200. Withdrawn ones are
# forgotten first, and listed ones never.
SEEN_MAX: Final = 16_384


class SeenRuns:
    """The last seen run of each target, with a bound on those of withdrawn targets."""

    def __init__(self) -> None:
        self._runs: dict[TargetId, TargetRun] = {}
        self._withdrawn: dict[TargetId, None] = {}

    def record(self, run: TargetRun) -> bool:
        """Records a run that is registered; returns whether it is new."""
        is_new = self._runs.get(run.target) != run
        self._runs[run.target] = run
        self._withdrawn.pop(run.target, None)
        return is_new

    def is_outdated(self, run: TargetRun) -> bool:
        """Returns whether a run was seen, or a later one of its target."""
        seen = self._runs.get(run.target)
        if seen is None:
            return False
        return run == seen or (run.is_dated and run.started_at_ms < seen.started_at_ms)

    def record_withdrawn(self, target: TargetId) -> None:
        """Records that a target's entry was removed, which may be a lapse."""
        if target in self._runs:
            self._withdrawn.setdefault(target)

    def record_listed(self, records: Iterable[TargetRecord]) -> None:
        """Records that all other targets were withdrawn."""
        listed = {record.target for record in records}
        for target in self._runs.keys() - listed:
            self._withdrawn.setdefault(target)
        self.forget_surplus()

    def forget_surplus(self) -> None:
        """Forgets withdrawn targets, the oldest first, while there are too many."""
        while self._withdrawn and len(self._runs) > SEEN_MAX:
            target = next(iter(self._withdrawn))
            del self._withdrawn[target], self._runs[target]
