"""The latest changes of the registry, for hosts that follow this one."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from lavendertide.ids import TargetId
from lavendertide.registry.record import TargetRecord

# Changes that are kept; a follower that is further behind is sent everything.
CHANGES_MAX: Final = 4_096


@dataclass(frozen=True, slots=True)
class RegistryChanges:
    """What has changed since a revision.

    Attributes:
        revision: From where to read on.
    """

    records: tuple[TargetRecord, ...]
    withdrawn: tuple[TargetId, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class _Change:
    revision: int
    target: TargetId
    record: TargetRecord | None


class RegistryHistory:
    """Remembers changes by the revision up to which they were read."""

    def __init__(self) -> None:
        self._changes: deque[_Change] = deque()
        self._complete_after = 0
        self._revision = 0

    @property
    def revision(self) -> int:
        """Up to where this host has read; zero before its first read."""
        return self._revision

    def reset(self, revision: int) -> None:
        """Forgets all changes, since everything was read anew."""
        self._changes.clear()
        self._complete_after = self._revision = revision

    def append(
        self, changes: list[tuple[TargetId, TargetRecord | None]], revision: int
    ) -> None:
        """Takes in changes in their order, up to a revision; none is a withdrawal."""
        self._revision = revision
        for target, record in changes:
            self._changes.append(_Change(revision, target, record))
        while len(self._changes) > CHANGES_MAX:
            self._complete_after = self._changes.popleft().revision

    def changes_since(self, revision: int) -> RegistryChanges | None:
        """Returns the last change of each target; none if they do not reach so far."""
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
