"""Stand-ins of the platform, of backends and of clients, for the scripts of a review.

The store and the backends follow the platform's published protocol. A script adds the
disruption that it is about. All addresses are loopback addresses.
"""

import base64
import contextlib
import http.client
import json
import os
import random
import select
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

ROOT: Final = Path(__file__).resolve().parent.parent
LOOPBACK: Final = "127.0.0.1"
HOST_NAME: Final = "shop.example"

# Exit codes of a script.
HELD: Final = 0
BROKEN: Final = 1
NOT_RUN: Final = 2

PAGE_ITEMS: Final = 500
PAGE_BYTES: Final = 1_000_000
START_TIMEOUT_S: Final = 20.0
PORTS: Final = range(12_000, 31_000)

SETTINGS: Final = """\
node={node}
role=gateway
machine-class=frontend
serves=frontend,control_plane,directory
ip=127.0.0.1
zone=ie-dub-a
region=eu-west-ie
zones.ie-dub-a=eu-west-ie
listen.front=127.0.0.1:{ports[0]}
listen.ready=127.0.0.1:{ports[1]}
listen.control=127.0.0.1:{ports[2]}
listen.directory=127.0.0.1:{ports[3]}
internal-ports={ports[5]},{ports[5]}
seeds={seeds}
bootstrap=true
limits.cpu-share=0.537
limits.cores=2
limits.memory-mb=300
limits.max-fds=4100
limits.link-mbps=1000.0
limits.disk-mb=0
discovery=platform
entry=directory
heartbeat-ms=1200
contracts=base,drain,config,cost,retry,recover,scatter,platform
fault-tolerance.machines=2
bounds.seed-lag-s=3
bounds.reuse-after-s=2
bounds.stable-window-ms=4000
bounds.ack-ms=5000
bounds.catch-up-s=4
bounds.drain-ms=3000
bounds.grace-s=6
bounds.loss-slack-ms=200
bounds.config-apply-ms=3000
bounds.rollback-slack-ms=250
bounds.skew-max-ms=12000
bounds.retry-budget-ratio=0.2
bounds.budget-window-s=10
bounds.retry-slack=56
bounds.recovery-s=12
bounds.ttl_max_s=5
platform.address={store}
platform.form=read
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
platform.ttl-min-ms=1000
"""


class CannotRun(Exception):
    """The case can't run here, which says nothing about the rule."""


def is_troubled() -> bool:
    """Returns whether the script plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count: int) -> list[int]:
    """Returns ports on which nothing listens.

    They lie below the range from which the system takes ports of outgoing connections.
    """
    sockets: list[socket.socket] = []
    try:
        for port in random.SystemRandom().sample(PORTS, len(PORTS)):
            if len(sockets) == count:
                break
            each = socket.socket()
            try:
                each.bind((LOOPBACK, port))
            except OSError:
                each.close()
                continue
            sockets.append(each)
        return [int(each.getsockname()[1]) for each in sockets]
    finally:
        for each in sockets:
            each.close()


class Record:
    """Writes what was sent, answered and run to `record.txt`, with the time."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._began_at_s = time.monotonic()

    def write(self, text: str) -> None:
        """Writes one line."""
        with self._lock:
            elapsed_s = time.monotonic() - self._began_at_s
            self._file.write(f"{elapsed_s:9.4f} s  {text}\n")

    def close(self) -> None:
        """Closes the file."""
        with self._lock:
            self._file.close()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def server_bind(self) -> None:
        """Binds without looking up the name of the host."""
        socketserver.TCPServer.server_bind(self)
        self.server_name = LOOPBACK
        self.server_port = int(self.server_address[1])

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Suppresses the traceback of a connection that the client has closed."""


class Store:
    """The platform's store: range reads, watches and a bounded history."""

    def __init__(self, record: Record, history_s: float = 20.0) -> None:
        self._record = record
        self._history_s = history_s
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[tuple[float, dict[str, Any]]] = []
        self._forgotten_rev = 0
        self._revision = 100
        self._changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, format: str, *args: Any) -> None:
                """Suppresses the access log."""

            def do_GET(self) -> None:
                """Serves a read."""
                status, document = store._answer(self.path)
                body = json.dumps(document).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        self._server = _Server((LOOPBACK, 0), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        """Address on which the store listens."""
        return f"{LOOPBACK}:{self._server.server_address[1]}"

    def put(self, key: str, document: Any) -> float:
        """Writes an item; returns the monotonic time of the acknowledgement."""
        return self.put_bytes({key: json.dumps(document).encode()})

    def put_bytes(self, values: dict[str, bytes]) -> float:
        """Writes items one after the other; returns the time of the last one."""
        with self._changed:
            for key, value in values.items():
                self._revision += 1
                item = {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "rev": self._revision,
                    "created": self._items.get(key, {}).get("created", self._revision),
                    "lease": 0,
                }
                self._items[key] = item
                self._events.append((time.monotonic(), item))
                self._record.write(f"store: {key} written, rev {self._revision}")
            self._changed.notify_all()
            return time.monotonic()

    def remove(self, key: str) -> float:
        """Removes an item; returns the monotonic time of the acknowledgement."""
        with self._changed:
            self._revision += 1
            self._items.pop(key, None)
            event = {"key": key, "rev": self._revision, "tombstone": True}
            self._events.append((time.monotonic(), event))
            self._record.write(f"store: {key} removed, rev {self._revision}")
            self._changed.notify_all()
            return time.monotonic()

    def close(self) -> None:
        """Stops the store."""
        self._server.shutdown()
        self._server.server_close()

    def _answer(self, target: str) -> tuple[int, dict[str, Any]]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        match url.path:
            case "/api/kv-range":
                return self._range(query.get("prefix", ""), query.get("after", ""))
            case "/api/kv-watch":
                return self._watch(query)
            case "/api/kv-key":
                with self._changed:
                    item = self._items.get(query["key"])
                    if item is None:
                        return 404, {}
                    return 200, item | {"current-rev": self._revision}
        return 400, {}

    def _range(self, prefix: str, after: str) -> tuple[int, dict[str, Any]]:
        with self._changed:
            keys = [k for k in sorted(self._items) if k.startswith(prefix)]
            keys = [k for k in keys if k > after]
            items: list[dict[str, Any]] = []
            size = 0
            for key in keys[:PAGE_ITEMS]:
                size += len(self._items[key]["value"])
                if items and size > PAGE_BYTES:
                    break
                items.append(self._items[key])
            return 200, {
                "items": items,
                "has-more": len(items) < len(keys),
                "current-rev": self._revision,
            }

    def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query.get("prefix", ""), int(query["after"])
        ends_at_s = time.monotonic() + int(query["wait-ms"]) / 1_000
        with self._changed:
            while True:
                self._forget_old()
                if after < self._forgotten_rev:
                    return 410, {}
                events = [
                    event
                    for _, event in self._events
                    if event["rev"] > after and event["key"].startswith(prefix)
                ]
                left_s = ends_at_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "current-rev": self._revision}
                self._changed.wait(left_s)

    def _forget_old(self) -> None:
        oldest_s = time.monotonic() - self._history_s
        while self._events and self._events[0][0] < oldest_s:
            self._forgotten_rev = self._events.pop(0)[1]["rev"]


@dataclass
class Request:
    """A request as a backend has read it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def name(self) -> str:
        """The request's id."""
        return self.headers.get("lavendertide-request-id", "")


def read_request(reader: Any) -> Request | None:
    """Reads a request from a connection; returns none once it has ended."""
    line = reader.readline()
    if not line:
        return None
    method, path, _ = line.decode("latin-1").split(" ", 2)
    headers: dict[str, str] = {}
    while (header := reader.readline()) not in (b"\r\n", b""):
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", "0")))
    return Request(method, path, headers, body)


def render_answer(
    status: int, headers: Iterable[tuple[str, str]], body: bytes
) -> bytes:
    """Returns an answer with a length."""
    lines = [f"HTTP/1.1 {status} Any"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


@dataclass
class Backend:
    """A backend with slots, a short queue and a limit on connections.

    Attributes:
        name: Its id in the store; each answer bears it in its signature.
        service: The service that it belongs to.
        record: Receives what arrives, what is run and what is answered.
        slots: Requests that it runs at the same time.
        queue: Requests that wait for a slot; others are rejected.
        work_s: How long a request runs.
        max_conns: Connections that it accepts.
        runs: Ids of the requests that ran, in their order, with the time.
    """

    name: str
    service: str
    record: Record
    slots: int = 2
    queue: int = 4
    work_s: float = 0.02
    max_conns: int = 26
    runs: list[tuple[str, float]] = field(default_factory=list)
    arrivals: list[tuple[str, float]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._process = _Process(socket.create_server((LOOPBACK, 0), backlog=128))
        self._address = self._process.listener.getsockname()
        self._start_accepting()

    @property
    def address(self) -> str:
        """Address on which the backend listens."""
        return f"{LOOPBACK}:{self._address[1]}"

    def start_again(self) -> None:
        """Starts a new process at the same address, which knows nothing of before."""
        self._process = _Process(socket.create_server(self._address, backlog=128))
        self._start_accepting()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Returns the entry with which the backend registers in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "ie-dub-a",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold-left-ms": 0,
            "call-seq": 1,
            "born": self._process.born_ms,
        }

    def end(self) -> None:
        """Stops listening and closes all connections, as a process that exits."""
        process = self._process
        with process.condition:
            connections = list(process.connections)
        for each in [process.listener, *connections]:
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
            each.close()

    def answer(
        self, connection: socket.socket, request: Request, status: int, body: bytes
    ) -> None:
        """Sends an answer; a script may override how."""
        connection.sendall(self.render(request, status, body))

    def render(self, request: Request, status: int, body: bytes) -> bytes:
        """Returns an answer with the headers that it has on the wire."""
        headers = [("Lavendertide-Request-Id", request.name)]
        match status:
            case 503:
                headers.append(("Lavendertide-Not-Executed", "1"))
            case 421:
                headers.append(("Lavendertide-Instance-Id", self.name))
            case _:
                headers.append(("Lavendertide-Server-Stamp", f"{self.name}.00"))
        return render_answer(status, headers, body)

    def handle_arrival(self, connection: socket.socket, request: Request) -> None:
        """Called with each request before it is decided on; a script may override."""

    def _start_accepting(self) -> None:
        threading.Thread(
            target=self._accept, args=(self._process,), daemon=True
        ).start()

    def _accept(self, process: "_Process") -> None:
        while True:
            try:
                connection, _ = process.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with process.condition:
                is_over = len(process.connections) >= self.max_conns
                if not is_over:
                    process.connections.add(connection)
            if is_over:
                self.record.write(f"{self.name}: connection over the limit reset")
                connection.close()
                continue
            threading.Thread(
                target=self._serve, args=(process, connection), daemon=True
            ).start()

    def _serve(self, process: "_Process", connection: socket.socket) -> None:
        reader = connection.makefile("rb")
        try:
            while (request := read_request(reader)) is not None:
                self._handle(process, connection, request)
        except (OSError, ValueError):
            pass
        finally:
            with process.condition:
                process.connections.discard(connection)
            connection.close()

    def _handle(
        self, process: "_Process", connection: socket.socket, request: Request
    ) -> None:
        if request.path == "/health":
            connection.sendall(
                render_answer(200, [("Lavendertide-Instance-Id", self.name)], b"")
            )
            return
        arrived_at_s = time.monotonic()
        self.arrivals.append((request.name, arrived_at_s))
        self.record.write(f"{self.name}: {request.name} arrives")
        self.handle_arrival(connection, request)
        if request.headers.get("lavendertide-expect-instance", "") != self.name:
            self.answer(connection, request, 421, b"")
            return
        deadline_ms = float(request.headers.get("lavendertide-deadline-ms", "60000"))
        ends_at_s = arrived_at_s + deadline_ms / 1_000
        if not self._take_slot(process, connection, ends_at_s):
            self.record.write(f"{self.name}: {request.name} rejected, not run")
            self.answer(connection, request, 503, b"")
            return
        try:
            self.runs.append((request.name, time.monotonic()))
            self.record.write(f"{self.name}: {request.name} RUNS")
            done_at_s = time.monotonic() + self.work_s
            is_open = _wait_while_open(connection, min(done_at_s, ends_at_s))
        finally:
            with process.condition:
                process.running -= 1
                process.condition.notify_all()
        if not is_open:
            self.record.write(f"{self.name}: {request.name} dropped, connection closed")
            raise ConnectionResetError
        status = 200 if done_at_s <= ends_at_s else 504
        self.answer(connection, request, status, self.name.encode().ljust(16, b"."))
        self.record.write(f"{self.name}: {request.name} answered {status}")

    def _take_slot(
        self, process: "_Process", connection: socket.socket, ends_at_s: float
    ) -> bool:
        with process.condition:
            if process.running < self.slots and not process.waiting:
                process.running += 1
                return True
            if process.waiting >= self.queue:
                return False
            process.waiting += 1
            try:
                while process.running >= self.slots:
                    left_s = ends_at_s - time.monotonic()
                    if left_s <= 0:
                        return False
                    process.condition.wait(min(left_s, 0.05))
                    if is_closed(connection):
                        raise ConnectionResetError
                process.running += 1
                return True
            finally:
                process.waiting -= 1


class _Process:
    """One run of a backend's process; a later one shares nothing with it."""

    def __init__(self, listener: socket.socket) -> None:
        self.listener = listener
        self.born_ms = int(time.time() * 1_000)
        self.condition = threading.Condition()
        self.running = 0
        self.waiting = 0
        self.connections: set[socket.socket] = set()


def _wait_while_open(connection: socket.socket, until_s: float) -> bool:
    """Waits until a time; returns false once the other side closes."""
    while (left_s := until_s - time.monotonic()) > 0:
        time.sleep(min(left_s, 0.05))
        if is_closed(connection):
            return False
    return True


def is_closed(connection: socket.socket) -> bool:
    """Returns whether the other side has closed or reset a connection."""
    try:
        if not select.select([connection], [], [], 0)[0]:
            return False
        return connection.recv(1, socket.MSG_PEEK) == b""
    except (OSError, ValueError):
        return True


@dataclass(frozen=True)
class Answer:
    """What a client got; the status is none if its connection ended without one."""

    status: int | None
    headers: dict[str, str]
    body: bytes
    problem: str = ""


class Client:
    """A client with one connection, which it keeps as long as it may.

    Args:
        port: The gateway's port for clients.
        record: Receives what was sent and answered.
    """

    def __init__(self, port: int, record: Record) -> None:
        self._port = port
        self._record = record
        self._connection: http.client.HTTPConnection | None = None

    def send(
        self,
        method: str,
        path: str,
        name: str,
        deadline_ms: int,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> Answer:
        """Sends one request and waits for its answer."""
        timeout_s = deadline_ms / 1_000 + 1
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                LOOPBACK, self._port, timeout_s
            )
        elif self._connection.sock is not None:
            self._connection.sock.settimeout(timeout_s)
        sent = {
            "Host": HOST_NAME,
            "Lavendertide-Request-Id": name,
            "Lavendertide-Deadline-Ms": str(deadline_ms),
        }
        self._record.write(f"client: {name} sent, {method} {path}")
        try:
            self._connection.request(method, path, body, sent | (headers or {}))
            response = self._connection.getresponse()
            answer = Answer(
                response.status,
                {k.lower(): v for k, v in response.getheaders()},
                response.read(),
            )
            if response.will_close:
                self.close()
        except (OSError, http.client.HTTPException) as error:
            self.close()
            answer = Answer(None, {}, b"", repr(error))
        shown = answer.status if answer.status is not None else answer.problem
        self._record.write(f"client: {name} got {shown}")
        return answer

    def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class Gateway:
    """One process of the system, started with the command of the deploy file.

    Args:
        node: Name of its machine.
        folder: Folder of its settings and its log.
        store: Address of the store.
        ports: From `free_ports(6)`.
        seeds: Addresses on which the first machines listen for their peers.
    """

    def __init__(
        self, node: str, folder: Path, store: str, ports: list[int], seeds: str
    ) -> None:
        self.node = node
        self.port = ports[0]
        self._ready_port = ports[1]
        settings = folder / f"{node}.conf"
        settings.write_text(
            SETTINGS.format(node=node, ports=ports, seeds=seeds, store=store)
        )
        self._log = (folder / f"{node}.log").open("ab")
        self._environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        } | {
            "LAVENDERTIDE_SETTINGS": str(settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "FLEET_KEY": "lavendertide-fleet",
            "METRICS_PORT": str(ports[4]),
        }
        self.process: subprocess.Popen[bytes] = self.start()

    def start(self) -> subprocess.Popen[bytes]:
        """Starts the process, or starts it again after it has ended."""
        self.process = subprocess.Popen(
            ["python3", "-m", "lavendertide.platform"],
            cwd=ROOT,
            env=self._environment,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )
        return self.process

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Returns whether the process answers that it is ready."""
        try:
            connection = http.client.HTTPConnection(LOOPBACK, self._ready_port, 1)
            connection.request("GET", "/api/ready")
            status = connection.getresponse().status
            connection.close()
        except (OSError, http.client.HTTPException):
            return False
        return status == 200

    def wait_until_ready(self) -> None:
        """Waits until the process is ready.

        Raises:
            CannotRun: It wasn't in time.
        """
        ends_at_s = time.monotonic() + START_TIMEOUT_S
        while not self.is_ready():
            if time.monotonic() > ends_at_s or self.process.poll() is not None:
                raise CannotRun(f"{self.node} is not ready")
            time.sleep(0.1)

    def stop(self) -> None:
        """Ends the process if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._log.close()


class Deployment:
    """A store, gateways and backends in a temporary folder."""

    def __init__(self, record: Record) -> None:
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = record
        self.store = Store(record)
        self.gateways: list[Gateway] = []
        self.backends: list[Backend] = []

    def add(self, backend: Backend) -> None:
        """Registers a backend."""
        self.backends.append(backend)
        self.store.put(f"servers/{backend.name}", backend.entry())

    def start_gateways(self, count: int) -> None:
        """Starts gateways at the same time and waits until all are ready."""
        ports = [free_ports(6) for _ in range(count)]
        seeds = ",".join(f"{LOOPBACK}:{each[2]}" for each in ports[:3])
        for number, each in enumerate(ports, 1):
            node = f"frontend-ie-dub-a-{number}"
            self.gateways.append(
                Gateway(node, self.folder, self.store.address, each, seeds)
            )
        for gateway in self.gateways:
            gateway.wait_until_ready()
        # Until the gateways know each other and all that the store holds.
        time.sleep(4.0)

    def close(self) -> None:
        """Ends all that was started and removes the folder."""
        for gateway in self.gateways:
            gateway.stop()
        for backend in self.backends:
            backend.end()
        self.store.close()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
            return
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(
    version: int,
    routes: Iterable[dict[str, Any]],
    services: dict[str, int],
    limits: dict[str, int] | None = None,
) -> dict[str, Any]:
    """Returns a configuration as the operator writes it.

    Args:
        version: Its version.
        routes: From `route`.
        services: The connections that a backend of each service accepts.
        limits: What clients may send; the usual ones if there are none.
    """
    return {
        "version": version,
        "routes": list(routes),
        "services": [
            {
                "name": name,
                "health-path": "/health",
                "max-conns": max_conns,
                "protocol": "h1",
                "tls": False,
            }
            for name, max_conns in services.items()
        ],
        "limits": limits
        or {
            "max-header-bytes": 16_384,
            "max-body-bytes": 262_144,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
    }


def route(
    prefix: str, service: str, route_type: str, timeout_ms: int, target_ms: int
) -> dict[str, Any]:
    """Returns a route to one service."""
    return {
        "name": f"r-{prefix}",
        "host": HOST_NAME,
        "prefix": f"/{prefix}/",
        "route-type": route_type,
        "timeout-ms": timeout_ms,
        "target-latency-ms": target_ms,
        "priority": 2,
        "max-attempts": 2,
        "service": service,
    }


def run_case(script: str, play: Callable[[Deployment], bool]) -> None:
    """Plays a case and exits with its result.

    Args:
        script: Path of the script; `record.txt` is written beside it.
        play: Returns whether the rule held.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(Path(script).resolve().parent / "record.txt")
    deployment: Deployment | None = None
    code = NOT_RUN
    try:
        deployment = Deployment(record)
        code = HELD if play(deployment) else BROKEN
    except CannotRun as error:
        record.write(f"the case can't run: {error}")
        print(f"the case can't run: {error}")
    except Exception:
        traceback.print_exc()
    finally:
        if deployment is not None:
            deployment.close()
        record.close()
        sys.stdout.flush()
        # Without waiting for clients whose answers no longer matter.
        os._exit(code)
