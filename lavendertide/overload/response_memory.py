"""Bounds the bytes of responses that a process holds for all of its callers.

It handles many callers that request long responses and read them slowly or not at all.
A response counts from its first byte that is read to the last byte that the caller's
system has accepted. Where one more byte would exceed the bound, callers that are being
written to are closed, the one that holds most for longest first. Responses that are
still being read aren't closed here: what grows beyond the bound ends instead.

The decision is local to a host; hosts need not agree.
"""

from collections.abc import Callable
from enum import Enum
from typing import Final

# Bytes that all responses may hold together if the host's memory isn't known.
DEFAULT_MAX_BYTES: Final = 67_108_864
# The longest response that is read from a target.
LONGEST_RESPONSE_BYTES: Final = 8_388_608
# Fraction of a host's memory that responses may hold. The smallest host has 160 MB, of
# which the process needs 55 MB and the growth of its heap as much again.
MEMORY_SHARE: Final = 0.3
# Bytes that each response may hold beyond the bound while it is read, so that large
# ones don't displace the usual ones.
SHARE_BYTES: Final = 262_144
# All that is held with these shares, as a multiple of the bound.
SHARES_FACTOR: Final = 2


def bytes_max_of(memory_bytes: int) -> int:
    """Returns the bound for a host's memory, in bytes.

    One response of the greatest length fits into it on any host.
    """
    return max(2 * LONGEST_RESPONSE_BYTES, int(MEMORY_SHARE * memory_bytes))


def response_memory(memory_bytes: int | None) -> "ResponseMemory":
    """Returns the account for a host's memory, in bytes; none if it isn't known."""
    if memory_bytes is None:
        return ResponseMemory()
    return ResponseMemory(bytes_max_of(memory_bytes), is_bounding_writes=True)


class Phase(Enum):
    """What a response that is held is waiting for."""

    READING = "reading"
    WRITING = "writing"
    EVICTED = "evicted"
    RELEASED = "released"


class HeldResponse:
    """The account of one response; obtained from `ResponseMemory.open`."""

    __slots__ = ("_close", "_memory", "_phase", "_since_s", "_size")

    def __init__(self, memory: "ResponseMemory") -> None:
        self._memory = memory
        self._phase = Phase.READING
        self._size = 0
        self._since_s = 0.0
        self._close: Callable[[], None] | None = None

    def __del__(self) -> None:
        # A response may be dropped anywhere between its target and its caller.
        self.release()

    @property
    def size(self) -> int:
        """Bytes that the response holds."""
        return self._size

    @property
    def is_evicted(self) -> bool:
        """Whether the response was given up, since memory was needed."""
        return self._phase is Phase.EVICTED

    def try_resize(self, size: int, now_s: float) -> bool:
        """Counts the bytes that the response holds now.

        Args:
            size: All bytes of the response, in bytes.
            now_s: Present time, monotonic.

        Returns:
            Whether the response may go on; if not, it has to be released.
        """
        growth = size - self._size
        self._size = size
        return self._memory._change(self, growth, now_s)

    def start_writing(self, size: int, close: Callable[[], None], now_s: float) -> None:
        """Counts a response that is complete and about to be written.

        It is written also if it alone exceeds the bound, so that a single response
        always is while nothing else is held.

        Args:
            size: Bytes that are held until the caller has accepted all of them,
                including those in the system's buffers.
            close: Called at most once, to close the caller's connection if the memory
                is needed. It must not wait.
            now_s: Present time, monotonic.
        """
        if not self._memory.is_bounding_writes:
            self.release()
            return
        self._phase = Phase.WRITING
        self._since_s = now_s
        self._close = close
        self.try_resize(size, now_s)
        self._memory._add_writing(self)

    def release(self) -> None:
        """Counts the response no more; may be called repeatedly."""
        if self._phase is Phase.RELEASED:
            return
        was_evicted = self._phase is Phase.EVICTED
        self._phase = Phase.RELEASED
        self._close = None
        self._memory._remove(self, was_evicted)
        self._size = 0

    def _weight(self, now_s: float) -> float:
        """Bytes times the seconds for which the caller has had them to accept."""
        return self._size * (now_s - self._since_s)

    def _evict(self) -> None:
        close, self._close = self._close, None
        self._phase = Phase.EVICTED
        if close is not None:
            close()


class ResponseMemory:
    """Account of the bytes of all responses that a process holds.

    Args:
        bytes_max: Bytes that they may hold together.
        is_bounding_writes: Whether responses that callers have yet to accept count too.
            If not, only those that are being read do, as in releases without a setting
            for the host's memory.
    """

    def __init__(
        self, bytes_max: int = DEFAULT_MAX_BYTES, is_bounding_writes: bool = False
    ) -> None:
        self._bytes_max = bytes_max
        self._is_bounding_writes = is_bounding_writes
        self._held = 0
        # Bytes of evicted responses whose tasks have not released them yet.
        self._leaving = 0
        self._writing: dict[HeldResponse, None] = {}
        self._evicted = 0
        self._refused = 0

    @property
    def is_bounding_writes(self) -> bool:
        """Whether responses count until their callers have accepted them."""
        return self._is_bounding_writes

    @property
    def bytes_max(self) -> int:
        """Bytes that all responses may hold together."""
        return self._bytes_max

    @property
    def held(self) -> int:
        """Bytes that are held at present."""
        return self._held

    @property
    def writing(self) -> int:
        """Number of responses that callers have yet to accept."""
        return len(self._writing)

    @property
    def evicted(self) -> int:
        """Number of responses that were closed while they were written."""
        return self._evicted

    @property
    def refused(self) -> int:
        """Number of responses that were ended while they were read."""
        return self._refused

    def open(self) -> HeldResponse:
        """Returns the account of a response that is about to be read or written."""
        return HeldResponse(self)

    def _change(self, changed: HeldResponse, growth: int, now_s: float) -> bool:
        self._held += growth
        if growth <= 0 or self._held - self._leaving <= self._bytes_max:
            return True
        if self._is_bounding_writes:
            self._evict_until_within(now_s)
        held = self._held - self._leaving
        if held <= self._bytes_max or changed._phase is not Phase.READING:
            return True
        is_within_shares = (
            not self._is_bounding_writes or held <= SHARES_FACTOR * self._bytes_max
        )
        if changed._size <= SHARE_BYTES and is_within_shares:
            return True
        self._refused += 1
        return False

    def _add_writing(self, response: HeldResponse) -> None:
        self._writing[response] = None

    def _remove(self, response: HeldResponse, was_evicted: bool) -> None:
        self._writing.pop(response, None)
        self._held -= response._size
        if was_evicted:
            self._leaving -= response._size

    def _evict_until_within(self, now_s: float) -> None:
        while self._writing and self._held - self._leaving > self._bytes_max:
            heaviest = max(self._writing, key=lambda each: each._weight(now_s))
            del self._writing[heaviest]
            self._leaving += heaviest._size
            self._evicted += 1
            heaviest._evict()
