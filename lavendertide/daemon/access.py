"""Who asks the administration API, and what they may see."""

import hmac
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.ids import OwnerId
from lavendertide.options import AdminOptions


@dataclass(frozen=True, slots=True)
class OperatorAccess:
    """Sees everything and may drain."""


@dataclass(frozen=True, slots=True)
class OwnerAccess:
    """Sees one owner's plans, books and targets."""

    owner: OwnerId


Access = OperatorAccess | OwnerAccess


def access_of(options: AdminOptions, key: str) -> Result[Access, Refusal]:
    """Returns what a key may see."""
    for owner, keys in options.owner_keys.items():
        if _is_among(key, keys):
            return Success(OwnerAccess(OwnerId(owner)))
    if not options.operator_keys and not key:
        return Success(OperatorAccess())
    if _is_among(key, options.operator_keys):
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
    """Refuses owners what concerns the whole fleet."""
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
    """Refuses an owner what belongs to a neighbour."""
    match access:
        case OwnerAccess(own) if own != owner:
            return Failure(
                Refusal(
                    RefusalKind.NOT_ENTITLED,
                    f"The key of '{own}' may not see what belongs to another owner.",
                    "Ask for the own plans and books, or use an operator's key.",
                    Fault.CALLER,
                )
            )
        case _:
            return Success(None)


def _is_among(key: str, keys: tuple[str, ...]) -> bool:
    found = False
    for known in keys:
        found |= hmac.compare_digest(key.encode(), known.encode())
    return found
