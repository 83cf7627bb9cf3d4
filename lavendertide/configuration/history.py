"""Which entries have changed lately, so that a peer can be sent only those."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from lavendertide.configuration.revision import Revision
from lavendertide.ids import EntryKey
from lavendertide.messages import ConfigurationDelta, ConfigurationStamp, EntryText

STEPS_KEPT: Final = 16


@dataclass(frozen=True, slots=True)
class _Step:
    before: ConfigurationStamp
    changed: frozenset[EntryKey]


class History:
    """The keys that changed with each of the last adoptions."""

    def __init__(self) -> None:
        self._steps: deque[_Step] = deque(maxlen=STEPS_KEPT)

    def record(self, before: Revision, after: Revision) -> None:
        """Notes that one revision has replaced another."""
        self._steps.append(_Step(before.stamp, after.changes_since(before)))

    def delta(
        self, base: ConfigurationStamp, current: Revision
    ) -> ConfigurationDelta | None:
        """Returns what has changed since a stamp, none if that is no longer known."""
        keys: set[EntryKey] = set()
        for step in reversed(self._steps):
            keys |= step.changed
            if step.before == base:
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
