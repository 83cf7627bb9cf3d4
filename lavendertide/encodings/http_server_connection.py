"""Server side of HTTP connections with callers, framed by `h11`.

Ready-made servers do not report that a caller has closed its connection while its
request is running, so this module reads requests itself. `h11` parses strictly, which
prevents request smuggling.
"""

import contextlib
import logging
import socket
from collections.abc import Callable
from enum import Enum
from http import HTTPStatus
from typing import Final

import h11

from lavendertide.encodings.http_messages import (
    READ_BYTES,
    BadRequest,
    HttpRequest,
    HttpResponse,
)
from lavendertide.encodings.request_body import FindLimits, RequestBody
from lavendertide.encodings.response_heads import render_response_head
from lavendertide.encodings.response_writing import WriteFailure, write_response
from lavendertide.overload.response_memory import ResponseMemory
from lavendertide.overload.short_chunks import ShortChunkBodies
from lavendertide.overload.write_limit import WriteLimit
from lavendertide.runtime import clock, sockets, transfers

# Time limit for the body of a request, extended like that of a response. The longest
# body has 256 KiB.
BODY_BASE_S: Final = 10.0
# How long a caller may go on sending after the last response.
FINISH_S: Final = 2.0
# Interval between two waits for a sign of the caller, which ends none of them.
WATCH_S: Final = 60.0

# Takes the place of a response that can't be written. It promises nothing.
REPLACEMENT: Final = (
    b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

_log = logging.getLogger(__name__)


class Arrival(Enum):
    """What has become of the wait for a request."""

    # Its first bytes have arrived.
    BEGUN = "begun"
    # The connection is closed.
    CLOSED = "closed"
    TIMED_OUT = "timed_out"


class CallerSign(Enum):
    """What a caller's connection shows while its request runs."""

    # Data that follows the request.
    DATA = "data"
    # The caller sends no more. It may have left, or still read.
    SENDING_ENDED = "sending_ended"
    # The connection was reset.
    CLOSED = "closed"


class ServerConnection:
    """One connection that a caller has opened.

    Args:
        connection: The accepted socket.
    """

    def __init__(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sockets.set_unacknowledged_timeout(connection)
        sockets.bound_send_buffer(connection)
        self._socket = connection
        self._framing = h11.Connection(h11.SERVER)
        self._is_head_request = False
        self._received = b""
        self._write_failure: WriteFailure | None = None

    @property
    def write_failure(self) -> WriteFailure | None:
        """Why the last response could not be written; none if it could."""
        return self._write_failure

    @property
    def is_idle(self) -> bool:
        """Whether no byte of the next request has arrived."""
        return not self._received and sockets.is_idle(self._socket)

    @property
    def has_unread(self) -> bool:
        """Whether data of the caller has arrived that no request was read from."""
        return bool(self._received) or sockets.has_data(self._socket)

    @property
    def is_reusable(self) -> bool:
        """Whether the caller may send another request on the connection."""
        return (
            self._framing.our_state is h11.DONE
            and self._framing.their_state is h11.DONE
        )

    @property
    def round_trip_s(self) -> float | None:
        """Shortest round trip to the caller in seconds; none if it is unknown."""
        return sockets.round_trip_s(self._socket)

    def wait_for_request(self, find_limits: FindLimits) -> Arrival:
        """Waits for the first bytes of a request.

        Args:
            find_limits: Returns the limits in force. If another idle limit has come
                into force during the wait, the connection is kept as long as that one
                allows.
        """
        # A caller may have sent it together with the previous request.
        self._received = self._framing.trailing_data[0]
        if not self._received:
            began_s = clock.monotonic_s()
            try:
                self._received = transfers.receive_within(
                    self._socket,
                    READ_BYTES,
                    lambda: began_s + find_limits().idle_timeout_s,
                )
            except TimeoutError:
                return Arrival.TIMED_OUT
            except OSError:
                return Arrival.CLOSED
        return Arrival.BEGUN if self._received else Arrival.CLOSED

    def read_request(
        self,
        find_limits: FindLimits,
        memory: ResponseMemory | None = None,
        short_chunks: ShortChunkBodies | None = None,
    ) -> HttpRequest | BadRequest | None:
        """Reads the request whose first bytes have arrived.

        The header limit is the time limit for the rest of the headers, and then for
        each further piece of the body.

        Args:
            find_limits: Returns the limits in force. Its time limits, and a greater
                limit of the body, also apply to a request that is being read.
            memory: The account of all that the process holds; a body that it has no
                room for is refused.
            short_chunks: The bodies in very many chunks that the process reads; without
                it they are refused.

        Returns:
            The request; none if the connection has closed or timed out.
        """
        limits = find_limits()
        self._framing = h11.Connection(h11.SERVER, limits.header_max_bytes)
        self._is_head_request = False
        try:
            self._framing.receive_data(self._received)
            self._received = b""
            held = memory.open() if memory is not None else None
            body = RequestBody(find_limits, held, short_chunks)
            with contextlib.closing(body):
                return self._read_request(find_limits, body)
        except h11.RemoteProtocolError as error:
            return BadRequest(error.error_status_hint)
        except OSError:
            return None

    def _read_request(
        self, find_limits: FindLimits, body: RequestBody
    ) -> HttpRequest | BadRequest | None:
        head: h11.Request | None = None
        began_s = clock.monotonic_s()
        body_limit = WriteLimit(began_s, find_limits().header_timeout_s + BODY_BASE_S)

        while True:
            event = self._framing.next_event()
            if event is h11.NEED_DATA:
                if self._framing.they_are_waiting_for_100_continue:
                    proceed = h11.InformationalResponse(status_code=100, headers=[])
                    self._socket.sendall(self._framing.send(proceed))
                # Headers or a body that arrive byte by byte must not hold the
                # connection.
                piece_at_s = began_s if head is None else clock.monotonic_s()
                body_until_s = body_limit.ends_at_s(body.size)
                data = transfers.receive_within(
                    self._socket,
                    READ_BYTES,
                    _limit_finder(find_limits, piece_at_s, body_until_s),
                )
                self._framing.receive_data(data)
                continue
            match event:
                case h11.Request():
                    head = event
                    self._is_head_request = event.method == b"HEAD"
                    problem = body.add_head(event)
                    if problem is not None:
                        return BadRequest(problem)
                case h11.Data():
                    problem = body.add(event)
                    if problem is not None:
                        return BadRequest(problem)
                case h11.EndOfMessage() if head is not None:
                    return HttpRequest(
                        head.method.decode("ascii"),
                        head.target.decode("latin-1"),
                        tuple(head.headers),
                        body.data,
                        body.held,
                    )
                case _:
                    return None

    def wait_for_sign(self) -> CallerSign:
        """Waits for a sign of the caller while its request runs.

        Data that it sends stays unread until the present request is answered.
        """
        while True:
            if not transfers.wait_for_data(self._socket, WATCH_S):
                continue
            if sockets.has_data(self._socket):
                return CallerSign.DATA
            is_reset = sockets.is_closed(self._socket)
            return CallerSign.CLOSED if is_reset else CallerSign.SENDING_ENDED

    def probe(self) -> bool:
        """Sends an interim response; returns whether the caller can be sent one.

        The system of a caller that has closed its connection for both directions
        answers it by a reset, while one that has only ended its sending skips it.
        """
        if (self._framing.their_http_version or b"") < b"1.1":
            return False
        proceed = h11.InformationalResponse(status_code=100, headers=[])
        try:
            transfers.plain(self._socket).send(
                self._framing.send(proceed), socket.MSG_DONTWAIT
            )
        except (OSError, h11.LocalProtocolError):
            return False
        return True

    @property
    def has_ended_sending(self) -> bool:
        """Whether the caller sends no more, though what it has sent may be unread."""
        return sockets.has_ended_sending(self._socket)

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed for both directions, as far as is known."""
        return sockets.is_closed(self._socket)

    def write(
        self,
        response: HttpResponse,
        is_last: bool,
        timeout_s: float,
        memory: ResponseMemory | None = None,
    ) -> bool:
        """Writes a response; returns whether it could be written completely.

        Args:
            response: The response; `Content-Length` is added here if it may have a
                body.
            is_last: Whether to announce to the caller that the connection closes after
                this response.
            timeout_s: Time limit for the caller to accept the response, which is
                extended by what it accepts.
            memory: The account of all responses, in which this one counts until the
                caller has accepted it.
        """
        self._write_failure = None
        if self._framing.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._write_failure = WriteFailure.CLOSED
            return False
        try:
            parts = self._render(response, is_last)
        except Exception as error:
            # Nothing of it has been written, so another one can take its place.
            _log.warning("response can't be written", extra={"problem": str(error)})
            parts = [REPLACEMENT]
        held = response.held or (memory.open() if memory is not None else None)
        self._write_failure = write_response(self._socket, parts, timeout_s, held)
        return self._write_failure is None

    def _render(self, response: HttpResponse, is_last: bool) -> list[bytes]:
        """Returns the parts of a response.

        Raises:
            Exception: The response is not valid in HTTP.
        """
        try:
            head = render_response_head(response, is_last)
        except h11.LocalProtocolError as error:
            # Targets' responses are parsed less strictly than they are written.
            _log.warning("response can't be written", extra={"problem": str(error)})
            response = HttpResponse(HTTPStatus.BAD_GATEWAY, (), b"")
            head = render_response_head(response, is_last)
        parts = [self._framing.send(head) or b""]
        body = b"" if self._is_head_request else response.body
        for event in (h11.Data(data=body), h11.EndOfMessage()):
            parts += self._framing.send_with_data_passthrough(event) or []
        return parts

    def finish(self) -> None:
        """Ends the sending, and drops what the caller still sends for a while.

        If a connection is closed while it has unread data, the system resets it, and
        the part of the last response that the caller has yet to receive is lost.
        """
        sockets.end_sending(self._socket)
        until_s = clock.monotonic_s() + FINISH_S
        with contextlib.suppress(OSError):
            while clock.monotonic_s() < until_s:
                if not transfers.receive(self._socket, READ_BYTES, until_s):
                    return

    def shut_down(self) -> None:
        """Ends the connection; a pending read ends, and its task closes the socket.

        What was written is still sent.
        """
        sockets.shut_down(self._socket)

    def close(self) -> None:
        """Closes the connection; no other task may wait for it."""
        self.shut_down()
        with contextlib.suppress(OSError):
            self._socket.close()


def _limit_finder(
    find_limits: FindLimits, from_s: float, until_s: float
) -> Callable[[], float]:
    """Returns a function that finds the time until which to wait for a piece.

    Args:
        find_limits: Returns the limits in force.
        from_s: Monotonic time from which the piece is awaited.
        until_s: Monotonic time until which the whole request is.
    """
    return lambda: min(until_s, from_s + find_limits().header_timeout_s)
