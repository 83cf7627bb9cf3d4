"""Link faults for tests: frames to and from named peers can be dropped or delayed.

Nothing here acts unless the settings have a `faults` section. The rules stand in a
JSON file that a test rewrites while the daemon runs:
`{"drop_to": [...], "drop_from": [...], "loss": 0.1, "delay_s": 0.05}` with peer
addresses, the share of frames that are lost, and a delay before each frame. With
`"distances": [{"delay_s": 0.005, "loss": 0.001, "peers": [...]}]` frames to some peers
are lost and delayed besides, as over a longer way.
"""

import contextlib
import random
from pathlib import Path
from typing import Final

from pydantic import BaseModel, ConfigDict, ValidationError

from lavendertide.ids import Address
from lavendertide.runtime import tasks

REREAD_S: Final = 0.1


class Distance(BaseModel):
    """What happens on the way to some peers.

    Attributes:
        delay_s: Time that each frame takes besides.
        loss: Share of the frames that are lost.
        peers: Their addresses.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    delay_s: float = 0.0
    loss: float = 0.0
    peers: frozenset[str] = frozenset()


NEAR: Final = Distance()


class FaultRules(BaseModel):
    """Which frames are lost."""

    model_config = ConfigDict(extra="forbid", frozen=True)

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

    def follow(self, path: Path) -> None:
        """Reads the rules again and again."""
        while True:
            with contextlib.suppress(OSError, ValidationError):
                self._rules = FaultRules.model_validate_json(path.read_bytes())
            tasks.sleep(REREAD_S)


def _is_lost(loss: float) -> bool:
    return loss > 0 and random.random() < loss
