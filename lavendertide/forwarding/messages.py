"""Requests, replies of targets and responses to callers, apart from any encoding."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from lavendertide.ids import CallerRequestId, Fingerprint, TargetId
from lavendertide.overload.reported_load import ReportedLoad
from lavendertide.overload.response_memory import HeldResponse

Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One attempt of a caller's request.

    Attributes:
        request: Identifies the attempt.
        path: Path and query as the caller sent them.
        head: Encoded request line and headers that every target receives; opaque here.
        gives_up_at_s: Time at which the caller stops waiting, monotonic; none if the
            caller did not specify one.
        arrived_at_s: Time at which the request was read, monotonic.
        fingerprint: Equal for requests of equal content.
        round_trip_s: Shortest round trip to the caller on its connection; none if it is
            unknown.
    """

    request: CallerRequestId
    method: str
    host: str
    path: str
    head: bytes
    body: bytes
    gives_up_at_s: float | None
    arrived_at_s: float
    fingerprint: Fingerprint
    round_trip_s: float | None = None

    @property
    def remaining_s(self) -> float | None:
        """How long the caller would still wait when it sent the request, if it said."""
        if self.gives_up_at_s is None:
            return None
        return self.gives_up_at_s - self.arrived_at_s


class NotRunReason(Enum):
    """Reasons for which a target has certainly not run a request."""

    REFUSED = "refused"
    OTHER_TARGET = "other_target"
    UNREACHABLE = "unreachable"
    ABANDONED = "abandoned"
    # The target turned away another request meanwhile and wants no more for a time.
    PAUSED = "paused"
    # The target drains, leaves or has ended since it was chosen.
    WITHDRAWN = "withdrawn"
    # The request has crashed several targets since the target was chosen.
    QUARANTINED = "quarantined"
    # The target is cold and this host's part of its allowance is used up.
    COLD = "cold"


# Reasons of this host not to use the target that it had chosen. They don't show whether
# the target works.
UNSENT_REASONS: Final = frozenset(
    {
        NotRunReason.ABANDONED,
        NotRunReason.PAUSED,
        NotRunReason.WITHDRAWN,
        NotRunReason.QUARANTINED,
        NotRunReason.COLD,
    }
)


class UnknownReason(Enum):
    """Reasons for which a target may or may not have run a request."""

    CLOSED = "closed"
    TIMED_OUT = "timed_out"
    MALFORMED = "malformed"
    OTHER_REQUEST = "other_request"
    # This host closed the connection, because nobody waited for the reply any more.
    CANCELLED = "broken_off"


@dataclass(frozen=True, slots=True)
class TargetNotice:
    """What a target says about itself in a reply.

    Attributes:
        is_leaving: Whether the target is about to end and wants nothing new.
        pause_s: Seconds for which it wants no requests of this host; none if it is not
            full.
        cold_s: Seconds for which it remains cold; zero if it doesn't say so.
        load: How busy it was; none if it doesn't say.
    """

    is_leaving: bool = False
    pause_s: float | None = None
    cold_s: float = 0.0
    load: ReportedLoad | None = None


NO_NOTICE: Final = TargetNotice()


@dataclass(frozen=True, slots=True)
class Replied:
    """A target's complete reply.

    Attributes:
        headers: All headers, including hop-by-hop ones, which must not be passed on.
        signature: Proves which target produced the reply; empty if there is none.
        notice: What the target says about itself.
        held: Account of the body, for as long as the reply is referred to.
    """

    target: TargetId
    status: int
    headers: tuple[Header, ...]
    body: bytes
    signature: str
    notice: TargetNotice = NO_NOTICE
    held: HeldResponse | None = field(default=None, compare=False, repr=False)

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx and the reply is signed."""
        return 200 <= self.status < 300 and bool(self.signature)


@dataclass(frozen=True, slots=True)
class NotRun:
    """The target has not run the request and will not run it."""

    target: TargetId
    reason: NotRunReason
    notice: TargetNotice = NO_NOTICE


@dataclass(frozen=True, slots=True)
class Unknown:
    """The target may have run the request."""

    target: TargetId
    reason: UnknownReason
    notice: TargetNotice = NO_NOTICE


TargetReply = Replied | NotRun | Unknown


def outcome_of(reply: TargetReply) -> str:
    """Returns the outcome of a sub-request under its name in logs and metrics."""
    match reply:
        case Replied(status=status):
            return f"status_{status}"
        case NotRun(reason=not_run):
            return not_run.value
        case Unknown(reason=unknown):
            return unknown.value


class RefusalCause(Enum):
    """Reasons for which a request ended without the requested result."""

    NO_ROUTE = "no_route"
    NO_ROUTES_KNOWN = "no_routes_known"
    NOT_READY = "not_ready"
    LEAVING = "leaving"
    NO_TARGET = "no_target"
    # All targets are in failure domains that the operator has evacuated.
    EVACUATED = "evacuated"
    TARGETS_FULL = "targets_full"
    # The targets are cold and this host's part of their allowance is used up.
    TARGETS_COLD = "targets_cold"
    OVER_CAPACITY = "over_capacity"
    NO_TIME = "no_time"
    POISONED = "poisoned"
    TIMED_OUT = "timed_out"
    TARGETS_FAILED = "targets_failed"
    TOO_FEW_SHARDS = "too_few_shards"
    CALLER_LEFT = "caller_left"
    # An unexpected exception, which is a fault of this program.
    INTERNAL_ERROR = "internal_error"


@dataclass(frozen=True, slots=True)
class Passed:
    """One target's reply, passed on unchanged."""

    reply: Replied


@dataclass(frozen=True, slots=True)
class Gathered:
    """The merged result of several shards.

    Attributes:
        signatures: Signatures of the parts that the body contains.
        missing: Number of shards that the body doesn't contain.
        body: The greatest records of all parts, merged.
    """

    signatures: tuple[str, ...]
    missing: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """No target has run the request, and none will.

    Attributes:
        retry_after_s: Seconds after which the caller should retry; none if a retry
            would not help.
    """

    cause: RefusalCause
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Unroutable:
    """No route matches the request."""


@dataclass(frozen=True, slots=True)
class Failed:
    """A target may have run the request, but there is no usable result.

    Attributes:
        is_timeout: Whether the request ran out of time.
    """

    cause: RefusalCause
    is_timeout: bool


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The caller closed its connection, so no response is sent."""


Response = Passed | Gathered | Refused | Unroutable | Failed | Abandoned
