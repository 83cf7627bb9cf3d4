"""Stand-ins for the platform's key-value store and for targets that speak HTTP.

Both implement the part of the platform's published protocol that a gateway uses. The
store serves range reads and watches. Targets sign their replies and refuse requests
that are meant for another target.
"""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

# Interval at which a server checks whether it has to shut down.
POLL_S: Final = 0.02
# A page of a range holds at most so many items and bytes, but always one item.
PAGE_ITEMS: Final = 500
PAGE_BYTES: Final = 1_000_000


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, format: str, *args: Any) -> None:
        """Suppresses the access log."""

    def reply(self, status: int, body: bytes, **headers: str) -> None:
        """Sends a complete response; underscores in header names become hyphens."""
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Server(ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Suppresses the traceback of a connection that the client has closed."""


def _serve(handler: type[_Handler]) -> _Server:
    server = _Server(("127.0.0.1", 0), handler)
    threading.Thread(
        target=server.serve_forever, kwargs={"poll_interval": POLL_S}, daemon=True
    ).start()
    return server


class PlatformStore:
    """Serves items with revisions to range reads and watches over HTTP.

    Attributes:
        is_unavailable: Whether every request is answered with status 503.
    """

    def __init__(self) -> None:
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 1
        self._changed = threading.Condition()
        self.is_unavailable = False
        store = self

        class Handler(_Handler):
            def do_GET(self) -> None:
                """Serves a range read or a watch."""
                store._handle(self)

        self._server = _serve(Handler)

    @property
    def address(self) -> str:
        """Loopback address on which the server listens."""
        return f"127.0.0.1:{self._server.server_address[1]}"

    def put(self, key: str, document: Any) -> None:
        """Writes an item and wakes the watches."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.put_raw(key, value)

    def put_raw(self, key: str, value: str) -> None:
        """Writes an item whose value may be no base64, and wakes the watches."""
        with self._changed:
            self._revision += 1
            item = {"key": key, "value": value, "rev": self._revision}
            self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()

    def remove(self, key: str) -> None:
        """Removes an item and wakes the watches with a tombstone."""
        with self._changed:
            self._revision += 1
            self._items.pop(key, None)
            event = {"key": key, "rev": self._revision, "tombstone": True}
            self._events.append(event)
            self._changed.notify_all()

    def close(self) -> None:
        """Stops the server and closes its listener."""
        self._server.shutdown()
        self._server.server_close()

    def _handle(self, handler: _Handler) -> None:
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if self.is_unavailable:
            handler.reply(503, b"")
        elif url.path == "/api/kv-range":
            with self._changed:
                self._reply(handler, self._page(query.get("after", "")))
        else:
            self._handle_watch(handler, int(query["after"]), int(query["wait-ms"]))

    def _page(self, after: str) -> dict[str, Any]:
        """Returns the items after a key, as many as fit into one page."""
        keys = [key for key in sorted(self._items) if key > after]
        items: list[dict[str, Any]] = []
        size = 0
        for key in keys[:PAGE_ITEMS]:
            size += len(self._items[key]["value"])
            if items and size > PAGE_BYTES:
                break
            items.append(self._items[key])
        return {"items": items, "has-more": len(items) < len(keys)}

    def _handle_watch(self, handler: _Handler, after: int, wait_ms: int) -> None:
        ends_at_s = time.monotonic() + wait_ms / 1_000
        with self._changed:
            while self._revision <= after and time.monotonic() < ends_at_s:
                self._changed.wait(ends_at_s - time.monotonic())
            events = [event for event in self._events if event["rev"] > after]
            self._reply(handler, {"events": events})

    def _reply(self, handler: _Handler, document: dict[str, Any]) -> None:
        document["current-rev"] = self._revision
        body = json.dumps(document).encode()
        handler.reply(200, body, Content_Type="application/json")


def target_entry(service: str, address: str, state: str = "ready") -> dict[str, Any]:
    """Builds the entry with which a target registers in the store."""
    return {
        "service": service,
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": 2,
        "state": state,
        "cold-left-ms": 0,
        "call-seq": 1,
    }


class PlainTarget:
    """A target that replies with its name and records the requests that it ran.

    Attributes:
        name: The target's id, also its signature and the body of its replies.
        service: The service that the target belongs to.
        delay_s: How long each request runs.
        executed_requests: Ids of the requests that ran, in their order.
    """

    def __init__(self, name: str, service: str) -> None:
        self.name = name
        self.service = service
        self.delay_s = 0.0
        self.executed_requests: list[str] = []
        target = self

        class Handler(_Handler):
            def do_GET(self) -> None:
                """Runs a request and replies to it."""
                target._handle(self)

            def do_POST(self) -> None:
                """Runs a request and replies to it."""
                target._handle(self)

        self._server = _serve(Handler)

    @property
    def address(self) -> str:
        """Loopback address on which the server listens."""
        return f"127.0.0.1:{self._server.server_address[1]}"

    def entry(self, state: str = "ready", address: str = "") -> dict[str, Any]:
        """Builds the entry with which the target registers in the store.

        Args:
            state: The state, as the platform's protocol spells it.
            address: Address under which gateways reach the target; empty for the one
                that it listens on.
        """
        return target_entry(self.service, address or self.address, state)

    def close(self) -> None:
        """Stops the server and closes its listener."""
        self._server.shutdown()
        self._server.server_close()

    def _handle(self, handler: _Handler) -> None:
        length = int(handler.headers.get("Content-Length") or 0)
        handler.rfile.read(length)
        request = handler.headers["Lavendertide-Request-Id"]
        if handler.headers["Lavendertide-Expect-Instance"] != self.name:
            headers = {"Lavendertide_Not_Executed": "1"}
            handler.reply(421, b"", **headers)
            return
        self.executed_requests.append(request)
        time.sleep(self.delay_s)
        handler.reply(
            200,
            self.name.encode().ljust(16, b"."),
            Lavendertide_Request_Id=request,
            Lavendertide_Server_Stamp=self.name,
        )
