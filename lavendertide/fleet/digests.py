"""Digests of a roster, so that two daemons find where their rosters differ.

Members fall into buckets by name. A bucket's digest changes in constant time with a
record, and a full exchange carries only the buckets that differ. Removed members do
not count, since daemons forget them at different times.
"""

import zlib
from typing import Final

from lavendertide.ids import DaemonId
from lavendertide.messages import MemberRecord, MemberState

BUCKETS: Final = 64


def bucket_of(daemon: DaemonId) -> int:
    """Returns the bucket of a member."""
    return zlib.crc32(daemon.encode()) % BUCKETS


class Digests:
    """The digests of one roster."""

    def __init__(self) -> None:
        self._buckets = [0] * BUCKETS

    @property
    def buckets(self) -> tuple[int, ...]:
        """The digest of each bucket."""
        return tuple(self._buckets)

    @property
    def full(self) -> int:
        """The digest of the whole roster."""
        return zlib.crc32(repr(self._buckets).encode())

    def replace(self, previous: MemberRecord | None, new: MemberRecord) -> None:
        """Takes in that a record has changed."""
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
