"""Watches the connection of a caller whose request runs.

Load pattern: callers that give up in large numbers while the targets are slow. Work for
them ends at once. A caller that has only ended its sending still gets its response, so
the end of the sending alone ends no work.
"""

from typing import Final

from lavendertide.encodings.http_server_connection import CallerSign, ServerConnection
from lavendertide.forwarding.sender import CallerLeft, Event
from lavendertide.runtime import tasks

# A probe is answered after a round trip. Shortest time for it, and the longest time
# between two looks at the connection.
LOOK_MIN_S: Final = 0.005
LOOK_MAX_S: Final = 0.1
# Looks after a probe, which take half a second, and the first pause between two probes.
# The pause doubles, as a caller that still reads after a probe seldom leaves.
LOOKS: Final = 9
PROBE_PAUSE_S: Final = 0.25


def notify_when_left(connection: ServerConnection, inbox: tasks.Mailbox[Event]) -> None:
    """Puts `CallerLeft` into the inbox once the caller can't get its response."""
    match connection.wait_for_sign():
        case CallerSign.CLOSED:
            inbox.send(CallerLeft())
        case CallerSign.SENDING_ENDED:
            if _wait_for_reset(connection):
                inbox.send(CallerLeft())
        case CallerSign.DATA:
            pass


def _wait_for_reset(connection: ServerConnection) -> bool:
    """Waits for the caller to leave; returns false if that can't be known."""
    pause_s = PROBE_PAUSE_S
    while connection.probe():
        if _is_reset_soon(connection):
            return True
        tasks.sleep(pause_s)
        pause_s *= 2.0
    return connection.is_closed


def _is_reset_soon(connection: ServerConnection) -> bool:
    """Returns whether a probe that was just sent is answered by a reset."""
    look_s = max(LOOK_MIN_S, connection.round_trip_s or 0.0)
    for _ in range(LOOKS):
        tasks.sleep(look_s)
        if connection.is_closed:
            return True
        look_s = min(2.0 * look_s, LOOK_MAX_S)
    return False
