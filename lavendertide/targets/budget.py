"""Computes how many connections one daemon may open to a target.

A target's published connection cap is divided by the number of daemons that may be
connected at the same time: the primary, the backup, and the primary and backup of the
previous generation, whose connections may still be open while the members change.
"""

from dataclasses import dataclass
from typing import Final

HOLDERS_MAX: Final = 4
CONTROL_CONNECTIONS: Final = 1
# Below this cap a holder has no control connection, or no connection at all.
CONNECTIONS_MIN: Final = HOLDERS_MAX * (CONTROL_CONNECTIONS + 1)


@dataclass(frozen=True, slots=True)
class ConnectionBudget:
    """The connections that one holder may open to a target.

    Attributes:
        working: Connections that carry sub-requests, at most one per slot.
        control: Connections that carry cancellations and health checks.
    """

    working: int
    control: int


def connection_budget(slots: int, connections: int) -> ConnectionBudget:
    """Returns the connections that one holder may open.

    Args:
        slots: Number of requests that the target runs at a time.
        connections: The published connection cap; a publication with a cap below
            `CONNECTIONS_MIN` is refused.
    """
    share = connections // HOLDERS_MAX
    if share <= CONTROL_CONNECTIONS:
        return ConnectionBudget(share, 0)
    return ConnectionBudget(
        min(slots, share - CONTROL_CONNECTIONS), CONTROL_CONNECTIONS
    )
