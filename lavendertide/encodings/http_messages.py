"""HTTP/1.1 messages, independent of their framing on a socket."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from lavendertide.overload.response_memory import HeldResponse

Header = tuple[bytes, bytes]

READ_BYTES: Final = 65_536
METHODS_WITH_BODY: Final = frozenset({"POST", "PUT", "PATCH"})
# Headers that apply to a single connection and are never forwarded.
HOP_BY_HOP_HEADERS: Final = frozenset(
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
    """A request as read from a connection.

    Attributes:
        target: Path and query.
        headers: All headers, with names in lower case.
        held: Account of the body, for as long as the request is referred to.
    """

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    held: HeldResponse | None = field(default=None, compare=False, repr=False)

    def header(self, name: bytes) -> bytes | None:
        """Returns the first header of a name, given in lower case."""
        return _first_value(self.headers, name)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response that was read, or that is about to be written.

    Attributes:
        headers: All headers except those that frame the body.
        held: Account of the body, for as long as the response is referred to.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    held: HeldResponse | None = field(default=None, compare=False, repr=False)

    def header(self, name: bytes) -> bytes | None:
        """Returns the first header of a name, given in lower case."""
        return _first_value(self.headers, name)


@dataclass(frozen=True, slots=True)
class BadRequest:
    """Result of reading a request that is malformed or too large.

    Attributes:
        status: HTTP status of the response to it.
    """

    status: int


def forwarded_headers(
    headers: Iterable[Header], also_excluded: frozenset[bytes]
) -> list[Header]:
    """Returns the headers that a proxy forwards.

    Headers that apply to a single connection are left out, also those that the
    `Connection` header names.

    Args:
        headers: Headers with names in lower case.
        also_excluded: Names of further headers to leave out.
    """
    headers = tuple(headers)
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named |= {token.strip().lower() for token in value.split(b",")}
    excluded = HOP_BY_HOP_HEADERS | also_excluded | named
    return [(name, value) for name, value in headers if name not in excluded]


def render_head(method: str, target: str, headers: Iterable[Header]) -> bytes:
    """Returns the request line and headers, without the blank line after them."""
    lines = [f"{method} {target} HTTP/1.1\r\n".encode("latin-1")]
    lines += [b"%b: %b\r\n" % header for header in headers]
    return b"".join(lines)


def render_body(method: str, body: bytes) -> bytes:
    """Returns the end of a request: `Content-Length` if needed, blank line, body."""
    return render_length(method, body) + body


def render_length(method: str, body: bytes) -> bytes:
    """Returns what comes before a body: `Content-Length` if needed, blank line."""
    if body or method in METHODS_WITH_BODY:
        return b"Content-Length: %d\r\n\r\n" % len(body)
    return b"\r\n"


def _first_value(headers: Iterable[Header], name: bytes) -> bytes | None:
    return next((value for found, value in headers if found == name), None)
