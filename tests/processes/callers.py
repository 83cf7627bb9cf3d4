"""Search load from several threads that records every response and refusal."""

import threading
import time
from typing import Any

from returns.result import Failure, Success

from lavendertide.caller_client import CallerClient
from standins.launcher import Launcher
from tests.processes.waiting import eventually

BACKOFF_S = 0.1


def pinned_client(launcher: Launcher, key: str, daemon: str) -> CallerClient:
    """Returns a client that sends everything to one daemon.

    Its address list never expires, so it doesn't learn of other daemons.
    """
    client = CallerClient([launcher.callers[daemon]], key)
    client._addresses = [launcher.callers[daemon]]
    client._addresses_expire_at_s = float("inf")
    return client


class SearchLoad:
    """Searches from several threads within a `with` block.

    The threads are spread evenly over the daemons. Each sends its next search after a
    response, or `BACKOFF_S` after a refusal.

    Attributes:
        responses: Each response, with the body that was searched for under `asked`.
        refusals: The kind of each refusal.
    """

    def __init__(self, launcher: Launcher, key: str, index: str, threads: int) -> None:
        self.responses: list[dict[str, Any]] = []
        self.refusals: list[str] = []
        self._index = index
        self._stopped = threading.Event()
        daemons = sorted(launcher.callers)
        self._threads = [
            threading.Thread(
                target=self._search,
                args=(pinned_client(launcher, key, daemons[n % len(daemons)]), n),
            )
            for n in range(threads)
        ]

    def __enter__(self) -> "SearchLoad":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    @property
    def gaps(self) -> list[dict[str, Any]]:
        """Gaps of all responses, with their reasons.

        Each has the attempts, hedges, retries and index version of its response, which
        help to trace a failed assertion.
        """
        attempt_fields = ("attempts", "hedges", "retries", "version")
        return [
            gap | {key: response.get(key) for key in attempt_fields}
            for response in self.responses
            for gap in response["gaps"]
        ]

    def wait_for(self, count: int) -> None:
        """Waits for a number of further responses."""
        wanted = len(self.responses) + count
        eventually(lambda: len(self.responses) >= wanted)

    def wait_for_version(self, version: int) -> None:
        """Waits until one of the last 20 responses has the given index version."""
        eventually(lambda: any(r["version"] == version for r in self.responses[-20:]))

    def _search(self, client: CallerClient, number: int) -> None:
        body = f"order of thread {number}"
        while not self._stopped.is_set():
            match client.search(self._index, body, 1_000, 50, time.monotonic()):
                case Success(response):
                    response["asked"] = body
                    self.responses.append(response)
                case Failure(refusal):
                    self.refusals.append(refusal.kind.value)
                    time.sleep(BACKOFF_S)
