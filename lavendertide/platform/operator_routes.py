"""Decodes the operator's configuration into a route table."""

from typing import Any, Final

from lavendertide.ids import ConfigurationVersion, RouteName, ServiceName
from lavendertide.platform.fields import list_field, number, text_field, whole_number
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
VERSION_MAX: Final = 2**63 - 1
COUNT_MAX: Final = 2**31 - 1
# Longest time-out or objective in milliseconds: a day.
DURATION_MAX_MS: Final = 86_400_000
WEIGHT_MAX: Final = 1e9
# Longest cold start in seconds, and the greatest rate of a cold target.
COLD_START_MAX_S: Final = 3_600.0
COLD_RATE_MAX: Final = 1e6


def decode_routes(document: Any) -> RouteTable:
    """Returns the route table in a configuration.

    A configuration is used as a whole or not at all, since its routes and services
    refer to each other.

    Args:
        document: The configuration, parsed as JSON.

    Raises:
        ValueError: The document is not a valid configuration; the caller keeps the
            routes in force.
    """
    try:
        services = [_decode_service(e) for e in list_field(document, "services")]
        return RouteTable(
            ConfigurationVersion(
                whole_number(document["version"], "version", 0, VERSION_MAX)
            ),
            tuple(_decode_route(entry) for entry in list_field(document, "routes")),
            {service.name: service for service in services},
            _decode_limits(document.get("limits") or {}),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"field missing or of another type: {error!r}") from error


def _decode_service(entry: Any) -> Service:
    return Service(
        ServiceName(text_field(entry, "name")),
        _count(entry["max-conns"], "max-conns"),
        _optional(entry, "cold-start-s", COLD_START_MAX_S),
        _optional(entry, "cold-per-s", COLD_RATE_MAX),
    )


def _optional(entry: Any, name: str, greatest: float) -> float:
    """Returns a number that may be absent or null, which counts as zero."""
    value = entry.get(name)
    return 0.0 if value is None else number(value, name, 0.0, greatest)


def _decode_route(entry: Any) -> Route:
    kind = KIND_OF_ROUTE_TYPE.get(text_field(entry, "route-type"))
    if kind is None:
        raise ValueError(f"unknown route-type {entry['route-type']!r}")
    timeout_ms = entry["timeout-ms"]
    return Route(
        name=RouteName(text_field(entry, "name")),
        host=text_field(entry, "host").lower(),
        prefix=text_field(entry, "prefix"),
        kind=kind,
        destination=_decode_destination(entry),
        wait_max_s=_seconds(timeout_ms, "timeout-ms"),
        objective_s=_seconds(
            entry.get("target-latency-ms", timeout_ms), "target-latency-ms"
        ),
        # Counts distinct targets; a second attempt at the same target is not counted.
        attempts_max=_count(entry.get("max-attempts", 1), "max-attempts"),
        priority=_count(entry.get("priority", 0), "priority"),
    )


def _decode_destination(entry: Any) -> Destination:
    if "gather" in entry:
        shards = tuple(_service(name) for name in list_field(entry, "gather"))
        if not shards:
            raise ValueError("gather names no service")
        return GatheredShards(
            shards,
            _count(entry["top-k"], "top-k"),
            number(entry["min-coverage"], "min-coverage", 0.0, 1.0),
        )
    if "traffic-split" in entry:
        return SplitServices(
            tuple(
                WeightedService(
                    _service(part["service"]),
                    number(part["weight"], "weight", 0.0, WEIGHT_MAX),
                )
                for part in list_field(entry, "traffic-split")
            )
        )
    return OneService(_service(entry["service"]))


def _service(name: Any) -> ServiceName:
    if not isinstance(name, str) or not name:
        raise ValueError("the name of a service is not a text")
    return ServiceName(name)


def _count(value: Any, name: str) -> int:
    return whole_number(value, name, 0, COUNT_MAX)


def _seconds(value_ms: Any, name: str) -> float:
    return number(value_ms, name, 0.0, DURATION_MAX_MS) / 1_000


def _decode_limits(entry: dict[str, Any]) -> CallerLimits:
    values = {name: entry.get(name, value) for name, value in DEFAULT_LIMITS.items()}
    return CallerLimits(
        header_max_bytes=_count(values["max-header-bytes"], "max-header-bytes"),
        body_max_bytes=_count(values["max-body-bytes"], "max-body-bytes"),
        header_timeout_s=_seconds(values["header-timeout-ms"], "header-timeout-ms"),
        idle_timeout_s=_seconds(values["idle-timeout-ms"], "idle-timeout-ms"),
    )
