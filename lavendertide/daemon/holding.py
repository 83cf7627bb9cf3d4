"""Builds the parts of a daemon that hold targets' slots and send to targets."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from lavendertide.configuration.adoption import Configuration
from lavendertide.configuration.catalog import TargetPlace
from lavendertide.daemon.dispatcher import Dispatcher
from lavendertide.daemon.quarantine_service import QuarantineService
from lavendertide.daemon.slot_keeper import SlotKeeper
from lavendertide.encodings.target_http import HttpExchangeMaker
from lavendertide.fleet.holders import HolderTable
from lavendertide.fleet.lease import LeaseTiming
from lavendertide.fleet.lease_book import LeaseBook
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.roster import Roster
from lavendertide.fleet.static_share import StaticShare
from lavendertide.options import Options, RouteStaticShare, RouteToPrimary
from lavendertide.runtime import clock
from lavendertide.targets.target_pool import SlotSource, TargetPool

LEASE_MARGIN_S: Final = 0.5


@dataclass(frozen=True, slots=True)
class HoldingParts:
    """What the rest of the daemon needs of them."""

    keeper: SlotKeeper
    dispatcher: Dispatcher

    @classmethod
    def make(
        cls,
        options: Options,
        configuration: Configuration,
        roster: Roster,
        peers: Peers,
    ) -> "HoldingParts":
        """Builds the parts for one daemon."""
        table = HolderTable(lambda: roster.members)
        book = _lease_book(options, roster, table)
        slots, holds = _slot_source(options, configuration, roster, table, book)
        quarantine = QuarantineService(roster.own, table, peers)
        maker = HttpExchangeMaker(options.queries.reply_max_bytes)
        pool = TargetPool(maker, slots, quarantine, _attempt_s(options))
        return cls(
            SlotKeeper(configuration, table, book, pool, peers, quarantine, holds),
            Dispatcher(
                options.policies.routing,
                configuration,
                roster,
                table,
                peers,
                pool,
                quarantine,
            ),
        )


def _lease_book(options: Options, roster: Roster, table: HolderTable) -> LeaseBook:
    timing = LeaseTiming(options.fleet.lease_s, _attempt_s(options), LEASE_MARGIN_S)
    own_address = options.addresses.peers
    expects_peers = any(seed != own_address for seed in options.fleet.seeds)
    now_s = clock.monotonic_s()
    return LeaseBook(roster.own, table, roster, timing, expects_peers, now_s)


def _slot_source(
    options: Options,
    configuration: Configuration,
    roster: Roster,
    table: HolderTable,
    book: LeaseBook,
) -> tuple[SlotSource, Callable[[TargetPlace], bool]]:
    match options.policies.routing:
        case RouteStaticShare():
            share = StaticShare(configuration, table)
            return share, lambda place: place.region == roster.own.region
        case RouteToPrimary():
            return book, lambda place: book.holds(place.target)


def _attempt_s(options: Options) -> float:
    return options.queries.deadline_max_ms / 1000
