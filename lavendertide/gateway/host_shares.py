"""The shares of one host: of repeats, connections and allowances of cold targets.

Load pattern: many hosts of which callers use a few. Every host derives its shares from
the roster, without a message; `budget_share` and `warmup.cold_share` say what holds
while the rosters disagree.
"""

from typing import Final

from lavendertide.fleet.addresses import AddressBook
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.readiness import Readiness, ReadinessState
from lavendertide.fleet.roster import Roster
from lavendertide.forwarding.pool import PREVIOUS_CONNECTIONS_S
from lavendertide.gateway.budget_share import BudgetShare
from lavendertide.gateway.fleet_view import view_fleet
from lavendertide.gateway.listed_check import select_unconfirmed
from lavendertide.gateway.options import GatewayOptions
from lavendertide.ids import CallerKey, DaemonId
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.runtime import clock, tasks
from lavendertide.warmup.cold_share import ColdShare

# Interval between updates of the shares; a fraction of the budgets' window.
SHARE_INTERVAL_S: Final = 1.0
# The same while no other host is known; a fraction of the time in which hosts that
# start together learn of each other.
FIRST_SHARE_INTERVAL_S: Final = 0.1
# With more host names than this in the routes, nearly all hosts are named to callers of
# one of them, so all count as named.
RANKED_NAMES_MAX: Final = 16


class HostShares:
    """Updates the shares of one host from the roster.

    Args:
        started_at_s: Start of this process, monotonic.
    """

    def __init__(
        self,
        options: GatewayOptions,
        roster: Roster,
        peers: Peers,
        addresses: AddressBook,
        active_routes: ActiveRoutes,
        readiness: Readiness,
        cold_share: ColdShare,
        started_at_s: float,
    ) -> None:
        self._roster = roster
        self._peers = peers
        self._addresses = addresses
        self._active_routes = active_routes
        self._readiness = readiness
        self._started_at_s = started_at_s
        self._budget = BudgetShare(
            options.retries.window_s, None if options.is_first_start else started_at_s
        )
        self._cold = cold_share

    @property
    def budget(self) -> BudgetShare:
        """The share of the fleet's repeats and of the targets' connections."""
        return self._budget

    def run(self) -> None:
        """Updates the shares while this host is serving, until the process ends."""
        while True:
            if self._readiness.state is ReadinessState.SERVING:
                self.update(clock.monotonic_s())
            tasks.sleep(
                SHARE_INTERVAL_S
                if self._budget.has_known_peers
                else FIRST_SHARE_INTERVAL_S
            )

    def update(self, now_s: float) -> None:
        """Updates the shares from the present roster.

        Named hosts that nobody may suspect at present are contacted.
        """
        named = self._named_hosts(now_s)
        for member in select_unconfirmed(self._roster, named, now_s):
            self._peers.link_to(member).send_heartbeat()
        is_named = self._roster.own.daemon in named
        self._budget.update(len(self._roster.members), len(named), is_named, now_s)
        self._cold.update(view_fleet(self._roster, named, now_s), now_s)

    def may_have_previous_connections(self, now_s: float) -> bool:
        """Returns whether targets may still count connections of the previous run.

        A host that knows no other divides the targets' connections by more hosts than
        there are, which leaves enough room for those connections already.
        """
        return (
            self._budget.has_known_peers
            and now_s - self._started_at_s < PREVIOUS_CONNECTIONS_S
        )

    def _named_hosts(self, now_s: float) -> frozenset[DaemonId]:
        """Returns the hosts that are named to callers of any route."""
        table = self._active_routes.table
        keys = () if table is None else table.caller_hosts
        if len(keys) > RANKED_NAMES_MAX:
            return frozenset(member.daemon for member in self._roster.members)
        return self._addresses.members_listed_for(map(CallerKey, keys), now_s)
