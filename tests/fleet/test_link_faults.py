"""Tests of `lavendertide.fleet.link_faults` and of the decoding of its rules."""

import unittest

from lavendertide.encodings.link_faults_json import decode_rules
from lavendertide.fleet.link_faults import Distance
from lavendertide.ids import Address

FAR, NEAR = Address("127.0.0.1:1"), Address("127.0.0.1:2")


class FaultRulesTest(unittest.TestCase):
    """Added delay and loss apply only to the peers that a rule lists."""

    def test_a_distance_applies_only_to_its_peers(self) -> None:
        text = (
            b'{"distances": [{"delay_s": 0.005, "loss": 0.1, '
            b'"peers": ["127.0.0.1:1"]}]}'
        )
        rules = decode_rules(text)
        self.assertEqual(rules.distance_to(FAR).delay_s, 0.005)
        self.assertEqual(rules.distance_to(NEAR), Distance())
