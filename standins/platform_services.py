"""Stand-ins for the platform's configuration and membership services in one process.

`python -m standins.platform_services CONFIGURATION MEMBERSHIP` listens on the two
addresses. Tests publish lists with `POST /v1/publish`, list hosts with `POST /v1/list`
and make a service unavailable, outdated or late with `POST /v1/mode`. Lists sent to
`POST /v1/rival` are returned alternately with the published ones, as when two operators
publish at the same time.
"""

import lavendertide.runtime.patching  # noqa: F401, I001  (has to come first)

import sys
import time
from typing import Any
from urllib.parse import parse_qs

import eventlet
from eventlet import event, wsgi

from standins.http_json import Reply, application


class ConfigurationService:
    """Serves the two published lists to reads and long polls."""

    def __init__(self) -> None:
        self._lists: dict[str, Any] | None = None
        self._published = event.Event()
        self._reads = 0
        self._is_down = False
        self._stale: dict[str, Any] | None = None
        self._rival: dict[str, Any] | None = None

    def handle(self, method: str, path: str, query: str, body: Any) -> Reply:
        """Handles one request of the service's API or of the test control API."""
        match path:
            case "/v1/lists":
                self._reads += 1
                return self._read(query)
            case "/v1/publish":
                self._lists = body
                waiting, self._published = self._published, event.Event()
                waiting.send(None)
                return 200, {}
            case "/v1/rival":
                self._rival = body or None
                return 200, {}
            case "/v1/mode":
                self._is_down = body.get("mode") == "down"
                self._stale = self._lists if body.get("mode") == "stale" else None
                return 200, {}
            case "/v1/counts":
                return 200, {"reads": self._reads}
        return 404, {}

    def _read(self, query: str) -> Reply:
        wanted = parse_qs(query)
        after = int(wanted.get("after", ["0"])[0])
        until_s = time.monotonic() + float(wanted.get("wait_s", ["0"])[0])
        while True:
            if self._is_down:
                return 503, {}
            lists = self._stale or self._lists
            if lists is not None and lists["plans"]["version"] > after:
                return 200, self._alternate_with_rival(lists)
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                return 204, None
            self._published.wait(timeout=left_s)

    def _alternate_with_rival(self, lists: dict[str, Any]) -> dict[str, Any]:
        """Returns the lists and swaps them with the rival lists, if there are any."""
        if self._rival is None:
            return lists
        if self._lists is not None:
            self._lists, self._rival = self._rival, self._lists
        return lists


class MembershipList:
    """Serves the list of live and leaving hosts, which may lag behind updates."""

    def __init__(self) -> None:
        self._hosts: list[dict[str, str]] = []
        self._lag_s = 0.0
        self._is_down = False

    def handle(self, method: str, path: str, query: str, body: Any) -> Reply:
        """Handles one request of the service's API or of the test control API."""
        match path:
            case "/v1/hosts":
                return (503, {}) if self._is_down else (200, {"hosts": self._hosts})
            case "/v1/list":
                eventlet.spawn_after(self._lag_s, self._replace, body["hosts"])
                return 200, {}
            case "/v1/mode":
                self._is_down = body.get("mode") == "down"
                self._lag_s = float(body.get("lag_s", self._lag_s))
                return 200, {}
        return 404, {}

    def _replace(self, hosts: list[dict[str, str]]) -> None:
        self._hosts = hosts


def main() -> None:
    """Serves both services until the process is killed."""
    addresses = sys.argv[1:3]
    handlers = (ConfigurationService().handle, MembershipList().handle)
    servers = []
    for address, handle in zip(addresses, handlers, strict=True):
        host, port = address.split(":")
        listener = eventlet.listen((host, int(port)))
        servers.append(
            eventlet.spawn(wsgi.server, listener, application(handle), log_output=False)
        )
    for server in servers:
        server.wait()


if __name__ == "__main__":
    main()
