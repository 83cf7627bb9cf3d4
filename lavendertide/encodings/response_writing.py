"""Writes a response to a caller in pieces, within a limit that progress extends."""

import socket
from enum import Enum
from typing import Final

from lavendertide.overload.caller_bounds import Cause
from lavendertide.overload.response_memory import HeldResponse
from lavendertide.overload.write_limit import WriteLimit
from lavendertide.runtime import clock, sockets, tasks, transfers

# A shorter response is sent in one write, as a second one costs more than the copy.
JOINED_MAX_BYTES: Final = 16_384
# Bytes of a response that the system may still hold when the next request is read, and
# that no longer count.
UNSENT_MAX_BYTES: Final = 16_384
# Interval between two looks at what the system still holds: it doubles from a fraction
# of a round trip, so that a caller that reads waits little for its next request.
FIRST_LOOK_S: Final = 0.001
LONGEST_LOOK_S: Final = 0.25


class WriteFailure(Enum):
    """Why a response could not be written completely."""

    CLOSED = "closed"
    # The caller did not accept it in time.
    TOO_SLOW = "too_slow"
    # Its memory was needed for others.
    EVICTED = "evicted"

    @property
    def cause(self) -> Cause | None:
        """Why this process has closed the caller; none if it has not."""
        return _CAUSES.get(self)


_CAUSES: Final = {
    WriteFailure.TOO_SLOW: Cause.TOO_SLOW,
    WriteFailure.EVICTED: Cause.MEMORY,
}


def write_response(
    connection: socket.socket,
    parts: list[bytes],
    timeout_s: float,
    held: HeldResponse | None,
) -> WriteFailure | None:
    """Sends the parts of a response; returns why that failed, if it did.

    It returns once the caller's system has all but the last few bytes, since what this
    system holds counts toward the memory of the host.

    A caller that is too slow or evicted is reset, so that the system doesn't keep what
    it has not sent yet.

    Args:
        connection: The caller's connection.
        parts: Head and body.
        timeout_s: Time limit for the caller to accept them, which is extended by what
            it accepts.
        held: Account of the response; released at the end.
    """
    size = sum(map(len, parts))
    if size <= JOINED_MAX_BYTES:
        parts = [b"".join(parts)]
    now_s = clock.monotonic_s()
    limit = WriteLimit(now_s, timeout_s)
    accepted = 0
    try:
        if held is not None:
            # What the system holds of a part counts beside the whole response.
            in_system = min(size, 2 * sockets.SEND_BUFFER_BYTES)
            held.start_writing(
                size + in_system, lambda: sockets.reset(connection), now_s
            )
        for part in parts:
            accepted = transfers.send_pieces(
                connection, part, limit.ends_at_s, accepted
            )
        _wait_until_sent(connection, accepted, limit, held)
    except TimeoutError:
        sockets.reset(connection)
        return WriteFailure.TOO_SLOW
    except OSError:
        is_evicted = held is not None and held.is_evicted
        return WriteFailure.EVICTED if is_evicted else WriteFailure.CLOSED
    finally:
        if held is not None:
            held.release()
    return None


def _wait_until_sent(
    connection: socket.socket,
    accepted: int,
    limit: WriteLimit,
    held: HeldResponse | None,
) -> None:
    """Waits until the system holds little of a response.

    Raises:
        TimeoutError: The caller did not accept it in time.
        ConnectionResetError: The response was evicted.
    """
    look_s = FIRST_LOOK_S
    has_data = False
    while accepted > UNSENT_MAX_BYTES:
        unsent = sockets.unsent_bytes(connection)
        if unsent <= UNSENT_MAX_BYTES:
            return
        if held is not None and held.is_evicted:
            raise ConnectionResetError
        if clock.monotonic_s() > limit.ends_at_s(accepted - unsent):
            raise TimeoutError
        # A caller that sends its next request has usually read this response.
        if has_data:
            tasks.sleep(look_s)
        else:
            has_data = transfers.wait_for_data(connection, look_s)
        look_s = min(2 * look_s, LONGEST_LOOK_S)
