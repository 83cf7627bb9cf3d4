"""How many bytes of results queries hold until they are answered.

A shard whose result does not fit is a gap with its own reason, so the answer stays
true; a process that is full refuses new queries before they run.
"""

from typing import Final

from lavendertide.messages import Answered

ROW_OVERHEAD_BYTES: Final = 160


class ResultsMemory:
    """The bytes that all queries of this process hold."""

    def __init__(self, process_max_bytes: int, query_max_bytes: int) -> None:
        self._process_max_bytes = process_max_bytes
        self._query_max_bytes = query_max_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that are held now."""
        return self._held_bytes

    @property
    def is_full(self) -> bool:
        """Whether another query could hold a whole share."""
        return self._held_bytes + self._query_max_bytes > self._process_max_bytes

    def open(self) -> "QueryMemory":
        """Returns the account of a new query."""
        return QueryMemory(self, self._query_max_bytes)

    def take(self, size_bytes: int) -> bool:
        """Takes bytes out of the process's share; returns whether they were there."""
        if self._held_bytes + size_bytes > self._process_max_bytes:
            return False
        self._held_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Returns bytes to the process's share."""
        self._held_bytes -= size_bytes


class QueryMemory:
    """The bytes that one query holds."""

    def __init__(self, memory: ResultsMemory, max_bytes: int) -> None:
        self._memory = memory
        self._max_bytes = max_bytes
        self._held_bytes = 0

    def hold(self, answer: Answered) -> bool:
        """Counts a shard's result; returns whether there was room for it."""
        size_bytes = size_of(answer)
        if self._held_bytes + size_bytes > self._max_bytes:
            return False
        if not self._memory.take(size_bytes):
            return False
        self._held_bytes += size_bytes
        return True

    def release(self) -> None:
        """Gives everything back."""
        self._memory.release(self._held_bytes)
        self._held_bytes = 0


def size_of(answer: Answered) -> int:
    """Returns about how many bytes a shard's result takes in memory."""
    texts = sum([len(row.key) + len(row.document) for row in answer.rows])
    return texts + ROW_OVERHEAD_BYTES * len(answer.rows)
