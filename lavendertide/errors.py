"""Typed refusals, each with a remedy.

Functions that can refuse return `Result[..., Refusal]`. Only programming errors are
raised across the boundary of an aggregate. The front ends convert the kind of a refusal
to a status code or an exit code and never evaluate its message.
"""

from dataclasses import dataclass
from enum import Enum

from lavendertide.ids import FailureId


class RefusalKind(Enum):
    """Machine-readable reason of a refusal."""

    BAD_SETTINGS = "bad_settings"
    BAD_PUBLICATION = "bad_publication"
    MALFORMED_REQUEST = "malformed_request"
    BODY_TOO_LARGE = "body_too_large"
    RESULT_TOO_LARGE = "result_too_large"
    UNKNOWN_KEY = "unknown_key"
    NOT_ENTITLED = "not_entitled"
    OVER_PLAN_RATE = "over_plan_rate"
    OVER_PLAN_CONCURRENCY = "over_plan_concurrency"
    OVERLOADED = "overloaded"
    OVER_CAPACITY = "over_capacity"
    NOT_READY = "not_ready"
    LEAVING = "leaving"
    UNKNOWN_TICKET = "unknown_ticket"
    TICKET_MISMATCH = "ticket_mismatch"
    POISONED = "poisoned"
    NO_SNAPSHOT = "no_snapshot"
    INTERNAL_ERROR = "internal_error"
    UNREACHABLE = "unreachable"
    OUTDATED = "outdated"
    NOT_FOUND = "not_found"
    BAD_RUN = "bad_run"
    LIBRARY_MISSING = "library_missing"


class Fault(Enum):
    """The party that caused a failure, as recorded in the owner's failure log."""

    CALLER = "caller"
    PLAN = "plan"
    TARGET = "target"
    LINK = "link"
    SYSTEM = "system"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that was refused before any of it ran.

    Attributes:
        kind: The machine-readable reason.
        message: What happened, in one sentence.
        remedy: What the reader can do about it, in one sentence.
        fault: The party that caused it.
    """

    kind: RefusalKind
    message: str
    remedy: str
    fault: Fault

    def __str__(self) -> str:
        return f"{self.message} {self.remedy}"


def internal_error(failure: FailureId) -> Refusal:
    """Builds the description of a request that an unexpected exception has ended.

    It isn't a refusal in the strict sense, since a part of the request may have run.

    Args:
        failure: Names the exception in the log.
    """
    return Refusal(
        RefusalKind.INTERNAL_ERROR,
        f"The host failed in the midst of the request, which may have run ({failure}).",
        "Send it again, under the same ticket if it has one; tell the operator the id.",
        Fault.SYSTEM,
    )


def outdated(address: str, problem: str, remedy: str) -> Refusal:
    """Builds the refusal of an answer that is older than what is known.

    Args:
        address: The address that has answered.
        problem: In what the answer is older.
        remedy: What the reader can do about it, in one sentence.
    """
    message = f"Outdated answer from {address}: {problem}."
    return Refusal(RefusalKind.OUTDATED, message, remedy, Fault.SYSTEM)


def unreachable(address: str, problem: str, remedy: str) -> Refusal:
    """Builds the refusal for a host or daemon that did not respond.

    Args:
        address: The address that did not respond.
        problem: What went wrong, such as the name of the library's error.
        remedy: What the reader can do about it, in one sentence.
    """
    message = f"No answer from {address}: {problem}."
    return Refusal(RefusalKind.UNREACHABLE, message, remedy, Fault.LINK)
