"""Tests on separate processes of relayed work that waits on a stopped holder."""

import signal
import threading
import time
import unittest
from collections.abc import Callable
from typing import Any, Final

from returns.result import Success

from standins.deployment import KOINOPRAXIA, scaled_down
from standins.launcher import Launcher
from tests.processes.callers import client_of
from tests.processes.holders import targets_of
from tests.processes.waiting import eventually

# Five hosts in four failure domains: the first and the last are neighbours.
OWNERS: Final = (scaled_down(KOINOPRAXIA, 8, 5),)
NEIGHBOURS: Final = ("koinopraxia-0", "koinopraxia-4")
SEARCHED, SEARCHER = "voucher-finder", "employer"
ORDERED, ORDERER = "apprentice-app", "apprentice"
NEAR_TARGET: Final = "apprentice-app-0-0"
REQUESTS: Final = 12
LATE: Final = "late"
DEADLINE_MS: Final = 1_000
STOPPED_S: Final = 1.5
# Longer than any stop here, so that the rule of late waking does not apply.
LEASE_S: Final = 20.0
OVERRIDES: Final[dict[str, Any]] = {"fleet": {"lease_s": LEASE_S}}


class FrozenHolderTest(unittest.TestCase):
    """A holder that was stopped does not run what nobody waits for any more."""

    def setUp(self) -> None:
        self.launcher = Launcher(OWNERS, overrides=OVERRIDES)
        self.addCleanup(self.launcher.stop)
        self.launcher.start()
        is_first = NEAR_TARGET in targets_of(self.launcher, ORDERED, NEIGHBOURS[0])
        self.holder, self.entry = NEIGHBOURS if is_first else NEIGHBOURS[::-1]

    def requests_of(self, daemon: str) -> int:
        """Returns how many searches have come to the targets of a daemon."""
        counts = self.launcher.target_counts()
        held = targets_of(self.launcher, SEARCHED, daemon)
        self.assertNotEqual(held, [])
        return sum(counts[target]["requests"] for target in held)

    def search(self, daemon: str) -> bool:
        """Searches through one daemon; returns whether it was answered."""
        client = client_of(self.launcher, SEARCHER, daemon)
        now_s = time.monotonic()
        answer = client.search(SEARCHED, "order", DEADLINE_MS, 5, now_s)
        return isinstance(answer, Success)

    def order(self, daemon: str, ticket: str, body: str) -> str:
        """Sends an order through one daemon and returns its outcome."""
        client = client_of(self.launcher, ORDERER, daemon)
        now_s = time.monotonic()
        match client.execute(ticket, ORDERED, "redeem", body, DEADLINE_MS, now_s):
            case Success(answer):
                return str(answer["outcome"])
        return "refused"

    def ticket(self, daemon: str) -> str:
        """Returns a ticket of one daemon."""
        client = client_of(self.launcher, ORDERER, daemon)
        return client.request_ticket(time.monotonic()).unwrap()

    def is_begun(self, ticket: str) -> bool:
        """Returns whether the entry host has sent out an order under a ticket."""
        address = self.launcher.callers[self.entry]
        answer = self.launcher._http.request(
            "GET",
            f"http://{address}/v1/tickets/{ticket}",
            headers={"X-Caller-Key": ORDERER},
        ).json()
        return bool(answer["outcome"] == "unknown")

    def begin(self, send: Callable[[int], object]) -> list[threading.Thread]:
        """Sends requests from threads."""
        senders = [
            threading.Thread(target=send, args=(number,)) for number in range(REQUESTS)
        ]
        for sender in senders:
            sender.start()
        return senders

    def end(self, senders: list[threading.Thread]) -> None:
        """Lets the holder go on once every caller has given up."""
        for sender in senders:
            sender.join()
        time.sleep(STOPPED_S)
        self.launcher.signal_daemon(self.holder, signal.SIGCONT)

    def test_searches_of_a_lost_entry_host_are_not_run_late(self) -> None:
        eventually(lambda: self.search(self.entry))
        asked = self.requests_of(self.entry)
        self.launcher.signal_daemon(self.holder, signal.SIGSTOP)
        before = self.requests_of(self.holder)
        senders = self.begin(lambda _: self.search(self.entry))
        # Each search asks all targets near to it at once, its own among them.
        eventually(lambda: self.requests_of(self.entry) >= asked + REQUESTS)
        self.launcher.signal_daemon(self.entry, signal.SIGKILL)
        self.end(senders)
        eventually(self.runs_another_order)
        self.assertEqual(self.requests_of(self.holder), before)

    def test_orders_of_a_lost_entry_host_are_not_run_late(self) -> None:
        tickets = [self.ticket(self.entry) for _ in range(REQUESTS)]
        self.launcher.signal_daemon(self.holder, signal.SIGSTOP)
        senders = self.begin(
            lambda number: self.order(self.entry, tickets[number], LATE)
        )
        eventually(lambda: all(self.is_begun(ticket) for ticket in tickets))
        self.launcher.signal_daemon(self.entry, signal.SIGKILL)
        self.end(senders)
        eventually(self.runs_another_order)
        counts = self.launcher.target_counts().values()
        self.assertEqual(sum(each["executions"].get(LATE, 0) for each in counts), 0)

    def runs_another_order(self) -> bool:
        """Returns whether the holder runs an order of its own."""
        return self.order(self.holder, self.ticket(self.holder), "fresh") == "ran"


if __name__ == "__main__":
    unittest.main()
