"""Tests of `lavendertide.caller_client`."""

import json
import threading
import time
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from lavendertide.caller_client import TRIES, CallerClient
from lavendertide.errors import RefusalKind

OK: dict[str, Any] = {"outcome": "ran"}


def refusal(kind: RefusalKind, retry_after_s: float | None) -> dict[str, Any]:
    """Returns the body of a refusal."""
    return {
        "kind": kind.value,
        "message": "",
        "remedy": "",
        "fault": "system",
        "retry_after_s": retry_after_s,
    }


class StubHost:
    """A host that gives one scripted answer after another, the last one for ever."""

    def __init__(self, *script: tuple[int, Any], delay_s: float = 0) -> None:
        self.bodies: list[dict[str, Any]] = []
        self.paths: list[str] = []
        stub, left = self, list(script)

        class Handler(BaseHTTPRequestHandler):
            """Answers from the script."""

            def do_POST(self) -> None:
                """Answers one request."""
                length = int(self.headers["Content-Length"])
                stub.bodies.append(json.loads(self.rfile.read(length)))
                time.sleep(delay_s)
                self._answer()

            def do_GET(self) -> None:
                """Answers one request."""
                stub.paths.append(self.path)
                self._answer()

            def _answer(self) -> None:
                status, body = left.pop(0) if len(left) > 1 else left[0]
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, *_: object) -> None:
                """Says nothing."""

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self._server.server_address[1]}"

    def stop(self) -> None:
        """Stops listening."""
        self._server.shutdown()
        self._server.server_close()


class CallerClientTest(unittest.TestCase):
    """All tries of a request share one deadline and keep the hosts' hints."""

    def client(self, *hosts: StubHost) -> CallerClient:
        """Returns a caller that uses these hosts in their order."""
        for host in hosts:
            self.addCleanup(host.stop)
        client = CallerClient([host.address for host in hosts], "k")
        client._addresses = [host.address for host in hosts]
        client._addresses_expire_at_s = float("inf")
        return client

    def search(self, client: CallerClient, deadline_ms: int = 1_000) -> Any:
        """Sends a search."""
        return client.search("index", "body", deadline_ms, 5, time.monotonic())

    def test_an_overloaded_host_is_followed_by_the_next(self) -> None:
        full = StubHost((503, refusal(RefusalKind.OVERLOADED, 60)))
        free = StubHost((200, OK))
        self.assertEqual(self.search(self.client(full, free)).unwrap(), OK)
        self.assertEqual((len(full.bodies), len(free.bodies)), (1, 1))

    def test_a_hint_is_waited_for_once_all_hosts_were_tried(self) -> None:
        full = (503, refusal(RefusalKind.OVERLOADED, 0.01))
        host = StubHost(full, (200, OK))
        self.assertEqual(self.search(self.client(host)).unwrap(), OK)

    def test_a_hint_beyond_the_deadline_ends_the_tries(self) -> None:
        host = StubHost((429, refusal(RefusalKind.OVER_PLAN_RATE, 60)))
        refused = self.search(self.client(host)).failure()
        self.assertIs(refused.kind, RefusalKind.OVER_PLAN_RATE)
        self.assertEqual(len(host.bodies), 1)

    def test_a_refusal_for_good_is_not_sent_again(self) -> None:
        host = StubHost((403, refusal(RefusalKind.NOT_ENTITLED, None)))
        self.search(self.client(host)).failure()
        self.assertEqual(len(host.bodies), 1)

    def test_each_try_has_what_is_left_of_the_deadline(self) -> None:
        slow = StubHost((503, refusal(RefusalKind.OVERLOADED, 0)), delay_s=0.2)
        client = self.client(slow)
        self.search(client, 500).failure()
        budgets = [body["deadline_ms"] for body in slow.bodies]
        self.assertLessEqual(len(budgets), TRIES)
        self.assertEqual(budgets, sorted(budgets, reverse=True))
        self.assertLessEqual(budgets[1], 300)

    def test_every_try_of_an_order_has_the_same_ticket(self) -> None:
        full = StubHost((503, refusal(RefusalKind.OVERLOADED, 0)))
        client = self.client(full)
        client.execute("t", "index", "redeem", "b", 1_000, time.monotonic())
        self.assertEqual({body["ticket"] for body in full.bodies}, {"t"})
        self.assertEqual(len(full.bodies), TRIES)


class AskingTest(unittest.TestCase):
    """What is only asked for is asked of the next host, and problems are named."""

    def host(self, status: int, body: Any) -> StubHost:
        """Returns a host that gives one answer for ever."""
        host = StubHost((status, body))
        self.addCleanup(host.stop)
        return host

    def client(self, *hosts: StubHost) -> CallerClient:
        """Returns a caller that has yet to ask for addresses."""
        return CallerClient([host.address for host in hosts], "k")

    def knowing(self, *hosts: StubHost) -> CallerClient:
        """Returns a caller that knows its addresses."""
        client = self.client(*hosts)
        client._addresses = [host.address for host in hosts]
        client._addresses_expire_at_s = float("inf")
        return client

    def test_a_host_that_is_not_ready_is_followed_by_the_next(self) -> None:
        joining = self.host(503, refusal(RefusalKind.NOT_READY, 1))
        serving = self.host(200, OK)
        client = self.knowing(joining, serving)
        self.assertEqual(client.outcome("t", time.monotonic()).unwrap(), OK)

    def test_a_ticket_is_no_path(self) -> None:
        host = self.host(200, OK)
        self.knowing(host).outcome("../addresses", time.monotonic())
        self.assertEqual(host.paths, ["/v1/tickets/..%2Faddresses"])

    def test_a_refusal_of_addresses_is_passed_on(self) -> None:
        host = self.host(401, refusal(RefusalKind.UNKNOWN_KEY, None))
        problem = self.client(host).addresses(time.monotonic()).failure()
        self.assertIs(problem.kind, RefusalKind.UNKNOWN_KEY)

    def test_a_host_without_an_address_to_give_is_named(self) -> None:
        host = self.host(200, {"addresses": [], "lifetime_s": 1})
        problem = self.client(host).addresses(time.monotonic()).failure()
        self.assertIs(problem.kind, RefusalKind.UNREACHABLE)
        self.assertIn(host.address, problem.message)

    def test_what_is_no_daemon_is_named(self) -> None:
        for status, body in ((200, []), (200, 7), (404, {}), (404, {"kind": "x"})):
            with self.subTest(status=status, body=body):
                client = self.client(self.host(status, body))
                problem = client.addresses(time.monotonic()).failure()
                self.assertIn("not one of a daemon", problem.message)
