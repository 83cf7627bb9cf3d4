"""Tests of `lavendertide.fleet.link_faults`."""

import unittest

from lavendertide.fleet.link_faults import Distance, FaultRules
from lavendertide.ids import Address

FAR, NEAR = Address("127.0.0.1:1"), Address("127.0.0.1:2")


class FaultRulesTest(unittest.TestCase):
    """Each peer has the distance that the rules give it."""

    def test_a_peer_has_its_own_distance(self) -> None:
        text = (
            '{"distances": [{"delay_s": 0.005, "loss": 0.1, "peers": ["127.0.0.1:1"]}]}'
        )
        rules = FaultRules.model_validate_json(text)
        self.assertEqual(rules.distance_to(FAR).delay_s, 0.005)
        self.assertEqual(rules.distance_to(NEAR), Distance())
