"""Tests of `lavendertide.configuration.replication`."""

import random
import unittest

from lavendertide.configuration.adoption import Configuration, Source
from lavendertide.configuration.replication import ConfigurationReplication
from lavendertide.encodings.peer_frames import LENGTH, decode_frame, encode_frame
from lavendertide.ids import DaemonId
from lavendertide.messages import (
    ConfigurationDelta,
    ConfigurationFrame,
    ConfigurationOffer,
    ConfigurationPull,
    ConfigurationPush,
    ConfigurationStamp,
)
from tests.configuration.published import configured, invalid_publication, published

PEER = DaemonId("peer")
SEED = 7


class Daemon:
    """The configuration and its replication on one daemon, without sockets."""

    def __init__(self, *texts: bytes) -> None:
        self.configuration = configured(*texts)
        self.replication = ConfigurationReplication(
            self.configuration, 0, lambda: None, 0.0
        )

    @property
    def stamp(self) -> ConfigurationStamp:
        """Stamp of the publication in force."""
        return self.configuration.stamp

    def offer(self) -> ConfigurationOffer:
        """Returns the offer that the daemon sends to peers."""
        refused = self.configuration.refused
        notice = refused.notice if refused is not None else None
        return ConfigurationOffer(0, self.stamp, True, notice)


def pass_through_encoding(frame: ConfigurationFrame) -> ConfigurationFrame:
    """Encodes and decodes a frame, as the network does."""
    decoded = decode_frame(encode_frame(frame)[LENGTH.size :]).unwrap()
    assert isinstance(
        decoded,
        ConfigurationOffer | ConfigurationPull | ConfigurationPush | ConfigurationDelta,
    )
    return decoded


def exchange(
    sender: Daemon, receiver: Daemon, now_s: float
) -> list[ConfigurationFrame]:
    """Offers one daemon's stamp to another; returns the frames of the exchange."""
    frames: list[ConfigurationFrame] = []
    pair = (sender, receiver)
    frame: ConfigurationFrame | None = sender.offer()
    while frame is not None:
        frames.append(frame)
        handler = pair[len(frames) % 2]
        frame = handler.replication.handle(pass_through_encoding(frame), PEER, now_s)
    return frames


class ExchangeTest(unittest.TestCase):
    """Guards against an exchange that leaves one side at the lower stamp."""

    def test_a_peer_one_version_behind_receives_a_delta(self) -> None:
        ahead = Daemon(published(1, 10), published(2, 20))
        behind = Daemon(published(1, 10))
        frames = exchange(ahead, behind, 1.0)
        self.assertIsInstance(frames[-1], ConfigurationDelta)
        self.assertEqual(behind.stamp, ahead.stamp)
        self.assertIs(behind.configuration.source, Source.PEER)

    def test_a_peer_at_an_unknown_version_receives_the_full_text(self) -> None:
        ahead, behind = Daemon(published(5)), Daemon(published(1))
        frames = exchange(ahead, behind, 1.0)
        self.assertIsInstance(frames[-1], ConfigurationPush)
        self.assertEqual(behind.stamp, ahead.stamp)

    def test_a_peer_that_offers_an_older_stamp_is_updated(self) -> None:
        ahead, behind = Daemon(published(2)), Daemon(published(1))
        exchange(behind, ahead, 1.0)
        self.assertEqual(behind.stamp, ahead.stamp)

    def test_equal_stamps_end_the_exchange(self) -> None:
        one, other = Daemon(published(1)), Daemon(published(1))
        self.assertEqual(len(exchange(one, other, 1.0)), 1)

    def test_two_publications_of_one_version_end_in_one(self) -> None:
        one, other = Daemon(published(2, 10)), Daemon(published(2, 20))
        exchange(one, other, 1.0)
        self.assertEqual(one.stamp, other.stamp)
        for daemon in (one, other):
            assert daemon.configuration.refused is not None
            self.assertIn("twice", daemon.configuration.refused.notice.message)

    def test_a_refusal_is_sent_with_an_offer(self) -> None:
        first_daemon = Daemon(published(1), invalid_publication(2))
        second_daemon = Daemon(published(1))
        exchange(first_daemon, second_daemon, 1.0)
        assert (
            first_daemon.configuration.refused and second_daemon.configuration.refused
        )
        self.assertEqual(
            first_daemon.configuration.refused.notice,
            second_daemon.configuration.refused.notice,
        )

    def test_several_offers_at_once_cause_one_pull(self) -> None:
        ahead, behind = Daemon(published(2)), Daemon(published(1))
        first = behind.replication.handle(ahead.offer(), PEER, 1.0)
        second = behind.replication.handle(ahead.offer(), PEER, 1.1)
        self.assertIsInstance(first, ConfigurationPull)
        self.assertIsNone(second)

    def test_a_pull_without_reply_is_sent_again(self) -> None:
        ahead, behind = Daemon(published(2)), Daemon(published(1))
        behind.replication.handle(ahead.offer(), PEER, 1.0)
        self.assertIsNotNone(behind.replication.handle(ahead.offer(), PEER, 5.0))

    def test_a_heartbeat_of_a_newer_version_causes_a_pull(self) -> None:
        ahead, behind = Daemon(published(2)), Daemon(published(1))
        version = ahead.stamp.version
        self.assertIsNotNone(behind.replication.handle_version(version, 1.0))
        self.assertIsNone(ahead.replication.handle_version(version, 1.0))

    def test_a_mismatched_delta_is_followed_by_the_full_text(self) -> None:
        ahead = Daemon(published(1, 10), published(2, 20))
        behind = Daemon(published(1, 10))
        delta = ahead.configuration.delta_since(behind.stamp)
        assert delta is not None
        broken = ConfigurationDelta(delta.base, delta.stamp, (), ())
        pull = behind.replication.handle(broken, PEER, 1.0)
        assert pull is not None
        push = ahead.replication.handle(pull, PEER, 1.0)
        self.assertIsInstance(push, ConfigurationPush)
        assert push is not None
        behind.replication.handle(push, PEER, 1.0)
        self.assertEqual(behind.stamp, ahead.stamp)


class LossyFleetTest(unittest.TestCase):
    """Guards against a fleet that does not converge when messages are lost."""

    def run_rounds(self, daemons: list[Daemon], rounds: int) -> set[ConfigurationStamp]:
        """Lets each daemon offer to one other per round; half of them are lost."""
        numbers = random.Random(SEED)
        for step in range(rounds):
            for daemon in daemons:
                if numbers.random() < 0.5:
                    exchange(daemon, numbers.choice(daemons), float(step))
        return {daemon.stamp for daemon in daemons}

    def test_a_publication_adopted_by_one_daemon_reaches_all(self) -> None:
        daemons = [Daemon(published(1)) for _ in range(24)]
        daemons[0].configuration.adopt_text(published(2, 20), 0.0)
        stamps = self.run_rounds(daemons, 30)
        self.assertEqual(stamps, {configured(published(2, 20)).stamp})

    def test_different_publications_of_one_version_converge(self) -> None:
        daemons = [Daemon(published(1)) for _ in range(24)]
        for number, daemon in enumerate(daemons[:6]):
            daemon.configuration.adopt_text(published(2, 20 + number % 3), 0.0)
        self.assertEqual(len(self.run_rounds(daemons, 30)), 1)

    def test_a_new_member_with_a_stale_publication_changes_nothing(self) -> None:
        daemons = [Daemon(published(3, 30)) for _ in range(6)]
        daemons.append(Daemon(published(1, 10)))
        stamps = self.run_rounds(daemons, 30)
        self.assertEqual(stamps, {configured(published(3, 30)).stamp})


class FirstPublicationTest(unittest.TestCase):
    """A daemon without a configuration receives the full publication."""

    def test_a_full_publication_is_adopted_without_a_previous_one(self) -> None:
        ahead, empty = Daemon(published(1), published(2)), Daemon()
        self.assertTrue(empty.replication.needs_refresh(0.1))
        exchange(ahead, empty, 1.0)
        self.assertEqual(empty.stamp, ahead.stamp)
        self.assertIsInstance(empty.configuration, Configuration)
