"""Tickets, each good for one execution by the incarnation that minted it."""

import hashlib
import hmac
from dataclasses import dataclass
from typing import Final

from lavendertide.ids import DaemonId, Incarnation, TicketId

SIGNATURE_LENGTH: Final = 24


@dataclass(frozen=True, slots=True)
class Ticket:
    """What the text of a ticket says."""

    daemon: DaemonId
    incarnation: Incarnation
    serial: int


def encode_ticket(ticket: Ticket, key: str) -> TicketId:
    """Returns the signed text of a ticket."""
    text = f"{ticket.daemon}.{ticket.incarnation}.{ticket.serial}"
    return TicketId(f"{text}.{_signature(text, key)}")


def decode_ticket(text: TicketId, key: str) -> Ticket | None:
    """Returns what a ticket says, none if the fleet has not signed it."""
    said, _, signature = text.rpartition(".")
    if not hmac.compare_digest(_signature(said, key), signature):
        return None
    daemon, incarnation, serial = said.rsplit(".", 2)
    return Ticket(DaemonId(daemon), Incarnation(int(incarnation)), int(serial))


def _signature(text: str, key: str) -> str:
    digest = hmac.new(key.encode(), text.encode(), hashlib.sha256)
    return digest.hexdigest()[:SIGNATURE_LENGTH]
