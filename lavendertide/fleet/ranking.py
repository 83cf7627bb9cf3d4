"""Ranks members by rendezvous hashing.

Every daemon with the same roster computes the same order without any messages, and a
member that joins or leaves changes only the assignments that it holds itself.
"""

import bisect
import hashlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from lavendertide.fleet.roster import Roster
from lavendertide.ids import DaemonId, TargetId
from lavendertide.messages import MemberRecord, MemberState
from lavendertide.targets.place import TargetPlace

SCORE_BYTES: Final = 8
# Members that are cached for each target; below the minimum they are ranked anew.
KEPT_PER_TARGET: Final = 8
KEPT_MIN: Final = 4

_RANKED_BEHIND: Final = frozenset({MemberState.JOINING, MemberState.LEAVING})

_Key = tuple[bool, bool, int]


def score(name: str, daemon: DaemonId) -> int:
    """Returns the weight of a member for a name; the highest ranks first."""
    digest = hashlib.blake2b(f"{name}\n{daemon}".encode(), digest_size=SCORE_BYTES)
    return int.from_bytes(digest.digest(), "big")


def rank_for_target(
    place: TargetPlace, members: Iterable[MemberRecord]
) -> list[MemberRecord]:
    """Returns the members that may hold a target's slots, the primary first.

    Members of the target's own failure domain come before the others of its region;
    members of other regions never hold it. Those that are joining or leaving rank last.
    """
    candidates = [member for member in members if member.region == place.region]
    return sorted(candidates, key=lambda member: _key(place, member))


def _key(place: TargetPlace, member: MemberRecord) -> _Key:
    return (
        member.state in _RANKED_BEHIND,
        member.failure_domain != place.failure_domain,
        -score(place.target, member.daemon),
    )


@dataclass(slots=True)
class _Rank:
    """The first members for a target, with the keys that order them.

    Attributes:
        is_complete: Whether no other member may hold the target.
    """

    place: TargetPlace
    keys: list[_Key]
    members: list[MemberRecord]
    is_complete: bool


class TargetRanks:
    """Caches the first members for each target in use.

    A change of one member costs one hash for each target of its region, instead of one
    for each target and member.
    """

    def __init__(self, roster: Roster) -> None:
        self._roster = roster
        self._generation = -1
        self._known_members: dict[DaemonId, MemberRecord] = {}
        self._ranks: dict[TargetId, _Rank] = {}

    def ranked_members(self, place: TargetPlace) -> list[MemberRecord]:
        """Returns the first members that may hold a target's slots, in rank order.

        Up to `KEPT_PER_TARGET` are returned, and fewer than `KEPT_MIN` only if no other
        member may hold them.
        """
        if self._generation != self._roster.generation:
            self._update_ranks()
        rank = self._ranks.get(place.target)
        if rank is None or rank.place != place:
            rank = _make_rank(place, self._roster.members)
            self._ranks[place.target] = rank
        return rank.members

    def _update_ranks(self) -> None:
        self._generation = self._roster.generation
        members = {member.daemon: member for member in self._roster.members}
        removed = {d: m for d, m in self._known_members.items() if members.get(d) != m}
        added = [m for d, m in members.items() if self._known_members.get(d) != m]
        self._known_members = members
        regions = {m.region for m in (*removed.values(), *added)}
        for target, rank in list(self._ranks.items()):
            if rank.place.region in regions and not _update_rank(rank, removed, added):
                del self._ranks[target]


def _make_rank(place: TargetPlace, members: Sequence[MemberRecord]) -> _Rank:
    nearby = [
        member
        for member in members
        if member.failure_domain == place.failure_domain
        and member.region == place.region
        and member.state is not MemberState.LEAVING
    ]
    ranked = rank_for_target(
        place, nearby if len(nearby) > KEPT_PER_TARGET else members
    )
    kept = ranked[:KEPT_PER_TARGET]
    keys = [_key(place, member) for member in kept]
    return _Rank(place, keys, kept, len(ranked) == len(kept))


def _update_rank(
    rank: _Rank,
    removed: Mapping[DaemonId, MemberRecord],
    added: Iterable[MemberRecord],
) -> bool:
    """Applies changed members to a rank; returns false if too few are left."""
    if any(member.daemon in removed for member in rank.members):
        kept = [
            (key, member)
            for key, member in zip(rank.keys, rank.members, strict=True)
            if member.daemon not in removed
        ]
        rank.keys = [key for key, _ in kept]
        rank.members = [member for _, member in kept]
        if len(kept) < KEPT_MIN and not rank.is_complete:
            return False
    for member in added:
        if member.region == rank.place.region:
            _insert(rank, member)
    return True


def _insert(rank: _Rank, member: MemberRecord) -> None:
    key = _key(rank.place, member)
    if not rank.is_complete and key > rank.keys[-1]:
        return
    position = bisect.bisect(rank.keys, key)
    rank.keys.insert(position, key)
    rank.members.insert(position, member)
    if len(rank.members) > KEPT_PER_TARGET:
        rank.keys.pop()
        rank.members.pop()
        rank.is_complete = False
