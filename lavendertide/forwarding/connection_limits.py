"""How many connections this host may open to a target.

A target accepts a number of connections from all hosts together. It comes from the
route table, and the number of hosts from the fleet, so it changes with both.
"""

from lavendertide.forwarding.fleet_callbacks import FleetCallbacks
from lavendertide.forwarding.pool import connection_share
from lavendertide.registry.record import TargetRecord
from lavendertide.routes.active_routes import ActiveRoutes


class ConnectionLimits:
    """Finds the limits that are in force.

    Args:
        active_routes: The table in force.
        fleet: The hosts that share the targets.
    """

    def __init__(self, active_routes: ActiveRoutes, fleet: FleetCallbacks) -> None:
        self._active_routes = active_routes
        self._fleet = fleet

    def connections_max(self, record: TargetRecord, now_s: float) -> int:
        """Returns how many connections may be open to a target."""
        table = self._active_routes.table
        service = table.services.get(record.service) if table is not None else None
        if service is None:
            return 1
        return connection_share(
            service.connections_max,
            record.slots,
            self._fleet.connection_hosts(now_s),
            self._fleet.has_previous_connections(now_s),
        )
