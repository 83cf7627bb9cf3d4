"""Computes digests by which two daemons find where their rosters differ.

Members are hashed by name into buckets. A changed record updates its bucket's digest in
constant time, and an exchange carries only the records of buckets that differ. Removed
members are left out, since daemons discard them at different times.
"""

import zlib
from typing import Final

from lavendertide.ids import DaemonId
from lavendertide.messages import MemberRecord, MemberState

BUCKETS: Final = 64


def bucket_of(daemon: DaemonId) -> int:
    """Returns the number of a member's bucket."""
    return zlib.crc32(daemon.encode()) % BUCKETS


class Digests:
    """Holds one digest for each bucket of a roster."""

    def __init__(self) -> None:
        self._buckets = [0] * BUCKETS

    @property
    def buckets(self) -> tuple[int, ...]:
        """The digest of each bucket."""
        return tuple(self._buckets)

    @property
    def full(self) -> int:
        """One digest of the full roster."""
        return zlib.crc32(repr(self._buckets).encode())

    def replace(self, previous: MemberRecord | None, new: MemberRecord) -> None:
        """Updates the digest of the bucket in which a record has changed."""
        number = bucket_of(new.daemon)
        self._buckets[number] ^= _digest(previous) ^ _digest(new)


def _digest(record: MemberRecord | None) -> int:
    if record is None or record.state is MemberState.REMOVED:
        return 0
    fields = (
        record.daemon,
        record.incarnation,
        record.refutation,
        record.state.value,
    )
    return zlib.crc32(repr(fields).encode())
