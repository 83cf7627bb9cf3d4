"""JSON codec of the route table for its replication between hosts.

It uses this code's names, not those of the operator's configuration.
"""

import json
import math
from typing import Any

from lavendertide.ids import ConfigurationVersion, RouteName, ServiceName
from lavendertide.routes.route import (
    CallerLimits,
    Destination,
    GatheredShards,
    OneService,
    RequestKind,
    Route,
    Service,
    SplitServices,
    WeightedService,
)
from lavendertide.routes.table import RouteTable


def encode_table(table: RouteTable) -> bytes:
    """Serializes a route table."""
    limits = table.limits
    document = {
        "version": table.version,
        "routes": [_pack_route(route) for route in table.routes],
        "services": [[s.name, s.connections_max] for s in table.services.values()],
        # Apart from the services, whose lists an earlier release reads by their length.
        "cold": {
            s.name: [s.cold_start_s, s.cold_per_s]
            for s in table.services.values()
            if s.cold_start_s or s.cold_per_s
        },
        "limits": [
            limits.header_max_bytes,
            limits.body_max_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        ],
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode_table(data: bytes) -> RouteTable:
    """Parses a route table.

    Raises:
        ValueError: The data is not a route table.
    """
    try:
        document = json.loads(data)
        # An earlier release sends none.
        cold = document.get("cold", {})
        services = [
            Service(ServiceName(name), connections, *map(_amount, cold.get(name, ())))
            for name, connections in document["services"]
        ]
        return RouteTable(
            ConfigurationVersion(document["version"]),
            tuple(_unpack_route(route) for route in document["routes"]),
            {service.name: service for service in services},
            CallerLimits(*document["limits"]),
        )
    except (ArithmeticError, AttributeError, LookupError, TypeError) as error:
        raise ValueError("not a route table; run one release on all hosts") from error
    except RecursionError as error:
        raise ValueError("the route table is nested too deeply") from error


def _amount(value: Any) -> float:
    """Returns a number that is finite and not negative."""
    amount = float(value)
    if not 0.0 <= amount < math.inf:
        raise ValueError(f"{value!r} is not a number from 0")
    return amount


def _pack_route(route: Route) -> list[Any]:
    return [
        route.name,
        route.host,
        route.prefix,
        route.kind.value,
        _pack_destination(route.destination),
        route.wait_max_s,
        route.objective_s,
        route.attempts_max,
        route.priority,
    ]


def _pack_destination(destination: Destination) -> list[Any]:
    match destination:
        case OneService(service):
            return ["one", service]
        case SplitServices(services):
            return ["split", [[part.service, part.weight] for part in services]]
        case GatheredShards(shards, records_max, coverage_min):
            return ["gathered", list(shards), records_max, coverage_min]


def _unpack_route(packed: list[Any]) -> Route:
    name, host, prefix, kind, destination, wait_max, objective, attempts, rank = packed
    return Route(
        RouteName(name),
        host,
        prefix,
        RequestKind(kind),
        _unpack_destination(destination),
        wait_max,
        objective,
        attempts,
        rank,
    )


def _unpack_destination(packed: list[Any]) -> Destination:
    match packed:
        case ["one", service]:
            return OneService(ServiceName(service))
        case ["split", services]:
            parts = tuple(WeightedService(ServiceName(s), w) for s, w in services)
            return SplitServices(parts)
        case ["gathered", shards, records_max, coverage_min]:
            names = tuple(ServiceName(shard) for shard in shards)
            return GatheredShards(names, records_max, coverage_min)
        case _:
            raise ValueError(f"unknown destination {packed[:1]!r}")
