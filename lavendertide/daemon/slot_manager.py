"""The task that keeps this daemon's leases, lanes and quarantine up to date."""

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
    """Hands slots over with peers, and opens and closes lanes."""

    def __init__(
        self,
        configuration: Configuration,
        roster: Roster,
        table: HolderTable,
        book: LeaseBook,
        pool: TargetPool,
        peers: Peers,
        quarantine: QuarantineService,
        holds: Callable[[TargetPlace], bool],
    ) -> None:
        self._configuration = configuration
        self._roster = roster
        self._table = table
        self._book = book
        self._pool = pool
        self._peers = peers
        self._quarantine = quarantine
        self._holds = holds
        self._followed = (-1, ConfigurationVersion(0))
        self._changes: tasks.Mailbox[bool] = tasks.Mailbox(1)
        _leases_waiting.set_function(lambda: self._book.claiming_count)
        _leases_held.set_function(lambda: self._book.held_count)

    def run(self) -> None:
        """Runs until the daemon stops; ticks more rarely while nothing waits."""
        self._roster.on_change(self._note_change)
        while True:
            now_s = clock.monotonic_s()
            self._book.detect_gaps(now_s)
            self.follow()
            for former, claims in self._book.due_claims(now_s).items():
                member = self._roster.find(former)
                if member is not None:
                    self._peers.link_to(member).send(claims)
            self._pool.wake(now_s)
            self._quarantine.greet_joiners()
            self._rest()

    def follow(self) -> None:
        """Takes over a change of the members or of the published targets."""
        present = self._table.generation, self._configuration.version
        if present == self._followed:
            self._pool.open_replacements()
            return
        match self._configuration.catalog:
            case Success(catalog):
                self._followed = present
                places = list(catalog.targets.values())
                self._book.update(places, clock.monotonic_s())
                self._peers.update_lease_partners(self._book.partners)
                self._pool.update_targets(
                    [place for place in places if self._holds(place)]
                )

    def take(self, frame: Frame) -> bool:
        """Takes in a frame of a peer; returns whether it was one for holders."""
        match frame:
            case SlotClaims():
                self._answer_claims(frame)
            case SlotReleases():
                self._book.apply_releases(frame, clock.monotonic_s())
            case Verdicts():
                self._quarantine.take_verdicts(frame)
            case TrialClaim():
                self._quarantine.take_claim(frame)
            case TrialGrant():
                self._quarantine.take_grant(frame)
            case _:
                return False
        return True

    def _note_change(self) -> None:
        self._changes.send(True)

    def _rest(self) -> None:
        if self._book.claiming_count or self._pool.has_pending:
            tasks.sleep(TICK_S)
            return
        now_s = clock.monotonic_s()
        if self._changes.receive(clock.next_tick_s(now_s, IDLE_TICK_S) - now_s):
            tasks.sleep(CHANGES_BATCH_S)

    def _answer_claims(self, claims: SlotClaims) -> None:
        self.follow()
        claimant = self._roster.find(claims.sender)
        releases = self._book.handle_claims(
            claims, self._pool.slots_in_use, clock.monotonic_s()
        )
        if claimant is not None and releases.items:
            self._peers.link_to(claimant).send(releases)
