"""Tests of `lavendertide.fleet.handshake`."""

import unittest

from lavendertide.fleet.handshake import FleetKey, Role, new_nonce
from tests.fleet.members import later_run, member

MEMBER = member(1)


class FleetKeyTest(unittest.TestCase):
    """A proof holds for one key, one role, one member and one pair of nonces."""

    def setUp(self) -> None:
        self.key = FleetKey("a-key-of-the-fleet")
        self.nonces = new_nonce(), new_nonce()
        self.proof = self.key.sign(Role.DIALLER, MEMBER, *self.nonces)

    def test_the_other_side_verifies_a_proof(self) -> None:
        other = FleetKey("a-key-of-the-fleet")
        self.assertTrue(other.verifies(self.proof, Role.DIALLER, MEMBER, *self.nonces))

    def test_another_key_role_member_or_nonce_does_not(self) -> None:
        wrong_key = FleetKey("another-key-entirely")
        for key, role, who, nonces in (
            (wrong_key, Role.DIALLER, MEMBER, self.nonces),
            (self.key, Role.ACCEPTOR, MEMBER, self.nonces),
            (self.key, Role.DIALLER, member(2), self.nonces),
            (self.key, Role.DIALLER, later_run(MEMBER), self.nonces),
            (self.key, Role.DIALLER, MEMBER, self.nonces[::-1]),
            (self.key, Role.DIALLER, MEMBER, (new_nonce(), self.nonces[1])),
        ):
            self.assertFalse(key.verifies(self.proof, role, who, *nonces))

    def test_malformed_proofs_are_refused(self) -> None:
        for noise in ("", "é", "0" * 64):
            self.assertFalse(
                self.key.verifies(noise, Role.DIALLER, MEMBER, *self.nonces)
            )
