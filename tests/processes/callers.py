"""Callers in threads, which note every answer that they get."""

import threading
import time
from typing import Any

from returns.result import Failure, Success

from lavendertide.caller_client import CallerClient
from standins.launcher import Launcher
from tests.processes.waiting import eventually

BACKOFF_S = 0.1


def pinned_client(launcher: Launcher, key: str, daemon: str) -> CallerClient:
    """Returns a caller that only ever uses one daemon."""
    client = CallerClient([launcher.callers[daemon]], key)
    client._addresses = [launcher.callers[daemon]]
    client._addresses_expire_at_s = float("inf")
    return client


class SearchLoad:
    """Searches from several threads at once until it is stopped."""

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
        """What the answers lack, with the reasons, and how often they asked."""
        attempt_fields = ("attempts", "hedges", "retries", "version")
        return [
            gap | {key: response.get(key) for key in attempt_fields}
            for response in self.responses
            for gap in response["gaps"]
        ]

    def wait_for(self, count: int) -> None:
        """Waits until a number of further answers have come."""
        wanted = len(self.responses) + count
        eventually(lambda: len(self.responses) >= wanted)

    def wait_for_version(self, version: int) -> None:
        """Waits until an answer of a version has come."""
        eventually(lambda: any(a["version"] == version for a in self.responses[-20:]))

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
