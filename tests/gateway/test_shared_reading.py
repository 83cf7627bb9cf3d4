"""Tests of `lavendertide.gateway.shared_reading` and the history that it sends."""

import unittest
from dataclasses import replace

from lavendertide.encodings.peer_frames import LENGTH, decode_frame, encode_frame
from lavendertide.fleet.roster import Roster
from lavendertide.gateway.shared_reading import reader_of
from lavendertide.ids import ConfigurationVersion, ExchangeId, TargetId
from lavendertide.messages import MemberState, RegistryPull, RegistryPush
from lavendertide.registry.history import CHANGES_MAX, RegistryHistory
from tests.fleet.members import member
from tests.forwarding.builders import target


def fleet(own: int, *capacities: int) -> Roster:
    """Returns one member's roster of hosts of one failure domain."""
    hosts = [
        replace(member(3 * n), capacity=capacity)
        for n, capacity in enumerate(capacities)
    ]
    roster = Roster(hosts[own])
    roster.learn(hosts, 0.0)
    return roster


class ReaderOfTest(unittest.TestCase):
    """All hosts of a failure domain agree on who reads for them."""

    def test_everyone_names_the_same_one(self) -> None:
        readers = {reader_of(fleet(own, 1, 1, 1, 1), 0.0).daemon for own in range(4)}
        self.assertEqual(len(readers), 1)

    def test_a_large_host_reads(self) -> None:
        self.assertEqual(reader_of(fleet(0, 50, 215, 50), 0.0).capacity, 215)

    def test_hosts_of_other_domains_read_for_themselves(self) -> None:
        roster = fleet(0, 50)
        roster.learn([replace(member(1), capacity=500)], 0.0)
        self.assertEqual(reader_of(roster, 0.0), roster.own)

    def test_one_that_is_not_reached_is_passed_over(self) -> None:
        roster = fleet(0, 50, 215, 100)
        roster.contacts.lose(member(3).daemon)
        self.assertEqual(reader_of(roster, 0.0).capacity, 100)

    def test_a_host_that_has_just_started_reads_for_itself(self) -> None:
        roster = fleet(0, 50, 215)
        roster.announce(MemberState.JOINING, 0.0)
        self.assertEqual(reader_of(roster, 0.0), roster.own)


class RegistryHistoryTest(unittest.TestCase):
    """Followers are sent the last change of each target, or everything."""

    def setUp(self) -> None:
        self.history = RegistryHistory()
        self.history.begin(10)
        self.history.add([(TargetId("a"), target("a"))], 12)
        self.history.add([(TargetId("a"), None), (TargetId("b"), target("b"))], 15)

    def test_the_last_change_of_each_counts(self) -> None:
        changes = self.history.since(10)
        assert changes is not None
        self.assertEqual(changes.records, (target("b"),))
        self.assertEqual(changes.withdrawn, ("a",))
        self.assertEqual(changes.revision, 15)

    def test_who_knows_all_is_sent_nothing(self) -> None:
        changes = self.history.since(15)
        assert changes is not None
        self.assertEqual((changes.records, changes.withdrawn), ((), ()))

    def test_who_is_ahead_keeps_its_place(self) -> None:
        changes = self.history.since(20)
        assert changes is not None
        self.assertEqual(changes.revision, 20)

    def test_who_is_too_far_behind_needs_everything(self) -> None:
        self.assertIsNone(self.history.since(9))
        many = [(TargetId("x"), target("x"))] * (CHANGES_MAX + 1)
        self.history.add(list(many), 99)
        self.assertIsNone(self.history.since(10))


class RegistryFramesTest(unittest.TestCase):
    """Both frames read back as they were written."""

    def test_they_read_back(self) -> None:
        exchange = ExchangeId("e")
        push = RegistryPush(
            exchange,
            15,
            (target("b"),),
            (TargetId("a"),),
            False,
            True,
            ConfigurationVersion(3),
        )
        for frame in (RegistryPull(exchange, 10), push):
            read = decode_frame(encode_frame(frame)[LENGTH.size :])
            self.assertEqual(read.unwrap(), frame)
