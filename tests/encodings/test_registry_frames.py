"""Tests of `lavendertide.encodings.registry_frames`."""

import unittest
from dataclasses import replace

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.TSerialization import serialize

from lavendertide.encodings.generated.peer_protocol import ttypes
from lavendertide.encodings.peer_frames import LENGTH, decode_frame, encode_frame
from lavendertide.evacuation.evacuated_domains import Evacuation
from lavendertide.ids import (
    ConfigurationVersion,
    ExchangeId,
    FailureDomain,
    TargetId,
)
from lavendertide.messages import RegistryPull, RegistryPush
from standins.forwarding_records import at, target


class RegistryFramesTest(unittest.TestCase):
    """Registry frames survive encoding and decoding with all fields."""

    def test_each_frame_arrives_as_it_was_sent(self) -> None:
        exchange = ExchangeId("e")
        push = RegistryPush(
            exchange,
            at(15, 3),
            (target("b"),),
            (TargetId("a"),),
            False,
            True,
            ConfigurationVersion(3),
            (Evacuation(FailureDomain("north-a"), at(12, 3), True),),
        )
        earlier_release = replace(push, evacuations=None)
        for frame in (
            RegistryPull(exchange, None),
            RegistryPull(exchange, at(10, 3)),
            push,
            earlier_release,
        ):
            read = decode_frame(encode_frame(frame)[LENGTH.size :])
            self.assertEqual(read.unwrap(), frame)

    def test_the_cold_time_of_a_target_arrives(self) -> None:
        for cold_left_ms in (None, 0, 1_500):
            record = replace(target("b"), cold_left_ms=cold_left_ms)
            push = RegistryPush(
                ExchangeId("e"),
                at(1),
                (record,),
                (),
                True,
                True,
                ConfigurationVersion(1),
            )
            read = decode_frame(encode_frame(push)[LENGTH.size :]).unwrap()
            assert isinstance(read, RegistryPush)
            self.assertEqual(read.records[0].cold_left_ms, cold_left_ms)

    def test_frames_of_an_earlier_release_name_no_era(self) -> None:
        exchange, domain = ExchangeId("e"), FailureDomain("north-a")
        evacuation = ttypes.Evacuation(domain, 12, True)
        pull = ttypes.Frame(registry_pull=ttypes.RegistryPull(exchange, 10))
        push = ttypes.RegistryPush(exchange, 15, [], [], True, True, 3, [evacuation])
        for union, expected in (
            (pull, RegistryPull(exchange, at(10, 0))),
            (
                ttypes.Frame(registry_push=push),
                RegistryPush(
                    exchange,
                    at(15, 0),
                    (),
                    (),
                    True,
                    True,
                    ConfigurationVersion(3),
                    (Evacuation(domain, at(12, 0), True),),
                ),
            ),
        ):
            sent = serialize(union, TBinaryProtocolAcceleratedFactory())
            self.assertEqual(decode_frame(sent).unwrap(), expected)
