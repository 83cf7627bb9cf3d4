"""How the configuration spreads between daemons.

A daemon that has adopted a publication offers its stamp to a few random peers, which
pull what they lack and do the same. Besides, each daemon compares stamps with one
random peer every few seconds, which mends offers that were lost. A daemon that starts
or wakes asks its peers first and is not ready before they have answered or a bounded
time has passed.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final, Protocol

from lavendertide.configuration.adoption import (
    NO_STAMP,
    Adoption,
    Configuration,
    Source,
)
from lavendertide.configuration.confirmation import Confirmation
from lavendertide.configuration.entries import WHOLE_DIGEST_BYTES
from lavendertide.ids import ConfigurationDigest, ConfigurationVersion, DaemonId
from lavendertide.messages import (
    ConfigurationDelta,
    ConfigurationFrame,
    ConfigurationOffer,
    ConfigurationPull,
    ConfigurationPush,
    ConfigurationStamp,
)
from lavendertide.runtime import clock, tasks

OFFER_FAN_OUT: Final = 4
COMPARE_MIN_S: Final = 1.0
COMPARE_MAX_S: Final = 2.0
ASK_FAN_OUT: Final = 8
ASK_S: Final = 0.2
PULL_TIMEOUT_S: Final = 1.0
UNASKED: Final = 0
GREATEST_DIGEST: Final = ConfigurationDigest(b"\xff" * (WHOLE_DIGEST_BYTES + 1))


class Link(Protocol):
    """This daemon's way to one peer."""

    @property
    def is_connected(self) -> bool:
        """Whether frames can be handed over now."""

    def send(self, frame: ConfigurationFrame) -> bool:
        """Queues a frame; returns whether the link could take it."""


@dataclass(slots=True)
class ReplicationCounts:
    """What was sent and taken in since the start."""

    offers_sent: int = 0
    pulls_sent: int = 0
    deltas_sent: int = 0
    wholes_sent: int = 0
    deltas_adopted: int = 0
    wholes_adopted: int = 0
    mismatches: int = 0


class ConfigurationReplication:
    """Offers this daemon's configuration to peers and pulls theirs.

    Args:
        configuration: What is in force here.
        seeds: How many other daemons the settings name to ask at the start.
        on_adopted: Called after a publication of a peer has been adopted.
        now_s: When the daemon starts, monotonic.
    """

    def __init__(
        self,
        configuration: Configuration,
        seeds: int,
        on_adopted: Callable[[], None],
        now_s: float,
    ) -> None:
        self._configuration = configuration
        self._on_adopted = on_adopted
        self._confirmation = Confirmation(seeds, now_s)
        self._counts = ReplicationCounts()
        self._adoptions: tasks.Mailbox[bool] = tasks.Mailbox(1)
        self._pulled = NO_STAMP
        self._pulled_until_s = 0.0
        self._declined = NO_STAMP

    @property
    def counts(self) -> ReplicationCounts:
        """What was sent and taken in since the start."""
        return self._counts

    def needs_refresh(self, now_s: float) -> bool:
        """Returns whether the view is too old to serve with.

        True from the start until peers have confirmed it, and again after a pause of
        the process.
        """
        own = self._configuration.stamp
        return not self._confirmation.is_given(own, now_s)

    def may_read_service(self, now_s: float) -> bool:
        """Returns whether the peers have had their turn before the service."""
        return self._confirmation.peers_had_their_turn(now_s)

    def refresh(self, now_s: float) -> None:
        """Asks the peers anew, after a pause or a split."""
        self._confirmation.ask_anew(now_s)
        self.trigger_offer()

    def trigger_offer(self) -> None:
        """Has the publication in force offered to peers at once."""
        self._adoptions.send(True)

    def run(self, links: Callable[[], Sequence[Link]]) -> None:
        """Offers, compares and asks for as long as the daemon lives."""
        while True:
            now_s = clock.monotonic_s()
            asking = self.needs_refresh(now_s)
            wait_s = ASK_S if asking else random.uniform(COMPARE_MIN_S, COMPARE_MAX_S)
            adopted = self._adoptions.receive(wait_s)
            now_s = clock.monotonic_s()
            connected = [link for link in links() if link.is_connected]
            if self.needs_refresh(now_s):
                self._ask(connected)
            elif adopted:
                self._offer(connected, OFFER_FAN_OUT, now_s)
            else:
                self._offer(connected, 1, now_s)

    def handle_version(
        self, version: ConfigurationVersion, now_s: float
    ) -> ConfigurationPull | None:
        """Takes in the version of a heartbeat; returns a pull if it is newer."""
        if version <= self._configuration.version:
            return None
        return self._pull(ConfigurationStamp(version, GREATEST_DIGEST), now_s)

    def handle(
        self, frame: ConfigurationFrame, peer: DaemonId, now_s: float
    ) -> ConfigurationFrame | None:
        """Takes in a peer's frame.

        Args:
            frame: What the peer has sent.
            peer: The peer.
            now_s: Present time, monotonic.

        Returns:
            The answer for the same connection, if any.
        """
        match frame:
            case ConfigurationOffer():
                return self._take_offer(frame, peer, now_s)
            case ConfigurationPull():
                return self._answer_pull(frame, now_s)
            case ConfigurationPush():
                self._take_whole(frame, now_s)
            case ConfigurationDelta():
                return self._take_delta(frame, now_s)
        return None

    def _take_offer(
        self, offer: ConfigurationOffer, peer: DaemonId, now_s: float
    ) -> ConfigurationFrame | None:
        self._configuration.hear_stamp(offer.stamp, now_s)
        if offer.refusal is not None:
            self._configuration.hear_refusal(offer.refusal, now_s)
        self._confirmation.take_answer(peer, offer)
        own = self._configuration.stamp
        if offer.stamp > own:
            return self._pull(offer.stamp, now_s)
        if offer.stamp < own:
            return self._own_offer(UNASKED, now_s)
        return None

    def _answer_pull(self, pull: ConfigurationPull, now_s: float) -> ConfigurationFrame:
        own = self._configuration.stamp
        if pull.known >= own:
            return self._own_offer(pull.ask, now_s)
        delta = self._configuration.delta_since(pull.known)
        if delta is not None:
            self._counts.deltas_sent += 1
            return delta
        self._counts.wholes_sent += 1
        return ConfigurationPush(own, self._configuration.text)

    def _take_whole(self, push: ConfigurationPush, now_s: float) -> None:
        self._pulled = NO_STAMP
        match self._configuration.adopt_text(
            push.lists, now_s, Source.PEER, push.stamp
        ):
            case Adoption.ADOPTED:
                self._counts.wholes_adopted += 1
                self._adopted()
            case Adoption.REFUSED | Adoption.MISMATCHED:
                self._declined = push.stamp

    def _take_delta(
        self, delta: ConfigurationDelta, now_s: float
    ) -> ConfigurationFrame | None:
        self._pulled = NO_STAMP
        match self._configuration.adopt_delta(delta, now_s):
            case Adoption.ADOPTED:
                self._counts.deltas_adopted += 1
                self._adopted()
            case Adoption.REFUSED:
                self._declined = delta.stamp
            case Adoption.MISMATCHED:
                self._counts.mismatches += 1
                self._await(delta.stamp, now_s)
                return self._pull_of(NO_STAMP)
        return None

    def _adopted(self) -> None:
        self._on_adopted()
        self.trigger_offer()

    def _pull(
        self, stamp: ConfigurationStamp, now_s: float
    ) -> ConfigurationPull | None:
        under_way = now_s < self._pulled_until_s and stamp <= self._pulled
        if under_way or stamp.version == self._declined.version:
            return None
        self._await(stamp, now_s)
        return self._pull_of(self._configuration.stamp)

    def _await(self, stamp: ConfigurationStamp, now_s: float) -> None:
        self._pulled = stamp
        self._pulled_until_s = now_s + PULL_TIMEOUT_S
        self._counts.pulls_sent += 1

    def _pull_of(self, known: ConfigurationStamp) -> ConfigurationPull:
        return ConfigurationPull(known, self._confirmation.ask)

    def _own_offer(self, ask: int, now_s: float) -> ConfigurationOffer:
        refused = self._configuration.refused
        return ConfigurationOffer(
            ask,
            self._configuration.stamp,
            not self.needs_refresh(now_s),
            refused.notice if refused is not None else None,
        )

    def _offer(self, connected: Sequence[Link], fan_out: int, now_s: float) -> None:
        for link in _some(connected, fan_out):
            self._counts.offers_sent += link.send(self._own_offer(UNASKED, now_s))

    def _ask(self, connected: Sequence[Link]) -> None:
        for link in _some(connected, ASK_FAN_OUT):
            link.send(self._pull_of(self._configuration.stamp))


def _some(links: Sequence[Link], most: int) -> Sequence[Link]:
    return random.sample(links, min(most, len(links)))
