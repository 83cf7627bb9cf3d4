"""Connection to a target that uses the platform's headers."""

import re
from typing import Final

from lavendertide.encodings.http_client_connection import (
    ClientConnection,
    ExchangeError,
)
from lavendertide.encodings.http_messages import Header, HttpResponse, render_length
from lavendertide.encodings.http_replies import PROCESS_MEMORY
from lavendertide.forwarding.messages import (
    NO_NOTICE,
    NotRun,
    NotRunReason,
    Replied,
    TargetNotice,
    TargetReply,
    Unknown,
    UnknownReason,
)
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.ids import Address
from lavendertide.overload.reported_load import ReportedLoad
from lavendertide.overload.response_memory import ResponseMemory
from lavendertide.platform.names import (
    COLD_MS,
    CONTENT_ENCODING,
    DEADLINE_MS,
    EXPECTED_TARGET,
    KEEP_ALIVE,
    LEAVING_HEADERS,
    NOT_RUN,
    REQUEST_ID,
    RETRY_AFTER,
    SERVER_LOAD,
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
UNAVAILABLE_STATUS: Final = 503
# Seconds, with a fraction or without one; bounded, since converting a number of
# thousands of digits takes long or fails.
SECONDS: Final = re.compile(rb"(\d+)(\.\d+)?")
SECONDS_DIGITS_MAX: Final = 9
# Longest pause that a target may demand; then it is tried again.
PAUSE_MAX_S: Final = 300.0
# Pause if the value is no number of seconds, as for a date. The target wants some
# pause, and dates can't be compared: the clocks of the hosts differ by seconds.
UNREADABLE_PAUSE_S: Final = 1.0
# Longest time for which a target may say that it is cold.
COLD_MAX_S: Final = 3_600.0
# Shorter pieces of a call are sent together, as a copy.
SHARED_MIN_BYTES: Final = 8_192
# Longest idle time of a connection that a target may promise.
IDLE_MAX_S: Final = 3_600.0
# A whole number; bounded, since a target with more requests or slots can't exist.
LOAD_FIGURE: Final = re.compile(rb"[0-9]{1,6}")
# Bounds of how long work takes in percent of usual. Others are taken for errors.
WORK_MIN_PERCENT: Final = 10
WORK_MAX_PERCENT: Final = 10_000


class PlatformTargetChannel:
    """Sends requests to one target and receives its replies."""

    def __init__(
        self, address: Address, memory: ResponseMemory = PROCESS_MEMORY
    ) -> None:
        self._connection = ClientConnection(address, memory)
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

    def has_data(self) -> bool:
        """Returns whether data has arrived that was not read yet; never waits."""
        return self._connection.has_data

    def close(self) -> None:
        """Closes the connection; an exchange in another task fails at once."""
        self._connection.abort()

    def release(self) -> None:
        """Closes the connection and frees its descriptor; no exchange may run."""
        self._connection.close()

    def exchange(self, call: TargetCall, now_s: float) -> TargetReply:
        """Sends a request and waits for its reply."""
        target = call.record.target
        remaining_s = call.ends_at_s - now_s
        parts = _render(call, remaining_s)
        try:
            response = self._connection.exchange(
                call.request.method,
                parts,
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
            if name.lower() == b"timeout":
                idle_s = parse_seconds(value.strip(), IDLE_MAX_S)
                if idle_s is not None:
                    self._usable_until_s = now_s + max(0.0, idle_s - IDLE_MARGIN_S)


def has_other_request_id(call: TargetCall, headers: tuple[Header, ...]) -> bool:
    """Returns whether a response has the id of another request than the call's."""
    for name, value in headers:
        if name == REQUEST_ID:
            return value.decode("latin-1") != call.request.request
    return False


def decode_reply(call: TargetCall, response: HttpResponse) -> TargetReply:
    """Classifies a target's response to a call."""
    target = call.record.target
    # Checked first, since such a response also has the header of a refusal. Whatever
    # else it says concerns the other target at the address.
    if response.status == MISDIRECTED_STATUS:
        return NotRun(target, NotRunReason.OTHER_TARGET)
    notice = decode_notice(response)
    if response.header(NOT_RUN) is not None:
        return NotRun(target, NotRunReason.REFUSED, notice)
    # Others were skipped while reading. Only one that ends with its connection gets
    # here, since no other response can follow it.
    if has_other_request_id(call, response.headers):
        return Unknown(target, UnknownReason.OTHER_REQUEST, notice)
    is_encoded = response.header(CONTENT_ENCODING) is not None
    if is_encoded or response.status in NOT_RUN_STATUSES:
        return Unknown(target, UnknownReason.MALFORMED, notice)
    signature = (response.header(SIGNATURE) or b"").decode("latin-1")
    if response.status < 300 and not signature:
        return Unknown(target, UnknownReason.MALFORMED, notice)
    return Replied(
        target,
        response.status,
        response.headers,
        response.body,
        signature,
        notice,
        response.held,
    )


def decode_notice(response: HttpResponse) -> TargetNotice:
    """Returns what a target says about itself in a response.

    Only a 503 tells how long to leave the target alone. With another status the header
    means something else, such as the rate that one caller may use.
    """
    is_leaving, pause_s, cold_s, load = False, None, 0.0, None
    for name, value in response.headers:
        if name in LEAVING_HEADERS and value.strip() == b"1":
            is_leaving = True
        elif name == RETRY_AFTER and response.status == UNAVAILABLE_STATUS:
            pause_s = parse_seconds(value.strip(), PAUSE_MAX_S)
            if pause_s is None:
                pause_s = UNREADABLE_PAUSE_S
        elif name == COLD_MS:
            cold_s = (parse_seconds(value.strip(), 1_000 * COLD_MAX_S) or 0.0) / 1_000
        elif name == SERVER_LOAD:
            load = parse_load(value)
    if not is_leaving and pause_s is None and not cold_s and load is None:
        return NO_NOTICE
    return TargetNotice(is_leaving, pause_s, cold_s, load)


def parse_load(value: bytes) -> ReportedLoad | None:
    """Returns the load in a header; none unless the first three figures are valid.

    The first three are only meaningful together. An invalid fourth figure is left out,
    and so are further ones.
    """
    figures = [
        int(figure) if LOAD_FIGURE.fullmatch(figure) else None
        for figure in map(bytes.strip, value.split(b",", 4)[:4])
    ]
    match figures:
        case [int(running), int(waiting), int(slots), *rest] if slots > 0:
            work = rest[0] if rest else None
            if work is not None and not WORK_MIN_PERCENT <= work <= WORK_MAX_PERCENT:
                work = None
            return ReportedLoad(running, waiting, slots, work)
        case _:
            return None


def parse_seconds(value: bytes, max_s: float) -> float | None:
    """Returns a number of seconds, at most `max_s`; none if it is no such number."""
    match = SECONDS.fullmatch(value)
    if match is None:
        return None
    if len(match[1].lstrip(b"0")) > SECONDS_DIGITS_MAX:
        return max_s
    fraction = (match[2] or b"")[: SECONDS_DIGITS_MAX + 1]
    return min(max_s, float(match[1][-SECONDS_DIGITS_MAX:] + fraction))


def _render(call: TargetCall, remaining_s: float) -> list[bytes]:
    """Returns the pieces of a call, of which the long ones are shared by all calls."""
    request = call.request
    own = b"".join(
        (
            b"%b: %d\r\n" % (DEADLINE_MS, max(1, int(remaining_s * 1_000))),
            b"%b: %b\r\n" % (EXPECTED_TARGET, call.record.target.encode()),
            render_length(request.method, request.body),
        )
    )
    pieces: list[bytes] = []
    for piece in (request.head, own, request.body):
        is_short = len(piece) < SHARED_MIN_BYTES
        if pieces and is_short and len(pieces[-1]) < SHARED_MIN_BYTES:
            pieces[-1] += piece
        else:
            pieces.append(piece)
    return pieces


def _unknown_reason(error: ExchangeError) -> UnknownReason:
    if error.is_timeout:
        return UnknownReason.TIMED_OUT
    return UnknownReason.MALFORMED if error.has_received_data else UnknownReason.CLOSED
