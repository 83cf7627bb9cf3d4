"""HTTP/1.1 messages over sockets: requests are framed by `h11`.

Both sides need to know more than a ready-made client or server tells: whether a byte of
a reply has come, whether bytes follow a complete reply, and that a caller has closed
its connection while its request runs. Message meaning is left to whoever uses this.
"""

import contextlib
import socket
from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

import h11

from lavendertide.encodings.http_replies import Header, MalformedReply, ReplyReader
from lavendertide.ids import Address
from lavendertide.runtime import clock, sockets

READ_BYTES: Final = 65_536
# How long a server may take to accept a request.
SEND_TIMEOUT_S: Final = 4.0
METHODS_WITH_BODY: Final = frozenset({"POST", "PUT", "PATCH"})
# How long a peer of a connection may leave what was sent unacknowledged.
UNACKNOWLEDGED_MS: Final = 4_000

# Headers that concern a single connection and are never passed on.
CONNECTION_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request as it was read.

    Attributes:
        target: Path and query.
        headers: All headers, names in lower case.
    """

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Returns the first header of a name, given in lower case."""
        return _first(self.headers, name)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response as it was read or is to be written.

    Attributes:
        headers: All headers but those that frame the body.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Returns the first header of a name, given in lower case."""
        return _first(self.headers, name)


@dataclass(frozen=True, slots=True)
class BadRequest:
    """What came is no proper request, or is larger than allowed."""

    status: int


class ExchangeError(Exception):
    """An exchange brought no complete response.

    Attributes:
        is_answered: Whether any byte of a response had come.
        is_timeout: Whether the time was used up.
    """

    def __init__(self, is_answered: bool, is_timeout: bool) -> None:
        super().__init__("Check that the other side runs; try another address.")
        self.is_answered = is_answered
        self.is_timeout = is_timeout


def passed_on(headers: Iterable[Header], dropped: frozenset[bytes]) -> list[Header]:
    """Returns the headers that do not concern a single connection.

    Args:
        headers: Headers with names in lower case.
        dropped: Further names that are left out.
    """
    headers = tuple(headers)
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named |= {token.strip().lower() for token in value.split(b",")}
    left_out = CONNECTION_HEADERS | dropped | named
    return [(name, value) for name, value in headers if name not in left_out]


class ServerConnection:
    """One connection that a caller has opened."""

    def __init__(self, connection: socket.socket, header_max_bytes: int) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        _set_user_timeout(connection)
        self._socket = connection
        self._framing = h11.Connection(h11.SERVER, header_max_bytes)

    @property
    def is_reusable(self) -> bool:
        """Whether a further request may come on it."""
        return (
            self._framing.our_state is h11.DONE
            and self._framing.their_state is h11.DONE
        )

    def read_request(
        self, idle_s: float, header_s: float, body_max_bytes: int
    ) -> HttpRequest | BadRequest | None:
        """Waits for a request; none once the connection has ended or idled.

        Args:
            idle_s: How long it may take until the request begins.
            header_s: How long it may then take until it has been read.
            body_max_bytes: A larger body is refused.
        """
        try:
            return self._read_request(idle_s, header_s, body_max_bytes)
        except h11.RemoteProtocolError as error:
            return BadRequest(error.error_status_hint)
        except OSError:
            return None

    def _read_request(
        self, idle_s: float, header_s: float, body_max_bytes: int
    ) -> HttpRequest | BadRequest | None:
        if self._framing.our_state is h11.DONE:
            self._framing.start_next_cycle()
        self._socket.settimeout(idle_s)
        head: h11.Request | None = None
        chunks: list[bytes] = []
        size = 0
        while True:
            event = self._framing.next_event()
            if event is h11.NEED_DATA:
                if self._framing.they_are_waiting_for_100_continue:
                    proceed = h11.InformationalResponse(status_code=100, headers=[])
                    self._socket.sendall(self._framing.send(proceed))
                data = self._socket.recv(READ_BYTES)
                self._framing.receive_data(data)
                self._socket.settimeout(header_s)
                continue
            match event:
                case h11.Request():
                    head = event
                case h11.Data():
                    chunks.append(bytes(event.data))
                    size += len(event.data)
                    if size > body_max_bytes:
                        return BadRequest(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
                case h11.EndOfMessage() if head is not None:
                    return HttpRequest(
                        head.method.decode("ascii"),
                        head.target.decode("latin-1"),
                        tuple(head.headers),
                        b"".join(chunks),
                    )
                case _:
                    return None

    def wait_for_end(self) -> bool:
        """Waits until the caller closes; returns false if it sends more instead."""
        self._socket.settimeout(None)
        try:
            data = self._socket.recv(READ_BYTES)
        except OSError:
            return True
        if not data:
            return True
        self._framing.receive_data(data)
        return False

    def write(self, response: HttpResponse, is_last: bool, timeout_s: float) -> bool:
        """Writes a response; returns whether the connection took it.

        Args:
            response: What to write; its length is added here.
            is_last: Whether the caller is told that the connection closes after it.
            timeout_s: How long the caller may take to accept it.
        """
        headers = list(response.headers)
        headers.append((b"Content-Length", b"%d" % len(response.body)))
        if is_last:
            headers.append((b"Connection", b"close"))
        head = h11.Response(
            status_code=response.status,
            headers=headers,
            reason=_reason(response.status),
        )
        try:
            data = self._framing.send(head) or b""
            data += self._framing.send(h11.Data(data=response.body)) or b""
            data += self._framing.send(h11.EndOfMessage()) or b""
            self._socket.settimeout(timeout_s)
            self._socket.sendall(data)
        except (OSError, h11.LocalProtocolError):
            return False
        return True

    def close(self) -> None:
        """Ends the connection."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        with contextlib.suppress(OSError):
            self._socket.close()


class ClientConnection:
    """One connection to a server, opened when it is needed and kept."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._socket: socket.socket | None = None

    @property
    def is_open(self) -> bool:
        """Whether it is open and nothing unexpected has come on it."""
        return self._socket is not None and sockets.is_quiet(self._socket)

    def open(self, timeout_s: float) -> bool:
        """Opens it anew; returns whether the server accepted it."""
        self.close()
        try:
            connection = sockets.connect(self._address, timeout_s)
        except OSError:
            return False
        connection.settimeout(SEND_TIMEOUT_S)
        _set_user_timeout(connection)
        self._socket = connection
        return True

    def exchange(self, method: str, request: bytes, timeout_s: float) -> HttpResponse:
        """Sends a request and waits for its response.

        Args:
            method: The method of the request.
            request: The whole request as `render` writes it.
            timeout_s: How long to wait for the response.

        Raises:
            ExchangeError: No complete response came; the connection is closed.
        """
        reader = ReplyReader(method)
        is_answered = False
        ends_at_s = clock.monotonic_s() + timeout_s
        try:
            if self._socket is None:
                raise ConnectionResetError
            self._socket.sendall(request)
            while not reader.is_complete:
                data = sockets.receive(self._socket, READ_BYTES, ends_at_s)
                is_answered = is_answered or bool(data)
                reader.feed(data)
        except (OSError, MalformedReply) as error:
            self.close()
            is_timeout = isinstance(error, TimeoutError)
            raise ExchangeError(is_answered, is_timeout) from error
        if not reader.is_reusable:
            self.close()
        return HttpResponse(reader.status, reader.headers, reader.body)

    def abort(self) -> None:
        """Ends the connection at once; a waiting exchange fails."""
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Closes the connection."""
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.close()
            self._socket = None


def render_head(method: str, target: str, headers: Iterable[Header]) -> bytes:
    """Returns the request line and headers, without the blank line after them."""
    lines = [f"{method} {target} HTTP/1.1\r\n".encode("latin-1")]
    lines += [b"%b: %b\r\n" % header for header in headers]
    return b"".join(lines)


def render_end(method: str, body: bytes) -> bytes:
    """Returns what follows the headers: the body and its length, where it has one."""
    if body or method in METHODS_WITH_BODY:
        return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    return b"\r\n"


def _first(headers: Iterable[Header], name: bytes) -> bytes | None:
    return next((value for found, value in headers if found == name), None)


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode("ascii")
    except ValueError:
        return b"Unknown"


def _set_user_timeout(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
        )
