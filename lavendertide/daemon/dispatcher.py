"""Routes sub-requests to the daemon that holds the slots of their target."""

import contextlib
import logging
from collections.abc import Iterator
from dataclasses import replace
from typing import Final

from prometheus_client import Counter
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
    LossReason,
    Lost,
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

DISPATCH_FAILURES: Final = Counter(
    "lavendertide_dispatch_failures",
    "Sub-requests that an unexpected exception has ended before a target had them.",
)

_log = logging.getLogger(__name__)


@contextlib.contextmanager
def _lost_if_failed(
    request: SubRequest, inbox: tasks.Mailbox[SubReply]
) -> Iterator[None]:
    """Replies to a sub-request in whose dispatch an exception arises.

    It is lost and not declined, since it may have been sent.
    """
    try:
        yield
    except Exception:
        DISPATCH_FAILURES.inc()
        _log.exception("dispatch failed", extra={"attempt": request.attempt})
        inbox.send(Lost(request.attempt, LossReason.PEER_LOST))


class Dispatcher:
    """Submits sub-requests to this daemon's targets or relays them to the holder.

    `RouteToPrimary` prefers the primary and uses the backup while the primary is
    unreachable; `RouteStaticShare` always uses this daemon's own slots. Quarantined
    requests are declined, and suspect ones run alone.
    """

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
        """Sends a sub-request; the inbox receives exactly one reply."""
        with _lost_if_failed(request, inbox):
            self._send(request, inbox)

    def _send(self, request: SubRequest, inbox: tasks.Mailbox[SubReply]) -> None:
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
        member = self._select_holder(place, now_s)
        if member is None:
            inbox.send(Declined(request.attempt, DeclineReason.NO_LEASE))
        elif member.daemon == self._roster.own.daemon:
            self._submit(place, request, inbox, now_s)
        else:
            self._peers.link_to(member).relay(request, inbox)

    def accept(self, request: SubRequest, inbox: tasks.Mailbox[SubReply]) -> None:
        """Submits a peer's sub-request; the inbox receives exactly one reply."""
        with _lost_if_failed(request, inbox):
            place = self._place_of(request)
            if place is None:
                inbox.send(Declined(request.attempt, DeclineReason.STALE_VIEW))
                return
            self._submit(place, request, inbox, clock.monotonic_s())

    def cancel(self, attempts: list[AttemptId]) -> None:
        """Cancels attempts, here and at peers, whose replies are no longer needed."""
        if attempts:
            self._pool.cancel(attempts)
            self._peers.cancel(attempts)

    def cancel_for_peer(self, attempts: list[AttemptId]) -> None:
        """Cancels attempts that a peer has relayed to this daemon."""
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
                tasks.spawn(self._wait_and_submit, place, request, inbox, now_s)
            case Permission.NEVER:
                inbox.send(Declined(request.attempt, DeclineReason.POISONED))

    def _wait_and_submit(
        self,
        place: TargetPlace,
        request: SubRequest,
        inbox: tasks.Mailbox[SubReply],
        now_s: float,
    ) -> None:
        with _lost_if_failed(request, inbox):
            self._submit_alone(place, request, inbox, now_s)

    def _submit_alone(
        self,
        place: TargetPlace,
        request: SubRequest,
        inbox: tasks.Mailbox[SubReply],
        now_s: float,
    ) -> None:
        deadline = Deadline(now_s + request.remaining_ms / 1000)
        permission = self._quarantine.wait_for_trial(request, deadline)
        remaining_ms = deadline.remaining_ms(clock.monotonic_s())
        shortened = replace(request, remaining_ms=remaining_ms)
        match permission:
            case Permission.FREELY:
                self._pool.submit(place, shortened, inbox)
            case Permission.ALONE:
                self._pool.submit(place, shortened, inbox, is_alone=True)
            case Permission.NEVER:
                inbox.send(Declined(request.attempt, DeclineReason.POISONED))
            case None:
                inbox.send(Declined(request.attempt, DeclineReason.NO_LEASE))

    def _select_holder(self, place: TargetPlace, now_s: float) -> MemberRecord | None:
        match self._policy:
            case RouteStaticShare():
                return self._roster.own
            case RouteToPrimary():
                holders = self._table.holders_of(place)
        if holders is None:
            return None
        if self._is_usable(holders.primary, now_s):
            return holders.primary
        backup = holders.backup
        if backup is not None and self._is_usable(backup, now_s):
            return backup
        return None

    def _is_usable(self, member: MemberRecord, now_s: float) -> bool:
        if member.daemon == self._roster.own.daemon:
            return True
        return self._roster.is_reachable(member.daemon, SILENCE_S, now_s)
