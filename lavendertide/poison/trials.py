"""One trial of each suspect at a time, granted by the suspect's home daemon.

The home is the first member of the region in rendezvous order for the fingerprint. A
grant ends with its duration or with the verdict that the trial has brought.
"""

from typing import Final

from lavendertide.ids import Fingerprint

TRIALS_MAX: Final = 1_024


class Trials:
    """The trials that this daemon has granted."""

    def __init__(self) -> None:
        self._until_s: dict[Fingerprint, float] = {}

    def grant(self, fingerprint: Fingerprint, duration_s: float, now_s: float) -> bool:
        """Allows a trial unless another of the same request may be running."""
        if now_s < self._until_s.get(fingerprint, 0.0):
            return False
        self._remove_expired(now_s)
        if len(self._until_s) >= TRIALS_MAX:
            return False
        self._until_s[fingerprint] = now_s + duration_s
        return True

    def end(self, fingerprint: Fingerprint) -> None:
        """Notes that a trial has brought a verdict."""
        self._until_s.pop(fingerprint, None)

    def _remove_expired(self, now_s: float) -> None:
        ended = [name for name, until_s in self._until_s.items() if now_s >= until_s]
        for name in ended:
            del self._until_s[name]
