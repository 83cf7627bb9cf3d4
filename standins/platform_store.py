"""Stand-ins for the platform's key-value store and for targets that speak HTTP.

Both implement the part of the platform's published protocol that a gateway uses. The
store serves range reads and watches, and can come back from an older copy of itself.
Targets sign their replies and refuse requests that are meant for another target.
"""

import base64
import contextlib
import json
import socket
import threading
import time
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

# Interval at which a server checks whether it has to shut down.
POLL_S: Final = 0.02
# Interval at which a call to a silent store looks whether it responds again.
SILENCE_POLL_S: Final = 0.05
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
    block_on_close = False

    def __init__(self, address: tuple[str, int], handler: type[_Handler]) -> None:
        self._connections: set[socket.socket] = set()
        super().__init__(address, handler)

    def process_request(self, request: Any, client_address: Any) -> None:
        """Remembers a connection, so that it can be closed."""
        self._connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Closes and forgets a connection."""
        self._connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Suppresses the traceback of a connection that the client has closed."""

    def stop(self) -> None:
        """Closes the listener and all connections."""
        self.shutdown()
        self.server_close()
        for connection in list(self._connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


def _serve(handler: type[_Handler], port: int = 0) -> _Server:
    server = _Server(("127.0.0.1", port), handler)
    threading.Thread(
        target=server.serve_forever, kwargs={"poll_interval": POLL_S}, daemon=True
    ).start()
    return server


class Absence(Enum):
    """How a store is away."""

    # Its listener and all connections are closed.
    STOPPED = "stopped"
    # It responds to nothing; connections stay open.
    SILENT = "silent"
    # It responds to everything with status 503.
    REFUSING = "refusing"


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """What the store had at a revision; its history isn't part of it."""

    items: Mapping[str, dict[str, Any]]
    revision: int


class PlatformStore:
    """Serves items with revisions to range reads and watches over HTTP.

    Args:
        era: Number of the first line of revisions, which each response names; none for
            a store of an earlier release, which names none.

    Attributes:
        is_unavailable: Whether every request is answered with status 503. Writes are
            accepted, as those of others may be.
        watches_cut_after_s: Time after which a watch that waits is cut; none if it
            isn't. All other calls are answered.
    """

    def __init__(self, era: int | None = 1) -> None:
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 1
        self._complete_after = 0
        self._era = era
        self._absence: Absence | None = None
        self._changed = threading.Condition()
        self._reads = 0
        self.is_unavailable = False
        self.watches_cut_after_s: float | None = None
        store = self

        class Handler(_Handler):
            def do_GET(self) -> None:
                """Serves a range read or a watch."""
                store._handle(self)

        self._handler = Handler
        self._server = _serve(Handler)
        self._port = int(self._server.server_address[1])

    @property
    def address(self) -> str:
        """Loopback address on which the server listens."""
        return f"127.0.0.1:{self._port}"

    @property
    def revision(self) -> int:
        """The present revision."""
        return self._revision

    @property
    def era(self) -> int | None:
        """The present era; none if responses name none."""
        return self._era

    @property
    def reads(self) -> int:
        """The number of range reads and watches so far."""
        return self._reads

    def put(self, key: str, document: Any) -> None:
        """Writes an item and wakes the watches.

        Raises:
            ConnectionError: The store is away.
        """
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.put_raw(key, value)

    def put_raw(self, key: str, value: str) -> None:
        """Writes an item whose value may be no base64, and wakes the watches.

        Raises:
            ConnectionError: The store is away.
        """
        with self._changed:
            self._check_present()
            self._revision += 1
            item = {"key": key, "value": value, "rev": self._revision}
            self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()

    def remove(self, key: str) -> None:
        """Removes an item and wakes the watches with a tombstone.

        Raises:
            ConnectionError: The store is away.
        """
        with self._changed:
            self._check_present()
            self._revision += 1
            self._items.pop(key, None)
            event = {"key": key, "rev": self._revision, "tombstone": True}
            self._events.append(event)
            self._changed.notify_all()

    def copy(self) -> StoreCopy:
        """Returns a copy from which the store may come back later."""
        with self._changed:
            return StoreCopy(dict(self._items), self._revision)

    def go_away(self, absence: Absence) -> None:
        """Makes the store unreachable; writes fail until it comes back."""
        with self._changed:
            self._absence = absence
        if absence is Absence.STOPPED:
            self._server.stop()

    def come_back(self, copy: StoreCopy | None = None) -> None:
        """Ends an absence, at the same address.

        Args:
            copy: What the store comes back from, with its next era. Without it nothing
                is lost.
        """
        with self._changed:
            if copy is not None:
                self._items, self._revision = dict(copy.items), copy.revision
                self._events, self._complete_after = [], copy.revision
                self._era = None if self._era is None else self._era + 1
            absence, self._absence = self._absence, None
            self._changed.notify_all()
        if absence is Absence.STOPPED:
            self._server = _serve(self._handler, self._port)

    def discard_history(self) -> None:
        """Forgets all changes, so that a watch from before now gets status 410."""
        with self._changed:
            self._events, self._complete_after = [], self._revision

    def close(self) -> None:
        """Stops the server and closes its listener."""
        if self._absence is not Absence.STOPPED:
            self._server.stop()

    def _check_present(self) -> None:
        if self._absence is not None:
            raise ConnectionError("the store is away; write again when it is back")

    def _handle(self, handler: _Handler) -> None:
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        with self._changed:
            self._reads += 1
            while self._absence is Absence.SILENT:
                self._changed.wait(SILENCE_POLL_S)
            is_refusing = self.is_unavailable or self._absence is Absence.REFUSING
            if is_refusing:
                self._reply(handler, 503, {})
            elif url.path == "/api/kv-range":
                self._reply(handler, 200, self._page(query.get("after", "")))
            else:
                watched = self._watch(int(query["after"]), int(query["wait-ms"]))
                if watched is None:
                    handler.close_connection = True
                else:
                    self._reply(handler, *watched)

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

    def _watch(self, after: int, wait_ms: int) -> tuple[int, dict[str, Any]] | None:
        """Returns the response to a watch after it has waited; none if it is cut."""
        began_at_s = time.monotonic()
        ends_at_s = began_at_s + wait_ms / 1_000
        while True:
            if after > self._revision or after < self._complete_after:
                return 410, {}
            events = [event for event in self._events if event["rev"] > after]
            left_s = ends_at_s - time.monotonic()
            if events or (left_s <= 0.0 and self._absence is not Absence.SILENT):
                return 200, {"events": events}
            cut_after_s = self.watches_cut_after_s
            if cut_after_s is not None and time.monotonic() > began_at_s + cut_after_s:
                return None
            # A cut is seen within the poll interval.
            self._changed.wait(min(max(left_s, 0.01), SILENCE_POLL_S))

    def _reply(self, handler: _Handler, status: int, document: dict[str, Any]) -> None:
        document["current-rev"] = self._revision
        body = json.dumps(document).encode()
        era = {} if self._era is None else {"Store_Era": str(self._era)}
        handler.reply(status, body, Content_Type="application/json", **era)


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
