"""Link faults for tests: frames to and from chosen peers can be dropped or delayed.

The faults have no effect unless the settings have a `faults` section. The rules are
read from a file that a test rewrites while the daemon runs
(`lavendertide.encodings.link_faults_json`).
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from lavendertide.ids import Address
from lavendertide.runtime import tasks

RULES_POLL_INTERVAL_S: Final = 0.1


@dataclass(frozen=True, slots=True)
class Distance:
    """The delay and loss of frames that are sent to some peers.

    Attributes:
        delay_s: Delay that is added to each frame.
        loss: Share of the frames that are lost, 0 to 1.
        peers: Addresses of the peers.
    """

    delay_s: float = 0.0
    loss: float = 0.0
    peers: frozenset[str] = frozenset()


NEAR: Final = Distance()


@dataclass(frozen=True, slots=True)
class FaultRules:
    """Which frames are dropped or delayed.

    Attributes:
        drop_to: Peers to which all frames are dropped.
        drop_from: Peers from which all frames are dropped.
        loss: Share of all sent frames that are lost, 0 to 1.
        delay_s: Delay that is added to each sent frame.
        distances: Further delay and loss of frames to some peers.
    """

    drop_to: frozenset[str] = frozenset()
    drop_from: frozenset[str] = frozenset()
    loss: float = 0.0
    delay_s: float = 0.0
    distances: tuple[Distance, ...] = ()

    def distance_to(self, peer: Address) -> Distance:
        """Returns the delay and loss that apply only to frames to this peer."""
        matching = (distance for distance in self.distances if peer in distance.peers)
        return next(matching, NEAR)


class LinkFaults:
    """Applies the fault rules in force to this daemon's connections."""

    def __init__(self) -> None:
        self._rules = FaultRules()

    def passes_to(self, peer: Address) -> bool:
        """Waits for the delay of a frame to a peer; returns whether it is sent."""
        distance = self._rules.distance_to(peer)
        if delay_s := self._rules.delay_s + distance.delay_s:
            tasks.sleep(delay_s)
        if peer in self._rules.drop_to:
            return False
        return not _is_lost(self._rules.loss) and not _is_lost(distance.loss)

    def passes_from(self, peer: Address) -> bool:
        """Returns whether a frame from a peer is received."""
        return peer not in self._rules.drop_from

    def allows_dial(self, peer: Address) -> bool:
        """Returns whether a connection to a peer can be opened."""
        return peer not in self._rules.drop_to | self._rules.drop_from

    def run(self, read: Callable[[], FaultRules | None]) -> None:
        """Rereads the rules periodically for as long as the process runs.

        Args:
            read: Returns the rules, or none if they can't be read now; then the
                previous ones stay in force.
        """
        while True:
            self._rules = read() or self._rules
            tasks.sleep(RULES_POLL_INTERVAL_S)


def _is_lost(loss: float) -> bool:
    return loss > 0 and random.random() < loss
