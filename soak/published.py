"""What the operator and the targets have written, and the store that may lose it."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from soak.faults import StoreRestored
from soak.operator import Period
from standins.platform_store import PlatformStore

# Pause before a write that the store didn't accept is tried again.
RETRY_S: Final = 0.05
# Longest wait for the first write after a return.
CHANGE_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class _Write:
    """The last write of a key; a removal has no document."""

    document: Any
    began_at_s: float


class PublishedEntries:
    """Writes to the store, and writes again what it loses.

    Args:
        store: The store.
    """

    def __init__(self, store: PlatformStore) -> None:
        self._store = store
        self._lock = threading.Lock()
        self._restoring = threading.Lock()
        self._last: dict[str, _Write] = {}

    def write(self, key: str, document: Any) -> float:
        """Writes an item, again and again while the store is away.

        Returns:
            When the store had accepted it, monotonic.
        """
        return self._record(key, document)

    def remove(self, key: str) -> float:
        """Removes an item; returns when the store had accepted it, monotonic."""
        return self._record(key, None)

    def restore(self, fault: StoreRestored, change: Callable[[], None]) -> Period:
        """Has the store return from a copy, and has all that was lost written again.

        Restorations that are planned at the same time follow each other.

        Args:
            fault: How the store is restored.
            change: Makes the first write after the return.

        Returns:
            The period from the absence until all was written again.
        """
        with self._restoring:
            generator = random.Random(fault.rewritten_after_s)
            copy, copied_at_s = self._store.copy(), time.monotonic()
            for key in generator.choices(list(self._last), k=fault.lost_writes):
                self._write_last(key)
            time.sleep(fault.copy_age_s)
            away_at_s = time.monotonic()
            self._store.go_away(fault.absence)
            time.sleep(fault.away_s)
            self._store.come_back(copy)
            change()
            self._wait_for_write_after(copy.revision)
            time.sleep(fault.rewritten_after_s)
            lost = [
                key
                for key, write in self._last.items()
                if write.began_at_s >= copied_at_s
            ]
            # Operator and targets don't write in the order of the lost revisions.
            generator.shuffle(lost)
            for key in lost:
                self._write_last(key)
            return Period(away_at_s, time.monotonic())

    def _wait_for_write_after(self, revision: int) -> None:
        ends_at_s = time.monotonic() + CHANGE_S
        while self._store.revision == revision and time.monotonic() < ends_at_s:
            time.sleep(RETRY_S / 10)

    def _record(self, key: str, document: Any) -> float:
        with self._lock:
            self._last = self._last | {key: _Write(document, time.monotonic())}
        return self._write_last(key)

    def _write_last(self, key: str) -> float:
        while True:
            with self._lock:
                document = self._last[key].document
                try:
                    if document is None:
                        self._store.remove(key)
                    else:
                        self._store.put(key, document)
                    return time.monotonic()
                except ConnectionError:
                    pass
            time.sleep(RETRY_S)
