"""Confirmation by peers that this daemon's configuration is current.

A daemon that starts, or resumes after a pause, may hold an old publication, and the
configuration service may be stale as well. So the daemon pulls from its peers first.
Its publication is confirmed once it is at least as new as all that were reported, and
either a peer that is itself confirmed or as many peers as there are seeds in the
settings have replied. After `CONFIRM_WAIT_MAX_S` it counts as confirmed anyway, so that
a daemon without peers starts as well.
"""

from typing import Final

from lavendertide.ids import DaemonId
from lavendertide.messages import ConfigurationOffer, ConfigurationStamp

CONFIRM_WAIT_MAX_S: Final = 3.0
PEERS_FIRST_WAIT_S: Final = 0.5


class Confirmation:
    """Replies of peers in the present round of pulls.

    Args:
        seeds: Number of replies that suffice if no replying peer is itself confirmed.
        now_s: Monotonic time at which the first round begins.
    """

    def __init__(self, seeds: int, now_s: float) -> None:
        self._seeds = seeds
        self._began_at_s = now_s
        self._round_number = 1
        self._replied: set[DaemonId] = set()
        self._greatest_stamp: ConfigurationStamp | None = None
        self._has_confirmed_peer = False
        self._is_confirmed = False

    @property
    def round_number(self) -> int:
        """Number of the round, which peers repeat in their replies.

        It excludes replies to an earlier round, which may have waited in a socket
        during a pause.
        """
        return self._round_number

    def record_reply(self, peer: DaemonId, offer: ConfigurationOffer) -> None:
        """Records a peer's reply, unless it belongs to an earlier round."""
        if self._is_confirmed or offer.round_number != self._round_number:
            return
        self._replied.add(peer)
        self._has_confirmed_peer = self._has_confirmed_peer or offer.is_confirmed
        if self._greatest_stamp is None or offer.stamp > self._greatest_stamp:
            self._greatest_stamp = offer.stamp

    def is_confirmed(self, own: ConfigurationStamp, now_s: float) -> bool:
        """Returns whether this daemon may serve with its own publication.

        Once confirmed, it stays so until the next round.

        Args:
            own: Stamp of the publication in force on this daemon.
            now_s: Present time, monotonic.
        """
        if not self._is_confirmed:
            self._is_confirmed = own.version > 0 and self._is_sufficient(own, now_s)
        return self._is_confirmed

    def has_awaited_peers(self, now_s: float) -> bool:
        """Returns whether enough peers have replied or their time has passed."""
        waited = now_s - self._began_at_s >= PEERS_FIRST_WAIT_S
        return self._is_confirmed or waited or len(self._replied) >= self._seeds

    def restart(self, now_s: float) -> None:
        """Begins a new round, in which earlier replies do not count."""
        self._began_at_s = now_s
        self._round_number += 1
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
