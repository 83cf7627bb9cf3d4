"""Log lines about single requests, and about state changes of targets they reveal.

The end of a request is logged by a logger of its own. The search for the cause of a
problem starts from this line, so it is the last to be dropped when the log exceeds its
rate (`lavendertide.bounded_logs`).
"""

import logging
from typing import Final

from lavendertide.bounded_logs import ENDED_REQUESTS
from lavendertide.forwarding.deadlines import ResponseDeadlines
from lavendertide.forwarding.messages import (
    Abandoned,
    CallerRequest,
    Failed,
    Gathered,
    Passed,
    RefusalCause,
    Refused,
    Response,
    Unroutable,
)
from lavendertide.forwarding.missing import MissingPart, count_causes
from lavendertide.forwarding.parts import Part
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.forwarding.target_view import TargetView
from lavendertide.ids import CallerRequestId, TargetId
from lavendertide.routes.active_routes import RoutesAge
from lavendertide.routes.route import Route

# Missing shards that a line lists by name; further ones are only counted.
NAMED_SHARDS_MAX: Final = 8

_log = logging.getLogger(__name__)
_ended = logging.getLogger(ENDED_REQUESTS)


def log_repeat(
    request: CallerRequest,
    part: Part,
    target: TargetId,
    cause: str,
    is_sent: bool,
    remaining_budget: float,
    now_s: float,
) -> None:
    """Logs that a sub-request is repeated, or that the budget doesn't allow it."""
    elapsed_s = now_s - request.arrived_at_s
    _log.info(
        "sub-request repeated" if is_sent else "repeat withheld by the budget",
        extra={
            "request": request.request,
            "service": part.service,
            "cause": cause,
            "asked": part.tried_targets[-1:],
            "target": target,
            "elapsed_ms": round(elapsed_s * 1_000, 1),
            "budget_left": round(remaining_budget, 1),
        },
    )


def log_target_change(
    call: TargetCall, view: TargetView, message: str, now_s: float
) -> None:
    """Logs that this host's assessment of a target has changed.

    Args:
        call: The call whose reply changed the assessment.
        view: This host's statistics of the target.
        message: The new assessment.
        now_s: Present time, monotonic.
    """
    _log.info(
        message,
        extra={
            # Not "request": the line concerns all requests that use the target.
            "attempt_of": call.request.request,
            "target": call.record.target,
            "failures": view.failures,
            "failing": round(view.current_failure_rate(now_s), 2),
        },
    )


def log_pause(call: TargetCall, pause_s: float) -> None:
    """Logs that a target is full and for how long it wants no requests of this host."""
    _log.info(
        "target is full",
        extra={
            "attempt_of": call.request.request,
            "target": call.record.target,
            "service": call.record.service,
            "pause_s": round(pause_s, 3),
        },
    )


def log_end(
    request: CallerRequest,
    route: Route,
    routes: RoutesAge,
    outcome: str,
    parts: list[Part],
    missing_parts: list[MissingPart],
    extra: int,
    deadlines: ResponseDeadlines,
    now_s: float,
) -> None:
    """Logs the end of a request that was forwarded to targets.

    Args:
        request: The request.
        route: The route of the request.
        routes: Version and age of the routes in force.
        outcome: The outcome of the response.
        parts: The parts of the request, one for each service.
        missing_parts: Why shards of a search are missing.
        extra: Number of sub-requests beyond the first of each part.
        deadlines: When the response has to leave this host.
        now_s: Present time, monotonic.
    """
    missing = [part.service for part in parts if not part.is_done]
    fields: dict[str, object] = {
        "request": request.request,
        "route": route.name,
        "version": routes.version,
        "version_age_s": round(routes.age_s, 1),
        "outcome": outcome,
        "elapsed_ms": round((now_s - request.arrived_at_s) * 1_000, 1),
        "left_ms": round((deadlines.ends_at_s - now_s) * 1_000, 1),
        "objective_left_ms": round((deadlines.objective_at_s - now_s) * 1_000, 1),
        "parts": len(parts),
        "extra": extra,
    }
    if deadlines.used_s is not None:
        fields["caller_used_ms"] = round(deadlines.used_s * 1_000)
    if missing:
        fields["missing"] = missing[:NAMED_SHARDS_MAX]
        fields["missing_count"] = len(missing)
    if missing_parts:
        named = missing_parts[:NAMED_SHARDS_MAX]
        fields["missing_why"] = [part.cause.value for part in named]
        fields["missing_causes"] = count_causes(missing_parts)
    _ended.info("request ended", extra=fields)


def log_refusal(
    request: CallerRequest, routes: RoutesAge, outcome: str, state: str | None = None
) -> None:
    """Logs that a request was refused before it was sent to any target.

    Args:
        request: The request.
        routes: Version and age of the routes in force.
        outcome: The cause of the refusal.
        state: The readiness of this host, if the refusal may be due to it.
    """
    fields: dict[str, object] = {
        "request": request.request,
        "path": request.path,
        "outcome": outcome,
        "version": routes.version,
        "version_age_s": round(routes.age_s, 3),
    }
    if state is not None:
        fields["state"] = state
    _ended.info("request refused", extra=fields)


def log_failure(request: CallerRequestId, outcome: str) -> None:
    """Logs that a request ended by the exception that is being handled."""
    _ended.exception("request failed", extra={"request": request, "outcome": outcome})


def response_outcome(response: Response) -> str:
    """Returns the outcome of a response under its name in logs and metrics."""
    match response:
        case Passed(reply):
            return f"status_{reply.status}"
        case Gathered(missing=missing):
            return "partial" if missing else "whole"
        case Refused(cause) | Failed(cause):
            return cause.value
        case Abandoned():
            return RefusalCause.CALLER_LEFT.value
        case Unroutable():
            return RefusalCause.NO_ROUTE.value
