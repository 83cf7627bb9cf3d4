"""Records when each member last replied to this daemon.

A member is silent once a heartbeat or a dial has gone without a reply for a while, or
once a connection to it has broken, until it replies again. A member that is not
contacted can't be silent.
"""

from lavendertide.ids import DaemonId


class Contacts:
    """Holds this daemon's own evidence on whether the other members are alive."""

    def __init__(self) -> None:
        self._unanswered_since_s: dict[DaemonId, float] = {}
        self._broken: set[DaemonId] = set()
        self._last_reply_at_s: dict[DaemonId, float] = {}
        self._acked_sent_at_s: dict[DaemonId, float] = {}
        self._lease_granted_at_s: dict[DaemonId, float] = {}

    @property
    def broken(self) -> frozenset[DaemonId]:
        """Members to which a connection broke or could not be opened."""
        return frozenset(self._broken)

    def last_reply_at_s(self, daemon: DaemonId) -> float | None:
        """Returns when a member last sent a frame on this daemon's connection."""
        return self._last_reply_at_s.get(daemon)

    def acked_sent_at_s(self, daemon: DaemonId) -> float | None:
        """Returns when the newest acknowledged heartbeat to a member was sent."""
        return self._acked_sent_at_s.get(daemon)

    def lease_granted_at_s(self, daemon: DaemonId) -> float | None:
        """Returns when this daemon last acknowledged a member's heartbeat.

        The acknowledgement grants the member a lease, on which it may rely from then.
        """
        return self._lease_granted_at_s.get(daemon)

    def record_sent(self, daemon: DaemonId, now_s: float) -> None:
        """Records that a heartbeat was sent, to which the member has to reply."""
        self._unanswered_since_s.setdefault(daemon, now_s)

    def record_reply(self, daemon: DaemonId, now_s: float) -> None:
        """Records a reply, after which the member is no longer silent."""
        self._last_reply_at_s[daemon] = now_s
        self._unanswered_since_s.pop(daemon, None)
        self._broken.discard(daemon)

    def record_disconnect(self, daemon: DaemonId) -> None:
        """Records that the connection to a member broke or could not be opened."""
        self._broken.add(daemon)

    def record_heartbeat_ack(
        self, daemon: DaemonId, sent_at_s: float, now_s: float
    ) -> None:
        """Records the acknowledgement of a heartbeat and when that was sent."""
        newest_s = self._acked_sent_at_s.get(daemon, sent_at_s)
        self._acked_sent_at_s[daemon] = max(newest_s, sent_at_s)
        self.record_reply(daemon, now_s)

    def record_lease_grant(self, daemon: DaemonId, now_s: float) -> None:
        """Records that this daemon acknowledges a member's heartbeat."""
        self._lease_granted_at_s[daemon] = now_s

    def is_silent(self, daemon: DaemonId, silence_s: float, now_s: float) -> bool:
        """Returns whether a member is disconnected or has not replied for too long.

        Args:
            daemon: The member.
            silence_s: How long it may take to reply.
            now_s: Present time, monotonic.
        """
        if daemon in self._broken:
            return True
        since_s = self._unanswered_since_s.get(daemon)
        return since_s is not None and now_s - since_s >= silence_s

    def restart_clocks(self, now_s: float) -> None:
        """Restarts the wait for pending replies after a pause of this process."""
        self._unanswered_since_s = dict.fromkeys(self._unanswered_since_s, now_s)

    def remove(self, daemon: DaemonId) -> None:
        """Removes the evidence on an earlier incarnation of a daemon."""
        for times in (
            self._unanswered_since_s,
            self._last_reply_at_s,
            self._acked_sent_at_s,
        ):
            times.pop(daemon, None)
        self._broken.discard(daemon)
