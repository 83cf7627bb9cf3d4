"""Which part of what the fleet may repeat belongs to this host."""

from typing import Final

from lavendertide.fleet.readiness import ALONE_AFTER_S
from lavendertide.gateway.fleet_size import FleetSize

# Part that all hosts share evenly; the hosts that callers are told to use share the
# rest. Half covers callers that still use other hosts, while in a large fleet, where
# few hosts are named, those have many times an even share.
EVENLY_SHARED_FRACTION: Final = 0.5


class BudgetShare:
    """This host's share, by what the roster says of all.

    No host asks another: each computes from the roster which hosts are named. The
    shares add up to one while rosters agree. When the naming moves, a host that is
    named anew waits until what the others have spent has left the window.

    Args:
        window_s: Over which the fleet's repeats are counted.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._fleet_size = FleetSize()
        self._named_size = FleetSize()
        self._is_first = True
        self._alone_since_s: float | None = None
        self._named_share_from_s: float | None = None

    @property
    def hosts(self) -> int:
        """How many hosts the fleet has had lately."""
        return self._fleet_size.hosts

    @property
    def has_known_peers(self) -> bool:
        """Whether any other host was ever known."""
        return self._fleet_size.is_known

    def update(self, members: int, named: int, is_named: bool, now_s: float) -> None:
        """Takes in what the roster says now.

        Args:
            members: Hosts that are known, this one included.
            named: Hosts that callers are told to use.
            is_named: Whether this host is one of them.
            now_s: Present time, monotonic.
        """
        if self._alone_since_s is None:
            self._alone_since_s = now_s
        self._fleet_size.update(members, now_s)
        self._named_size.update(named, now_s)
        if not is_named:
            self._named_share_from_s = None
        elif self._named_share_from_s is None:
            # A host that starts takes the place of its earlier self.
            delay_s = 0.0 if self._is_first else self._window_s
            self._named_share_from_s = now_s + delay_s
        self._is_first = False

    def share(self, now_s: float) -> float:
        """Returns the part of the fleet's repeats that this host may send.

        A host that knows no other may be one of any number that have just started. It
        has only what its own requests earn, until it is known to be alone.
        """
        if not self._fleet_size.is_known and not self._is_alone(now_s):
            return 0.0
        even_share = EVENLY_SHARED_FRACTION / self._fleet_size.hosts
        if self._named_share_from_s is None or now_s < self._named_share_from_s:
            return even_share
        return even_share + (1.0 - EVENLY_SHARED_FRACTION) / self._named_size.hosts

    def _is_alone(self, now_s: float) -> bool:
        alone_since_s = self._alone_since_s
        return alone_since_s is not None and now_s - alone_since_s >= ALONE_AFTER_S
