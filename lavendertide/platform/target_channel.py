"""Connection to a target that uses the platform's headers."""

from typing import Final

from lavendertide.encodings.http_client_connection import (
    ClientConnection,
    ExchangeError,
)
from lavendertide.encodings.http_messages import Header, HttpResponse, render_body
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

# Extra wait after the deadline. A target that reaches the deadline replies that it did,
# and with that reply the connection stays usable.
DEADLINE_REPLY_S: Final = 0.25
# Subtracted from the time after which the target closes an idle connection.
IDLE_MARGIN_S: Final = 0.5
# Statuses by which callers may infer that a request has not run. Targets report that by
# a header; without the header such a status must not be forwarded.
NOT_RUN_STATUSES: Final = frozenset({408, 429, 503})
MISDIRECTED_STATUS: Final = 421


class PlatformTargetChannel:
    """Sends requests to one target and receives its replies."""

    def __init__(self, address: Address) -> None:
        self._connection = ClientConnection(address)
        self._usable_until_s: float | None = None

    def is_usable(self, now_s: float) -> bool:
        """Returns whether the next request may be sent on the connection.

        It may not shortly before the target closes the idle connection.
        """
        until_s = self._usable_until_s
        is_fresh = until_s is None or now_s < until_s
        return is_fresh and self._connection.is_open

    def open(self, timeout_s: float) -> bool:
        """Opens a new connection; returns whether the target accepted it."""
        self._usable_until_s = None
        return self._connection.open(timeout_s)

    def close(self) -> None:
        """Closes the connection; an exchange in another task fails at once."""
        self._connection.abort()

    def exchange(self, call: TargetCall, now_s: float) -> TargetReply:
        """Sends a request and waits for its reply."""
        target = call.record.target
        remaining_s = call.ends_at_s - now_s
        try:
            response = self._connection.exchange(
                call.request.method,
                _render(call, remaining_s),
                remaining_s + DEADLINE_REPLY_S,
                lambda headers: not has_other_request_id(call, headers),
            )
        except ExchangeError as error:
            return Unknown(target, _unknown_reason(error))
        self._record_keep_alive(response, now_s)
        reply = decode_reply(call, response)
        if isinstance(reply, Unknown):
            self._connection.close()
        return reply

    def _record_keep_alive(self, response: HttpResponse, now_s: float) -> None:
        keep_alive = response.header(KEEP_ALIVE) or b""
        for parameter in keep_alive.split(b","):
            name, _, value = parameter.strip().partition(b"=")
            if name.lower() == b"timeout" and value.strip().isdigit():
                idle_s = int(value) - IDLE_MARGIN_S
                self._usable_until_s = now_s + max(0.0, idle_s)


def has_other_request_id(call: TargetCall, headers: tuple[Header, ...]) -> bool:
    """Returns whether a response has the id of another request than the call's."""
    for name, value in headers:
        if name == REQUEST_ID:
            return value.decode("latin-1") != call.request.request
    return False


def decode_reply(call: TargetCall, response: HttpResponse) -> TargetReply:
    """Classifies a target's response to a call."""
    target = call.record.target
    # Checked first, since such a response also has the header of a refusal.
    if response.status == MISDIRECTED_STATUS:
        return NotRun(target, NotRunReason.OTHER_TARGET)
    if response.header(NOT_RUN) is not None:
        return NotRun(target, NotRunReason.REFUSED)
    # Others were skipped while reading. Only one that ends with its connection gets
    # here, since no other response can follow it.
    if has_other_request_id(call, response.headers):
        return Unknown(target, UnknownReason.OTHER_REQUEST)
    is_encoded = response.header(CONTENT_ENCODING) is not None
    if is_encoded or response.status in NOT_RUN_STATUSES:
        return Unknown(target, UnknownReason.MALFORMED)
    signature = (response.header(SIGNATURE) or b"").decode("latin-1")
    if response.status < 300 and not signature:
        return Unknown(target, UnknownReason.MALFORMED)
    return Replied(target, response.status, response.headers, response.body, signature)


def _render(call: TargetCall, remaining_s: float) -> bytes:
    request = call.request
    return b"".join(
        (
            request.head,
            b"%b: %d\r\n" % (DEADLINE_MS, max(1, int(remaining_s * 1_000))),
            b"%b: %b\r\n" % (EXPECTED_TARGET, call.record.target.encode()),
            render_body(request.method, request.body),
        )
    )


def _unknown_reason(error: ExchangeError) -> UnknownReason:
    if error.is_timeout:
        return UnknownReason.TIMED_OUT
    return UnknownReason.MALFORMED if error.has_received_data else UnknownReason.CLOSED
