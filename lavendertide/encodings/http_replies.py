"""Reads one HTTP/1.1 response, parsed by `httptools`.

A search reads a response for each of its shards, so this is the most expensive parsing
in the process; the parser in C takes a twentieth of the time of one in Python. It does
not report when a response without a length is complete, so this module decides that.
"""

from collections.abc import Callable
from typing import Final

import httptools

from lavendertide.encodings.http_messages import Header
from lavendertide.overload.response_memory import (
    LONGEST_RESPONSE_BYTES,
    HeldResponse,
    ResponseMemory,
)
from lavendertide.runtime import clock

# Larger responses are not read to their end. One shard's part of a gathered response
# has about 100 bytes, a single response about 10 kB.
BODY_MAX_BYTES: Final = LONGEST_RESPONSE_BYTES
HEADERS_MAX: Final = 128
# Bytes of a response beside its body: status line, headers, the lengths of chunks,
# trailers and interim responses. A server that has lost its way may send them without
# end.
OVERHEAD_MAX_BYTES: Final = 65_536
# Further such bytes for each byte of the body, which may come in chunks of one byte.
CHUNK_OVERHEAD_BYTES: Final = 6
NO_BODY_STATUSES: Final = frozenset({204, 304})
CHUNKED: Final = b"chunked"
# Others are invalid (RFC 9110, section 15), though the parser accepts any three digits.
VALID_STATUSES: Final = range(100, 600)
VALID_VERSIONS: Final = frozenset({"1.0", "1.1"})
# Interim responses whose length headers the parser ignores, as HTTP demands. After
# others it reads a body, which would take bytes of the response that follows.
UNFRAMED_INTERIM_STATUSES: Final = frozenset({100, 102, 103})


# Returns whether a response with these headers belongs to the request that was sent.
ReplyMatcher = Callable[[tuple[Header, ...]], bool]


def match_any_reply(headers: tuple[Header, ...]) -> bool:
    """Accepts any response as the one to the request."""
    return True


class MalformedReply(Exception):
    """The data is not a valid response; the connection cannot be used any more."""


class OversizedReply(MalformedReply):
    """The response has more bytes than are read of one."""


# Used where no other account is given.
PROCESS_MEMORY: Final = ResponseMemory()


class ReplyReader:
    """Parses one response incrementally.

    Args:
        method: The method of the request; a response to `HEAD` has no body.
        is_matching: Decides by the headers whether a response belongs to the request.
            Other responses are skipped, since a server may repeat an earlier one.
        memory: The account of all responses that the process holds.
    """

    def __init__(
        self,
        method: str,
        is_matching: ReplyMatcher = match_any_reply,
        memory: ResponseMemory = PROCESS_MEMORY,
    ) -> None:
        self._is_head_request = method == "HEAD"
        self._is_matching = is_matching
        self._parser: httptools.HttpResponseParser | None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._held: HeldResponse | None = memory.open()
        self._keeps_account = memory.is_bounding_writes
        self._body = bytearray()
        self._overhead = 0
        self._status = 0
        self._ends_at_close = False
        self._awaits_status_line = True
        self._is_complete = False
        self._is_kept_alive = False
        self._has_extra_data = False

    @property
    def is_complete(self) -> bool:
        """Whether the response has been received completely."""
        return self._is_complete

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return self._is_kept_alive and not self._has_extra_data

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return self._status

    @property
    def headers(self) -> tuple[Header, ...]:
        """All headers, with names in lower case."""
        return tuple(self._headers)

    @property
    def body(self) -> bytes:
        """The part of the body that has been received."""
        return bytes(self._body)

    def hand_over(self) -> HeldResponse | None:
        """Returns the account of a complete response, which goes with its body.

        Returns none where only responses that are being read count.
        """
        if not self._keeps_account:
            return None
        held, self._held = self._held, None
        return held

    def close(self) -> None:
        """Releases the parser and the body, after which nothing more can be parsed.

        The parser refers to this object. Without this call both, and the bytes of the
        response, stay in memory until the next full garbage collection.
        """
        self._parser = None
        self._body = bytearray()
        if self._held is not None:
            self._held.release()
            self._held = None

    def feed(self, data: bytes) -> None:
        """Parses received bytes; empty `data` means that the connection has ended.

        Raises:
            MalformedReply: The data is not a response, or ends before it is complete,
                or the response is too large.
        """
        if not data or self._parser is None:
            self._handle_close()
            return
        if self._awaits_status_line:
            _check_protocol(data)
        size_before = len(self._body)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # Data after a complete response belongs to no request.
            if not self._is_complete:
                raise MalformedReply(str(error)) from error
            self._has_extra_data = True
        size = len(self._body)
        is_within_memory = self._hold_body()
        self._overhead += len(data) - (size - size_before)
        overhead_max = OVERHEAD_MAX_BYTES + CHUNK_OVERHEAD_BYTES * size
        is_too_large = (
            not is_within_memory
            or size > BODY_MAX_BYTES
            or len(self._headers) > HEADERS_MAX
        )
        if not self._is_complete and (is_too_large or self._overhead > overhead_max):
            raise OversizedReply("response is too large")

    def on_message_begin(self) -> None:
        """Called by the parser at the first byte of a response."""
        self._awaits_status_line = False
        if self._is_complete:
            self._has_extra_data = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser with each header."""
        if not self._is_complete:
            # The parser keeps white space at the end, which isn't part of the value.
            self._headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Called by the parser after the last header.

        Raises:
            MalformedReply: The head is not valid in HTTP/1. The parser stops and
                raises an error of its own.
        """
        if self._is_complete or self._parser is None:
            return
        self._status = self._parser.get_status_code()
        if self._status not in VALID_STATUSES:
            raise MalformedReply(f"invalid status {self._status}")
        version = self._parser.get_http_version()
        if version not in VALID_VERSIONS:
            raise MalformedReply(f"invalid version {version}")
        names = {name for name, _ in self._headers}
        has_body = self._status >= 200 and self._status not in NO_BODY_STATUSES
        is_framed = b"content-length" in names or b"transfer-encoding" in names
        is_interim = self._status < 200
        if is_framed and is_interim and self._status not in UNFRAMED_INTERIM_STATUSES:
            raise MalformedReply(f"interim response {self._status} with a body")
        if has_body and b"transfer-encoding" in names:
            self._check_coding()
        self._ends_at_close = has_body and not is_framed and not self._is_head_request
        if self._is_head_request and self._status >= 200:
            self._is_complete = True

    def on_body(self, data: bytes) -> None:
        """Called by the parser with each piece of the body."""
        if not self._is_complete:
            self._body += data

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a response whose length is known."""
        if self._is_complete or self._parser is None:
            return
        if self._status < 200 or not self._is_matching(self.headers):
            self._headers.clear()
            self._body.clear()
            self._awaits_status_line = True
            return
        self._is_complete = True
        # The parser can report this only now, at the end of the message.
        self._is_kept_alive = self._parser.should_keep_alive()

    def _check_coding(self) -> None:
        """Checks that the body has no coding but chunks, which no request asks for.

        Raises:
            MalformedReply: The parser would only undo the chunks.
        """
        for name, value in self._headers:
            if name == b"transfer-encoding" and value.lower() != CHUNKED:
                raise MalformedReply("unknown transfer coding")

    def _hold_body(self) -> bool:
        """Accounts for the body; returns whether there is memory for it."""
        if self._held is None:
            return True
        return self._held.try_resize(len(self._body), clock.monotonic_s())

    def _handle_close(self) -> None:
        if self._ends_at_close:
            self._is_complete = True
        if not self._is_complete:
            raise MalformedReply("connection closed before the response was complete")


def _check_protocol(data: bytes) -> None:
    """Checks that a response begins like one of HTTP; it may follow empty lines.

    The parser also accepts responses of RTSP and ICE.

    Raises:
        MalformedReply: It begins otherwise.
    """
    if data.lstrip(b"\r\n")[:1] not in (b"", b"H"):
        raise MalformedReply("not a response of HTTP")
