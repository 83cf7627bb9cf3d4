"""Merges the records of several shards into one response body."""

from collections.abc import Iterable
from typing import Final

RECORD_BYTES: Final = 16


def split_records(body: bytes) -> list[bytes]:
    """Splits a part into its records; a shorter remainder is ignored."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]


def merge_greatest_records(bodies: Iterable[bytes], records_max: int) -> bytes:
    """Returns the greatest records of all parts in descending order.

    Records of equal value are all kept.

    Args:
        bodies: The bodies of the parts as their targets sent them.
        records_max: Maximum number of records in the result.
    """
    records = [record for body in bodies for record in split_records(body)]
    records.sort(reverse=True)
    return b"".join(records[:records_max])
