"""What passes between callers, the forwarder and targets."""

from dataclasses import dataclass
from enum import Enum

from lavendertide.ids import CallerRequestId, Fingerprint, TargetId

Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One attempt of a caller, as it was read.

    Attributes:
        path: Path and query as they were sent.
        head: Request line and headers as every target is sent them; opaque here.
        gives_up_at_s: When the caller stops waiting, monotonic; none if it did not say.
        arrived_at_s: When the request was read, monotonic.
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


class NotRunReason(Enum):
    """Why a target has certainly not run a request."""

    REFUSED = "refused"
    OTHER_TARGET = "other_target"
    UNREACHABLE = "unreachable"
    ABANDONED = "abandoned"


class UnknownReason(Enum):
    """Why it is not known whether a target has run a request."""

    CLOSED = "closed"
    TIMED_OUT = "timed_out"
    MALFORMED = "malformed"
    OTHER_REQUEST = "other_request"
    # This host has closed the connection, since nobody waited for the reply.
    CANCELLED = "broken_off"


@dataclass(frozen=True, slots=True)
class Replied:
    """A target's whole reply.

    Attributes:
        headers: All headers; those of its connection are not to be passed on.
        signature: Proves which target has made the reply; empty if it has none.
    """

    target: TargetId
    status: int
    headers: tuple[Header, ...]
    body: bytes
    signature: str

    @property
    def is_success(self) -> bool:
        """Whether the target has done what was asked."""
        return 200 <= self.status < 300 and bool(self.signature)


@dataclass(frozen=True, slots=True)
class NotRun:
    """The target has not run the request and will not."""

    target: TargetId
    reason: NotRunReason


@dataclass(frozen=True, slots=True)
class Unknown:
    """The target may have run the request."""

    target: TargetId
    reason: UnknownReason


TargetReply = Replied | NotRun | Unknown


def outcome_of(reply: TargetReply) -> str:
    """Returns how a sub-request ended, as logs and metrics name it."""
    match reply:
        case Replied(status=status):
            return f"status_{status}"
        case NotRun(reason=not_run):
            return not_run.value
        case Unknown(reason=unknown):
            return unknown.value


class RefusalCause(Enum):
    """Why a request ended without the answer that was asked for."""

    NO_ROUTE = "no_route"
    NO_ROUTES_KNOWN = "no_routes_known"
    NOT_READY = "not_ready"
    NO_TARGET = "no_target"
    TARGETS_FULL = "targets_full"
    OVER_CAPACITY = "over_capacity"
    NO_TIME = "no_time"
    POISONED = "poisoned"
    TIMED_OUT = "timed_out"
    TARGETS_FAILED = "targets_failed"
    TOO_FEW_SHARDS = "too_few_shards"
    CALLER_LEFT = "caller_left"


@dataclass(frozen=True, slots=True)
class Passed:
    """One target's reply, passed on unchanged."""

    reply: Replied


@dataclass(frozen=True, slots=True)
class Gathered:
    """The joined answer of the shards.

    Attributes:
        signatures: Of the parts that are in the body.
        missing: Shards that are left out.
    """

    signatures: tuple[str, ...]
    missing: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """The request has not run and never will.

    Attributes:
        retry_after_s: When to come back; none where that does not help.
    """

    cause: RefusalCause
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Unroutable:
    """No route takes the request."""


@dataclass(frozen=True, slots=True)
class Failed:
    """The request may have run and has no answer.

    Attributes:
        is_timeout: Whether the time was used up.
    """

    cause: RefusalCause
    is_timeout: bool


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The caller has closed its connection; nobody waits for an answer."""


Response = Passed | Gathered | Refused | Unroutable | Failed | Abandoned
