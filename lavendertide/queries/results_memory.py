"""Bounds the memory for results that queries hold until they respond.

A shard whose result does not fit becomes a gap with its own reason, so the response
stays correct. A process that is full refuses new queries before they run.
"""

from typing import Final

from lavendertide.messages import Answered

ROW_OVERHEAD_BYTES: Final = 160


class ResultsMemory:
    """Account of the result bytes that all queries of this process hold."""

    def __init__(self, process_max_bytes: int, query_max_bytes: int) -> None:
        self._process_max_bytes = process_max_bytes
        self._query_max_bytes = query_max_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Number of bytes held by all queries."""
        return self._held_bytes

    @property
    def is_full(self) -> bool:
        """Whether one more query's maximum would exceed the process limit."""
        return self._held_bytes + self._query_max_bytes > self._process_max_bytes

    def open(self) -> "QueryMemory":
        """Returns an empty account for a new query."""
        return QueryMemory(self, self._query_max_bytes)

    def try_acquire(self, size_bytes: int) -> bool:
        """Acquires bytes for a query; returns False if the process limit is reached."""
        if self._held_bytes + size_bytes > self._process_max_bytes:
            return False
        self._held_bytes += size_bytes
        return True

    def release_bytes(self, size_bytes: int) -> None:
        """Releases bytes that a query acquired."""
        self._held_bytes -= size_bytes


class QueryMemory:
    """Account of the result bytes that one query holds."""

    def __init__(self, memory: ResultsMemory, max_bytes: int) -> None:
        self._memory = memory
        self._max_bytes = max_bytes
        self._held_bytes = 0

    def try_hold(self, answer: Answered) -> bool:
        """Acquires the bytes of a shard's result; returns False if they do not fit."""
        size_bytes = size_of(answer)
        if self._held_bytes + size_bytes > self._max_bytes:
            return False
        if not self._memory.try_acquire(size_bytes):
            return False
        self._held_bytes += size_bytes
        return True

    def release(self) -> None:
        """Releases all bytes of the query."""
        self._memory.release_bytes(self._held_bytes)
        self._held_bytes = 0


def size_of(answer: Answered) -> int:
    """Returns the approximate size of a shard's result in memory, in bytes."""
    texts = sum([len(row.key) + len(row.document) for row in answer.rows])
    return texts + ROW_OVERHEAD_BYTES * len(answer.rows)
