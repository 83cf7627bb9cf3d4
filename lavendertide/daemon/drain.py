"""Graceful shutdown of a daemon.

The daemon announces that it is leaving. It accepts requests for as long as callers may
cache an address list that still names it, then closes its listeners, finishes the
requests in flight and announces its removal. A second signal ends the acceptance at
once, but cuts off no request. A time bound limits the wait for requests in flight.
Those that are still in flight then are answered with what has arrived, since an answer
says more than a closed connection.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from lavendertide.daemon.in_flight import InFlightCounter
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.readiness import Readiness
from lavendertide.fleet.roster import Roster
from lavendertide.messages import MemberState
from lavendertide.runtime import clock, tasks

# Time for the last heartbeats to reach the peers before the process ends.
FINAL_HEARTBEAT_S: Final = 0.3

_log = logging.getLogger(__name__)


def _ignore(*_: object) -> None:
    pass


@dataclass(frozen=True, slots=True)
class DrainedFront:
    """What a drain needs of the part that serves callers.

    Attributes:
        close_listeners: Stops accepting connections and requests.
        announce_end: Called at the start with the monotonic time at which requests in
            flight are no longer awaited.
        end_requests: Has the requests in flight answered at once.
    """

    close_listeners: Callable[[], None]
    announce_end: Callable[[float], None] = _ignore
    end_requests: Callable[[], None] = _ignore


class Drain:
    """Shuts the daemon down and removes it from the fleet.

    Args:
        lifetime_s: How long callers may cache an address list.
        bound_s: How long to wait for requests in flight after that.
        front: Serves callers until the drain stops it.
    """

    def __init__(
        self,
        roster: Roster,
        peers: Peers,
        readiness: Readiness,
        in_flight: InFlightCounter,
        lifetime_s: float,
        bound_s: float,
        front: DrainedFront,
    ) -> None:
        self._roster = roster
        self._peers = peers
        self._readiness = readiness
        self._in_flight = in_flight
        self._lifetime_s = lifetime_s
        self._bound_s = bound_s
        self._front = front
        self._requested = tasks.Signal()
        self._acceptance_ended = tasks.Signal()

    def request(self) -> None:
        """Starts the shutdown; a second request ends the acceptance of requests."""
        if self._requested.is_set:
            self._acceptance_ended.set()
        self._requested.set()

    def run(self) -> None:
        """Waits for a shutdown request and returns when the process may end."""
        self._requested.wait()
        now_s = clock.monotonic_s()
        _log.info("leaving")
        self._front.announce_end(now_s + self._lifetime_s + self._bound_s)
        self._readiness.leave(now_s + self._lifetime_s)
        self._announce(MemberState.LEAVING)
        self._acceptance_ended.wait(self._lifetime_s)
        self._front.close_listeners()
        until_s = clock.monotonic_s() + self._bound_s
        if not self._in_flight.wait_until_idle(until_s):
            _log.warning("ended with %d requests in flight", self._in_flight.count)
            self._front.end_requests()
        self._announce(MemberState.REMOVED)
        # The last responses are written in this time, too.
        tasks.sleep(FINAL_HEARTBEAT_S)

    def _announce(self, state: MemberState) -> None:
        self._roster.announce(state, clock.monotonic_s())
        self._peers.broadcast_heartbeat()
