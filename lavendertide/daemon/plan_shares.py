"""Builds the exchange of plan shares between this daemon and its peers."""

from lavendertide.configuration.adoption import Configuration
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.roster import SILENCE_S, Roster
from lavendertide.ids import DaemonId, PlanId
from lavendertide.messages import MemberState
from lavendertide.plans.allocation import Presence
from lavendertide.plans.allocator import PlanAllocator
from lavendertide.plans.allocators import Allocators
from lavendertide.plans.share_exchange import ShareExchange
from lavendertide.runtime import clock


def make_share_exchange(
    configuration: Configuration, roster: Roster, peers: Peers
) -> ShareExchange:
    """Connects the share exchange to the plans' rates and the members' presence."""

    def rate_of(plan: PlanId) -> float | None:
        catalog = configuration.catalog.value_or(None)
        found = catalog.plans_by_id.get(plan) if catalog else None
        return found.rate_per_s if found else None

    def presence_of(daemon: DaemonId) -> Presence:
        return _presence(roster, daemon, clock.monotonic_s())

    allocator = PlanAllocator(rate_of, presence_of, clock.monotonic_s())
    return ShareExchange(roster, peers, Allocators(), allocator)


def _presence(roster: Roster, daemon: DaemonId, now_s: float) -> Presence:
    member = roster.find(daemon)
    if member is None or member.state is MemberState.REMOVED:
        return Presence.GONE
    if roster.is_reachable(daemon, SILENCE_S, now_s):
        return Presence.PRESENT
    return Presence.SILENT
