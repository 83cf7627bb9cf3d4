"""Rendezvous hashing: which members come first for a name.

Every daemon with the same roster computes the same order without asking anybody, and
a member that comes or goes moves only what it holds itself.
"""

import hashlib
from collections.abc import Iterable
from typing import Final

from lavendertide.configuration.catalog import TargetPlace
from lavendertide.fleet.roster import Roster
from lavendertide.ids import DaemonId, TargetId
from lavendertide.messages import MemberRecord, MemberState

SCORE_BYTES: Final = 8
KEPT_PER_TARGET: Final = 8

_RANKED_BEHIND: Final = frozenset({MemberState.JOINING, MemberState.LEAVING})

_Key = tuple[bool, bool, int]


def score(name: str, daemon: DaemonId) -> int:
    """Returns the weight of a member for a name."""
    digest = hashlib.blake2b(f"{name}\n{daemon}".encode(), digest_size=SCORE_BYTES)
    return int.from_bytes(digest.digest(), "big")


def rank_for_target(
    place: TargetPlace, members: Iterable[MemberRecord]
) -> list[MemberRecord]:
    """Returns who may hold a target's slots, the primary first.

    Members of the target's own failure domain come before the others of its region;
    members of other regions never hold it. Those that join or leave come last.
    """
    candidates = [member for member in members if member.region == place.region]
    return sorted(candidates, key=lambda member: _key(place, member))


def _key(place: TargetPlace, member: MemberRecord) -> _Key:
    return (
        member.state in _RANKED_BEHIND,
        member.failure_domain != place.failure_domain,
        -score(place.target, member.daemon),
    )


class TargetRanks:
    """Keeps the first members for each target in use.

    A change of one member costs one hash for each target, instead of one for each
    target and member.
    """

    def __init__(self, roster: Roster) -> None:
        self._roster = roster
        self._generation = -1
        self._placed: dict[DaemonId, MemberRecord] = {}
        self._ranks: dict[TargetId, tuple[TargetPlace, list[MemberRecord]]] = {}

    def of(self, place: TargetPlace) -> list[MemberRecord]:
        """Returns the first members that may hold a target's slots."""
        if self._generation != self._roster.generation:
            self._follow()
        kept = self._ranks.get(place.target)
        if kept is None or kept[0] != place:
            ranked = rank_for_target(place, self._roster.members)[:KEPT_PER_TARGET]
            self._ranks[place.target] = place, ranked
            return ranked
        return kept[1]

    def _follow(self) -> None:
        self._generation = self._roster.generation
        members = {member.daemon: member for member in self._roster.members}
        gone = [m for d, m in self._placed.items() if members.get(d) != m]
        come = [m for d, m in members.items() if self._placed.get(d) != m]
        self._placed = members
        for target, (place, ranked) in list(self._ranks.items()):
            changed = _changed(place, ranked, gone, come)
            if changed is None:
                del self._ranks[target]
            else:
                self._ranks[target] = place, changed


def _changed(
    place: TargetPlace,
    ranked: list[MemberRecord],
    gone: list[MemberRecord],
    come: list[MemberRecord],
) -> list[MemberRecord] | None:
    """Returns a rank after a change, none if it has to be made anew."""
    near = [member for member in come if member.region == place.region]
    lost = [member for member in gone if member in ranked]
    if lost and len(ranked) == KEPT_PER_TARGET:
        return None
    kept = [member for member in ranked if member not in lost]
    if not near:
        return kept
    merged = sorted(kept + near, key=lambda member: _key(place, member))
    return merged[:KEPT_PER_TARGET]
