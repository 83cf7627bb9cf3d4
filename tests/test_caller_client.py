"""Tests of `lavendertide.caller_client`."""

import json
import threading
import time
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from lavendertide.caller_client import ATTEMPTS_MAX, CallerClient
from lavendertide.errors import RefusalKind

OK: dict[str, Any] = {"outcome": "ran"}


def refusal(kind: RefusalKind, retry_after_s: float | None) -> dict[str, Any]:
    """Returns the JSON body of a refusal."""
    return {
        "kind": kind.value,
        "message": "",
        "remedy": "",
        "fault": "system",
        "retry_after_s": retry_after_s,
    }


class StubHost:
    """A host that returns scripted responses in order and repeats the last one."""

    def __init__(self, *script: tuple[int, Any], delay_s: float = 0) -> None:
        self.bodies: list[dict[str, Any]] = []
        self.paths: list[str] = []
        stub, responses = self, list(script)

        class Handler(BaseHTTPRequestHandler):
            """Returns the responses of the script."""

            def do_POST(self) -> None:
                """Records the body and responds after the delay."""
                length = int(self.headers["Content-Length"])
                stub.bodies.append(json.loads(self.rfile.read(length)))
                time.sleep(delay_s)
                self._answer()

            def do_GET(self) -> None:
                """Records the path and responds."""
                stub.paths.append(self.path)
                self._answer()

            def _answer(self) -> None:
                status, body = responses.pop(0) if len(responses) > 1 else responses[0]
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, *_: object) -> None:
                """Suppresses the log of requests."""

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        """The address that the host listens on."""
        return f"127.0.0.1:{self._server.server_address[1]}"

    def stop(self) -> None:
        """Stops the server and closes its socket."""
        self._server.shutdown()
        self._server.server_close()


class CallerClientTest(unittest.TestCase):
    """Guards the retries of a request: one deadline for all, and the hosts' hints.

    A client that ignores them retries past its deadline or overloads the hosts.
    """

    def client(self, *hosts: StubHost) -> CallerClient:
        """Returns a client that sends to these hosts in this order."""
        for host in hosts:
            self.addCleanup(host.stop)
        client = CallerClient([host.address for host in hosts], "k")
        client._addresses = [host.address for host in hosts]
        client._addresses_expire_at_s = float("inf")
        return client

    def search(self, client: CallerClient, deadline_ms: int = 1_000) -> Any:
        """Sends a search with the client."""
        return client.search("index", "body", deadline_ms, 5, time.monotonic())

    def test_a_search_refused_by_an_overloaded_host_goes_to_the_next(self) -> None:
        full = StubHost((503, refusal(RefusalKind.OVERLOADED, 60)))
        free = StubHost((200, OK))
        self.assertEqual(self.search(self.client(full, free)).unwrap(), OK)
        self.assertEqual((len(full.bodies), len(free.bodies)), (1, 1))

    def test_a_retry_after_all_hosts_waits_as_the_hint_says(self) -> None:
        full = (503, refusal(RefusalKind.OVERLOADED, 0.01))
        host = StubHost(full, (200, OK))
        self.assertEqual(self.search(self.client(host)).unwrap(), OK)

    def test_a_hint_beyond_the_deadline_ends_the_retries(self) -> None:
        host = StubHost((429, refusal(RefusalKind.OVER_PLAN_RATE, 60)))
        refused = self.search(self.client(host)).failure()
        self.assertIs(refused.kind, RefusalKind.OVER_PLAN_RATE)
        self.assertEqual(len(host.bodies), 1)

    def test_a_permanent_refusal_is_not_retried(self) -> None:
        host = StubHost((403, refusal(RefusalKind.NOT_ENTITLED, None)))
        self.search(self.client(host)).failure()
        self.assertEqual(len(host.bodies), 1)

    def test_each_attempt_has_the_remaining_time_as_its_deadline(self) -> None:
        slow = StubHost((503, refusal(RefusalKind.OVERLOADED, 0)), delay_s=0.2)
        client = self.client(slow)
        self.search(client, 500).failure()
        budgets = [body["deadline_ms"] for body in slow.bodies]
        self.assertLessEqual(len(budgets), ATTEMPTS_MAX)
        self.assertEqual(budgets, sorted(budgets, reverse=True))
        self.assertLessEqual(budgets[1], 300)

    def test_every_attempt_of_an_execution_has_the_same_ticket(self) -> None:
        full = StubHost((503, refusal(RefusalKind.OVERLOADED, 0)))
        client = self.client(full)
        client.execute("t", "index", "redeem", "b", 1_000, time.monotonic())
        self.assertEqual({body["ticket"] for body in full.bodies}, {"t"})
        self.assertEqual(len(full.bodies), ATTEMPTS_MAX)


class GetRequestsTest(unittest.TestCase):
    """Guards GET requests against hosts that cannot serve them.

    The client tries the next host; an error names the host or the reason.
    """

    def host(self, status: int, body: Any) -> StubHost:
        """Starts a host that returns the same response to every request."""
        host = StubHost((status, body))
        self.addCleanup(host.stop)
        return host

    def client(self, *hosts: StubHost) -> CallerClient:
        """Returns a client without a list of addresses."""
        return CallerClient([host.address for host in hosts], "k")

    def client_with_addresses(self, *hosts: StubHost) -> CallerClient:
        """Returns a client that has a list of addresses."""
        client = self.client(*hosts)
        client._addresses = [host.address for host in hosts]
        client._addresses_expire_at_s = float("inf")
        return client

    def test_a_request_refused_by_a_joining_host_goes_to_the_next(self) -> None:
        joining = self.host(503, refusal(RefusalKind.NOT_READY, 1))
        serving = self.host(200, OK)
        client = self.client_with_addresses(joining, serving)
        self.assertEqual(client.outcome("t", time.monotonic()).unwrap(), OK)

    def test_a_ticket_cannot_change_the_path(self) -> None:
        host = self.host(200, OK)
        self.client_with_addresses(host).outcome("../addresses", time.monotonic())
        self.assertEqual(host.paths, ["/v1/tickets/..%2Faddresses"])

    def test_a_refusal_of_addresses_is_returned(self) -> None:
        host = self.host(401, refusal(RefusalKind.UNKNOWN_KEY, None))
        problem = self.client(host).addresses(time.monotonic()).failure()
        self.assertIs(problem.kind, RefusalKind.UNKNOWN_KEY)

    def test_an_empty_list_of_addresses_names_the_host(self) -> None:
        host = self.host(200, {"addresses": [], "lifetime_s": 1})
        problem = self.client(host).addresses(time.monotonic()).failure()
        self.assertIs(problem.kind, RefusalKind.UNREACHABLE)
        self.assertIn(host.address, problem.message)

    def test_a_response_of_another_server_is_reported(self) -> None:
        for status, body in ((200, []), (200, 7), (404, {}), (404, {"kind": "x"})):
            with self.subTest(status=status, body=body):
                client = self.client(self.host(status, body))
                problem = client.addresses(time.monotonic()).failure()
                self.assertIn("not one of a daemon", problem.message)
