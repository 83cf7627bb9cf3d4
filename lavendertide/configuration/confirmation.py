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

CONFIRM_WAIT_MAX_S: Final = 3.0
PEERS_FIRST_WAIT_S: Final = 0.5


class Confirmation:
    """What peers have answered since they were last asked.

    Args:
        seeds: How many peers suffice that have not been confirmed themselves.
        now_s: When the asking begins, monotonic.
    """

    def __init__(self, seeds: int, now_s: float) -> None:
        self._seeds = seeds
        self._began_at_s = now_s
        self._ask = 1
        self._replied: set[DaemonId] = set()
        self._greatest_stamp: ConfigurationStamp | None = None
        self._has_confirmed_peer = False
        self._is_confirmed = False

    @property
    def ask(self) -> int:
        """Number that peers repeat in their answers.

        An answer to an earlier ask may have waited in a socket during a pause.
        """
        return self._ask

    def record_reply(self, peer: DaemonId, offer: ConfigurationOffer) -> None:
        """Takes in which publication is in force on a peer, if it was asked."""
        if self._is_confirmed or offer.ask != self._ask:
            return
        self._replied.add(peer)
        self._has_confirmed_peer = self._has_confirmed_peer or offer.is_confirmed
        if self._greatest_stamp is None or offer.stamp > self._greatest_stamp:
            self._greatest_stamp = offer.stamp

    def is_confirmed(self, own: ConfigurationStamp, now_s: float) -> bool:
        """Returns whether the own publication may be served with.

        Args:
            own: What is in force on this daemon.
            now_s: Present time, monotonic.
        """
        if not self._is_confirmed:
            self._is_confirmed = own.version > 0 and self._is_sufficient(own, now_s)
        return self._is_confirmed

    def has_awaited_peers(self, now_s: float) -> bool:
        """Returns whether the service may be asked."""
        waited = now_s - self._began_at_s >= PEERS_FIRST_WAIT_S
        return self._is_confirmed or waited or len(self._replied) >= self._seeds

    def restart(self, now_s: float) -> None:
        """Forgets all answers."""
        self._began_at_s = now_s
        self._ask += 1
        self._replied = set()
        self._greatest_stamp = None
        self._has_confirmed_peer = False
        self._is_confirmed = False

    def _is_sufficient(self, own: ConfigurationStamp, now_s: float) -> bool:
        if now_s - self._began_at_s >= CONFIRM_WAIT_MAX_S:
            return True
        if self._greatest_stamp is not None and own < self._greatest_stamp:
            return False
        return self._has_confirmed_peer or len(self._replied) >= self._seeds
