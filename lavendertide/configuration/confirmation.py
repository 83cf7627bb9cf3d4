"""Whether peers have confirmed that this daemon's configuration is not old.

A daemon that starts, or wakes from a pause, may hold an old publication, and the
service may be stale as well. So the peers are asked first. Their answers suffice once
one of them, which has itself been confirmed, knows nothing greater, or as many as the
settings name seeds have answered. A bounded wait ends the asking, so that a daemon
without peers starts as well.
"""

from typing import Final

from lavendertide.ids import DaemonId
from lavendertide.messages import ConfigurationOffer, ConfigurationStamp

CONFIRM_WAIT_S: Final = 3.0
PEERS_FIRST_S: Final = 0.5


class Confirmation:
    """What peers have answered since they were last asked.

    Args:
        seeds: How many peers suffice that have not been confirmed themselves.
        now_s: When the asking begins, monotonic.
    """

    def __init__(self, seeds: int, now_s: float) -> None:
        self._seeds = seeds
        self._asked_at_s = now_s
        self._ask = 1
        self._answered: set[DaemonId] = set()
        self._greatest: ConfigurationStamp | None = None
        self._by_peer = False
        self._given = False

    @property
    def ask(self) -> int:
        """Number that peers repeat in their answers.

        An answer to an earlier ask may have waited in a socket during a pause.
        """
        return self._ask

    def take_answer(self, peer: DaemonId, offer: ConfigurationOffer) -> None:
        """Takes in which publication is in force on a peer, if it was asked."""
        if self._given or offer.ask != self._ask:
            return
        self._answered.add(peer)
        self._by_peer = self._by_peer or offer.is_confirmed
        if self._greatest is None or offer.stamp > self._greatest:
            self._greatest = offer.stamp

    def is_given(self, own: ConfigurationStamp, now_s: float) -> bool:
        """Returns whether the own publication may be served with.

        Args:
            own: What is in force on this daemon.
            now_s: Present time, monotonic.
        """
        if not self._given:
            self._given = own.version > 0 and self._suffices(own, now_s)
        return self._given

    def peers_had_their_turn(self, now_s: float) -> bool:
        """Returns whether the service may be asked."""
        waited = now_s - self._asked_at_s >= PEERS_FIRST_S
        return self._given or waited or len(self._answered) >= self._seeds

    def ask_anew(self, now_s: float) -> None:
        """Forgets all answers."""
        self._asked_at_s = now_s
        self._ask += 1
        self._answered = set()
        self._greatest = None
        self._by_peer = False
        self._given = False

    def _suffices(self, own: ConfigurationStamp, now_s: float) -> bool:
        if now_s - self._asked_at_s >= CONFIRM_WAIT_S:
            return True
        if self._greatest is not None and own < self._greatest:
            return False
        return self._by_peer or len(self._answered) >= self._seeds
