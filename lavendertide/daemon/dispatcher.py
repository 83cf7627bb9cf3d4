"""Carries sub-requests to whichever daemon holds their target's slots."""

from dataclasses import replace

from returns.result import Failure

from lavendertide.configuration.adoption import Configuration
from lavendertide.daemon.quarantine_service import QuarantineService
from lavendertide.fleet.holders import HolderTable
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.readiness import Readiness
from lavendertide.fleet.roster import SILENCE_S, Roster
from lavendertide.ids import AttemptId
from lavendertide.messages import (
    Declined,
    DeclineReason,
    MemberRecord,
    SubReply,
    SubRequest,
)
from lavendertide.options import RoutePolicy, RouteStaticShare, RouteToPrimary
from lavendertide.poison.quarantine import Permission
from lavendertide.queries.deadline import Deadline
from lavendertide.runtime import clock, tasks
from lavendertide.targets.place import TargetPlace
from lavendertide.targets.target_pool import TargetPool


class Dispatcher:
    """Finds the holder of a target's slots and relays to it."""

    def __init__(
        self,
        policy: RoutePolicy,
        configuration: Configuration,
        roster: Roster,
        table: HolderTable,
        peers: Peers,
        readiness: Readiness,
        pool: TargetPool,
        quarantine: QuarantineService,
    ) -> None:
        self._policy = policy
        self._configuration = configuration
        self._roster = roster
        self._table = table
        self._peers = peers
        self._readiness = readiness
        self._pool = pool
        self._quarantine = quarantine

    def send(self, request: SubRequest, inbox: tasks.Mailbox[SubReply]) -> None:
        """Sends a sub-request; exactly one reply comes to the inbox."""
        place = self._place_of(request)
        if place is None:
            inbox.send(Declined(request.attempt, DeclineReason.STALE_VIEW))
            return
        now_s = clock.monotonic_s()
        if isinstance(self._readiness.check(now_s), Failure):
            inbox.send(Declined(request.attempt, DeclineReason.STALE_VIEW))
            return
        if self._quarantine.permission(request, now_s) is Permission.NEVER:
            inbox.send(Declined(request.attempt, DeclineReason.POISONED))
            return
        member = self._holder_to_ask(place, now_s)
        if member is None:
            inbox.send(Declined(request.attempt, DeclineReason.NO_LEASE))
        elif member.daemon == self._roster.own.daemon:
            self._submit(place, request, inbox, now_s)
        else:
            self._peers.link_to(member).relay(request, inbox)

    def accept(self, request: SubRequest, inbox: tasks.Mailbox[SubReply]) -> None:
        """Takes a sub-request that a peer has relayed to this daemon."""
        place = self._place_of(request)
        if place is None:
            inbox.send(Declined(request.attempt, DeclineReason.STALE_VIEW))
            return
        self._submit(place, request, inbox, clock.monotonic_s())

    def cancel(self, attempts: list[AttemptId]) -> None:
        """Says that nobody waits for these attempts any more."""
        if attempts:
            self._pool.cancel(attempts)
            self._peers.cancel(attempts)

    def cancel_for_peer(self, attempts: list[AttemptId]) -> None:
        """Ends attempts that a peer has relayed to this daemon."""
        self._pool.cancel(attempts)

    def _place_of(self, request: SubRequest) -> TargetPlace | None:
        return self._configuration.catalog.unwrap().targets.get(request.target)

    def _submit(
        self,
        place: TargetPlace,
        request: SubRequest,
        inbox: tasks.Mailbox[SubReply],
        now_s: float,
    ) -> None:
        match self._quarantine.permission(request, now_s):
            case Permission.FREELY:
                self._pool.submit(place, request, inbox)
            case Permission.ALONE:
                tasks.spawn(self._submit_alone, place, request, inbox, now_s)
            case Permission.NEVER:
                inbox.send(Declined(request.attempt, DeclineReason.POISONED))

    def _submit_alone(
        self,
        place: TargetPlace,
        request: SubRequest,
        inbox: tasks.Mailbox[SubReply],
        now_s: float,
    ) -> None:
        deadline = Deadline(now_s + request.remaining_ms / 1000)
        permission = self._quarantine.wait_for_trial(request, deadline)
        left_ms = deadline.remaining_ms(clock.monotonic_s())
        later = replace(request, remaining_ms=left_ms)
        match permission:
            case Permission.FREELY:
                self._pool.submit(place, later, inbox)
            case Permission.ALONE:
                self._pool.submit(place, later, inbox, is_alone=True)
            case Permission.NEVER:
                inbox.send(Declined(request.attempt, DeclineReason.POISONED))
            case None:
                inbox.send(Declined(request.attempt, DeclineReason.NO_LEASE))

    def _holder_to_ask(self, place: TargetPlace, now_s: float) -> MemberRecord | None:
        match self._policy:
            case RouteStaticShare():
                return self._roster.own
            case RouteToPrimary():
                holders = self._table.holders_of(place)
        if holders is None:
            return None
        if self._can_ask(holders.primary, now_s):
            return holders.primary
        backup = holders.backup
        if backup is not None and self._can_ask(backup, now_s):
            return backup
        return None

    def _can_ask(self, member: MemberRecord, now_s: float) -> bool:
        if member.daemon == self._roster.own.daemon:
            return True
        return self._roster.is_reachable(member.daemon, SILENCE_S, now_s)
