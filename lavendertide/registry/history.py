"""Log of the registry's latest changes, for the hosts that read from this one."""

from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Final

from lavendertide.ids import StoreRevision, TargetId
from lavendertide.registry.record import TargetRecord
from lavendertide.restoration.position import UNNAMED_ERA, Position

# Changes that are kept; a follower that is further behind has to read everything.
CHANGES_MAX: Final = 4_096
# Position of a host before its first read.
NOTHING_READ: Final = Position(UNNAMED_ERA, StoreRevision(0))


@dataclass(frozen=True, slots=True)
class RegistryChanges:
    """The changes since a position, one for each target.

    Attributes:
        records: New or changed targets.
        withdrawn: Targets that are no longer registered.
        position: Place up to which the changes go.
    """

    records: tuple[TargetRecord, ...]
    withdrawn: tuple[TargetId, ...]
    position: Position


class NoChanges(Enum):
    """Why a follower can't be given the changes since its position."""

    # The oldest of them were discarded.
    DISCARDED = "discarded"
    # The follower has read before the store was restored.
    FOLLOWER_OUTDATED = "follower_outdated"
    # This host has read before the store was restored.
    SOURCE_OUTDATED = "source_outdated"


@dataclass(frozen=True, slots=True)
class _Change:
    """A target's new record, or its withdrawal if there is no record."""

    position: Position
    target: TargetId
    record: TargetRecord | None


class RegistryHistory:
    """A bounded log of changes with the position at which each was read."""

    def __init__(self) -> None:
        self._changes: deque[_Change] = deque()
        self._complete_after = NOTHING_READ
        self._position = NOTHING_READ

    @property
    def position(self) -> Position:
        """Place up to which this host has read; zero before its first read."""
        return self._position

    def reset(self, position: Position) -> None:
        """Clears the log after everything was read again."""
        self._changes.clear()
        self._complete_after = self._position = position

    def append(
        self, changes: list[tuple[TargetId, TargetRecord | None]], position: Position
    ) -> None:
        """Appends the changes of one read and discards the oldest beyond the bound.

        Args:
            changes: In order; a target without a record was withdrawn.
            position: Place up to which the read went.
        """
        self._position = position
        for target, record in changes:
            self._changes.append(_Change(position, target, record))
        while len(self._changes) > CHANGES_MAX:
            self._complete_after = self._changes.popleft().position

    def changes_since(self, position: Position) -> RegistryChanges | NoChanges:
        """Returns the last change of each target since a position.

        Positions of two eras have no changes between them.
        """
        if position.era < self._position.era:
            return NoChanges.FOLLOWER_OUTDATED
        if position.era > self._position.era:
            return NoChanges.SOURCE_OUTDATED
        if position < self._complete_after:
            return NoChanges.DISCARDED
        latest: dict[TargetId, TargetRecord | None] = {}
        for change in self._changes:
            if change.position > position:
                latest[change.target] = change.record
        return RegistryChanges(
            tuple(record for record in latest.values() if record is not None),
            tuple(target for target, record in latest.items() if record is None),
            max(position, self._position),
        )
