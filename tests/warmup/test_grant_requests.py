"""Tests of `lavendertide.warmup.grant_requests`."""

import unittest
from dataclasses import replace

from lavendertide.ids import DaemonId, TargetId
from lavendertide.registry.record import TargetRun
from lavendertide.warmup.grant_requests import (
    REFUSALS_MAX,
    REFUSED_S,
    ColdGrant,
    GrantRequests,
)
from lavendertide.warmup.run_allowance import HELD_S, USE_S

RUN = TargetRun(TargetId("t1"), 7)
OWN, GIVER, OTHER = DaemonId("own"), DaemonId("giver"), DaemonId("other")


class AcceptanceTest(unittest.TestCase):
    """Guards against gifts that count although their time is over or unknown."""

    def setUp(self) -> None:
        self.requests = GrantRequests(OWN)
        ((giver, wish),) = self.requests.select(RUN, 3, {GIVER: 2}, 10.0)
        self.assertEqual((giver, wish.requests, wish.is_wish), (GIVER, 2, True))
        self.gift = replace(wish, valid_ms=round(USE_S * 1_000))

    def accept(
        self, gift: ColdGrant, at_s: float = 10.1, sender: DaemonId = GIVER
    ) -> tuple[int, float] | None:
        """Returns what counts of a gift."""
        return self.requests.accept(gift, sender, at_s)

    def test_a_gift_may_be_used_until_a_while_after_the_wish(self) -> None:
        self.assertEqual(self.accept(self.gift), (2, 10.0 + USE_S))

    def test_a_giver_may_set_a_shorter_time_and_no_longer_one(self) -> None:
        self.assertIsNone(self.accept(replace(self.gift, valid_ms=50)))
        ((_, wish),) = self.requests.select(RUN, 1, {OTHER: 2}, 10.0)
        gift = replace(wish, valid_ms=9_000)
        self.assertEqual(self.accept(gift, sender=OTHER), (1, 10.0 + USE_S))

    def test_a_late_gift_is_lost(self) -> None:
        self.assertIsNone(self.accept(self.gift, 10.01 + USE_S))

    def test_a_repeated_gift_counts_once(self) -> None:
        self.accept(self.gift)
        self.assertIsNone(self.accept(self.gift))

    def test_other_gifts_than_those_asked_for_are_ignored(self) -> None:
        for gift in (
            replace(self.gift, serial=self.gift.serial + 1),
            replace(self.gift, requests=3),
            replace(self.gift, requests=0),
            replace(self.gift, receiver=OTHER),
            replace(self.gift, run=TargetRun(TargetId("t1"), 8)),
        ):
            self.assertIsNone(self.accept(gift))
        self.assertIsNone(self.accept(self.gift, sender=OTHER))

    def test_gifts_to_an_earlier_process_of_this_host_are_ignored(self) -> None:
        later = GrantRequests(OWN)
        later.select(RUN, 3, {GIVER: 2}, 10.0)
        self.assertIsNone(later.accept(self.gift, GIVER, 10.1))


class SelectionTest(unittest.TestCase):
    """Guards against messages to hosts that have nothing to give."""

    def setUp(self) -> None:
        self.requests = GrantRequests(OWN)

    def asked(self, wanted: int, now_s: float) -> list[DaemonId]:
        """Returns the hosts that are asked for a number of requests."""
        givers = {OTHER: 5, GIVER: 2}
        wishes = self.requests.select(RUN, wanted, givers, now_s)
        return [giver for giver, _ in wishes]

    def test_the_first_givers_are_asked_first(self) -> None:
        self.assertEqual(self.asked(1, 0.0), [OTHER])
        self.assertEqual(self.asked(1, 0.0), [GIVER])

    def test_a_host_that_gave_nothing_is_left_alone_for_a_while(self) -> None:
        self.assertEqual(self.asked(7, 0.0), [OTHER, GIVER])
        self.assertEqual(self.asked(7, REFUSED_S - 0.1), [])
        self.assertEqual(self.asked(7, REFUSED_S), [OTHER, GIVER])

    def test_one_that_gave_some_is_asked_when_it_may_give_again(self) -> None:
        ((_, wish),) = self.requests.select(RUN, 1, {GIVER: 2}, 0.0)
        self.requests.accept(replace(wish, valid_ms=500), GIVER, 0.1)
        self.assertEqual(self.asked(7, HELD_S), [OTHER, GIVER])

    def test_a_host_that_refuses_all_is_left_alone_for_all_targets(self) -> None:
        """Guards against bytes that are spent on hosts which are busy themselves."""
        for number in range(REFUSALS_MAX):
            run = TargetRun(TargetId(f"x{number}"), 1)
            self.requests.select(run, 1, {GIVER: 2}, 0.0)
        self.assertEqual(self.asked(7, 1.0), [OTHER])
        self.assertEqual(self.asked(7, 1.0 + REFUSED_S), [OTHER, GIVER])

    def test_no_more_hosts_are_asked_than_the_bytes_allow(self) -> None:
        wishes = self.requests.select(RUN, 7, {OTHER: 5, GIVER: 2}, 0.0, 1)
        self.assertEqual(len(wishes), 1)
