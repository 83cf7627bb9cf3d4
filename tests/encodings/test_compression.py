"""Tests of `lavendertide.encodings.compression`."""

import contextlib
import unittest

from hypothesis import given, settings, strategies as st

from lavendertide.encodings.compression import Deflater, Inflater
from lavendertide.encodings.peer_frames import LENGTH, encode_frame
from lavendertide.ids import ConfigurationVersion
from lavendertide.messages import Heartbeat
from tests.fleet.members import member

MAX_BYTES = 10_000


def heartbeat(number: int) -> bytes:
    """Returns a serialized heartbeat with gossip about four members."""
    gossip = tuple(member(number + n) for n in range(4))
    message = Heartbeat(number, gossip, ConfigurationVersion(7), number)
    return encode_frame(message)[LENGTH.size :]


class CompressionTest(unittest.TestCase):
    """Frames are decompressed to what was sent, within a bound, and get much shorter.

    Without a bound on the expanded size, a small frame could exhaust the receiver's
    memory.
    """

    def setUp(self) -> None:
        self.deflater = Deflater()
        self.inflater = Inflater()

    @settings(derandomize=True, max_examples=100)
    @given(st.lists(st.binary(max_size=300), max_size=8))
    def test_frames_arrive_as_they_were_sent(self, payloads: list[bytes]) -> None:
        deflater, inflater = Deflater(), Inflater()
        for payload in payloads:
            sent = deflater.compress(payload)
            self.assertEqual(inflater.decompress(sent, MAX_BYTES), payload)

    def test_gossip_of_members_shrinks_to_a_third(self) -> None:
        """Guards the size of gossip while all members of a fleet restart."""
        frames = [heartbeat(number) for number in range(50)]
        sent = [self.deflater.compress(frame) for frame in frames]
        self.assertLess(sum(map(len, sent)), sum(map(len, frames)) / 3)

    def test_a_frame_that_expands_beyond_the_bound_is_refused(self) -> None:
        sent = self.deflater.compress(b"x" * (MAX_BYTES + 1))
        self.assertRaises(ValueError, self.inflater.decompress, sent, MAX_BYTES)

    def test_a_frame_as_long_as_the_bound_is_accepted(self) -> None:
        payload = b"x" * MAX_BYTES
        sent = self.deflater.compress(payload)
        self.assertEqual(self.inflater.decompress(sent, MAX_BYTES), payload)

    @settings(derandomize=True, max_examples=300)
    @given(st.binary(max_size=200))
    def test_random_bytes_raise_only_value_errors(self, data: bytes) -> None:
        with contextlib.suppress(ValueError):
            Inflater().decompress(data, MAX_BYTES)
