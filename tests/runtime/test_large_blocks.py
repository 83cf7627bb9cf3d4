"""Tests of `lavendertide.runtime.large_blocks`."""

import subprocess
import sys
import unittest
from typing import Final

# Reads the longest bodies one after the other, between short blocks that stay, and
# prints by how many KB the peak of the resident memory has grown.
BODIES: Final = """
import random
import re
from pathlib import Path
from lavendertide.encodings.http_replies import MalformedReply, ReplyReader
from lavendertide.runtime.large_blocks import map_large_blocks

def peak_kb():
    status = Path("/proc/self/status").read_text()
    return int(re.search(r"VmHWM:\\s+(\\d+)", status)[1])

assert map_large_blocks()
draws = random.Random(1)
before_kb = peak_kb()
kept = []
for _ in range(10):
    reader = ReplyReader("GET")
    reader.feed(b"HTTP/1.1 200 OK\\r\\n\\r\\n")
    try:
        while True:
            reader.feed(b"x" * draws.randint(1_000, 65_536))
            kept.append(bytes(draws.randint(600, 4_000)))
            if len(kept) > 400:
                kept.pop(draws.randrange(len(kept)))
    except MalformedReply:
        reader.close()
print(peak_kb() - before_kb)
"""
# One body of 8 MiB, an eighth by which it grows, and the blocks that stay.
GROWTH_MAX_KB: Final = 8_192 * 9 // 8 + 2_048


class LargeBlocksTest(unittest.TestCase):
    """Guards against long bodies that each take the memory of two.

    The process of the test isn't changed, as the limit holds for all of its memory.
    """

    def test_successive_long_bodies_take_the_memory_of_one(self) -> None:
        run = subprocess.run(
            [sys.executable, "-c", BODIES], capture_output=True, text=True, check=True
        )
        self.assertLess(int(run.stdout), GROWTH_MAX_KB)


if __name__ == "__main__":
    unittest.main()
