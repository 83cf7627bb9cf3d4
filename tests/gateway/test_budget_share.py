"""Tests of `lavendertide.gateway.budget_share`."""

import random
import unittest
from collections import deque

from lavendertide.fleet.readiness import ALONE_AFTER_S
from lavendertide.forwarding.budget import RetryAllowance, RetryBudgets
from lavendertide.forwarding.pool import connection_share
from lavendertide.gateway.budget_share import BudgetShare
from standins.forwarding_records import DESK

WINDOW_S = 10.0
FIXED = 192.0
HOSTS = 90
NAMED = 9


class Host:
    """A host that sends as many extra sub-requests as its share allows."""

    def __init__(self) -> None:
        self.start(None)

    def start(self, restarted_at_s: float | None) -> None:
        """Starts a process, which knows nothing of the one before."""
        self.share = BudgetShare(WINDOW_S, restarted_at_s)
        self.budgets = RetryBudgets(RetryAllowance(0.0, FIXED, WINDOW_S))

    def spend_all(self, is_named: bool, now_s: float) -> int:
        """Spends the whole budget; returns how many extra sub-requests that allows."""
        self.share.update(HOSTS, NAMED, is_named, now_s)
        spent = 0
        while self.budgets.try_spend(DESK, self.share.share(now_s), now_s):
            spent += 1
        return spent


class ConnectionsTest(unittest.TestCase):
    """Guards against calls of one host that wait for its only connection to a target.

    The load: a few of many hosts get all requests, while the connections of the others
    are unused.
    """

    def hosts_for(self, members: int, named: int, is_named: bool) -> int:
        """Returns by how many hosts a host divides the connections of a target."""
        share = BudgetShare(WINDOW_S)
        share.update(members, named, is_named, 0.0)
        return share.connection_hosts(0.0)

    def test_a_named_host_shares_half_of_them_with_the_named(self) -> None:
        self.assertEqual(self.hosts_for(33, 9, True), 18)
        self.assertEqual(connection_share(64, 2, 18, False), 2)

    def test_the_others_share_the_other_half(self) -> None:
        self.assertEqual(self.hosts_for(33, 9, False), 48)

    def test_where_all_are_named_they_are_divided_by_all(self) -> None:
        self.assertEqual(self.hosts_for(8, 8, True), 8)

    def test_all_together_stay_below_what_a_target_accepts(self) -> None:
        for members in range(2, 40):
            for named in range(1, members + 1):
                each_named = 400 / self.hosts_for(members, named, True)
                each_other = 400 / self.hosts_for(members, named, False)
                used = named * each_named + (members - named) * each_other
                self.assertLessEqual(used, 400 + 1e-9, (members, named))

    def test_a_newly_named_host_waits_until_the_former_ones_have_closed_theirs(
        self,
    ) -> None:
        share = BudgetShare(WINDOW_S)
        share.update(33, 9, False, 0.0)
        share.update(33, 9, True, 1.0)
        self.assertEqual(share.connection_hosts(1.0), 48)
        self.assertEqual(share.connection_hosts(1.0 + WINDOW_S), 18)


class BudgetShareTest(unittest.TestCase):
    """Named hosts have larger shares, and all shares together stay within the budget.

    Guards against two failures when few of many hosts receive all requests and many
    targets fail at once: even shares would leave the busy hosts without retries, and
    larger ones could exceed the fleet's budget.
    """

    def test_a_named_host_has_many_times_an_even_share(self) -> None:
        share = BudgetShare(WINDOW_S)
        share.update(HOSTS, NAMED, True, 0.0)
        self.assertGreater(share.share(0.0), 5 / HOSTS)

    def test_where_all_are_named_the_shares_are_even(self) -> None:
        share = BudgetShare(WINDOW_S)
        share.update(12, 12, True, 0.0)
        self.assertAlmostEqual(share.share(0.0), 1 / 12)

    def test_no_window_exceeds_the_budget_while_the_named_hosts_change(self) -> None:
        hosts = [Host() for _ in range(HOSTS)]
        window: deque[tuple[float, int]] = deque()
        for second in range(60):
            first = second // 15 * NAMED
            spent = sum(
                host.spend_all(first <= number < first + NAMED, float(second))
                for number, host in enumerate(hosts)
            )
            window.append((second, spent))
            while window[0][0] <= second - WINDOW_S:
                window.popleft()
            self.assertLessEqual(sum(count for _, count in window), FIXED)

    def test_a_host_that_knows_no_other_yet_has_no_share(self) -> None:
        """All hosts have ended at once and start before they know each other."""
        share = BudgetShare(WINDOW_S)
        self.assertEqual(share.share(0.0), 0.0)
        share.update(1, 1, True, 0.0)
        self.assertEqual(share.share(ALONE_AFTER_S - 0.1), 0.0)
        share.update(HOSTS, NAMED, True, 1.0)
        self.assertGreater(share.share(1.0), 5 / HOSTS)

    def test_a_host_that_stays_alone_has_a_share_after_a_while(self) -> None:
        share = BudgetShare(WINDOW_S)
        share.update(1, 1, True, 0.0)
        share.update(1, 1, True, ALONE_AFTER_S)
        self.assertGreater(share.share(ALONE_AFTER_S), 0.0)

    def test_a_newly_named_host_waits_for_the_window(self) -> None:
        share = BudgetShare(WINDOW_S)
        share.update(HOSTS, NAMED, False, 0.0)
        share.update(HOSTS, NAMED, True, 1.0)
        early_s, later_s = WINDOW_S, 1.0 + WINDOW_S
        self.assertLess(share.share(early_s), 1 / HOSTS)
        self.assertGreater(share.share(later_s), 5 / HOSTS)


class RestartedHostsTest(unittest.TestCase):
    """Guards against restarts that spend the budget more than once.

    The counts of what a process has spent are lost with it.
    """

    def play(self, restart_odds: float, seed: int) -> int:
        """Returns the most extra sub-requests in a window of hosts that spend all.

        Args:
            restart_odds: How likely each host is to restart in each half second.
            seed: Seed of the restarts.
        """
        generator = random.Random(seed)
        hosts = [Host() for _ in range(HOSTS)]
        window: deque[tuple[float, int]] = deque()
        most = 0
        for step in range(160):
            now_s = step / 2
            for host in hosts:
                if generator.random() < restart_odds:
                    host.start(now_s)
            spent = sum(
                host.spend_all(number < NAMED, now_s)
                for number, host in enumerate(hosts)
            )
            window.append((now_s, spent))
            while window[0][0] <= now_s - WINDOW_S:
                window.popleft()
            most = max(most, sum(count for _, count in window))
        return most

    def test_no_window_exceeds_the_budget_whatever_restarts(self) -> None:
        for odds in (0.0, 0.01, 0.1, 0.5, 0.95):
            for seed in range(3):
                with self.subTest(odds=odds, seed=seed):
                    self.assertLessEqual(self.play(odds, seed), FIXED)

    def test_all_hosts_restart_again_and_again(self) -> None:
        for every in (2, 3, 7, 19):
            hosts = [Host() for _ in range(HOSTS)]
            window: deque[int] = deque(maxlen=int(2 * WINDOW_S))
            for step in range(120):
                if step >= 20 and step % every == 0:
                    for host in hosts:
                        host.start(step / 2)
                window.append(
                    sum(
                        host.spend_all(number < NAMED, step / 2)
                        for number, host in enumerate(hosts)
                    )
                )
                with self.subTest(every=every, step=step):
                    self.assertLessEqual(sum(window), FIXED)

    def test_a_window_after_its_restart_a_host_has_its_share_again(self) -> None:
        fresh, restarted = BudgetShare(WINDOW_S), BudgetShare(WINDOW_S, 5.0)
        for share in (fresh, restarted):
            share.update(HOSTS, NAMED, True, 5.0)
        self.assertEqual(restarted.share(5.0), 0.0)
        early_s, later_s = 4.9 + WINDOW_S, 5.1 + WINDOW_S
        self.assertLess(restarted.share(early_s), 0.3 * fresh.share(early_s))
        self.assertEqual(restarted.share(later_s), fresh.share(later_s))
