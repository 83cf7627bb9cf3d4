"""Tests of tickets on separate processes: resends, kills, freezes."""

import signal
import threading
import time
import unittest
from typing import Any

from returns.result import Failure, Success

from lavendertide.errors import Refusal
from standins.deployment import KOINOPRAXIA, scaled_down
from standins.launcher import Launcher
from tests.processes.callers import client_of
from tests.processes.waiting import eventually

OWNERS = (scaled_down(KOINOPRAXIA, 2, 3),)
INDEX = "apprentice-app"
KEY = "apprentice"
MINTER = "koinopraxia-0"
DAEMONS = ("koinopraxia-0", "koinopraxia-1", "koinopraxia-2")
LIFETIME_S = 4.0


class ExecutionFaultTest(unittest.TestCase):
    """An order runs once at most, and nothing false is said of it."""

    launcher: Launcher

    def setUp(self) -> None:
        self.launcher = Launcher(
            OWNERS, overrides={"tickets": {"lifetime_s": LIFETIME_S}}
        )
        self.addCleanup(self.launcher.stop)
        self.launcher.start()

    def ticket(self, daemon: str = MINTER) -> str:
        """Returns a ticket of one daemon."""
        client = client_of(self.launcher, KEY, daemon)
        return client.request_ticket(time.monotonic()).unwrap()

    def send(
        self, ticket: str, body: str, daemon: str = MINTER, deadline_ms: int = 1_000
    ) -> dict[str, Any]:
        """Sends an order through one daemon."""
        client = client_of(self.launcher, KEY, daemon)
        sent = client.execute(
            ticket, INDEX, "redeem", body, deadline_ms, time.monotonic()
        )
        match sent:
            case Success(document):
                answer: dict[str, Any] = document
                return answer
            case Failure(Refusal(kind=kind)):
                return {"outcome": "refused", "kind": kind.value}
        raise AssertionError("a result is a success or a failure")

    def runs_of(self, body: str) -> int:
        """Returns how often the targets ran an order."""
        return sum(
            counts["executions"].get(body, 0)
            for counts in self.launcher.target_counts().values()
        )

    def slow_down(self, median_ms: float) -> None:
        """Changes how long the targets take."""
        for replica in range(4):
            self.launcher.change_target(f"{INDEX}-0-{replica}", median_ms=median_ms)

    def test_resends_through_every_host_run_once(self) -> None:
        ticket = self.ticket()
        outcomes: list[str] = []
        threads = [
            threading.Thread(
                target=lambda daemon=daemon: outcomes.append(
                    self.send(ticket, "voucher-1", daemon)["outcome"]
                )
            )
            for daemon in DAEMONS * 4
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(set(outcomes), {"ran"})
        self.assertEqual(self.runs_of("voucher-1"), 1)
        for daemon in DAEMONS:
            self.assertEqual(self.inquire(ticket, daemon)["outcome"], "ran")
        answer = self.send(ticket, "voucher-2", DAEMONS[1])
        self.assertEqual(answer["kind"], "ticket_mismatch")
        self.assertEqual(self.runs_of("voucher-2"), 0)

    def inquire(self, ticket: str, daemon: str) -> dict[str, Any]:
        """Asks what is known of a ticket."""
        address = self.launcher.callers[daemon]
        answer: dict[str, Any] = self.launcher._http.request(
            "GET",
            f"http://{address}/v1/tickets/{ticket}",
            headers={"X-Caller-Key": KEY},
        ).json()
        return answer

    def post_execute(self, ticket: str, key: str, daemon: str) -> dict[str, Any]:
        """Sends an order with any key and returns the raw answer."""
        order = {
            "ticket": ticket,
            "index": INDEX,
            "operation": "redeem",
            "deadline_ms": 500,
            "body": "voucher-1",
        }
        answer: dict[str, Any] = self.launcher._http.request(
            "POST",
            f"http://{self.launcher.callers[daemon]}/v1/execute",
            headers={"X-Caller-Key": key},
            json=order,
        ).json()
        return answer

    def test_what_is_said_of_a_ticket_over_all_tries(self) -> None:
        ticket = self.ticket()
        self.assertEqual(self.inquire(ticket, MINTER)["outcome"], "not_run")
        refused = self.post_execute(ticket, "employer", DAEMONS[1])
        self.assertEqual(
            (refused["this_try"], refused["outcome"]), ("not_run", "unknown")
        )
        self.assertEqual(self.send(ticket, "voucher-1")["outcome"], "ran")
        refused = self.post_execute(ticket, "employer", MINTER)
        self.assertEqual((refused["this_try"], refused["outcome"]), ("not_run", "ran"))
        eventually(lambda: self.inquire(ticket, MINTER)["outcome"] == "unknown")
        for daemon in DAEMONS:
            expired = self.post_execute(ticket, KEY, daemon)
            self.assertEqual(expired["outcome"], "unknown")
        self.assertEqual(self.runs_of("voucher-1"), 1)

    def test_a_killed_minter_leaves_the_outcome_unknown_for_ever(self) -> None:
        unused, used = self.ticket(), self.ticket()
        self.slow_down(400.0)
        sender = threading.Thread(target=self.send, args=(used, "voucher-1"))
        sender.start()
        eventually(lambda: self.inquire(used, MINTER)["outcome"] == "unknown")
        self.launcher.signal_daemon(MINTER, signal.SIGKILL)
        sender.join()
        for daemon in DAEMONS[1:]:
            self.assertEqual(self.send(used, "voucher-1", daemon)["outcome"], "unknown")
        self.launcher.wait_for_exit(MINTER)
        self.launcher.start_daemon(MINTER)
        self.launcher.wait_until_ready(MINTER)
        for daemon in DAEMONS:
            for ticket, body in ((used, "voucher-1"), (unused, "voucher-2")):
                answer = self.send(ticket, body, daemon)
                self.assertEqual(answer["outcome"], "unknown")
                self.assertIn("gone", answer["detail"])
        self.assertLessEqual(self.runs_of("voucher-1"), 1)
        self.assertEqual(self.runs_of("voucher-2"), 0)

    def test_a_frozen_minter_runs_nothing_that_is_too_late(self) -> None:
        tickets = [self.ticket() for _ in range(6)]
        self.launcher.signal_daemon(MINTER, signal.SIGSTOP)
        threads = [
            threading.Thread(
                target=self.send, args=(ticket, f"voucher-{n}", daemon, 400)
            )
            for n, ticket in enumerate(tickets)
            for daemon in (MINTER, DAEMONS[1 + n % 2])
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.launcher.signal_daemon(MINTER, signal.SIGCONT)
        eventually(lambda: self.is_known(tickets))
        self.assertEqual([self.runs_of(f"voucher-{n}") for n in range(6)], [0] * 6)
        self.launcher.wait_until_ready(MINTER)
        eventually(lambda: self.send(tickets[0], "voucher-0")["outcome"] == "ran")
        self.assertEqual(self.runs_of("voucher-0"), 1)

    def is_known(self, tickets: list[str]) -> bool:
        """Returns whether the minter has dealt with everything in its sockets."""
        outcomes = [self.inquire(ticket, MINTER)["outcome"] for ticket in tickets]
        return outcomes == ["not_run"] * len(tickets)
