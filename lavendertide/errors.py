"""Typed refusals, each of which names its remedy.

Functions that can refuse return `Result[..., Refusal]`; nothing but a programming
error is raised across an aggregate's edge. The front ends translate a kind into a
status code or an exit code, and never look at the message.
"""

from dataclasses import dataclass
from enum import Enum


class RefusalKind(Enum):
    """What was refused, in a form that machines can tell apart."""

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
    UNREACHABLE = "unreachable"
    NOT_FOUND = "not_found"
    BAD_RUN = "bad_run"
    LIBRARY_MISSING = "library_missing"


class Fault(Enum):
    """Whose fault a failure was, as the owner's books record it."""

    CALLER = "caller"
    PLAN = "plan"
    TARGET = "target"
    LINK = "link"
    SYSTEM = "system"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that was refused before any of it ran.

    Attributes:
        kind: What was refused.
        message: What happened, in one sentence.
        remedy: What the reader can do about it, in one sentence.
        fault: Whose fault it was.
    """

    kind: RefusalKind
    message: str
    remedy: str
    fault: Fault

    def __str__(self) -> str:
        return f"{self.message} {self.remedy}"


def unreachable(address: str, problem: str, remedy: str) -> Refusal:
    """Returns the refusal of whoever got no answer.

    Args:
        address: Who did not answer.
        problem: What went wrong, such as the name of the library's error.
        remedy: What the reader can do about it, in one sentence.
    """
    message = f"No answer from {address}: {problem}."
    return Refusal(RefusalKind.UNREACHABLE, message, remedy, Fault.LINK)
