"""Proves to each side of a new connection that the other knows the fleet's key.

Each side chooses a nonce and signs the other's. A recorded handshake can't be replayed,
since the next one has other nonces, and a proof can't be reflected, since the two roles
sign different texts. The proof covers the opening of a connection; frames after it are
neither signed nor encrypted.
"""

import hashlib
import hmac
import secrets
from enum import Enum
from typing import Final

from lavendertide.messages import MemberRecord

NONCE_BYTES: Final = 16


class Role(Enum):
    """The side of a connection that signs."""

    DIALLER = "dialler"
    ACCEPTOR = "acceptor"


def new_nonce() -> str:
    """Returns a random nonce of `NONCE_BYTES` bytes in hexadecimal."""
    return secrets.token_hex(NONCE_BYTES)


class FleetKey:
    """Signs and verifies proofs with the fleet's shared secret."""

    def __init__(self, key: str) -> None:
        self._key = key.encode()

    def sign(self, role: Role, member: MemberRecord, nonce: str, own_nonce: str) -> str:
        """Returns a member's proof of the key for a nonce of the other side."""
        facts = (role.value, member.daemon, str(member.incarnation), nonce, own_nonce)
        text = "\n".join(facts).encode()
        return hmac.new(self._key, text, hashlib.sha256).hexdigest()

    def verifies(
        self, proof: str, role: Role, member: MemberRecord, nonce: str, own_nonce: str
    ) -> bool:
        """Returns whether a proof was signed with this key for these values."""
        expected = self.sign(role, member, nonce, own_nonce)
        return hmac.compare_digest(expected.encode(), proof.encode())
