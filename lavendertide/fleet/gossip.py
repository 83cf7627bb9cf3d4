"""What heartbeats carry, and what this daemon learns from them."""

import itertools
from collections.abc import Callable
from typing import Final, Protocol

from lavendertide.fleet.roster import Roster
from lavendertide.ids import NO_VERSION, ConfigurationVersion, DaemonId
from lavendertide.messages import (
    ConfigurationDelta,
    ConfigurationFrame,
    ConfigurationOffer,
    ConfigurationPull,
    ConfigurationPush,
    Frame,
    Heartbeat,
    HeartbeatAck,
    MemberRecord,
    RosterPull,
    RosterPush,
)

SYNC_MIN_S: Final = 30.0
SENT_KEPT_MAX: Final = 512


class Versioned(Protocol):
    """Whatever is spread as a configuration."""

    @property
    def version(self) -> ConfigurationVersion:
        """The version in force, zero for none."""


class Replication(Protocol):
    """Exchanges the configuration with peers."""

    def handle(
        self, frame: ConfigurationFrame, sender: DaemonId, now_s: float
    ) -> ConfigurationFrame | None:
        """Takes in a frame of a peer; returns the answer to it."""

    def handle_version(
        self, version: ConfigurationVersion, now_s: float
    ) -> ConfigurationPull | None:
        """Takes in a peer's version; returns a question if it is news."""

    def needs_refresh(self, now_s: float) -> bool:
        """Returns whether what is in force has yet to be confirmed."""

    def refresh(self, now_s: float) -> None:
        """Has what is in force confirmed anew."""


class Gossip:
    """Writes this daemon's news for peers and takes in theirs."""

    def __init__(
        self,
        roster: Roster,
        configuration: Versioned,
        spreading: Replication,
        on_news: Callable[[], None],
    ) -> None:
        self._roster = roster
        self._configuration = configuration
        self._spreading = spreading
        self._on_news = on_news
        self._sequence = itertools.count(1)
        self._sent_at_s: dict[int, float] = {}
        self._pulled_at_s: float | None = None
        self._synced_at_s: float | None = None

    def next_heartbeat(self, peer: DaemonId, now_s: float) -> Heartbeat:
        """Returns the next heartbeat to a peer."""
        sequence = next(self._sequence)
        self._sent_at_s[sequence] = now_s
        if len(self._sent_at_s) > SENT_KEPT_MAX:
            del self._sent_at_s[next(iter(self._sent_at_s))]
        self._roster.contacts.expect(peer, now_s)
        return Heartbeat(sequence, *self._facts(peer))

    def handle(self, peer: DaemonId, frame: Frame, now_s: float) -> Frame | None:
        """Returns the answer to a control frame of a peer.

        A peer that can reach this daemon need not be reachable from it, so only an
        answered heartbeat counts as having heard of the peer.
        """
        match frame:
            case Heartbeat(sequence=sequence, news=news):
                self._learn(news, now_s)
                self._roster.contacts.note_promise(peer, now_s)
                return HeartbeatAck(sequence, *self._facts(peer))
            case (
                ConfigurationOffer()
                | ConfigurationPull()
                | ConfigurationPush()
                | ConfigurationDelta()
            ):
                return self._spreading.handle(frame, peer, now_s)
            case RosterPull(digests):
                return RosterPush(self._roster.differing(digests))
            case _:
                return None

    def handle_reply(self, peer: DaemonId, frame: Frame, now_s: float) -> Frame | None:
        """Takes in what a peer has answered; returns what to ask it next."""
        match frame:
            case HeartbeatAck(sequence, news, version, digest):
                self._note_answer(peer, sequence, now_s)
                self._learn(news, now_s)
                pull = self._spreading.handle_version(version, now_s)
                return pull or self._next_question(digest, now_s)
            case (
                ConfigurationOffer()
                | ConfigurationPull()
                | ConfigurationPush()
                | ConfigurationDelta()
            ):
                return self._spreading.handle(frame, peer, now_s)
            case RosterPush(records):
                is_joining = self._synced_at_s is None
                self._learn(records, now_s, is_retold=not is_joining)
                self._synced_at_s = self._pulled_at_s
        return None

    @property
    def has_configuration(self) -> bool:
        """Whether any configuration is in force."""
        return self._configuration.version > NO_VERSION

    def is_current_since(self, since_s: float, now_s: float) -> bool:
        """Returns whether peers have told everything anew since a time."""
        has_synced = self._synced_at_s is not None and self._synced_at_s >= since_s
        return has_synced and not self._spreading.needs_refresh(now_s)

    def restart_sync(self, now_s: float) -> None:
        """Asks the next peers that answer for the whole roster and configuration."""
        self._pulled_at_s = None
        self._synced_at_s = None
        self._spreading.refresh(now_s)

    def _next_question(self, digest: int, now_s: float) -> Frame | None:
        if self._pulled_at_s is not None:
            differs = digest != self._roster.digests.whole
            if not differs or now_s - self._pulled_at_s < SYNC_MIN_S:
                return None
        self._pulled_at_s = now_s
        return RosterPull(self._roster.digests.buckets)

    def _note_answer(self, peer: DaemonId, sequence: int, now_s: float) -> None:
        sent_at_s = self._sent_at_s.pop(sequence, None)
        if sent_at_s is not None:
            self._roster.contacts.note_answer(peer, sent_at_s, now_s)

    def _learn(
        self, records: tuple[MemberRecord, ...], now_s: float, is_retold: bool = True
    ) -> None:
        if self._roster.apply_records(records, now_s, is_retold):
            self._on_news()

    def _facts(
        self, peer: DaemonId
    ) -> tuple[tuple[MemberRecord, ...], ConfigurationVersion, int]:
        return (
            self._roster.news_for(peer),
            self._configuration.version,
            self._roster.digests.whole,
        )
