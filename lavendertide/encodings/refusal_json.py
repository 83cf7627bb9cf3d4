"""Reads a refusal that a daemon has sent, to callers and operators alike."""

from typing import Any

from lavendertide.errors import Fault, Refusal, RefusalKind


def decode_refusal_document(document: Any) -> Refusal:
    """Returns the refusal of an answer whose status is not 200.

    Args:
        document: The decoded JSON body.
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
    """Returns the refusal of what is no answer of a daemon."""
    return Refusal(
        RefusalKind.MALFORMED_REQUEST,
        "The answer is not one of a daemon of this release.",
        "See whether the address is the daemon's, and its release.",
        Fault.CALLER,
    )
