"""Link faults for tests: frames to and from named peers can be dropped or delayed.

Nothing here acts unless the settings have a `faults` section. The rules stand in a file
that a test rewrites while the daemon runs (`lavendertide.encodings.link_faults_json`).
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from lavendertide.ids import Address
from lavendertide.runtime import tasks

REREAD_S: Final = 0.1


@dataclass(frozen=True, slots=True)
class Distance:
    """What happens on the way to some peers.

    Attributes:
        delay_s: Time that each frame takes besides.
        loss: Share of the frames that are lost.
        peers: Their addresses.
    """

    delay_s: float = 0.0
    loss: float = 0.0
    peers: frozenset[str] = frozenset()


NEAR: Final = Distance()


@dataclass(frozen=True, slots=True)
class FaultRules:
    """Which frames are lost.

    Attributes:
        drop_to: Peers that no frame reaches.
        drop_from: Peers whose frames do not arrive.
        loss: Share of all frames that are lost.
        delay_s: Time that each frame takes besides.
        distances: What happens besides on the way to some peers.
    """

    drop_to: frozenset[str] = frozenset()
    drop_from: frozenset[str] = frozenset()
    loss: float = 0.0
    delay_s: float = 0.0
    distances: tuple[Distance, ...] = ()

    def distance_to(self, peer: Address) -> Distance:
        """Returns what happens on the way to a peer besides the rules for all."""
        found = (distance for distance in self.distances if peer in distance.peers)
        return next(found, NEAR)


class LinkFaults:
    """The faults at this daemon's edge."""

    def __init__(self) -> None:
        self._rules = FaultRules()

    def passes_to(self, peer: Address) -> bool:
        """Returns whether a frame to a peer gets through, after its delay."""
        distance = self._rules.distance_to(peer)
        if delay_s := self._rules.delay_s + distance.delay_s:
            tasks.sleep(delay_s)
        if peer in self._rules.drop_to:
            return False
        return not _is_lost(self._rules.loss) and not _is_lost(distance.loss)

    def passes_from(self, peer: Address) -> bool:
        """Returns whether a frame from a peer gets through."""
        return peer not in self._rules.drop_from

    def allows_dial(self, peer: Address) -> bool:
        """Returns whether a connection to a peer can be opened."""
        return peer not in self._rules.drop_to | self._rules.drop_from

    def run(self, read: Callable[[], FaultRules | None]) -> None:
        """Reads the rules again and again.

        Args:
            read: Returns the rules, none if they cannot be read now.
        """
        while True:
            self._rules = read() or self._rules
            tasks.sleep(REREAD_S)


def _is_lost(loss: float) -> bool:
    return loss > 0 and random.random() < loss
