"""Replication of the configuration between daemons.

A daemon that has adopted a publication offers its stamp to a few random peers, which
pull the changes that they lack and offer them in turn. In addition, each daemon offers
its stamp to one random peer every second or two, which makes up for lost offers. A
daemon that starts, or resumes after a pause, pulls from its peers first. It is not
ready until they have replied or a bounded time has passed.
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
from lavendertide.configuration.entries import STAMP_DIGEST_BYTES
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
COMPARE_INTERVAL_MIN_S: Final = 1.0
COMPARE_INTERVAL_MAX_S: Final = 2.0
PULL_FAN_OUT: Final = 8
PULL_INTERVAL_S: Final = 0.2
PULL_TIMEOUT_S: Final = 1.0
# Round number of an offer that is not a reply to a pull.
UNSOLICITED: Final = 0
# A heartbeat carries a version without a digest. One byte longer than a real digest,
# this one sorts above all digests of that version.
ABOVE_ALL_DIGESTS: Final = ConfigurationDigest(b"\xff" * (STAMP_DIGEST_BYTES + 1))


class Link(Protocol):
    """Connection from this daemon to one peer."""

    @property
    def is_connected(self) -> bool:
        """Whether frames can be sent now."""

    def send(self, frame: ConfigurationFrame) -> bool:
        """Queues a frame; returns whether the link accepted it."""


@dataclass(slots=True)
class ReplicationCounts:
    """Numbers of messages sent and adopted since the start.

    Attributes:
        full_sent: Full publications sent to peers that a delta could not serve.
        full_adopted: Full publications adopted from peers.
        mismatches: Deltas that did not lead to the announced stamp.
    """

    offers_sent: int = 0
    pulls_sent: int = 0
    deltas_sent: int = 0
    full_sent: int = 0
    deltas_adopted: int = 0
    full_adopted: int = 0
    mismatches: int = 0


class ConfigurationReplication:
    """Offers this daemon's configuration to peers and pulls theirs.

    Args:
        configuration: The configuration in force on this daemon.
        seeds: Number of other daemons that the settings name as seeds.
        on_adopted: Called after a publication of a peer has been adopted.
        now_s: Monotonic time of the daemon's start.
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
        self._pending_stamp = NO_STAMP
        self._pending_until_s = 0.0
        self._declined_stamp = NO_STAMP

    @property
    def counts(self) -> ReplicationCounts:
        """Numbers of messages sent and adopted since the start."""
        return self._counts

    def needs_refresh(self, now_s: float) -> bool:
        """Returns whether the configuration may be too old to serve with.

        This holds from the start until peers have confirmed it, and again after a pause
        of the process.
        """
        own = self._configuration.stamp
        return not self._confirmation.is_confirmed(own, now_s)

    def may_read_service(self, now_s: float) -> bool:
        """Returns whether the peers have replied or have had time to reply."""
        return self._confirmation.has_awaited_peers(now_s)

    def refresh(self, now_s: float) -> None:
        """Requires a new confirmation by the peers, after a pause or a split."""
        self._confirmation.restart(now_s)
        self.trigger_offer()

    def trigger_offer(self) -> None:
        """Wakes the task to offer the publication in force to peers."""
        self._adoptions.send(True)

    def run(self, links: Callable[[], Sequence[Link]]) -> None:
        """Sends offers and pulls to peers until the process ends."""
        while True:
            now_s = clock.monotonic_s()
            is_unconfirmed = self.needs_refresh(now_s)
            wait_s = (
                PULL_INTERVAL_S
                if is_unconfirmed
                else random.uniform(COMPARE_INTERVAL_MIN_S, COMPARE_INTERVAL_MAX_S)
            )
            adopted = self._adoptions.receive(wait_s)
            now_s = clock.monotonic_s()
            connected = [link for link in links() if link.is_connected]
            if self.needs_refresh(now_s):
                self._send_pulls(connected)
            elif adopted:
                self._send_offers(connected, OFFER_FAN_OUT, now_s)
            else:
                self._send_offers(connected, 1, now_s)

    def handle_version(
        self, version: ConfigurationVersion, now_s: float
    ) -> ConfigurationPull | None:
        """Compares a peer's version from a heartbeat; returns a pull if it is newer."""
        if version <= self._configuration.version:
            return None
        return self._pull_if_needed(
            ConfigurationStamp(version, ABOVE_ALL_DIGESTS), now_s
        )

    def handle(
        self, frame: ConfigurationFrame, peer: DaemonId, now_s: float
    ) -> ConfigurationFrame | None:
        """Handles a frame of a peer.

        Args:
            frame: The frame.
            peer: The sender.
            now_s: Present time, monotonic.

        Returns:
            The reply to send on the same connection, if any.
        """
        match frame:
            case ConfigurationOffer():
                return self._handle_offer(frame, peer, now_s)
            case ConfigurationPull():
                return self._reply_to_pull(frame, now_s)
            case ConfigurationPush():
                self._apply_push(frame, now_s)
            case ConfigurationDelta():
                return self._apply_delta(frame, now_s)
        return None

    def _handle_offer(
        self, offer: ConfigurationOffer, peer: DaemonId, now_s: float
    ) -> ConfigurationFrame | None:
        self._configuration.apply_peer_stamp(offer.stamp, now_s)
        if offer.refusal is not None:
            self._configuration.apply_peer_refusal(offer.refusal, now_s)
        self._confirmation.record_reply(peer, offer)
        own = self._configuration.stamp
        if offer.stamp > own:
            return self._pull_if_needed(offer.stamp, now_s)
        if offer.stamp < own:
            return self._build_offer(UNSOLICITED, now_s)
        return None

    def _reply_to_pull(
        self, pull: ConfigurationPull, now_s: float
    ) -> ConfigurationFrame:
        own = self._configuration.stamp
        if pull.known >= own:
            return self._build_offer(pull.round_number, now_s)
        delta = self._configuration.delta_since(pull.known)
        if delta is not None:
            self._counts.deltas_sent += 1
            return delta
        self._counts.full_sent += 1
        return ConfigurationPush(own, self._configuration.text)

    def _apply_push(self, push: ConfigurationPush, now_s: float) -> None:
        self._pending_stamp = NO_STAMP
        match self._configuration.adopt_text(
            push.lists, now_s, Source.PEER, push.stamp
        ):
            case Adoption.ADOPTED:
                self._counts.full_adopted += 1
                self._finish_adoption()
            case Adoption.REFUSED | Adoption.MISMATCHED:
                self._declined_stamp = push.stamp

    def _apply_delta(
        self, delta: ConfigurationDelta, now_s: float
    ) -> ConfigurationFrame | None:
        self._pending_stamp = NO_STAMP
        match self._configuration.adopt_delta(delta, now_s):
            case Adoption.ADOPTED:
                self._counts.deltas_adopted += 1
                self._finish_adoption()
            case Adoption.REFUSED:
                self._declined_stamp = delta.stamp
            case Adoption.MISMATCHED:
                self._counts.mismatches += 1
                self._record_pull(delta.stamp, now_s)
                return self._build_pull(NO_STAMP)
        return None

    def _finish_adoption(self) -> None:
        self._on_adopted()
        self.trigger_offer()

    def _pull_if_needed(
        self, stamp: ConfigurationStamp, now_s: float
    ) -> ConfigurationPull | None:
        is_pending = now_s < self._pending_until_s and stamp <= self._pending_stamp
        if is_pending or stamp.version == self._declined_stamp.version:
            return None
        self._record_pull(stamp, now_s)
        return self._build_pull(self._configuration.stamp)

    def _record_pull(self, stamp: ConfigurationStamp, now_s: float) -> None:
        self._pending_stamp = stamp
        self._pending_until_s = now_s + PULL_TIMEOUT_S
        self._counts.pulls_sent += 1

    def _build_pull(self, known: ConfigurationStamp) -> ConfigurationPull:
        return ConfigurationPull(known, self._confirmation.round_number)

    def _build_offer(self, round_number: int, now_s: float) -> ConfigurationOffer:
        refused = self._configuration.refused
        return ConfigurationOffer(
            round_number,
            self._configuration.stamp,
            not self.needs_refresh(now_s),
            refused.notice if refused is not None else None,
        )

    def _send_offers(
        self, connected: Sequence[Link], fan_out: int, now_s: float
    ) -> None:
        for link in _sample(connected, fan_out):
            self._counts.offers_sent += link.send(self._build_offer(UNSOLICITED, now_s))

    def _send_pulls(self, connected: Sequence[Link]) -> None:
        for link in _sample(connected, PULL_FAN_OUT):
            link.send(self._build_pull(self._configuration.stamp))


def _sample(links: Sequence[Link], count: int) -> Sequence[Link]:
    return random.sample(links, min(count, len(links)))
