"""Grants one trial of each suspect at a time.

Trials of a suspect are granted by its home daemon, which is the first member of the
region in rendezvous order for the fingerprint. A grant ends after its duration, or
earlier with the verdict of the trial.
"""

from typing import Final

from lavendertide.ids import Fingerprint

TRIALS_MAX: Final = 1_024


class Trials:
    """The trials that this daemon has granted as the home of suspects."""

    def __init__(self) -> None:
        self._until_s: dict[Fingerprint, float] = {}

    def grant(self, fingerprint: Fingerprint, duration_s: float, now_s: float) -> bool:
        """Grants a trial unless another one of the same request may be running.

        No trial is granted while `TRIALS_MAX` others are running.
        """
        if now_s < self._until_s.get(fingerprint, 0.0):
            return False
        self._remove_expired(now_s)
        if len(self._until_s) >= TRIALS_MAX:
            return False
        self._until_s[fingerprint] = now_s + duration_s
        return True

    def end(self, fingerprint: Fingerprint) -> None:
        """Ends the trial of a request, because it has led to a verdict."""
        self._until_s.pop(fingerprint, None)

    def _remove_expired(self, now_s: float) -> None:
        ended = [name for name, until_s in self._until_s.items() if now_s >= until_s]
        for name in ended:
            del self._until_s[name]
