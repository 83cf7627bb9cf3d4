"""The task that keeps this daemon's slot leases, lanes and quarantine up to date."""

from collections.abc import Callable
from typing import Final

from prometheus_client import Gauge
from returns.result import Success

from lavendertide.configuration.adoption import Configuration
from lavendertide.daemon.quarantine_service import QuarantineService
from lavendertide.fleet.holders import HolderTable
from lavendertide.fleet.lease_book import LeaseBook
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.roster import Roster
from lavendertide.ids import ConfigurationVersion
from lavendertide.messages import (
    Frame,
    SlotClaims,
    SlotReleases,
    TrialClaim,
    TrialGrant,
    Verdicts,
)
from lavendertide.runtime import clock, tasks
from lavendertide.targets.place import TargetPlace
from lavendertide.targets.target_pool import TargetPool

TICK_S: Final = 0.05
IDLE_TICK_S: Final = 0.2
CHANGES_BATCH_S: Final = 0.02

_leases_waiting = Gauge(
    "lavendertide_leases_waiting",
    "Targets whose primary this daemon is but whose slots it may not use yet.",
)
_leases_held = Gauge(
    "lavendertide_leases_held",
    "Targets for which this daemon is the primary or the backup.",
)


class SlotManager:
    """Exchanges slots with peers, and opens and closes lanes accordingly.

    It ticks every `TICK_S` while a claim, a job or a closing lane is pending, and every
    `IDLE_TICK_S` or when the members change otherwise. Changes within
    `CHANGES_BATCH_S` are applied together.
    """

    def __init__(
        self,
        configuration: Configuration,
        roster: Roster,
        table: HolderTable,
        lease_book: LeaseBook,
        pool: TargetPool,
        peers: Peers,
        quarantine: QuarantineService,
        holds: Callable[[TargetPlace], bool],
    ) -> None:
        self._configuration = configuration
        self._roster = roster
        self._table = table
        self._lease_book = lease_book
        self._pool = pool
        self._peers = peers
        self._quarantine = quarantine
        self._holds = holds
        self._applied = (-1, ConfigurationVersion(0))
        self._changes: tasks.Mailbox[bool] = tasks.Mailbox(1)
        _leases_waiting.set_function(lambda: self._lease_book.claiming_count)
        _leases_held.set_function(lambda: self._lease_book.held_count)

    def run(self) -> None:
        """Sends due claims, wakes lanes and syncs new members at each tick."""
        self._roster.on_change(self._record_change)
        while True:
            now_s = clock.monotonic_s()
            self._lease_book.detect_gaps(now_s)
            self.apply_changes()
            for previous_holder, claims in self._lease_book.due_claims(now_s).items():
                member = self._roster.find(previous_holder)
                if member is not None:
                    self._peers.link_to(member).send(claims)
            self._pool.wake(now_s)
            self._quarantine.sync_new_members()
            self._wait_for_tick()

    def apply_changes(self) -> None:
        """Applies changes of the members or published targets since the last call."""
        present = self._table.generation, self._configuration.version
        if present == self._applied:
            self._pool.open_replacements()
            return
        match self._configuration.catalog:
            case Success(catalog):
                self._applied = present
                places = list(catalog.targets.values())
                self._lease_book.update(places, clock.monotonic_s())
                self._peers.update_lease_partners(self._lease_book.partners)
                self._pool.update_targets(
                    [place for place in places if self._holds(place)]
                )

    def handle(self, frame: Frame) -> bool:
        """Handles a frame about slots or quarantine; returns false for any other."""
        match frame:
            case SlotClaims():
                self._reply_to_claims(frame)
            case SlotReleases():
                self._lease_book.apply_releases(frame, clock.monotonic_s())
            case Verdicts():
                self._quarantine.handle_verdicts(frame)
            case TrialClaim():
                self._quarantine.handle_claim(frame)
            case TrialGrant():
                self._quarantine.handle_grant(frame)
            case _:
                return False
        return True

    def _record_change(self) -> None:
        self._changes.send(True)

    def _wait_for_tick(self) -> None:
        if self._lease_book.claiming_count or self._pool.has_pending:
            tasks.sleep(TICK_S)
            return
        now_s = clock.monotonic_s()
        if self._changes.receive(clock.next_tick_s(now_s, IDLE_TICK_S) - now_s):
            tasks.sleep(CHANGES_BATCH_S)

    def _reply_to_claims(self, claims: SlotClaims) -> None:
        self.apply_changes()
        claimant = self._roster.find(claims.sender)
        releases = self._lease_book.handle_claims(
            claims, self._pool.slots_in_use, clock.monotonic_s()
        )
        if claimant is not None and releases.items:
            self._peers.link_to(claimant).send(releases)
