"""What heartbeats carry, and what this daemon learns from them."""

import hashlib
import hmac
import itertools
from collections.abc import Callable

from lavendertide.configuration.adoption import Configuration
from lavendertide.fleet.roster import Roster
from lavendertide.ids import Address, ConfigurationVersion
from lavendertide.messages import (
    ConfigurationPull,
    ConfigurationPush,
    Frame,
    Heartbeat,
    HeartbeatAck,
    Hello,
    MemberRecord,
)


class FleetNews:
    """Writes this daemon's news for peers and takes in theirs."""

    def __init__(
        self,
        key: str,
        roster: Roster,
        configuration: Configuration,
        on_change: Callable[[], None],
    ) -> None:
        self._key = key.encode()
        self._roster = roster
        self._configuration = configuration
        self._on_change = on_change
        self._sequence = itertools.count(1)
        self._behind: set[Address] = set()
        self._sent_at_s: dict[Address, tuple[int, float]] = {}

    def hello(self) -> Hello:
        """Returns the frame that opens a connection."""
        own = self._roster.own
        return Hello(own, self._proof(own))

    def accepts(self, hello: Hello) -> bool:
        """Returns whether the sender knows the fleet's key."""
        return hmac.compare_digest(self._proof(hello.member), hello.proof)

    def heartbeat(self, peer: Address, now_s: float) -> Heartbeat | ConfigurationPull:
        """Returns the next heartbeat, or a pull if the peer has newer lists."""
        if peer in self._behind:
            self._behind.discard(peer)
            return ConfigurationPull(self._configuration.version)
        sequence = next(self._sequence)
        self._sent_at_s[peer] = sequence, now_s
        return Heartbeat(sequence, *self._facts())

    def answer(self, frame: Frame, now_s: float) -> Frame | None:
        """Returns the answer to a control frame of a peer.

        A peer that can reach this daemon need not be reachable from it, so only an
        answered heartbeat counts as having heard of the peer.
        """
        match frame:
            case Heartbeat(sequence=sequence, sender=sender, news=news):
                self._learn((sender, *news))
                self._roster.note_promise(sender.daemon, now_s)
                return HeartbeatAck(sequence, *self._facts())
            case ConfigurationPull(known) if known < self._configuration.version:
                return ConfigurationPush(
                    self._configuration.version, self._configuration.text
                )
            case _:
                return None

    def take_answer(self, peer: Address, frame: Frame, now_s: float) -> None:
        """Takes in what a peer has answered."""
        match frame:
            case HeartbeatAck(sequence, sender, news, version):
                self._learn((sender, *news))
                self._note_answer(peer, sequence, sender, now_s)
                if version > self._configuration.version:
                    self._behind.add(peer)
            case ConfigurationPush(lists=lists):
                if self._configuration.offer(lists, now_s):
                    self._on_change()
            case _:
                pass

    def _note_answer(
        self, peer: Address, sequence: int, sender: MemberRecord, now_s: float
    ) -> None:
        newest, sent_at_s = self._sent_at_s[peer]
        if sequence == newest:
            self._roster.note_answer(sender.daemon, sent_at_s, now_s)
        else:
            self._roster.hear(sender.daemon, now_s)

    def _learn(self, records: tuple[MemberRecord, ...]) -> None:
        if self._roster.learn(records):
            self._on_change()

    def _facts(
        self,
    ) -> tuple[MemberRecord, tuple[MemberRecord, ...], ConfigurationVersion]:
        members = tuple(self._roster.members)
        return self._roster.own, members, self._configuration.version

    def _proof(self, member: MemberRecord) -> str:
        text = f"{member.daemon}\n{member.incarnation}".encode()
        return hmac.new(self._key, text, hashlib.sha256).hexdigest()
