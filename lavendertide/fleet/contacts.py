"""When each member last answered this daemon.

A member that is not contacted can't be silent. It is silent once a heartbeat or a
dial has gone unanswered for a while, or once a connection to it has broken, until it
answers again.
"""

from lavendertide.ids import DaemonId


class Contacts:
    """This daemon's own evidence about the other members."""

    def __init__(self) -> None:
        self._unanswered_since_s: dict[DaemonId, float] = {}
        self._broken: set[DaemonId] = set()
        self._heard_at_s: dict[DaemonId, float] = {}
        self._answered_sent_at_s: dict[DaemonId, float] = {}
        self._promised_at_s: dict[DaemonId, float] = {}

    @property
    def broken(self) -> frozenset[DaemonId]:
        """Members to which a connection broke or could not be opened."""
        return frozenset(self._broken)

    def heard_at_s(self, daemon: DaemonId) -> float | None:
        """Returns when a member last answered."""
        return self._heard_at_s.get(daemon)

    def answered_sent_at_s(self, daemon: DaemonId) -> float | None:
        """Returns when the newest answered heartbeat to a member was sent."""
        return self._answered_sent_at_s.get(daemon)

    def promised_at_s(self, daemon: DaemonId) -> float | None:
        """Returns when this daemon last answered a member's heartbeat."""
        return self._promised_at_s.get(daemon)

    def expect(self, daemon: DaemonId, now_s: float) -> None:
        """Notes that a member was sent something that it has to answer."""
        self._unanswered_since_s.setdefault(daemon, now_s)

    def hear(self, daemon: DaemonId, now_s: float) -> None:
        """Notes that a member has answered just now."""
        self._heard_at_s[daemon] = now_s
        self._unanswered_since_s.pop(daemon, None)
        self._broken.discard(daemon)

    def record_disconnect(self, daemon: DaemonId) -> None:
        """Notes that the connection to a member broke or could not be opened."""
        self._broken.add(daemon)

    def note_answer(self, daemon: DaemonId, sent_at_s: float, now_s: float) -> None:
        """Notes that a member has answered a heartbeat that was sent at a time."""
        newest_s = self._answered_sent_at_s.get(daemon, sent_at_s)
        self._answered_sent_at_s[daemon] = max(newest_s, sent_at_s)
        self.hear(daemon, now_s)

    def note_promise(self, daemon: DaemonId, now_s: float) -> None:
        """Notes that this daemon answers a member's heartbeat."""
        self._promised_at_s[daemon] = now_s

    def is_silent(self, daemon: DaemonId, silence_s: float, now_s: float) -> bool:
        """Returns whether a member owes an answer for too long."""
        if daemon in self._broken:
            return True
        since_s = self._unanswered_since_s.get(daemon)
        return since_s is not None and now_s - since_s >= silence_s

    def restart_clocks(self, now_s: float) -> None:
        """Discards the waiting time that passed while this process was paused."""
        self._unanswered_since_s = dict.fromkeys(self._unanswered_since_s, now_s)

    def forget(self, daemon: DaemonId) -> None:
        """Drops the evidence about an earlier run of a daemon."""
        for facts in (
            self._unanswered_since_s,
            self._heard_at_s,
            self._answered_sent_at_s,
        ):
            facts.pop(daemon, None)
        self._broken.discard(daemon)
