"""Watches the connection of a caller whose request runs.

Load pattern: callers that give up in large numbers while the targets are slow. Work for
them ends at once. A caller that has only ended its sending still gets its response, so
the end of the sending alone ends no work.
"""

from typing import Final

from lavendertide.encodings.http_server_connection import CallerSign, ServerConnection
from lavendertide.forwarding.sender import CallerLeft, Event
from lavendertide.runtime import clock, tasks

# Shortest and longest time between two looks at a connection. A probe is answered after
# a round trip.
LOOK_MIN_S: Final = 0.005
LOOK_MAX_S: Final = 0.1
# Interval between two probes. Targets are to stop within half a second after a caller
# has left.
PROBE_INTERVAL_S: Final = 0.25


def notify_when_left(connection: ServerConnection, inbox: tasks.Mailbox[Event]) -> None:
    """Puts `CallerLeft` into the inbox once the caller can't get its response."""
    if _wait_until_left(connection):
        inbox.send(CallerLeft())


def _wait_until_left(connection: ServerConnection) -> bool:
    """Waits until the caller has left; returns false if that can't be known."""
    match connection.wait_for_sign():
        case CallerSign.CLOSED:
            return True
        case CallerSign.DATA:
            # Data stays unread, so that only the state shows what follows it.
            while not connection.has_ended_sending:
                if connection.is_closed:
                    return True
                tasks.sleep(LOOK_MAX_S)
        case CallerSign.SENDING_ENDED:
            pass
    while connection.probe():
        if _is_reset_soon(connection):
            return True
    return connection.is_closed


def _is_reset_soon(connection: ServerConnection) -> bool:
    """Returns whether a probe that was just sent is answered by a reset."""
    until_s = clock.monotonic_s() + PROBE_INTERVAL_S
    look_s = max(LOOK_MIN_S, connection.round_trip_s or 0.0)
    while clock.monotonic_s() < until_s:
        tasks.sleep(look_s)
        if connection.is_closed:
            return True
        look_s = min(2.0 * look_s, LOOK_MAX_S)
    return False
