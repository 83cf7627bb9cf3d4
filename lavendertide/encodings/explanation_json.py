"""Encodes what a gateway reports about itself as JSON documents.

Keys of durations end in `_s`. `lavendertide.encodings.gateway_documents` reads the
documents; it ignores keys that it doesn't know.
"""

import json
from collections.abc import Callable
from typing import Any, Final

from lavendertide.forwarding.capacity import RouteLimit
from lavendertide.forwarding.explanation import (
    Explanation,
    ServiceExplanation,
    TargetExplanation,
)
from lavendertide.forwarding.host_status import (
    EvacuatedDomainStatus,
    HostStatus,
    StoreStatus,
)
from lavendertide.routes.active_routes import RoutesAge
from lavendertide.routes.route import Route
from lavendertide.warmup.cold_status import ColdTargetStatus

DIGITS: Final = 4


def encode_explanation(
    explanation: Explanation, status: HostStatus, pause: Callable[[], None]
) -> bytes:
    """Returns the document that explains one request on one host.

    Args:
        explanation: The explanation.
        status: What is in force on the host.
        pause: Called after each service, so that other tasks can run meanwhile.
    """
    cause = explanation.cause
    head = _dump(
        {
            "gateway": status.host,
            "state": status.state,
            "routes": _pack_age(explanation.routes),
            "route": _pack_route(explanation.route, explanation.required),
            "admission": {
                "cause": None if cause is None else cause.value,
                "retry_after_s": _round(explanation.retry_after_s),
                "limit": _pack_limit(explanation.limit),
            },
            "evacuated": [_pack_domain(each) for each in status.evacuated],
            "cold_count": status.cold_count,
            "cold": [_pack_cold(each) for each in status.cold],
            "store": _pack_store(status.store),
        }
    )
    services = []
    for each in explanation.services:
        services.append(_dump(_pack_service(each)))
        pause()
    return head[:-1] + b',"services":[' + b",".join(services) + b"]}\n"


def encode_status(status: HostStatus) -> bytes:
    """Returns the document about what is in force on one host."""
    document = _dump(
        {
            "gateway": status.host,
            "state": status.state,
            "routes": _pack_age(status.routes),
            "evacuated": [_pack_domain(each) for each in status.evacuated],
            "cold_count": status.cold_count,
            "cold": [_pack_cold(each) for each in status.cold],
            "store": _pack_store(status.store),
            "limits": [_pack_limit(each) for each in status.limits],
        }
    )
    return document + b"\n"


def _dump(document: dict[str, Any]) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()


def _pack_age(routes: RoutesAge) -> dict[str, Any]:
    return {"version": routes.version, "age_s": _round(routes.age_s)}


def _pack_route(route: Route | None, required: int) -> dict[str, Any] | None:
    if route is None:
        return None
    return {
        "name": route.name,
        "kind": route.kind.value,
        "priority": route.priority,
        "objective_s": route.objective_s,
        "wait_max_s": route.wait_max_s,
        "attempts_max": route.attempts_max,
        "services": len(route.services),
        "required": required,
    }


def _pack_limit(limit: RouteLimit | None) -> dict[str, Any] | None:
    if limit is None:
        return None
    return {
        "route": limit.route,
        "in_flight": limit.in_flight,
        "limit": _round(limit.limit),
        "admitted_share": _round(limit.admitted_share),
    }


def _pack_domain(domain: EvacuatedDomainStatus) -> dict[str, Any]:
    return {
        "domain": domain.domain,
        "era": domain.position.era,
        "revision": domain.position.revision,
        "known_for_s": _round(domain.known_for_s),
        "in_flight": domain.in_flight,
    }


def _pack_store(store: StoreStatus | None) -> dict[str, Any] | None:
    if store is None:
        return None
    return {
        "era": store.position.era,
        "revision": store.position.revision,
        "age_s": _round(store.age_s),
        "restorations": store.restorations,
    }


def _pack_cold(target: ColdTargetStatus) -> dict[str, Any]:
    return {
        "target": target.target,
        "service": target.service,
        "left_s": _round(target.left_s),
        "allowance": target.allowance,
        "part": target.part,
        "sent": target.sent,
        "given": target.given,
        "received": target.received,
    }


def _pack_service(service: ServiceExplanation) -> dict[str, Any]:
    return {
        "service": service.service,
        "is_next": service.is_next,
        "targets": [_pack_target(each) for each in service.targets],
    }


def _pack_target(target: TargetExplanation) -> dict[str, Any]:
    return {
        "target": target.target,
        "address": target.address,
        "failure_domain": target.failure_domain,
        "slots": target.slots,
        "rank": target.rank,
        "score": _round(target.score),
        "slowness": _round(target.slowness),
        "failure_rate": _round(target.failure_rate),
        "open_calls": target.open_calls,
        "reply_age_s": _round(target.reply_age_s),
        "attempt_age_s": _round(target.attempt_age_s),
        "reason": None if target.reason is None else target.reason.value,
        "ends_in_s": _round(target.ends_in_s),
    }


def _round(value: float | None) -> float | None:
    return None if value is None else round(value, DIGITS)
