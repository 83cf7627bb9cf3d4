"""History of changed entries, from which deltas for peers are built."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from lavendertide.configuration.revision import Revision
from lavendertide.ids import EntryKey
from lavendertide.messages import ConfigurationDelta, ConfigurationStamp, EntryText

STEPS_MAX: Final = 16


@dataclass(frozen=True, slots=True)
class _Step:
    previous: ConfigurationStamp
    changed: frozenset[EntryKey]


class History:
    """Keys of the entries that changed with each of the last `STEPS_MAX` adoptions."""

    def __init__(self) -> None:
        self._steps: deque[_Step] = deque(maxlen=STEPS_MAX)

    def record(self, previous: Revision, current: Revision) -> None:
        """Records that one revision has replaced another."""
        self._steps.append(_Step(previous.stamp, current.changes_since(previous)))

    def delta_since(
        self, base: ConfigurationStamp, current: Revision
    ) -> ConfigurationDelta | None:
        """Returns the changes since a stamp, none if it is older than the history."""
        keys: set[EntryKey] = set()
        for step in reversed(self._steps):
            keys |= step.changed
            if step.previous == base:
                return _delta(base, current, keys)
        return None


def _delta(
    base: ConfigurationStamp, current: Revision, keys: set[EntryKey]
) -> ConfigurationDelta:
    present = [current.entries[key] for key in keys if key in current.entries]
    return ConfigurationDelta(
        base=base,
        stamp=current.stamp,
        removed=tuple(sorted(keys - current.entries.keys())),
        changed=tuple(
            EntryText(entry.kind, entry.text)
            for entry in sorted(present, key=lambda entry: entry.key)
        ),
    )
