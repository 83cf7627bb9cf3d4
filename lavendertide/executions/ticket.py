"""Signed tickets, each valid for one execution by the incarnation that issued it."""

import hashlib
import hmac
from dataclasses import dataclass
from typing import Final

from lavendertide.ids import DaemonId, Incarnation, TicketId

# Hexadecimal digits of the signature.
SIGNATURE_LENGTH: Final = 24


@dataclass(frozen=True, slots=True)
class Ticket:
    """Identifies a ticket: its issuer and its number in the issuer's ledger."""

    daemon: DaemonId
    incarnation: Incarnation
    serial: int


def encode_ticket(ticket: Ticket, key: str) -> TicketId:
    """Returns the signed text of a ticket."""
    text = f"{ticket.daemon}.{ticket.incarnation}.{ticket.serial}"
    return TicketId(f"{text}.{_sign(text, key)}")


def decode_ticket(text: TicketId, key: str) -> Ticket | None:
    """Returns the parsed ticket, or none if its signature is not valid."""
    payload, _, signature = text.rpartition(".")
    if not hmac.compare_digest(_sign(payload, key), signature):
        return None
    daemon, incarnation, serial = payload.rsplit(".", 2)
    return Ticket(DaemonId(daemon), Incarnation(int(incarnation)), int(serial))


def _sign(text: str, key: str) -> str:
    digest = hmac.new(key.encode(), text.encode(), hashlib.sha256)
    return digest.hexdigest()[:SIGNATURE_LENGTH]
