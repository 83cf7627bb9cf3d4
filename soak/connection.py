"""A caller's connection, on which requests may be sent in other ways than one by one.

The client of the standard library can neither pipeline requests nor end its side of the
connection, nor wait for an interim response.
"""

import contextlib
import select
import socket
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Final

import h11

READ_BYTES: Final = 65_536
# Pause between two chunks of a body; all of them fit into the shortest header time-out.
CHUNK_PAUSE_S: Final = 0.01


class ConnectionEnded(OSError):
    """The connection has ended before the response was complete."""


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete response.

    Attributes:
        headers: The values by the names, which are in lower case.
        is_last: Whether the connection can't be used after it.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_last: bool


@dataclass(frozen=True, slots=True)
class Request:
    """A request to be sent.

    Attributes:
        chunks: The chunks of the body; empty without a body.
        expects_continue: Whether the body is sent only after an interim response.
    """

    method: str
    path: str
    headers: dict[str, str]
    chunks: tuple[bytes, ...] = ()
    expects_continue: bool = False

    @property
    def event(self) -> h11.Request:
        """The head of the request."""
        headers = dict(self.headers)
        if self.chunks:
            headers["Transfer-Encoding"] = "chunked"
        if self.expects_continue:
            headers["Expect"] = "100-continue"
        return h11.Request(
            method=self.method, target=self.path, headers=list(headers.items())
        )


class CallerConnection:
    """A connection to a gateway.

    Args:
        port: Loopback port of the gateway.
        timeout_s: How long to wait for each piece of a response.
    """

    def __init__(self, port: int, timeout_s: float) -> None:
        self._socket = socket.create_connection(("127.0.0.1", port), timeout_s)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Data of the next response that arrived with the previous one.
        self._received = b""

    @property
    def is_closed(self) -> bool:
        """Whether the gateway has closed the connection, on which no request waits."""
        readable, _, _ = select.select([self._socket], [], [], 0.0)
        try:
            return bool(readable) and not self._socket.recv(1, socket.MSG_PEEK)
        except ConnectionError:
            return True

    def exchange(self, request: Request) -> Reply:
        """Sends a request and returns its response.

        Raises:
            OSError: The connection has ended before.
        """
        framing = h11.Connection(h11.CLIENT)
        self._socket.sendall(framing.send(request.event) or b"")
        if request.expects_continue:
            event = self._next_event(framing)
            if isinstance(event, h11.Response):
                # The body that follows such a request would be taken for the next one.
                return replace(self._read_rest(framing, event), is_last=True)
        self._send_body(framing, request)
        return self._read_reply(framing)

    def exchange_and_end_sending(self, request: Request) -> Reply:
        """Sends a request, ends the sending side and returns the response.

        Raises:
            OSError: The connection has ended before.
        """
        framing = h11.Connection(h11.CLIENT)
        self._socket.sendall(framing.send(request.event) or b"")
        self._send_body(framing, request)
        self._socket.shutdown(socket.SHUT_WR)
        return self._read_reply(framing)

    def pipeline(self, requests: Sequence[Request]) -> Iterable[Reply]:
        """Sends requests without bodies at once and yields their responses.

        Stops after a response that announces the end of the connection.

        Raises:
            OSError: The connection has ended before the last response.
        """
        framings = [h11.Connection(h11.CLIENT) for _ in requests]
        data = b""
        for framing, request in zip(framings, requests, strict=True):
            data += framing.send(request.event) or b""
            data += framing.send(h11.EndOfMessage()) or b""
        self._socket.sendall(data)
        for framing in framings:
            reply = self._read_reply(framing)
            yield reply
            if reply.is_last:
                return

    def close(self) -> None:
        """Closes the connection."""
        self._socket.close()

    def _send_body(self, framing: h11.Connection, request: Request) -> None:
        # The response may be there although the gateway has stopped to read.
        with contextlib.suppress(ConnectionError):
            for chunk in request.chunks:
                self._socket.sendall(framing.send(h11.Data(data=chunk)) or b"")
                time.sleep(CHUNK_PAUSE_S)
            self._socket.sendall(framing.send(h11.EndOfMessage()) or b"")

    def _read_reply(self, framing: h11.Connection) -> Reply:
        event = self._next_event(framing)
        while isinstance(event, h11.InformationalResponse):
            event = self._next_event(framing)
        if not isinstance(event, h11.Response):
            raise ConnectionEnded(f"{event!r} instead of a response")
        return self._read_rest(framing, event)

    def _read_rest(self, framing: h11.Connection, head: h11.Response) -> Reply:
        body = b""
        while isinstance(event := self._next_event(framing), h11.Data):
            body += event.data
        self._received = framing.trailing_data[0]
        headers = {name.decode(): value.decode() for name, value in head.headers}
        is_last = headers.get("connection", "").lower() == "close"
        return Reply(head.status_code, headers, body, is_last)

    def _next_event(
        self, framing: h11.Connection
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            while (event := framing.next_event()) is h11.NEED_DATA:
                data = self._received or self._socket.recv(READ_BYTES)
                self._received = b""
                framing.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise ConnectionEnded(str(error)) from error
        if isinstance(event, h11.ConnectionClosed):
            raise ConnectionEnded("closed without a response")
        return event
