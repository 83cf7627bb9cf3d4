"""JSON codec of callers' requests and the responses to them.

docs/PROTOCOLS.md describes the protocol. No decision is made here: a front end for
another protocol would replace this module and `lavendertide.daemon.caller_front`.
"""

import json
from typing import Any, Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.executions.execution import ExecutionResult
from lavendertide.executions.execution_request import ExecutionRequest
from lavendertide.fleet.addresses import AddressList
from lavendertide.ids import CallerKey, IndexName, TicketId
from lavendertide.messages import Operation, Outcome
from lavendertide.queries.query import SearchRequest, SearchResponse
from lavendertide.validation import first_problem

STATUS_OF_KIND: Final = {
    RefusalKind.MALFORMED_REQUEST: 400,
    RefusalKind.UNKNOWN_KEY: 401,
    RefusalKind.NOT_ENTITLED: 403,
    RefusalKind.UNKNOWN_TICKET: 404,
    RefusalKind.TICKET_MISMATCH: 409,
    RefusalKind.BODY_TOO_LARGE: 413,
    RefusalKind.RESULT_TOO_LARGE: 413,
    RefusalKind.POISONED: 422,
    RefusalKind.OVER_PLAN_RATE: 429,
    RefusalKind.OVER_PLAN_CONCURRENCY: 429,
    RefusalKind.OVER_CAPACITY: 429,
    RefusalKind.INTERNAL_ERROR: 500,
}
STATUS_UNAVAILABLE: Final = 503
RETRY_AFTER_S: Final = {
    RefusalKind.OVER_PLAN_RATE: 1,
    RefusalKind.OVER_PLAN_CONCURRENCY: 1,
    RefusalKind.OVERLOADED: 1,
    RefusalKind.OVER_CAPACITY: 1,
    RefusalKind.NOT_READY: 1,
    RefusalKind.LEAVING: 1,
    RefusalKind.NO_SNAPSHOT: 1,
}


class _SearchBody(BaseModel):
    """JSON body of a search request."""

    model_config = ConfigDict(extra="forbid", strict=True)

    index: str
    deadline_ms: int = Field(ge=1)
    page_size: int = Field(ge=0, default=20)
    body: str


def decode_search_request(key: str, data: bytes) -> Result[SearchRequest, Refusal]:
    """Parses a caller's search request.

    Args:
        key: The caller's key, from the request's headers.
        data: The request's body.
    """
    try:
        body = _SearchBody.model_validate_json(data)
    except ValidationError as error:
        return Failure(_refuse_body(error))
    return Success(
        SearchRequest(
            key=CallerKey(key),
            index=IndexName(body.index),
            deadline_ms=body.deadline_ms,
            page_size=body.page_size,
            body=body.body,
        )
    )


class _ExecutionBody(BaseModel):
    """JSON body of a non-idempotent request."""

    model_config = ConfigDict(extra="forbid")

    ticket: str
    index: str
    operation: Operation
    deadline_ms: int = Field(ge=1)
    body: str


def decode_execution_request(
    key: str, data: bytes
) -> Result[ExecutionRequest, Refusal]:
    """Parses a caller's non-idempotent request.

    Args:
        key: The caller's key, from the request's headers.
        data: The request's body.
    """
    try:
        body = _ExecutionBody.model_validate_json(data)
    except ValidationError as error:
        return Failure(_refuse_body(error))
    if body.operation.is_idempotent:
        return Failure(malformed("operation: a search goes to /v1/search."))
    return Success(
        ExecutionRequest(
            key=CallerKey(key),
            ticket=TicketId(body.ticket),
            index=IndexName(body.index),
            operation=body.operation,
            deadline_ms=body.deadline_ms,
            body=body.body,
        )
    )


def malformed(problem: str) -> Refusal:
    """Returns the refusal of a request that cannot be parsed."""
    return Refusal(
        RefusalKind.MALFORMED_REQUEST,
        problem,
        "See docs/PROTOCOLS.md for the request's form.",
        Fault.CALLER,
    )


def _refuse_body(error: ValidationError) -> Refusal:
    return malformed(f"{first_problem(error).describe('the body')}.")


def encode_search_response(response: SearchResponse) -> bytes:
    """Returns the body of the response to a search."""
    return _json(
        {
            "query": response.query,
            "outcome": response.outcome.value,
            "version": response.version,
            "whole": not response.gaps,
            "covered": list(response.covered),
            "gaps": [
                {"shard": g.shard, "reason": g.reason.value, "fault": g.fault.value}
                for g in response.gaps
            ],
            "matches": response.page.matches,
            "amount": response.page.amount,
            "rows": [[r.key, r.score, r.document] for r in response.page.rows],
            "attempts": response.attempts,
            "hedges": response.hedges,
            "retries": response.retries,
            "deadline_ms": response.deadline_ms,
        }
    )


def status_of(kind: RefusalKind) -> int:
    """Returns the HTTP status for a kind of refusal."""
    return STATUS_OF_KIND.get(kind, STATUS_UNAVAILABLE)


def retry_after_s(kind: RefusalKind) -> int | None:
    """Returns the seconds after which a retry may succeed, none if it never will."""
    return RETRY_AFTER_S.get(kind)


def encode_refusal(refusal: Refusal, outcome: Outcome = Outcome.NOT_RUN) -> bytes:
    """Returns the body of the response to a refused request.

    Args:
        refusal: Why this attempt was refused; it has not run.
        outcome: Outcome of the request over all its attempts.
    """
    return _describe(refusal, outcome, Outcome.NOT_RUN)


def encode_failure(refusal: Refusal) -> bytes:
    """Returns the body of the response to a request that failed and may have run."""
    return _describe(refusal, Outcome.UNKNOWN, Outcome.UNKNOWN)


def _describe(refusal: Refusal, outcome: Outcome, this_try: Outcome) -> bytes:
    return _json(
        {
            "outcome": outcome.value,
            "this_try": this_try.value,
            "kind": refusal.kind.value,
            "fault": refusal.fault.value,
            "message": refusal.message,
            "remedy": refusal.remedy,
            "retry_after_s": retry_after_s(refusal.kind),
        }
    )


def encode_ticket(ticket: TicketId) -> bytes:
    """Returns the body of the response that issues a ticket."""
    return _json({"ticket": ticket})


def encode_execution_result(result: ExecutionResult) -> bytes:
    """Returns the body of the response to a non-idempotent request."""
    return _json({"outcome": result.outcome.value, "detail": result.detail})


def encode_addresses(response: AddressList) -> bytes:
    """Returns the body of the response to a request for addresses."""
    return _json(
        {"addresses": list(response.addresses), "lifetime_s": response.lifetime_s}
    )


def _json(document: dict[str, Any]) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()
