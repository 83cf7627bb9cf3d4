"""How many connections one daemon may open to a target.

A target's published cap is shared by everybody who may be connected at a time: the
primary, the backup, and both holders of the generation before, whose connections may
still be open while the members change.
"""

from dataclasses import dataclass
from typing import Final

HOLDERS_MAX: Final = 4
CONTROL_CONNECTIONS: Final = 1
# Below this cap a holder has none left for control, or none at all.
CONNECTIONS_MIN: Final = HOLDERS_MAX * (CONTROL_CONNECTIONS + 1)


@dataclass(frozen=True, slots=True)
class ConnectionBudget:
    """One holder's connections to a target.

    Attributes:
        working: Connections that carry sub-requests, one for each slot at most.
        control: Connections that carry cancellations and read the health.
    """

    working: int
    control: int


def connection_budget(slots: int, connections: int) -> ConnectionBudget:
    """Returns what one holder may open.

    Args:
        slots: Requests that the target runs at a time.
        connections: The published cap; the rules of a publication refuse one below
            `CONNECTIONS_MIN`.
    """
    share = connections // HOLDERS_MAX
    if share <= CONTROL_CONNECTIONS:
        return ConnectionBudget(share, 0)
    return ConnectionBudget(
        min(slots, share - CONTROL_CONNECTIONS), CONTROL_CONNECTIONS
    )
