"""Counters of peer traffic, refusals, pauses, suspicions and removals."""

from typing import Final

from prometheus_client import Counter

PEER_BYTES: Final = Counter(
    "lavendertide_peer_bytes",
    "Bytes exchanged with other daemons.",
    ("kind", "direction"),
)
PEERS_REFUSED: Final = Counter(
    "lavendertide_peers_refused",
    "Peer connections refused because the fleet's key was not proved.",
)
PAUSES: Final = Counter(
    "lavendertide_late_wakes",
    "Pauses of this process that were longer than a lease.",
)
NOT_READY_REFUSALS: Final = Counter(
    "lavendertide_not_ready_refusals",
    "Requests and sub-requests refused while the view of the fleet was not current.",
)
SUSPICIONS: Final = Counter(
    "lavendertide_suspicions",
    "Members that this daemon has suspected on its own evidence.",
)
REMOVALS: Final = Counter(
    "lavendertide_removals",
    "Members that this daemon has removed.",
)
REMOVALS_HELD_BACK: Final = Counter(
    "lavendertide_removals_held_back",
    "Times that a removal was held back because too many vanished together.",
)
FALSE_SUSPICIONS: Final = Counter(
    "lavendertide_false_suspicions",
    "Suspicions of this daemon that it has refuted itself.",
)
