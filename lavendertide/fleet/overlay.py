"""Selects the members that a daemon watches with heartbeats.

The members are arranged in a few rings, each in a different order given by hashing, and
every member watches its successor on each ring. So each member is watched by a fixed
number of others, however large the fleet is, and all daemons compute the same
assignment without messages. Gossip crosses the fleet in a number of hops that grows
with the logarithm of its size. The links stay open, since opening one costs more than
many heartbeats.
"""

import hashlib
from collections.abc import Sequence
from typing import Final

from lavendertide.ids import DaemonId
from lavendertide.messages import MemberRecord

RINGS: Final = 4
WATCH_ALL_MAX: Final = 9


def watched_by(
    own: DaemonId, members: Sequence[MemberRecord], rings: int = RINGS
) -> frozenset[DaemonId]:
    """Returns the members that a daemon watches: all others in a small fleet."""
    others = [member.daemon for member in members if member.daemon != own]
    if len(others) < WATCH_ALL_MAX:
        return frozenset(others)
    return frozenset(_successor(own, others, ring) for ring in range(rings))


def _successor(own: DaemonId, others: list[DaemonId], ring: int) -> DaemonId:
    start = _position(own, ring)
    return min(others, key=lambda other: _distance(start, _position(other, ring)))


def _distance(start: bytes, end: bytes) -> tuple[bool, bytes]:
    return end <= start, end


def _position(daemon: DaemonId, ring: int) -> bytes:
    return hashlib.blake2b(f"{ring}\n{daemon}".encode(), digest_size=8).digest()
