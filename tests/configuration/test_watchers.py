"""Tests of `lavendertide.configuration.watchers` and `service_watch`."""

import unittest
from collections import Counter

from returns.result import Failure, Result, Success

from lavendertide.configuration import service_watch
from lavendertide.configuration.adoption import Configuration
from lavendertide.configuration.service_watch import ServiceWatch
from lavendertide.configuration.watchers import WATCHERS_PER_DOMAIN, is_watcher
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.ids import ConfigurationVersion
from lavendertide.messages import MemberRecord
from lavendertide.runtime import clock
from standins.records import member_record
from tests.configuration.published import invalid_publication, published

MEMBER = member_record("d", "r", "a")


def members(count: int, domain: str) -> list[MemberRecord]:
    """Returns members of one failure domain."""
    return [member_record(f"{domain}-{n}", "r", domain) for n in range(count)]


def watchers(fleet: list[MemberRecord], version: int) -> list[MemberRecord]:
    """Returns the members that watch the service."""
    known = ConfigurationVersion(version)
    return [member for member in fleet if is_watcher(member, fleet, known)]


class WatcherRoleTest(unittest.TestCase):
    """Guards against failure domains with too few or too many watchers."""

    def test_two_watchers_per_failure_domain_of_any_size(self) -> None:
        for size in (2, 10, 200):
            fleet = members(size, "a") + members(size, "b")
            counts = Counter(member.failure_domain for member in watchers(fleet, 1))
            self.assertEqual(
                counts, {"a": WATCHERS_PER_DOMAIN, "b": WATCHERS_PER_DOMAIN}
            )

    def test_others_take_over_from_watchers_that_are_gone(self) -> None:
        fleet = members(10, "a")
        first_watchers = watchers(fleet, 1)
        others = [member for member in fleet if member not in first_watchers]
        self.assertEqual(len(watchers(others, 1)), WATCHERS_PER_DOMAIN)

    def test_the_role_moves_with_each_version(self) -> None:
        fleet = members(10, "a")
        turns = Counter(
            member.daemon
            for version in range(100)
            for member in watchers(fleet, version)
        )
        self.assertEqual(len(turns), len(fleet))

    def test_a_daemon_alone_watches(self) -> None:
        self.assertTrue(is_watcher(MEMBER, [], ConfigurationVersion(0)))


class FakeReader:
    """A configuration service with scripted replies."""

    def __init__(self, *replies: Result[bytes | None, Refusal]) -> None:
        self.replies = list(replies)
        self.known_versions: list[int] = []
        self.waits_s: list[float] = []

    def watch(
        self, known: ConfigurationVersion, wait_s: float
    ) -> Result[bytes | None, Refusal]:
        """Returns the next scripted reply."""
        self.known_versions.append(known)
        self.waits_s.append(wait_s)
        return self.replies.pop(0)


def refusal() -> Refusal:
    """Returns the refusal for a service that is down."""
    return Refusal(RefusalKind.UNREACHABLE, "It is down.", "Start it.", Fault.SYSTEM)


class ServiceWatchTest(unittest.TestCase):
    """Guards against losing the last valid publication, and against busy loops."""

    def watch(
        self, reader: FakeReader, calls: int
    ) -> tuple[Configuration, list[float]]:
        """Makes calls; returns the configuration and the pauses after them."""
        configuration = Configuration()
        watch = ServiceWatch(reader, configuration, lambda _: True, lambda: None)
        pauses = [watch._watch_once(clock.monotonic_s()) for _ in range(calls)]
        return configuration, pauses

    def test_the_next_call_follows_an_adoption_at_once(self) -> None:
        reader = FakeReader(Success(published(3)))
        configuration, pauses = self.watch(reader, 1)
        self.assertEqual((configuration.version, pauses), (3, [0.0]))

    def test_the_call_after_a_failure_is_delayed(self) -> None:
        reader = FakeReader(Success(published(3)), Failure(refusal()))
        configuration, pauses = self.watch(reader, 2)
        self.assertEqual(configuration.version, 3)
        self.assertGreaterEqual(pauses[1], service_watch.RETRY_MIN_S)

    def test_the_first_call_after_a_failure_does_not_wait(self) -> None:
        reader = FakeReader(Failure(refusal()), Success(None), Success(None))
        self.watch(reader, 3)
        watch_s = service_watch.WATCH_TIMEOUT_S
        self.assertEqual(reader.waits_s, [watch_s, 0.0, watch_s])

    def test_an_older_version_is_not_adopted_and_not_read_in_a_loop(self) -> None:
        reader = FakeReader(Success(published(3)), Success(published(2)))
        configuration, pauses = self.watch(reader, 2)
        self.assertEqual(configuration.version, 3)
        self.assertGreaterEqual(pauses[1], service_watch.UNCHANGED_RETRY_MIN_S)

    def test_a_refused_version_is_not_read_in_a_loop(self) -> None:
        invalid = invalid_publication(4)
        reader = FakeReader(Success(published(3)), Success(invalid), Success(None))
        configuration, pauses = self.watch(reader, 3)
        self.assertEqual(configuration.version, 3)
        self.assertEqual(reader.known_versions, [0, 3, 4])
        self.assertGreater(min(pauses[1:]), 0.0)

    def test_a_valid_version_after_a_refused_one_is_adopted(self) -> None:
        invalid = invalid_publication(4)
        reader = FakeReader(Success(invalid), Success(published(5)))
        configuration, _ = self.watch(reader, 2)
        self.assertEqual(configuration.version, 5)

    def test_an_early_empty_reply_is_followed_by_a_pause(self) -> None:
        _, pauses = self.watch(FakeReader(Success(None)), 1)
        self.assertGreater(pauses[0], 0.0)
