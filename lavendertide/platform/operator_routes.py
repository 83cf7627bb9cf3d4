"""Decodes the operator's configuration into a route table."""

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

KIND_OF_ROUTE_TYPE = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
}
DEFAULT_LIMITS = {
    "max-header-bytes": 16_384,
    "max-body-bytes": 262_144,
    "header-timeout-ms": 3_000,
    "idle-timeout-ms": 15_000,
}


def decode_routes(document: Any) -> RouteTable:
    """Returns the route table in a configuration.

    Args:
        document: The configuration, parsed as JSON.

    Raises:
        ValueError: The document is not a valid configuration; the caller keeps the
            routes in force.
    """
    try:
        services = [_decode_service(entry) for entry in document["services"]]
        return RouteTable(
            ConfigurationVersion(_whole_number(document["version"])),
            tuple(_decode_route(entry) for entry in document["routes"]),
            {service.name: service for service in services},
            _decode_limits(document.get("limits") or {}),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"field missing or of another type: {error!r}") from error


def _whole_number(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is not a whole number")
    return value


def _decode_service(entry: Any) -> Service:
    return Service(ServiceName(entry["name"]), int(entry["max-conns"]))


def _decode_route(entry: Any) -> Route:
    kind = KIND_OF_ROUTE_TYPE.get(entry["route-type"])
    if kind is None:
        raise ValueError(f"unknown route-type {entry['route-type']!r}")
    timeout_s = entry["timeout-ms"] / 1_000
    return Route(
        name=RouteName(entry["name"]),
        host=str(entry["host"]).lower(),
        prefix=str(entry["prefix"]),
        kind=kind,
        destination=_decode_destination(entry),
        wait_max_s=timeout_s,
        objective_s=entry.get("target-latency-ms", entry["timeout-ms"]) / 1_000,
        # Counts distinct targets; a second attempt at the same target is not counted.
        attempts_max=int(entry.get("max-attempts", 1)),
        priority=int(entry.get("priority", 0)),
    )


def _decode_destination(entry: Any) -> Destination:
    if "gather" in entry:
        shards = tuple(ServiceName(name) for name in entry["gather"])
        return GatheredShards(shards, int(entry["top-k"]), float(entry["min-coverage"]))
    if "traffic-split" in entry:
        return SplitServices(
            tuple(
                WeightedService(ServiceName(part["service"]), float(part["weight"]))
                for part in entry["traffic-split"]
            )
        )
    return OneService(ServiceName(entry["service"]))


def _decode_limits(entry: dict[str, Any]) -> CallerLimits:
    values = {name: entry.get(name, value) for name, value in DEFAULT_LIMITS.items()}
    return CallerLimits(
        header_max_bytes=int(values["max-header-bytes"]),
        body_max_bytes=int(values["max-body-bytes"]),
        header_timeout_s=values["header-timeout-ms"] / 1_000,
        idle_timeout_s=values["idle-timeout-ms"] / 1_000,
    )
