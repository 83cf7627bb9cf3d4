"""Process tests of relayed requests that wait on a stopped holder."""

import signal
import threading
import time
import unittest
from collections.abc import Callable
from typing import Any, Final

from returns.result import Success

from standins.deployment import KOINOPRAXIA, scaled_down
from standins.launcher import Launcher
from tests.processes.callers import pinned_client
from tests.processes.holders import primary_targets_of
from tests.processes.waiting import eventually

# Five hosts in four failure domains: the first and the last share one.
OWNERS: Final = (scaled_down(KOINOPRAXIA, 8, 5),)
NEIGHBOURS: Final = ("koinopraxia-0", "koinopraxia-4")
SEARCH_INDEX, SEARCH_KEY = "voucher-finder", "employer"
ORDER_INDEX, ORDER_KEY = "apprentice-app", "apprentice"
HELD_TARGET: Final = "apprentice-app-0-0"
REQUESTS: Final = 12
LATE_BODY: Final = "late"
DEADLINE_MS: Final = 1_000
STOPPED_AFTER_DEADLINES_S: Final = 1.5
# Longer than any pause here, since a holder that resumes after the end of its lease
# would refuse the waiting requests for that reason already.
LEASE_S: Final = 20.0
OVERRIDES: Final[dict[str, Any]] = {"fleet": {"lease_s": LEASE_S}}


class FrozenHolderTest(unittest.TestCase):
    """A stopped holder that resumes doesn't run requests that nobody waits for.

    An entry host relays requests to it while it is stopped, and is then killed. The
    requests still wait in the holder's sockets after their deadlines have passed.
    """

    def setUp(self) -> None:
        self.launcher = Launcher(OWNERS, overrides=OVERRIDES)
        self.addCleanup(self.launcher.stop)
        self.launcher.start()
        is_held_by_first = HELD_TARGET in primary_targets_of(
            self.launcher, ORDER_INDEX, NEIGHBOURS[0]
        )
        self.holder, self.entry = NEIGHBOURS if is_held_by_first else NEIGHBOURS[::-1]

    def count_requests(self, daemon: str) -> int:
        """Returns the number of searches that a daemon's targets have received."""
        counts = self.launcher.target_counts()
        held = primary_targets_of(self.launcher, SEARCH_INDEX, daemon)
        self.assertNotEqual(held, [])
        return sum(counts[target]["requests"] for target in held)

    def search(self, daemon: str) -> bool:
        """Searches through one daemon; returns whether there was a response."""
        client = pinned_client(self.launcher, SEARCH_KEY, daemon)
        now_s = time.monotonic()
        result = client.search(SEARCH_INDEX, "order", DEADLINE_MS, 5, now_s)
        return isinstance(result, Success)

    def send_order(self, daemon: str, ticket: str, body: str) -> str:
        """Sends an order through one daemon and returns its outcome."""
        client = pinned_client(self.launcher, ORDER_KEY, daemon)
        now_s = time.monotonic()
        match client.execute(ticket, ORDER_INDEX, "redeem", body, DEADLINE_MS, now_s):
            case Success(response):
                return str(response["outcome"])
        return "refused"

    def request_ticket(self, daemon: str) -> str:
        """Returns a ticket that one daemon has issued."""
        client = pinned_client(self.launcher, ORDER_KEY, daemon)
        return client.request_ticket(time.monotonic()).unwrap()

    def is_dispatched(self, ticket: str) -> bool:
        """Returns whether the entry host has dispatched the order of a ticket."""
        address = self.launcher.callers[self.entry]
        response = self.launcher._http.request(
            "GET",
            f"http://{address}/v1/tickets/{ticket}",
            headers={"X-Caller-Key": ORDER_KEY},
        ).json()
        return bool(response["outcome"] == "unknown")

    def start_senders(self, send: Callable[[int], object]) -> list[threading.Thread]:
        """Sends `REQUESTS` requests at once, each from a thread of its own.

        Args:
            send: Sends one request, given its number.
        """
        senders = [
            threading.Thread(target=send, args=(number,)) for number in range(REQUESTS)
        ]
        for sender in senders:
            sender.start()
        return senders

    def join_and_resume_holder(self, senders: list[threading.Thread]) -> None:
        """Waits for all callers to give up, then resumes the holder."""
        for sender in senders:
            sender.join()
        time.sleep(STOPPED_AFTER_DEADLINES_S)
        self.launcher.signal_daemon(self.holder, signal.SIGCONT)

    def test_searches_of_a_lost_entry_host_are_not_run_late(self) -> None:
        eventually(lambda: self.search(self.entry))
        entry_requests = self.count_requests(self.entry)
        self.launcher.signal_daemon(self.holder, signal.SIGSTOP)
        requests_before = self.count_requests(self.holder)
        senders = self.start_senders(lambda _: self.search(self.entry))
        # Each search sends to all targets in its failure domain at once, also to those
        # that the entry host holds itself.
        eventually(lambda: self.count_requests(self.entry) >= entry_requests + REQUESTS)
        self.launcher.signal_daemon(self.entry, signal.SIGKILL)
        self.join_and_resume_holder(senders)
        eventually(self.runs_another_order)
        self.assertEqual(self.count_requests(self.holder), requests_before)

    def test_orders_of_a_lost_entry_host_are_not_run_late(self) -> None:
        tickets = [self.request_ticket(self.entry) for _ in range(REQUESTS)]
        self.launcher.signal_daemon(self.holder, signal.SIGSTOP)
        senders = self.start_senders(
            lambda number: self.send_order(self.entry, tickets[number], LATE_BODY)
        )
        eventually(lambda: all(self.is_dispatched(ticket) for ticket in tickets))
        self.launcher.signal_daemon(self.entry, signal.SIGKILL)
        self.join_and_resume_holder(senders)
        eventually(self.runs_another_order)
        counts = self.launcher.target_counts().values()
        self.assertEqual(
            sum(each["executions"].get(LATE_BODY, 0) for each in counts), 0
        )

    def runs_another_order(self) -> bool:
        """Returns whether the holder runs an order that a caller sends to it."""
        return (
            self.send_order(self.holder, self.request_ticket(self.holder), "fresh")
            == "ran"
        )


if __name__ == "__main__":
    unittest.main()
