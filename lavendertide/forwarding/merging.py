"""Joins the records of several shards into one answer."""

from collections.abc import Iterable
from typing import Final

RECORD_BYTES: Final = 16


def split_records(body: bytes) -> list[bytes]:
    """Returns the whole records of a part; a shorter remainder is no record."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]


def merge_greatest_records(bodies: Iterable[bytes], records_max: int) -> bytes:
    """Returns the greatest records of all parts, greatest first; equal ones all count.

    Args:
        bodies: The parts as their targets sent them.
        records_max: How many records the answer holds at most.
    """
    records = [record for body in bodies for record in split_records(body)]
    records.sort(reverse=True)
    return b"".join(records[:records_max])
