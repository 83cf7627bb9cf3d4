"""Selects the addresses that a caller should use, and for how long."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from lavendertide.fleet.ranking import score
from lavendertide.fleet.roster import SILENCE_S, Roster
from lavendertide.ids import Address, CallerKey, DaemonId, FailureDomain, Region
from lavendertide.messages import MemberRecord

ADDRESSES_PER_LIST: Final = 4
# A host counts as large if the largest has at most this many times its capacity. Most
# large hosts have headroom if at least one in this many of them is not loaded.
LARGE_FACTOR: Final = 2


@dataclass(frozen=True, slots=True)
class AddressList:
    """Addresses in the order in which a caller should try them.

    Attributes:
        lifetime_s: How long the caller may use the list.
    """

    addresses: tuple[Address, ...]
    lifetime_s: float


class AddressBook:
    """Selects addresses for callers from the roster.

    Args:
        roster: The members of the fleet.
        name_of: Returns the name by which callers share hosts, such as their plan.
        lifetime_s: How long a caller may use a list.
        addresses_max: The most addresses in a list.
        alone_lifetime_s: Upper bound of `lifetime_s` while no other host is known.
    """

    def __init__(
        self,
        roster: Roster,
        name_of: Callable[[CallerKey], str],
        lifetime_s: float,
        addresses_max: int = ADDRESSES_PER_LIST,
        alone_lifetime_s: float = math.inf,
    ) -> None:
        self._roster = roster
        self._name_of = name_of
        self._lifetime_s = lifetime_s
        self._addresses_max = addresses_max
        self._alone_lifetime_s = alone_lifetime_s

    def addresses_for(
        self,
        key: CallerKey,
        region: Region,
        failure_domain: FailureDomain,
        now_s: float,
    ) -> AddressList:
        """Returns the nearest serving hosts, the same few for callers of one name."""
        serving = self._select_usable(now_s)
        chosen = self._choose(key, region, failure_domain, serving)
        addresses = tuple(member.caller_address for member in chosen)
        lifetime_s = self._lifetime_s
        if len(self._roster.members) == 1:
            lifetime_s = min(lifetime_s, self._alone_lifetime_s)
        return AddressList(addresses, lifetime_s)

    def members_listed_for(
        self, keys: Iterable[CallerKey], now_s: float
    ) -> frozenset[DaemonId]:
        """Returns all members that are listed for these callers at any location."""
        serving = self._select_usable(now_s)
        places = {(m.region, m.failure_domain) for m in self._roster.members}
        return frozenset(
            member.daemon
            for key in keys
            for region, failure_domain in places
            for member in self._choose(key, region, failure_domain, serving)
        )

    def _select_usable(self, now_s: float) -> list[MemberRecord]:
        serving = [m for m in self._roster.serving if self._is_usable(m, now_s)]
        return select_with_headroom(serving)

    def _choose(
        self,
        key: CallerKey,
        region: Region,
        failure_domain: FailureDomain,
        serving: list[MemberRecord],
    ) -> list[MemberRecord]:
        name = self._name_of(key)
        chosen: list[MemberRecord] = []
        for group in _by_distance(serving, region, failure_domain):
            chosen += sorted(group, key=lambda member: -score(name, member.daemon))
            if len(chosen) >= self._addresses_max:
                break
        return chosen[: self._addresses_max]

    def _is_usable(self, member: MemberRecord, now_s: float) -> bool:
        if self._roster.is_published_as_leaving(member):
            return False
        return self._roster.is_reachable(member.daemon, SILENCE_S, now_s)


def select_with_headroom(members: list[MemberRecord]) -> list[MemberRecord]:
    """Returns the members that should receive requests first.

    The largest members receive all requests as long as most of them are not loaded. The
    fewer hosts send to the targets, the more each one knows of their state, and the
    fewer connections have to be opened. The others are listed once that is not enough.
    """
    largest = max((member.capacity for member in members), default=0)
    large = [m for m in members if LARGE_FACTOR * m.capacity >= largest]
    free = [member for member in large if not member.is_loaded]
    if LARGE_FACTOR * len(free) >= len(large):
        return free
    return [member for member in members if not member.is_loaded] or members


def _by_distance(
    members: Iterable[MemberRecord], region: Region, failure_domain: FailureDomain
) -> tuple[list[MemberRecord], list[MemberRecord], list[MemberRecord]]:
    same_domain: list[MemberRecord] = []
    same_region: list[MemberRecord] = []
    elsewhere: list[MemberRecord] = []
    for member in members:
        if member.failure_domain == failure_domain:
            same_domain.append(member)
        elif member.region == region:
            same_region.append(member)
        else:
            elsewhere.append(member)
    return same_domain, same_region, elsewhere
