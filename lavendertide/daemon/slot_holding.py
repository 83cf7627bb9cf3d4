"""Builds the components that hold targets' slots and send sub-requests to targets."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from lavendertide.configuration.adoption import Configuration
from lavendertide.daemon.counted_exchanges import CountedExchangeFactory
from lavendertide.daemon.dispatcher import Dispatcher
from lavendertide.daemon.quarantine_service import QuarantineService
from lavendertide.daemon.slot_manager import SlotManager
from lavendertide.encodings.target_http import HttpExchangeFactory
from lavendertide.fleet.holders import HolderTable
from lavendertide.fleet.lease import LeaseTiming
from lavendertide.fleet.lease_book import LeaseBook
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.readiness import Readiness
from lavendertide.fleet.roster import Roster
from lavendertide.fleet.static_share import StaticShare
from lavendertide.metrics.metrics import Metrics
from lavendertide.options import Options, RouteStaticShare, RouteToPrimary
from lavendertide.runtime import clock
from lavendertide.targets.place import TargetPlace
from lavendertide.targets.target_pool import SlotSource, TargetPool

LEASE_MARGIN_S: Final = 0.5


@dataclass(frozen=True, slots=True)
class SlotHolding:
    """The target pool, slot manager and dispatcher of a daemon."""

    pool: TargetPool
    slot_manager: SlotManager
    dispatcher: Dispatcher


def make_slot_holding(
    options: Options,
    configuration: Configuration,
    roster: Roster,
    peers: Peers,
    readiness: Readiness,
    metrics: Metrics,
) -> SlotHolding:
    """Builds the components for one daemon."""
    table = HolderTable(roster)
    lease_book = _make_lease_book(options, roster, table)
    slots, holds = _slot_source(options, configuration, roster, lease_book)
    quarantine = QuarantineService(roster, peers)
    attempt_s = _attempt_s(options)
    factory = CountedExchangeFactory(
        HttpExchangeFactory(options.queries.reply_max_bytes), metrics, attempt_s
    )
    pool = TargetPool(factory, slots, quarantine, attempt_s)
    routing = options.policies.routing
    return SlotHolding(
        pool,
        SlotManager(
            configuration, roster, table, lease_book, pool, peers, quarantine, holds
        ),
        Dispatcher(
            routing, configuration, roster, table, peers, readiness, pool, quarantine
        ),
    )


def join_s(options: Options) -> float:
    """Returns for how many seconds after its start a daemon can hold no slots."""
    return _lease_timing(options).drain_s


def _make_lease_book(options: Options, roster: Roster, table: HolderTable) -> LeaseBook:
    own_address = options.addresses.peers
    expects_peers = any(seed != own_address for seed in options.fleet.seeds)
    now_s = clock.monotonic_s()
    return LeaseBook(roster, table, _lease_timing(options), expects_peers, now_s)


def _lease_timing(options: Options) -> LeaseTiming:
    return LeaseTiming(options.fleet.lease_s, _attempt_s(options), LEASE_MARGIN_S)


def _slot_source(
    options: Options,
    configuration: Configuration,
    roster: Roster,
    lease_book: LeaseBook,
) -> tuple[SlotSource, Callable[[TargetPlace], bool]]:
    match options.policies.routing:
        case RouteStaticShare():
            share = StaticShare(configuration, roster)
            return share, lambda place: place.region == roster.own.region
        case RouteToPrimary():
            return lease_book, lambda place: lease_book.holds(place.target)


def _attempt_s(options: Options) -> float:
    return options.queries.deadline_max_ms / 1000
