"""Authentication and authorization of requests to the administration API."""

import hmac
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.ids import OwnerId
from lavendertide.options import AdminOptions


@dataclass(frozen=True, slots=True)
class OperatorAccess:
    """Access to the whole fleet, including the permission to drain a daemon."""


@dataclass(frozen=True, slots=True)
class OwnerAccess:
    """Access to one owner's plans, failure log and targets."""

    owner: OwnerId


Access = OperatorAccess | OwnerAccess


def access_of(options: AdminOptions, key: str) -> Result[Access, Refusal]:
    """Authenticates a key and returns its access, or refuses an unknown key.

    Without configured operator keys, a request without a key has operator access.
    """
    for owner, keys in options.owner_keys.items():
        if _matches_any(key, keys):
            return Success(OwnerAccess(OwnerId(owner)))
    if not options.operator_keys and not key:
        return Success(OperatorAccess())
    if _matches_any(key, options.operator_keys):
        return Success(OperatorAccess())
    return Failure(
        Refusal(
            RefusalKind.UNKNOWN_KEY,
            "The administration key is missing or unknown.",
            "Send a key of the settings' admin section as 'Authorization: Bearer KEY'.",
            Fault.CALLER,
        )
    )


def require_operator(access: Access) -> Result[None, Refusal]:
    """Refuses owners access to data of the whole fleet."""
    match access:
        case OperatorAccess():
            return Success(None)
        case OwnerAccess(owner):
            return Failure(
                Refusal(
                    RefusalKind.NOT_ENTITLED,
                    f"The key of '{owner}' may not see the whole fleet.",
                    "Use an operator's key.",
                    Fault.CALLER,
                )
            )


def require_owner(access: Access, owner: OwnerId) -> Result[None, Refusal]:
    """Refuses an owner access to another owner's data."""
    match access:
        case OwnerAccess(own) if own != owner:
            return Failure(
                Refusal(
                    RefusalKind.NOT_ENTITLED,
                    f"The key of '{own}' may not see what belongs to another owner.",
                    "Request your own plans and failures, or use an operator's key.",
                    Fault.CALLER,
                )
            )
        case _:
            return Success(None)


def _matches_any(key: str, keys: tuple[str, ...]) -> bool:
    # Compares with each of the keys, so that the duration does not depend on a match.
    is_match = False
    for candidate in keys:
        is_match |= hmac.compare_digest(key.encode(), candidate.encode())
    return is_match
