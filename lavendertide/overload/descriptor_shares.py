"""Divides a host's descriptors between callers, peers and targets.

It handles crowds of callers, peers and targets that each take few descriptors and all
together more than the host has. Each kind of connection has a bound of its own, so that
no crowd of one kind keeps the others out. The decision is local to a host.
"""

from typing import Final

from lavendertide.overload.caller_connections import (
    LEAST_CONNECTIONS,
    RESERVED_FILES,
    connections_max_of,
)

# Part of the descriptors that callers' connections may have. With the fewest of a host
# (4,100) it is more than the 2,000 that a front serves.
CALLERS_SHARE: Final = 0.6
# Part of the rest that peers may have at most.
PEERS_SHARE: Final = 0.5
# Connections for each member: one that this host has dialled, and one that it accepted.
CONNECTIONS_PER_MEMBER: Final = 2
# Further ones for peers, such as those of members that aren't known yet.
OTHER_PEERS: Final = 100


class DescriptorShares:
    """The bounds on each kind of connection.

    Args:
        files_max: Descriptors that the process may have open.
        callers_max: Connections that a front serves if files don't matter.
    """

    def __init__(self, files_max: int, callers_max: int) -> None:
        available = max(0, files_max - RESERVED_FILES)
        share = max(LEAST_CONNECTIONS, int(CALLERS_SHARE * available))
        self._callers_max = min(connections_max_of(files_max, callers_max), share)
        self._others_max = max(LEAST_CONNECTIONS, available - self._callers_max)

    @property
    def callers_max(self) -> int:
        """Connections of callers that may be open."""
        return self._callers_max

    def peers_max(self, members: int) -> int:
        """Connections to and from peers above which no more are accepted.

        Args:
            members: Number of hosts that are known.
        """
        needed = CONNECTIONS_PER_MEMBER * members + OTHER_PEERS
        return min(int(PEERS_SHARE * self._others_max), needed)

    def targets_max(self, members: int) -> int:
        """Connections to targets that may be open.

        Args:
            members: Number of hosts that are known.
        """
        return self._others_max - self.peers_max(members)
