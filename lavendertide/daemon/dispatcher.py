"""Carries sub-requests to whichever daemon holds their target's slots."""

from returns.result import Failure, Success

from lavendertide.configuration.adoption import Configuration
from lavendertide.configuration.catalog import Catalog, TargetPlace
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.ranking import TargetRanks
from lavendertide.fleet.readiness import Readiness
from lavendertide.fleet.roster import SILENCE_S, Roster
from lavendertide.ids import AttemptId
from lavendertide.messages import Declined, DeclineReason, SubReply, SubRequest
from lavendertide.runtime import clock, tasks
from lavendertide.targets.target_pool import TargetPool


class Dispatcher:
    """Finds the holder of a target's slots and relays to it."""

    def __init__(
        self,
        configuration: Configuration,
        roster: Roster,
        peers: Peers,
        readiness: Readiness,
        pool: TargetPool,
    ) -> None:
        self._configuration = configuration
        self._roster = roster
        self._peers = peers
        self._readiness = readiness
        self._ranks = TargetRanks(roster)
        self._pool = pool

    def send(self, request: SubRequest, inbox: tasks.Mailbox[SubReply]) -> None:
        """Sends a sub-request; exactly one reply comes to the inbox."""
        catalog: Catalog = self._configuration.catalog.unwrap()
        place = catalog.targets.get(request.target)
        if place is None:
            inbox.send(Declined(request.attempt, DeclineReason.STALE_VIEW))
            return
        match self._readiness.check(clock.monotonic_s()):
            case Success(_):
                self._relay(place, request, inbox)
            case Failure(_):
                inbox.send(Declined(request.attempt, DeclineReason.STALE_VIEW))

    def accept(self, request: SubRequest, inbox: tasks.Mailbox[SubReply]) -> None:
        """Takes a sub-request that a peer has relayed to this daemon."""
        catalog: Catalog = self._configuration.catalog.unwrap()
        place = catalog.targets.get(request.target)
        if place is None:
            inbox.send(Declined(request.attempt, DeclineReason.STALE_VIEW))
            return
        self._pool.submit(place, request, inbox)

    def cancel(self, attempts: list[AttemptId]) -> None:
        """Says that nobody waits for these attempts any more."""
        if not attempts:
            return
        self._pool.cancel(attempts)
        self._peers.cancel(attempts)

    def _relay(
        self,
        place: TargetPlace,
        request: SubRequest,
        inbox: tasks.Mailbox[SubReply],
    ) -> None:
        now_s = clock.monotonic_s()
        for member in self._ranks.of(place):
            if member.daemon == self._roster.own.daemon:
                self._pool.submit(place, request, inbox)
                return
            if self._roster.is_reachable(member.daemon, SILENCE_S, now_s):
                self._peers.link_to(member).relay(request, inbox)
                return
        inbox.send(Declined(request.attempt, DeclineReason.NO_LEASE))
