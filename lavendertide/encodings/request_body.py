"""A caller's request while it is read, within the bounds of its body and of memory."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final

import h11

from lavendertide.overload.response_memory import HeldResponse
from lavendertide.overload.short_chunks import ShortChunkBodies, is_free
from lavendertide.routes.route import CallerLimits
from lavendertide.runtime import clock, tasks

# Chunks after which other tasks may run, 4 ms apart.
CHUNKS_AT_A_TIME: Final = 256
# How often a head is held while its request waits: as read, and as it is forwarded.
HEAD_COPIES: Final = 2

# Returns the limits in force, which may change while a connection is waited for.
FindLimits = Callable[[], CallerLimits]


class RequestBody:
    """The body of a request while it is read, within its bounds.

    Args:
        find_limits: Returns the limits in force.
        held: Its account, if there is one.
        short_chunks: The bodies in very many chunks that the process reads.
    """

    def __init__(
        self,
        find_limits: FindLimits,
        held: HeldResponse | None,
        short_chunks: ShortChunkBodies | None,
    ) -> None:
        self._find_limits = find_limits
        self._arrival_bytes_max = find_limits().body_max_bytes
        self._held = held
        self._short_chunks = short_chunks
        self._is_in_short_chunks = False
        # Pieces kept apart would take many times their length if they are short.
        self._data = bytearray()
        self._head_bytes = 0
        self._chunks = 0

    @property
    def size(self) -> int:
        """Bytes that have been received."""
        return len(self._data)

    @property
    def held(self) -> HeldResponse | None:
        """Its account, if there is one."""
        return self._held

    @property
    def data(self) -> bytes:
        """What has been received."""
        return bytes(self._data)

    def add_head(self, head: h11.Request) -> HTTPStatus | None:
        """Counts the head; returns the status of the refusal if it can't be held."""
        headers = sum(len(name) + len(value) for name, value in head.headers)
        self._head_bytes = HEAD_COPIES * (len(head.target) + headers)
        return None if self._has_room() else HTTPStatus.SERVICE_UNAVAILABLE

    def add(self, event: h11.Data) -> HTTPStatus | None:
        """Adds a piece; returns the status of the refusal if it can't be held."""
        self._data += event.data
        if self.size > self._bytes_max:
            return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        if not self._has_room():
            return HTTPStatus.SERVICE_UNAVAILABLE
        if event.chunk_start:
            self._chunks += 1
            if not self._may_have_chunks():
                return HTTPStatus.SERVICE_UNAVAILABLE
            if self._chunks % CHUNKS_AT_A_TIME == 0:
                tasks.sleep(0.0)
        return None

    @property
    def _bytes_max(self) -> int:
        # A caller may rely on either limit until it knows of the change.
        return max(self._arrival_bytes_max, self._find_limits().body_max_bytes)

    def close(self) -> None:
        """Ends the reading of the body."""
        if self._is_in_short_chunks and self._short_chunks is not None:
            self._is_in_short_chunks = False
            self._short_chunks.end()

    def _has_room(self) -> bool:
        if self._held is None:
            return True
        size = self._head_bytes + self.size
        return self._held.try_resize(size, clock.monotonic_s())

    def _may_have_chunks(self) -> bool:
        if self._is_in_short_chunks or is_free(self._chunks, self.size):
            return True
        if self._short_chunks is None or not self._short_chunks.try_begin():
            return False
        self._is_in_short_chunks = True
        return True
