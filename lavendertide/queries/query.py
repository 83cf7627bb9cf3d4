"""A caller's search and its response."""

import hashlib
from dataclasses import dataclass

from lavendertide.configuration.catalog import Plan
from lavendertide.ids import (
    CallerKey,
    Fingerprint,
    IndexName,
    IndexVersion,
    OwnerId,
    PlanId,
    QueryId,
    ShardNumber,
)
from lavendertide.messages import Operation, Outcome
from lavendertide.queries.coverage import Gap
from lavendertide.queries.deadline import Deadline
from lavendertide.queries.merging import Page

FINGERPRINT_BYTES = 16


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """A search of a caller, decoded by a front end.

    Attributes:
        deadline_ms: Time that the caller is willing to wait.
        page_size: Maximum number of rows in the response.
        body: The search expression, opaque to the tier.
    """

    key: CallerKey
    index: IndexName
    deadline_ms: int
    page_size: int
    body: str


@dataclass(frozen=True, slots=True)
class Query:
    """An admitted search.

    Attributes:
        deadline_ms: The time budget, at most the one that the caller requested.
        fingerprint: Digest that is equal for equal searches of the same owner.
    """

    query: QueryId
    plan: Plan
    request: SearchRequest
    deadline: Deadline
    deadline_ms: int
    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True)
class SearchResponse:
    """The response to a search.

    Attributes:
        covered: Shards whose results are merged into the page.
        gaps: All other shards of the version, with reasons.
        attempts: Number of sub-requests sent.
        hedges: Number of attempts sent while another for the shard was open.
        retries: Number of attempts sent after a failed one.
        deadline_ms: The time budget of the query.
        half_covered_s: Time until half of the shards were covered, None if they
            never were.
    """

    query: QueryId
    outcome: Outcome
    version: IndexVersion
    page: Page
    covered: tuple[ShardNumber, ...]
    gaps: tuple[Gap, ...]
    attempts: int
    hedges: int
    retries: int
    deadline_ms: int
    half_covered_s: float | None = None


def fingerprint_of(
    requester: OwnerId | PlanId, index: IndexName, operation: Operation, body: str
) -> Fingerprint:
    """Returns a digest that identifies equal requests of one owner or plan."""
    text = "\n".join((requester, index, operation.value, body))
    digest = hashlib.blake2b(text.encode(), digest_size=FINGERPRINT_BYTES)
    return Fingerprint(digest.hexdigest())
