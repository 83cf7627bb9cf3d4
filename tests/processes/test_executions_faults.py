"""Process tests of orders that are resent while the issuers of their tickets fail."""

import signal
import threading
import time
import unittest
from typing import Any

from returns.result import Failure, Success

from lavendertide.errors import Refusal
from standins.deployment import KOINOPRAXIA, scaled_down
from standins.launcher import Launcher
from tests.processes.callers import pinned_client
from tests.processes.waiting import eventually

OWNERS = (scaled_down(KOINOPRAXIA, 2, 3),)
INDEX = "apprentice-app"
KEY = "apprentice"
ISSUER = "koinopraxia-0"
DAEMONS = ("koinopraxia-0", "koinopraxia-1", "koinopraxia-2")
TICKET_LIFETIME_S = 4.0


class ExecutionFaultTest(unittest.TestCase):
    """An order runs at most once, and its reported outcome is never wrong.

    Resends through several hosts, a killed issuer and requests that wait in the sockets
    of a stopped one could each run an order twice or too late.
    """

    launcher: Launcher

    def setUp(self) -> None:
        self.launcher = Launcher(
            OWNERS, overrides={"tickets": {"lifetime_s": TICKET_LIFETIME_S}}
        )
        self.addCleanup(self.launcher.stop)
        self.launcher.start()

    def request_ticket(self, daemon: str = ISSUER) -> str:
        """Returns a ticket that one daemon has issued."""
        client = pinned_client(self.launcher, KEY, daemon)
        return client.request_ticket(time.monotonic()).unwrap()

    def send_order(
        self, ticket: str, body: str, daemon: str = ISSUER, deadline_ms: int = 1_000
    ) -> dict[str, Any]:
        """Sends an order through one daemon; returns its response or the refusal."""
        client = pinned_client(self.launcher, KEY, daemon)
        sent = client.execute(
            ticket, INDEX, "redeem", body, deadline_ms, time.monotonic()
        )
        match sent:
            case Success(document):
                response: dict[str, Any] = document
                return response
            case Failure(Refusal(kind=kind)):
                return {"outcome": "refused", "kind": kind.value}
        raise AssertionError("result is neither a success nor a failure")

    def count_runs(self, body: str) -> int:
        """Returns how often all targets together have run an order."""
        return sum(
            counts["executions"].get(body, 0)
            for counts in self.launcher.target_counts().values()
        )

    def slow_down(self, median_ms: float) -> None:
        """Sets the median latency of the targets."""
        for replica in range(4):
            self.launcher.change_target(f"{INDEX}-0-{replica}", median_ms=median_ms)

    def test_resends_through_every_host_run_once(self) -> None:
        ticket = self.request_ticket()
        outcomes: list[str] = []
        threads = [
            threading.Thread(
                target=lambda daemon=daemon: outcomes.append(
                    self.send_order(ticket, "voucher-1", daemon)["outcome"]
                )
            )
            for daemon in DAEMONS * 4
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(set(outcomes), {"ran"})
        self.assertEqual(self.count_runs("voucher-1"), 1)
        for daemon in DAEMONS:
            self.assertEqual(self.request_outcome(ticket, daemon)["outcome"], "ran")
        response = self.send_order(ticket, "voucher-2", DAEMONS[1])
        self.assertEqual(response["kind"], "ticket_mismatch")
        self.assertEqual(self.count_runs("voucher-2"), 0)

    def request_outcome(self, ticket: str, daemon: str) -> dict[str, Any]:
        """Requests the outcome that one daemon knows for a ticket."""
        address = self.launcher.callers[daemon]
        response: dict[str, Any] = self.launcher._http.request(
            "GET",
            f"http://{address}/v1/tickets/{ticket}",
            headers={"X-Caller-Key": KEY},
        ).json()
        return response

    def post_execute(self, ticket: str, key: str, daemon: str) -> dict[str, Any]:
        """Sends an order under any caller key and returns the raw response."""
        order = {
            "ticket": ticket,
            "index": INDEX,
            "operation": "redeem",
            "deadline_ms": 500,
            "body": "voucher-1",
        }
        response: dict[str, Any] = self.launcher._http.request(
            "POST",
            f"http://{self.launcher.callers[daemon]}/v1/execute",
            headers={"X-Caller-Key": key},
            json=order,
        ).json()
        return response

    def test_a_ticket_reports_the_outcome_of_all_tries(self) -> None:
        ticket = self.request_ticket()
        self.assertEqual(self.request_outcome(ticket, ISSUER)["outcome"], "not_run")
        refused = self.post_execute(ticket, "employer", DAEMONS[1])
        self.assertEqual(
            (refused["this_try"], refused["outcome"]), ("not_run", "unknown")
        )
        self.assertEqual(self.send_order(ticket, "voucher-1")["outcome"], "ran")
        refused = self.post_execute(ticket, "employer", ISSUER)
        self.assertEqual((refused["this_try"], refused["outcome"]), ("not_run", "ran"))
        eventually(lambda: self.request_outcome(ticket, ISSUER)["outcome"] == "unknown")
        for daemon in DAEMONS:
            expired = self.post_execute(ticket, KEY, daemon)
            self.assertEqual(expired["outcome"], "unknown")
        self.assertEqual(self.count_runs("voucher-1"), 1)

    def test_a_killed_issuer_leaves_the_outcome_unknown_for_ever(self) -> None:
        unused, used = self.request_ticket(), self.request_ticket()
        self.slow_down(400.0)
        sender = threading.Thread(target=self.send_order, args=(used, "voucher-1"))
        sender.start()
        eventually(lambda: self.request_outcome(used, ISSUER)["outcome"] == "unknown")
        self.launcher.signal_daemon(ISSUER, signal.SIGKILL)
        sender.join()
        for daemon in DAEMONS[1:]:
            self.assertEqual(
                self.send_order(used, "voucher-1", daemon)["outcome"], "unknown"
            )
        self.launcher.wait_for_exit(ISSUER)
        self.launcher.start_daemon(ISSUER)
        self.launcher.wait_until_ready(ISSUER)
        for daemon in DAEMONS:
            for ticket, body in ((used, "voucher-1"), (unused, "voucher-2")):
                response = self.send_order(ticket, body, daemon)
                self.assertEqual(response["outcome"], "unknown")
                self.assertIn("gone", response["detail"])
        self.assertLessEqual(self.count_runs("voucher-1"), 1)
        self.assertEqual(self.count_runs("voucher-2"), 0)

    def test_a_frozen_issuer_runs_nothing_after_its_deadline(self) -> None:
        tickets = [self.request_ticket() for _ in range(6)]
        self.launcher.signal_daemon(ISSUER, signal.SIGSTOP)
        threads = [
            threading.Thread(
                target=self.send_order, args=(ticket, f"voucher-{n}", daemon, 400)
            )
            for n, ticket in enumerate(tickets)
            for daemon in (ISSUER, DAEMONS[1 + n % 2])
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.launcher.signal_daemon(ISSUER, signal.SIGCONT)
        eventually(lambda: self.are_all_not_run(tickets))
        self.assertEqual([self.count_runs(f"voucher-{n}") for n in range(6)], [0] * 6)
        self.launcher.wait_until_ready(ISSUER)
        eventually(lambda: self.send_order(tickets[0], "voucher-0")["outcome"] == "ran")
        self.assertEqual(self.count_runs("voucher-0"), 1)

    def are_all_not_run(self, tickets: list[str]) -> bool:
        """Returns whether the issuer reports every ticket as not run.

        By then it has handled the requests that waited in its sockets.
        """
        outcomes = [
            self.request_outcome(ticket, ISSUER)["outcome"] for ticket in tickets
        ]
        return outcomes == ["not_run"] * len(tickets)
