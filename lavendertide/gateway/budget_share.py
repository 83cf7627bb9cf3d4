"""Divides the fleet's fixed budget of extra sub-requests among its hosts.

Extra sub-requests are second attempts, hedges and retries. Each host computes its own
share from the roster, without a message to the others.
"""

import math
from typing import Final

from lavendertide.fleet.readiness import ALONE_AFTER_S
from lavendertide.forwarding.budget import SPENDABLE_SHARE
from lavendertide.gateway.fleet_size import FleetSize

# Fraction of the budget that is split evenly among all hosts; the hosts that are named
# to callers split the rest. Half of the budget covers callers that still use other
# hosts. In a large fleet, where few hosts are named, a named host still has many times
# an even share.
EVENLY_SHARED_FRACTION: Final = 0.5
# Fraction of its share that a host may have spent one window after a restart. Together
# with what its previous run may have spent it fills the allowance, of which all runs
# leave the rest unspent.
RESTARTED_FRACTION: Final = 1.0 / SPENDABLE_SHARE - 1.0
# Fraction of a target's connections that is for the hosts which are named to callers.
# The others get few requests: those of callers that still use an earlier address.
NAMED_CONNECTIONS_FRACTION: Final = 0.5


class BudgetShare:
    """The fraction of the fleet's budget that this host may spend.

    Every host derives from the roster which hosts are named to callers, so the shares
    add up to one while the rosters agree. A newly named host gets its larger share
    only after one window, when the extra sub-requests of the hosts that were named
    before no longer count.

    A host that has restarted doesn't know what its previous runs have spent within the
    last window, so for one window its share grows from nothing to a small part. Any
    number of restarts, of any number of hosts, stays within the budget.

    Args:
        window_s: Window over which extra sub-requests are counted.
        restarted_at_s: Start of the process, monotonic; none if no earlier process can
            have spent anything.
    """

    def __init__(self, window_s: float, restarted_at_s: float | None = None) -> None:
        self._window_s = window_s
        self._restarted_at_s = restarted_at_s
        self._fleet_size = FleetSize()
        self._named_size = FleetSize()
        self._is_first = True
        self._alone_since_s: float | None = None
        self._named_share_from_s: float | None = None

    def connection_hosts(self, now_s: float) -> int:
        """Returns by how many hosts a target's connections are divided on this host.

        A named host shares half of them with the other named ones, so that its calls
        don't wait for each other while the connections of idle hosts are unused.
        """
        hosts, named = self._fleet_size.hosts, self._named_size.hosts
        if not self._fleet_size.is_known:
            return hosts
        if self._has_named_share(now_s):
            return min(hosts, math.ceil(named / NAMED_CONNECTIONS_FRACTION))
        others = max(1, hosts - named)
        return max(hosts, math.ceil(others / (1.0 - NAMED_CONNECTIONS_FRACTION)))

    @property
    def has_known_peers(self) -> bool:
        """Whether the roster has ever contained another host."""
        return self._fleet_size.is_known

    def update(self, members: int, named: int, is_named: bool, now_s: float) -> None:
        """Updates the share from the current roster.

        Args:
            members: Number of known hosts, this one included.
            named: Number of hosts that are named to callers.
            is_named: Whether this host is one of the named hosts.
            now_s: Present time, monotonic.
        """
        if self._alone_since_s is None:
            self._alone_since_s = now_s
        self._fleet_size.update(members, now_s)
        self._named_size.update(named, now_s)
        if not is_named:
            self._named_share_from_s = None
        elif self._named_share_from_s is None:
            # After a restart the host takes over the share of its previous run. What
            # that has spent is accounted for apart.
            delay_s = 0.0 if self._is_first else self._window_s
            self._named_share_from_s = now_s + delay_s
        self._is_first = False

    def share(self, now_s: float) -> float:
        """Returns the fraction of the fleet's budget that this host may spend.

        It is zero while the host knows no other and has not yet been alone for
        `ALONE_AFTER_S`: any number of hosts may have just started. Until then the host
        may spend only what its own requests earn.
        """
        if not self._fleet_size.is_known and not self._is_alone(now_s):
            return 0.0
        return self._restart_factor(now_s) * self._full_share(now_s)

    def _full_share(self, now_s: float) -> float:
        even_share = EVENLY_SHARED_FRACTION / self._fleet_size.hosts
        if not self._has_named_share(now_s):
            return even_share
        return even_share + (1.0 - EVENLY_SHARED_FRACTION) / self._named_size.hosts

    def _has_named_share(self, now_s: float) -> bool:
        """Returns whether this host has been named for at least one window."""
        from_s = self._named_share_from_s
        return from_s is not None and now_s >= from_s

    def _restart_factor(self, now_s: float) -> float:
        """Returns the part of the share that is not left to previous runs."""
        if self._restarted_at_s is None:
            return 1.0
        age = (now_s - self._restarted_at_s) / self._window_s
        return 1.0 if age >= 1.0 else RESTARTED_FRACTION * max(0.0, age)

    def _is_alone(self, now_s: float) -> bool:
        alone_since_s = self._alone_since_s
        return alone_since_s is not None and now_s - alone_since_s >= ALONE_AFTER_S
