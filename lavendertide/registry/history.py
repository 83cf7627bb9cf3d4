"""Log of the registry's latest changes, for the hosts that read from this one."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from lavendertide.ids import TargetId
from lavendertide.registry.record import TargetRecord

# Changes that are kept; a follower that is further behind has to read everything.
CHANGES_MAX: Final = 4_096


@dataclass(frozen=True, slots=True)
class RegistryChanges:
    """The changes since a revision, one for each target.

    Attributes:
        records: New or changed targets.
        withdrawn: Targets that are no longer registered.
        revision: Revision up to which the changes go.
    """

    records: tuple[TargetRecord, ...]
    withdrawn: tuple[TargetId, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class _Change:
    """A target's new record, or its withdrawal if there is no record."""

    revision: int
    target: TargetId
    record: TargetRecord | None


class RegistryHistory:
    """A bounded log of changes with the revision at which each was read."""

    def __init__(self) -> None:
        self._changes: deque[_Change] = deque()
        self._complete_after = 0
        self._revision = 0

    @property
    def revision(self) -> int:
        """Revision up to which this host has read; zero before its first read."""
        return self._revision

    def reset(self, revision: int) -> None:
        """Clears the log after everything was read again."""
        self._changes.clear()
        self._complete_after = self._revision = revision

    def append(
        self, changes: list[tuple[TargetId, TargetRecord | None]], revision: int
    ) -> None:
        """Appends the changes of one read and discards the oldest beyond the bound.

        Args:
            changes: In order; a target without a record was withdrawn.
            revision: Revision up to which the read went.
        """
        self._revision = revision
        for target, record in changes:
            self._changes.append(_Change(revision, target, record))
        while len(self._changes) > CHANGES_MAX:
            self._complete_after = self._changes.popleft().revision

    def changes_since(self, revision: int) -> RegistryChanges | None:
        """Returns the last change of each target since a revision.

        Returns none if the log no longer contains all changes since then.
        """
        if revision < self._complete_after:
            return None
        latest: dict[TargetId, TargetRecord | None] = {}
        for change in self._changes:
            if change.revision > revision:
                latest[change.target] = change.record
        return RegistryChanges(
            tuple(record for record in latest.values() if record is not None),
            tuple(target for target, record in latest.items() if record is None),
            max(revision, self._revision),
        )
