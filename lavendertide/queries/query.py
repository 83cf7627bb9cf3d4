"""What a caller asked, and the answer it gets."""

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
    """A search as a front end has decoded it.

    Attributes:
        deadline_ms: How long the caller is willing to wait.
        page_size: Rows that the caller wants.
        body: The search itself, opaque to the tier.
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
        deadline_ms: The budget in force, at most what the caller asked for.
        fingerprint: Digest that is equal when the same owner's callers ask the same.
    """

    query: QueryId
    plan: Plan
    request: SearchRequest
    deadline: Deadline
    deadline_ms: int
    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True)
class SearchResponse:
    """The answer to a search.

    Attributes:
        covered: Shards of the version that the page reflects.
        gaps: All other shards of the version, with reasons.
        attempts: Sub-requests that were sent.
        hedges: Those of them that were sent while another was open.
        retries: Those of them that followed a failed one.
        deadline_ms: The budget that was in force.
        half_covered_s: Time until half of the shards were covered, none if never.
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
    asker: OwnerId | PlanId, index: IndexName, operation: Operation, body: str
) -> Fingerprint:
    """Returns the digest by which equal requests of one owner or plan are known."""
    text = "\n".join((asker, index, operation.value, body))
    digest = hashlib.blake2b(text.encode(), digest_size=FINGERPRINT_BYTES)
    return Fingerprint(digest.hexdigest())
