"""One connection to a target, with the platform's headers."""

from typing import Final

from lavendertide.encodings.http_client_connection import (
    ClientConnection,
    ExchangeError,
)
from lavendertide.encodings.http_messages import Header, HttpResponse, render_end
from lavendertide.forwarding.messages import (
    NotRun,
    NotRunReason,
    Replied,
    TargetReply,
    Unknown,
    UnknownReason,
)
from lavendertide.forwarding.pool import TargetCall
from lavendertide.ids import Address
from lavendertide.platform.names import (
    CONTENT_ENCODING,
    DEADLINE_MS,
    EXPECTED_TARGET,
    KEEP_ALIVE,
    NOT_RUN,
    REQUEST_ID,
    SIGNATURE,
)

# A target that reaches the deadline still says so; waiting for that keeps the
# connection.
DEADLINE_REPLY_S: Final = 0.25
# Kept of the time after which the target closes an idle connection.
IDLE_MARGIN_S: Final = 0.5
# Statuses that promise that a request has not run. A target says that by a header; a
# status alone is no promise and must not be passed on as one.
PROMISES: Final = frozenset({408, 429, 503})
MISDIRECTED: Final = 421


class PlatformTargetChannel:
    """Sends requests to one target and reads its replies."""

    def __init__(self, address: Address) -> None:
        self._connection = ClientConnection(address)
        self._usable_until_s: float | None = None

    def is_usable(self, now_s: float) -> bool:
        """Returns whether the next request may be sent on it."""
        until_s = self._usable_until_s
        is_fresh = until_s is None or now_s < until_s
        return is_fresh and self._connection.is_open

    def open(self, timeout_s: float) -> bool:
        """Opens it anew; returns whether the target accepted it."""
        self._usable_until_s = None
        return self._connection.open(timeout_s)

    def close(self) -> None:
        """Closes it; a waiting exchange ends."""
        self._connection.abort()

    def exchange(self, call: TargetCall, now_s: float) -> TargetReply:
        """Sends a request and waits for its reply."""
        target = call.record.target
        left_s = call.ends_at_s - now_s
        try:
            response = self._connection.exchange(
                call.request.method,
                _render(call, left_s),
                left_s + DEADLINE_REPLY_S,
                lambda headers: not is_of_another(call, headers),
            )
        except ExchangeError as error:
            return Unknown(target, _reason_of(error))
        self._note_keep_alive(response, now_s)
        reply = decode_reply(call, response)
        if isinstance(reply, Unknown):
            self._connection.close()
        return reply

    def _note_keep_alive(self, response: HttpResponse, now_s: float) -> None:
        keep_alive = response.header(KEEP_ALIVE) or b""
        for parameter in keep_alive.split(b","):
            name, _, value = parameter.strip().partition(b"=")
            if name.lower() == b"timeout" and value.strip().isdigit():
                idle_s = int(value) - IDLE_MARGIN_S
                self._usable_until_s = now_s + max(0.0, idle_s)


def is_of_another(call: TargetCall, headers: tuple[Header, ...]) -> bool:
    """Returns whether a response names another request than the one of a call."""
    for name, value in headers:
        if name == REQUEST_ID:
            return value.decode("latin-1") != call.request.request
    return False


def decode_reply(call: TargetCall, response: HttpResponse) -> TargetReply:
    """Returns what a target's response to a call means."""
    target = call.record.target
    # Such a response bears the header of a refusal as well.
    if response.status == MISDIRECTED:
        return NotRun(target, NotRunReason.OTHER_TARGET)
    if response.header(NOT_RUN) is not None:
        return NotRun(target, NotRunReason.REFUSED)
    # Only one whose end is that of the connection comes here, as nothing can follow.
    if is_of_another(call, response.headers):
        return Unknown(target, UnknownReason.OTHER_REQUEST)
    is_encoded = response.header(CONTENT_ENCODING) is not None
    if is_encoded or response.status in PROMISES:
        return Unknown(target, UnknownReason.MALFORMED)
    signature = (response.header(SIGNATURE) or b"").decode("latin-1")
    if response.status < 300 and not signature:
        return Unknown(target, UnknownReason.MALFORMED)
    return Replied(target, response.status, response.headers, response.body, signature)


def _render(call: TargetCall, left_s: float) -> bytes:
    request = call.request
    return b"".join(
        (
            request.head,
            b"%b: %d\r\n" % (DEADLINE_MS, max(1, int(left_s * 1_000))),
            b"%b: %b\r\n" % (EXPECTED_TARGET, call.record.target.encode()),
            render_end(request.method, request.body),
        )
    )


def _reason_of(error: ExchangeError) -> UnknownReason:
    if error.is_timeout:
        return UnknownReason.TIMED_OUT
    return UnknownReason.MALFORMED if error.is_answered else UnknownReason.CLOSED
