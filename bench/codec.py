"""Measures the cost of encoding and decoding relayed sub-requests with `thrift`.

`python -m bench.codec` times frames with different numbers of sub-requests in one
process. The times include the conversion to and from data classes, as in the daemons.
"""

import functools
import json
import sys
import timeit

from bench.revision import revision
from lavendertide.encodings.peer_frames import LENGTH, decode_frame, encode_frame
from lavendertide.ids import (
    AttemptId,
    Fingerprint,
    IndexName,
    IndexVersion,
    OwnerId,
    QueryId,
    ShardNumber,
    TargetId,
)
from lavendertide.messages import Operation, SubRequest, SubRequests

ITEMS = (1, 20, 100)
ROUNDS = 2_000


def build_frame(items: int) -> SubRequests:
    """Returns a frame with the sub-requests of a search over many shards."""
    return SubRequests(
        tuple(
            SubRequest(
                attempt=AttemptId(f"0123456789abcdef0123456789abcdef.{number}"),
                query=QueryId("0123456789abcdef0123456789abcdef"),
                owner=OwnerId("association"),
                index=IndexName("venue-desk"),
                shard=ShardNumber(number),
                version=IndexVersion(7),
                target=TargetId(f"venue-desk-{number}-0"),
                operation=Operation.SEARCH,
                body="order 0123456789",
                remaining_ms=100,
                fingerprint=Fingerprint("0123456789abcdef0123456789abcdef"),
            )
            for number in range(items)
        )
    )


def main() -> int:
    """Prints a table of the bytes and microseconds per sub-request."""
    print(f"commit {revision()}")
    print("| sub-requests in a frame | bytes each | out us each | in us each |")
    print("|---|---|---|---|")
    rows = []
    for items in ITEMS:
        frame = build_frame(items)
        data = encode_frame(frame)
        payload = data[LENGTH.size :]
        rounds = max(1, ROUNDS // items)
        out_s = timeit.timeit(functools.partial(encode_frame, frame), number=rounds)
        in_s = timeit.timeit(functools.partial(decode_frame, payload), number=rounds)
        scale = 1e6 / (rounds * items)
        rows.append((items, len(data) / items, out_s * scale, in_s * scale))
        print("| {} | {:.0f} | {:.1f} | {:.1f} |".format(*rows[-1]))
    print(json.dumps(rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())
