"""Which addresses a caller should use, and for how long."""

from dataclasses import dataclass
from typing import Final

from lavendertide.fleet.ranking import score
from lavendertide.fleet.roster import Roster, near_first
from lavendertide.ids import Address, CallerKey, FailureDomain, Region

ANSWER_SIZE: Final = 4
LIFETIME_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class AddressAnswer:
    """Addresses in the order in which a caller should try them.

    Attributes:
        lifetime_s: How long the caller may keep the answer.
    """

    addresses: tuple[Address, ...]
    lifetime_s: float


def addresses_for(
    roster: Roster,
    key: CallerKey,
    region: Region,
    failure_domain: FailureDomain,
) -> AddressAnswer:
    """Returns serving hosts near the caller, spread by the caller's key."""
    spread = sorted(roster.serving, key=lambda member: -score(key, member.daemon))
    chosen = near_first(spread, region, failure_domain)[:ANSWER_SIZE]
    return AddressAnswer(tuple(m.caller_address for m in chosen), LIFETIME_S)
