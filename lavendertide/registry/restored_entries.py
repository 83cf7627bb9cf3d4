"""Entries of a restored store that are older than what a host knows of the target.

Load pattern: none; a copy that is some seconds old lists targets that have left since,
or that have begun to drain.

What a target has written since the copy was made is written again soon. Until then a
host keeps to what it knew, and after that it goes by the store. Hosts that have known
different things differ for that long; one that has just started knows the copy alone.
"""

import logging
import math
from collections.abc import Iterable, Mapping
from typing import Final

from lavendertide.ids import TargetId
from lavendertide.registry.record import TargetRecord, TargetRun, TargetState
from lavendertide.restoration.restorations import REWRITE_S

# Runs that are remembered as ended; the oldest are forgotten first. A copy is seconds
# old, so this only has to cover the runs that end meanwhile.
ENDED_MAX: Final = 4_096
# Targets that one log line names; the others are only counted.
LOGGED_NAMES_MAX: Final = 8

_log = logging.getLogger(__name__)


class RestoredEntries:
    """The entries of a restored store that are not believed yet."""

    def __init__(self) -> None:
        self._ended: dict[TargetRun, None] = {}
        self._outdated: dict[TargetId, TargetRecord] = {}
        self._until_s = -math.inf

    @property
    def outdated(self) -> Mapping[TargetId, TargetRecord]:
        """The entries that are listed but not believed."""
        return self._outdated

    def record_restoration(self, now_s: float) -> None:
        """Records that the store was restored, before its first list is read."""
        self._until_s = now_s + REWRITE_S

    def record_ended(self, run: TargetRun) -> None:
        """Records that a run is no longer registered."""
        self._outdated.pop(run.target, None)
        self._ended.pop(run, None)
        self._ended[run] = None
        if len(self._ended) > ENDED_MAX:
            del self._ended[next(iter(self._ended))]

    def record_written(self, run: TargetRun) -> None:
        """Records that the entry of a run was written in the present era."""
        self._outdated.pop(run.target, None)
        self._ended.pop(run, None)

    def record_removed(self, target: TargetId) -> None:
        """Records that the entry of a target was removed in the present era."""
        self._outdated.pop(target, None)

    def select_believed(
        self,
        listed: Iterable[TargetRecord],
        known: Mapping[TargetId, TargetRecord],
        now_s: float,
    ) -> tuple[TargetRecord, ...]:
        """Returns the entries of a complete list that are not older than known ones.

        The others are kept apart until they are written again or `expire` returns them.
        """
        self._outdated.clear()
        if now_s >= self._until_s:
            return tuple(listed)
        believed: list[TargetRecord] = []
        for record in listed:
            if self._is_outdated(record, known.get(record.target)):
                self._outdated[record.target] = record
            else:
                believed.append(record)
        if self._outdated:
            _log.warning(
                "entries of the restored store are older than known ones",
                extra={
                    "count": len(self._outdated),
                    "targets": list(self._outdated)[:LOGGED_NAMES_MAX],
                },
            )
        return tuple(believed)

    def expire(self, now_s: float) -> tuple[TargetRecord, ...]:
        """Returns the entries that are believed from now on, as nothing replaced them.

        Each is returned once.
        """
        if not self._outdated or now_s < self._until_s:
            return ()
        expired = tuple(self._outdated.values())
        self._outdated.clear()
        return expired

    def _is_outdated(self, listed: TargetRecord, known: TargetRecord | None) -> bool:
        if listed.run in self._ended:
            return True
        if known is None:
            return False
        if listed.is_same_start(known):
            # A run that drains never accepts requests again.
            return (known.state, listed.state) == (
                TargetState.DRAINING,
                TargetState.READY,
            )
        return listed.run.is_dated and listed.started_at_ms < known.started_at_ms
