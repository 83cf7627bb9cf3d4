"""Decodes refusals, which daemons send in one form to callers and operators."""

from typing import Any

from lavendertide.errors import Fault, Refusal, RefusalKind


def decode_refusal_document(document: Any) -> Refusal:
    """Returns the refusal in a response whose status is not 200.

    Args:
        document: The response's body, parsed as JSON.
    """
    try:
        return Refusal(
            RefusalKind(document["kind"]),
            str(document["message"]),
            str(document["remedy"]),
            Fault(document["fault"]),
        )
    except (LookupError, TypeError, ValueError):
        return unreadable_response()


def unreadable_response() -> Refusal:
    """Returns the refusal to report for an unreadable response."""
    return Refusal(
        RefusalKind.MALFORMED_REQUEST,
        "The response is not one of a daemon of this release.",
        "Check that the address is a daemon's and which release the daemon runs.",
        Fault.CALLER,
    )
