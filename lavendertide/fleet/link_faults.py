"""Link faults for tests: frames to and from named peers can be dropped or delayed.

Nothing here acts unless the settings have a `faults` section. The rules stand in a
JSON file that a test rewrites while the daemon runs:
`{"drop_to": [...], "drop_from": [...], "loss": 0.1, "delay_s": 0.05}` with peer
addresses, the share of frames that are lost, and a delay before each frame.
"""

import contextlib
import random
from pathlib import Path
from typing import Final

from pydantic import BaseModel, ConfigDict, ValidationError

from lavendertide.ids import Address
from lavendertide.runtime import tasks

REREAD_S: Final = 0.1


class FaultRules(BaseModel):
    """Which frames are lost."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    drop_to: frozenset[str] = frozenset()
    drop_from: frozenset[str] = frozenset()
    loss: float = 0.0
    delay_s: float = 0.0


class LinkFaults:
    """The faults at this daemon's edge."""

    def __init__(self) -> None:
        self._rules = FaultRules()

    def passes_to(self, peer: Address) -> bool:
        """Returns whether a frame to a peer gets through, after its delay."""
        if self._rules.delay_s:
            tasks.sleep(self._rules.delay_s)
        return peer not in self._rules.drop_to and not self._is_lost()

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

    def _is_lost(self) -> bool:
        return self._rules.loss > 0 and random.random() < self._rules.loss
