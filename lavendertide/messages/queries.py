"""Sub-requests to targets, their replies, and the frames that relay both."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from lavendertide.ids import (
    AttemptId,
    Fingerprint,
    IndexName,
    IndexVersion,
    OwnerId,
    PlanClass,
    QueryId,
    ShardNumber,
    TargetId,
)

NO_PLAN_CLASS: Final = PlanClass("")


class Operation(Enum):
    """Operation that a caller may request on an index."""

    SEARCH = "search"
    REDEEM = "redeem"
    CHARGE = "charge"

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may be sent again after an attempt with unknown outcome."""
        return self is Operation.SEARCH


class DeclineReason(Enum):
    """Why a sub-request is known not to have run."""

    SHED = "shed"
    DRAINING = "draining"
    VERSION_NOT_HELD = "version_not_held"
    QUEUED_TOO_LONG = "queued_too_long"
    QUEUE_FULL = "queue_full"
    NO_LEASE = "no_lease"
    UNREACHABLE = "unreachable"
    POISONED = "poisoned"
    CANCELLED = "cancelled"
    STALE_VIEW = "stale_view"


class LossReason(Enum):
    """Why it is not known whether a sub-request ran."""

    TARGET_CLOSED = "target_closed"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"
    PEER_LOST = "peer_lost"
    REPLY_TOO_LARGE = "reply_too_large"
    MISMATCHED_REPLY = "mismatched_reply"
    # What the target sent is no reply of HTTP/1.
    MALFORMED_REPLY = "malformed_reply"


@dataclass(frozen=True, slots=True)
class Row:
    """One row of a result; rows are sorted by descending score, then by key."""

    key: str
    score: float
    document: str


@dataclass(frozen=True, slots=True)
class SubRequest:
    """One attempt at one shard on one target.

    Attributes:
        body: The caller's request body, forwarded unchanged.
        remaining_ms: Time left until the deadline when the sub-request was sent.
        fingerprint: Digest that is equal for equal requests of one owner.
        plan_class: Class of the caller's plan; classes share an owner's slots.
        page_size: Maximum number of the shard's rows that the response can include.
    """

    attempt: AttemptId
    query: QueryId
    owner: OwnerId
    index: IndexName
    shard: ShardNumber
    version: IndexVersion
    target: TargetId
    operation: Operation
    body: str
    remaining_ms: int
    fingerprint: Fingerprint
    plan_class: PlanClass = NO_PLAN_CLASS
    page_size: int = 0


@dataclass(frozen=True, slots=True)
class Answered:
    """A target's result for one shard.

    Attributes:
        rows: The shard's best rows, best first.
        matches: Total number of the shard's rows that match.
        amount: Sum over the matching rows, in the index's smallest unit.
        spare_slots: Number of the target's slots that were free after its reply.
    """

    attempt: AttemptId
    query: QueryId
    shard: ShardNumber
    version: IndexVersion
    rows: tuple[Row, ...]
    matches: int
    amount: int
    spare_slots: int = 0


@dataclass(frozen=True, slots=True)
class Declined:
    """Reports that the sub-request did not run.

    Attributes:
        spare_slots: Number of the target's slots that were free at that time.
    """

    attempt: AttemptId
    reason: DeclineReason
    spare_slots: int = 0


@dataclass(frozen=True, slots=True)
class Lost:
    """Reports that it is unknown whether the sub-request ran; no result came."""

    attempt: AttemptId
    reason: LossReason


SubReply = Answered | Declined | Lost


@dataclass(frozen=True, slots=True)
class SubRequests:
    """Sub-requests that are relayed to the daemon that holds the targets' slots."""

    items: tuple[SubRequest, ...]


@dataclass(frozen=True, slots=True)
class SubReplies:
    """Replies to relayed sub-requests, in any order."""

    items: tuple[SubReply, ...]


@dataclass(frozen=True, slots=True)
class Cancels:
    """Cancels relayed attempts whose replies are not needed any more."""

    attempts: tuple[AttemptId, ...]
