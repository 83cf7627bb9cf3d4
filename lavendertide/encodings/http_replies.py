"""Reads one HTTP/1.1 response, framed by `httptools`.

A search reads a response for each of its shards, so this is the costliest parsing of
the process; the parser in C takes a twentieth of the time of one in Python. It does not
tell when a response without a length is complete, so that is decided here.
"""

from collections.abc import Callable
from typing import Final

import httptools

from lavendertide.encodings.http_messages import Header

# Responses larger than this are not read to their end; a gathered part has some 100
# bytes, a single answer some 10 kB.
BODY_MAX_BYTES: Final = 8_388_608
HEADERS_MAX: Final = 128
NO_BODY_STATUSES: Final = frozenset({204, 304})


# Whether a response with these headers answers the request that was sent.
IsOwn = Callable[[tuple[Header, ...]], bool]


def any_is_own(headers: tuple[Header, ...]) -> bool:
    """Takes whatever comes for the answer."""
    return True


class MalformedReply(Exception):
    """What came is no response; use another connection and look at the server."""


class ReplyReader:
    """Takes in the bytes of one response.

    Args:
        method: The method of the request; a response to `HEAD` has no body.
        is_own: Tells by the headers whether a response answers the request. Others are
            left aside: a server may send an earlier answer once more.
    """

    def __init__(self, method: str, is_own: IsOwn = any_is_own) -> None:
        self._is_head = method == "HEAD"
        self._is_own = is_own
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._chunks: list[bytes] = []
        self._size = 0
        self._status = 0
        self._is_until_close = False
        self._is_complete = False
        self._is_kept = False
        self._has_more = False

    @property
    def is_complete(self) -> bool:
        """Whether the whole response has come."""
        return self._is_complete

    @property
    def is_reusable(self) -> bool:
        """Whether another request may follow on the connection."""
        return self._is_kept and not self._has_more

    @property
    def status(self) -> int:
        """The status of the response."""
        return self._status

    @property
    def headers(self) -> tuple[Header, ...]:
        """All headers, names in lower case."""
        return tuple(self._headers)

    @property
    def body(self) -> bytes:
        """The body."""
        return b"".join(self._chunks)

    def feed(self, data: bytes) -> None:
        """Takes in bytes; none stand for the end of the connection.

        Raises:
            MalformedReply: It is no response, or it ends too early.
        """
        if not data:
            self._end()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # What follows a complete response belongs to no request.
            if not self._is_complete:
                raise MalformedReply(str(error)) from error
            self._has_more = True
        if self._size > BODY_MAX_BYTES or len(self._headers) > HEADERS_MAX:
            raise MalformedReply("larger than any proper response")

    def on_message_begin(self) -> None:
        """Called by the parser at the first byte of a response."""
        if self._is_complete:
            self._has_more = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser with each header."""
        if not self._is_complete:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Called by the parser after the last header."""
        if self._is_complete:
            return
        self._status = self._parser.get_status_code()
        names = {name for name, _ in self._headers}
        has_body = self._status >= 200 and self._status not in NO_BODY_STATUSES
        is_framed = b"content-length" in names or b"transfer-encoding" in names
        self._is_until_close = has_body and not is_framed and not self._is_head
        if self._is_head and self._status >= 200:
            self._is_complete = True

    def on_body(self, data: bytes) -> None:
        """Called by the parser with each piece of the body."""
        if not self._is_complete:
            self._chunks.append(data)
            self._size += len(data)

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a response whose length is known."""
        if self._is_complete:
            return
        if self._status < 200 or not self._is_own(self.headers):
            self._headers.clear()
            self._chunks.clear()
            self._size = 0
            return
        self._is_complete = True
        # The parser knows it only here.
        self._is_kept = self._parser.should_keep_alive()

    def _end(self) -> None:
        if self._is_until_close:
            self._is_complete = True
        if not self._is_complete:
            raise MalformedReply("the connection ended before the response")
