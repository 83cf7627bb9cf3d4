"""How a daemon leaves: announced at first, and no request in flight is cut off.

It goes on taking requests for as long as callers may keep an address answer that
still names it, then closes its listeners, finishes what it has taken, and says that
it is gone. A second signal or a bound on the whole ends it at once.
"""

import logging
from collections.abc import Callable
from typing import Final

from lavendertide.daemon.in_flight import InFlightCounter
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.readiness import Readiness
from lavendertide.fleet.roster import Roster
from lavendertide.messages import MemberState
from lavendertide.runtime import clock, tasks

FAREWELL_S: Final = 0.3

_log = logging.getLogger(__name__)


class Drain:
    """Takes a daemon out of the fleet.

    Args:
        lifetime_s: How long callers may keep an address answer.
        bound_s: How long to wait, after that, for requests in flight.
        close_listeners: Stops accepting connections.
    """

    def __init__(
        self,
        roster: Roster,
        peers: Peers,
        readiness: Readiness,
        in_flight: InFlightCounter,
        lifetime_s: float,
        bound_s: float,
        close_listeners: Callable[[], None],
    ) -> None:
        self._roster = roster
        self._peers = peers
        self._readiness = readiness
        self._in_flight = in_flight
        self._lifetime_s = lifetime_s
        self._bound_s = bound_s
        self._close_listeners = close_listeners
        self._begun = tasks.Signal()
        self._ended = tasks.Signal()

    def request(self) -> None:
        """Begins to leave; asked for again, ends at once."""
        if self._begun.is_set:
            self._ended.set()
        self._begun.set()

    def run(self) -> None:
        """Waits for the request to leave and returns when the process may end."""
        self._begun.wait()
        leaver = tasks.spawn(self._leave)
        self._ended.wait()
        leaver.stop()

    def _leave(self) -> None:
        now_s = clock.monotonic_s()
        _log.info("leaving")
        self._readiness.leave(now_s + self._lifetime_s)
        self._announce(MemberState.LEAVING)
        tasks.sleep(self._lifetime_s)
        self._close_listeners()
        until_s = clock.monotonic_s() + self._bound_s
        if not self._in_flight.wait_until_idle(until_s):
            _log.warning("ended with %d requests in flight", self._in_flight.count)
        self._announce(MemberState.REMOVED)
        tasks.sleep(FAREWELL_S)
        self._ended.set()

    def _announce(self, state: MemberState) -> None:
        self._roster.announce(state, clock.monotonic_s())
        self._peers.broadcast_heartbeat()
