"""Stand-ins for the platform's store, backends and clients, and a gateway as a process.

Shared by the scripts of the second review. It uses only the standard library; the
gateway runs with the command of the deploy file and the libraries in `target/deps`.
"""

import base64
import contextlib
import http.client
import itertools
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any, NoReturn
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
MAX_FDS = 4_100
# Exit code if the rule was broken; `run.sh` turns it into 1, which Python also exits
# with after an exception.
BROKEN = 10
# Below those that systems give to outgoing connections.
PORTS = (20_000, 32_000)
# Bounds of a small deployment, as its settings give them.
DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0
STABLE_S = 4.0
HEARTBEAT_S = 1.2
# Delay after which the platform starts a process again that has ended.
RESTART_S = 0.5
SETTINGS = """\
node={node}
role=gateway
machine-class=frontend
serves=frontend,control_plane,directory
ip=127.0.0.1
zone={zone}
region=north
zones.{zone}=north
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
listen.control=127.0.0.1:{control}
listen.directory=127.0.0.1:{directory}
seeds={seeds}
bootstrap=true
counts-loss=false
limits.cpu-share=0.537
limits.cores=2
limits.memory-mb={memory_mb}
limits.max-fds=4100
limits.link-mbps=1000.0
limits.disk-mb=0
discovery=platform
entry=directory
heartbeat-ms=1200
contracts=base,drain,config,cost,retry,recover,scatter,platform
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

_started_at_s = time.monotonic()


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to `record.txt` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()

    def add(self, text: str) -> None:
        """Writes one line with the seconds since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - _started_at_s:8.3f} {text}\n")
            self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format: str, *args: Any) -> None:
        """Suppresses the access log."""

    def setup(self) -> None:
        """Registers the connection, so that the server can close it."""
        super().setup()
        self.server.connections.add(self.connection)  # type: ignore[attr-defined]

    def finish(self) -> None:
        """Removes the connection."""
        self.server.connections.discard(  # type: ignore[attr-defined]
            self.connection
        )
        super().finish()

    def reply(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        """Sends a complete response in one write."""
        lines = [f"HTTP/1.1 {status} {self.responses.get(status, ('-',))[0]}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.wfile.write("\r\n".join(lines).encode("latin-1") + body)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    block_on_close = False
    allow_reuse_address = True
    request_queue_size = 256

    def __init__(self, port: int, handler: type[_Handler]) -> None:
        self.connections: set[socket.socket] = set()
        super().__init__(("127.0.0.1", port), handler)
        threading.Thread(
            target=self.serve_forever, kwargs={"poll_interval": 0.02}, daemon=True
        ).start()

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Suppresses the traceback of a connection that was closed."""

    def stop(self) -> None:
        """Closes the listener and all connections."""
        self.shutdown()
        self.server_close()
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class Store:
    """The platform's store: ranges, watches, revisions, history and drills.

    Attributes:
        cut_after_s: After which time a watch that waits is cut; none if it isn't.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._changed = threading.Condition()
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 100
        self._first_kept = 100
        self._era = 1
        self._is_silent = False
        self._watches = 0
        self._waiting = 0
        self.cut_after_s: float | None = None
        store = self

        class Handler(_Handler):
            def do_GET(self) -> None:
                """Serves a read."""
                store._handle(self)

        self._handler = Handler
        self._server: _Server | None = _Server(0, Handler)
        self._port = int(self._server.server_address[1])

    @property
    def address(self) -> str:
        """The address that the settings name."""
        return f"127.0.0.1:{self._port}"

    @property
    def revision(self) -> int:
        """The present revision."""
        return self._revision

    @property
    def waiting(self) -> int:
        """Number of watches that wait for a change now."""
        return self._waiting

    def put(self, key: str, document: Any) -> int:
        """Writes an item; returns the acknowledged revision.

        Raises:
            ConnectionError: The store is away.
        """
        with self._changed:
            if self._server is None or self._is_silent:
                raise ConnectionError("the store is away")
            self._revision += 1
            value = base64.b64encode(json.dumps(document).encode()).decode()
            item = {
                "key": key,
                "value": value,
                "rev": self._revision,
                "created": self._items.get(key, {}).get("created", self._revision),
                "lease": 0,
            }
            self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()
            shown = document.get("state") or f"version {document.get('version')}"
            self._record.add(f"store: rev {self._revision} {key} {shown}")
            return self._revision

    def remove(self, key: str) -> int:
        """Removes an item; returns the acknowledged revision."""
        with self._changed:
            self._revision += 1
            self._items.pop(key, None)
            self._events.append({"key": key, "rev": self._revision, "tombstone": True})
            self._changed.notify_all()
            self._record.add(f"store: rev {self._revision} {key} removed")
            return self._revision

    def copy(self) -> dict[str, Any]:
        """Returns a copy from which a drill may come back."""
        with self._changed:
            return {"items": dict(self._items), "revision": self._revision}

    def stop(self) -> None:
        """Closes the listener and all connections: the store is away."""
        with self._changed:
            server, self._server = self._server, None
        if server is not None:
            self._record.add(f"store: away, at rev {self._revision}")
            server.stop()

    def come_back(self, copy: dict[str, Any]) -> None:
        """Comes back from a copy, at the same address, with the next era."""
        with self._changed:
            self._restore(copy)
            self._server = _Server(self._port, self._handler)
            self._changed.notify_all()

    def drill_behind_open_connections(
        self, copy: dict[str, Any], away_s: float
    ) -> None:
        """Answers nothing for a while, then goes on from a copy.

        Connections stay open. A watch from a revision that the copy doesn't have gets
        410, also one that waits.
        """
        with self._changed:
            self._is_silent = True
            self._record.add(f"store: away, at rev {self._revision}")
        time.sleep(away_s)
        with self._changed:
            self._is_silent = False
            self._restore(copy)
            self._changed.notify_all()

    def close(self) -> None:
        """Ends the server."""
        if self._server is not None:
            self._server.stop()

    def _restore(self, copy: dict[str, Any]) -> None:
        self._items = dict(copy["items"])
        self._revision = int(copy["revision"])
        # The history isn't part of the copy.
        self._events = []
        self._first_kept = self._revision
        self._era += 1
        self._record.add(f"store: back, era {self._era}, at rev {self._revision}")

    def _handle(self, handler: _Handler) -> None:
        url = urlsplit(handler.path)
        query = {name: each[0] for name, each in parse_qs(url.query).items()}
        with self._changed:
            while self._is_silent:
                self._changed.wait(0.1)
            match url.path:
                case "/api/kv-range":
                    prefix, after = query.get("prefix", ""), query.get("after", "")
                    status, document = 200, self._range(prefix, after)
                case "/api/kv-watch":
                    watched = self._watch(query)
                    if watched is None:
                        handler.close_connection = True
                        return
                    status, document = watched
                case "/api/kv-key" if query.get("key") in self._items:
                    status, document = 200, dict(self._items[query["key"]])
                case _:
                    status, document = 404, {}
            document["current-rev"] = self._revision
            era = str(self._era)
        body = json.dumps(document).encode()
        headers = {"Content-Type": "application/json", "Store-Era": era}
        handler.reply(status, body, headers)

    def _is_cut_due(self, began_s: float) -> bool:
        cut_after_s = self.cut_after_s
        return cut_after_s is not None and time.monotonic() > began_s + cut_after_s

    def _range(self, prefix: str, after: str) -> dict[str, Any]:
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        page = keys[:500]
        items = [self._items[key] for key in page]
        return {"items": items, "has-more": len(page) < len(keys)}

    def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]] | None:
        after, prefix = int(query["after"]), query.get("prefix", "")
        began_s = time.monotonic()
        until_s = time.monotonic() + int(query["wait-ms"]) / 1_000
        self._waiting += 1
        try:
            while True:
                if after > self._revision or after < self._first_kept:
                    self._record.add(f"store: watch after {after}: 410")
                    return 410, {}
                events = [
                    event
                    for event in self._events
                    if event["rev"] > after and event["key"].startswith(prefix)
                ]
                left_s = until_s - time.monotonic()
                if events or (left_s <= 0 and not self._is_silent):
                    return 200, {"events": events}
                if self._is_cut_due(began_s):
                    self._record.add(f"store: cuts the watch after {after}")
                    return None
                self._changed.wait(min(0.05, max(0.01, left_s)))
        finally:
            self._waiting -= 1


class Backend:
    """A sound backend of one service.

    Attributes:
        ran: The requests that ran, with the monotonic time of their arrival.
        is_leaving: Whether it says in all its answers that it leaves.
        body: The body of its answers.
    """

    def __init__(self, record: Record, name: str, service: str) -> None:
        self._record = record
        self.name = name
        self.service = service
        self.ran: list[tuple[str, float]] = []
        self.is_leaving = False
        self.work_s = 0.02
        self.body = f"{name} of {service}".encode()
        self._born = int(time.time() * 1_000)
        self._sequence = 0
        backend = self

        class Handler(_Handler):
            def do_GET(self) -> None:
                """Runs a request, or tells the health."""
                backend._handle(self)

            def do_POST(self) -> None:
                """Runs a request."""
                backend._handle(self)

        self._server = _Server(0, Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    @property
    def key(self) -> str:
        """The key of its entry in the store."""
        return f"servers/{self.name}"

    def entry(self, state: str = "ready", cold_left_ms: int = 0) -> dict[str, Any]:
        """Returns the entry with which it registers."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 4,
            "state": state,
            "cold-left-ms": cold_left_ms,
            "call-seq": self._sequence,
            "born": self._born,
        }

    def close(self) -> None:
        """Ends the server."""
        self._server.stop()

    def _handle(self, handler: _Handler) -> None:
        length = int(handler.headers.get("Content-Length") or 0)
        handler.rfile.read(length)
        arrived_at_s = time.monotonic()
        leaving = {"Server-Leaving": "1"} if self.is_leaving else {}
        if handler.path == "/health":
            status = 503 if self.is_leaving else 200
            handler.reply(
                status, b"", {"Lavendertide-Instance-Id": self.name, **leaving}
            )
            return
        request = handler.headers.get("Lavendertide-Request-Id", "")
        echo = {"Lavendertide-Request-Id": request, **leaving}
        expected = handler.headers.get("Lavendertide-Expect-Instance", self.name)
        if expected != self.name:
            echo["Lavendertide-Not-Executed"] = "1"
            handler.reply(421, b"", echo)
            return
        self.ran.append((request, arrived_at_s))
        self._record.add(f"backend {self.name} of {self.service}: runs {request}")
        time.sleep(self.work_s)
        echo["Lavendertide-Server-Stamp"] = f"{self.name}.{request}"
        handler.reply(200, self.body, echo)


def configuration(version: int, service: str, *others: str) -> dict[str, Any]:
    """Returns a configuration with one route, which leads to a service."""
    names = sorted({service, *others})
    return {
        "version": version,
        "routes": [
            {
                "name": "lookup",
                "host": HOST,
                "prefix": "/lookup/",
                "route-type": "idempotent",
                "timeout-ms": 3_000,
                "target-latency-ms": 1_000,
                "max-attempts": 2,
                "priority": 1,
                "service": service,
            }
        ],
        "services": [
            {"name": name, "max-conns": 50, "health-path": "/health"} for name in names
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 262_144,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
    }


def _limit_files() -> None:
    """Gives a process the descriptors that its settings name."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, most))


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now, and that no outgoing connection takes."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        with contextlib.suppress(OSError), socket.socket() as tried:
            tried.bind(("127.0.0.1", port))
            if port not in ports:
                ports.append(port)
    return ports


class Gateway:
    """One machine of the system, started with the command of the deploy file."""

    def __init__(
        self,
        folder: Path,
        store: str,
        node: str,
        ports: list[int],
        seeds: list[int],
        memory_mb: int = 300,
    ) -> None:
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.node = node
        self.front, self.ready, control, directory, metrics = ports
        self._path = folder / f"{node}.conf"
        self._path.write_text(
            SETTINGS.format(
                node=node,
                zone="a",
                front=self.front,
                ready=self.ready,
                control=control,
                directory=directory,
                seeds=",".join(f"127.0.0.1:{port}" for port in seeds),
                store=store,
                memory_mb=memory_mb,
            )
        )
        self._command = role["gateway"]["run"].split()
        self._environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        }
        self._environment |= {
            "LAVENDERTIDE_SETTINGS": str(self._path),
            "FLEET_KEY": role["gateway"]["env"]["FLEET_KEY"],
            "METRICS_PORT": str(metrics),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        self._log = (folder / f"{node}.log").open("wb")
        self.start()

    def start(self) -> None:
        """Starts the process."""
        self.process = subprocess.Popen(
            self._command,
            cwd=ROOT,
            env=self._environment,
            preexec_fn=_limit_files,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def kill(self) -> None:
        """Kills the process; the settings no longer say that the system is new."""
        self.process.kill()
        self.process.wait()
        settings = self._path.read_text()
        self._path.write_text(settings.replace("bootstrap=true", "bootstrap=false"))

    @property
    def memory_mb(self) -> float:
        """The memory that the process has now, in 10**6 bytes; zero if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        sizes = [line.split()[1] for line in text.splitlines() if "VmRSS" in line]
        return int(sizes[0]) * 1_024 / 1_000_000 if sizes else 0.0

    @property
    def is_ready(self) -> bool:
        """Whether it answers the platform's check with 200."""
        connection = http.client.HTTPConnection("127.0.0.1", self.ready, timeout=1)
        try:
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def stop(self) -> None:
        """Ends the process."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._log.close()


class Platform:
    """Kills a process that exceeds its memory, and starts it again.

    Attributes:
        peak_mb: The most memory that the process has had, in 10**6 bytes.
        ends: How often it was killed.
    """

    def __init__(self, record: Record, gateway: Gateway, memory_mb: int) -> None:
        self._record = record
        self._gateway = gateway
        self._memory_mb = memory_mb
        self.peak_mb = 0.0
        self.ends = 0
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stops watching."""
        self._ended.set()
        self._thread.join(2)

    def _watch(self) -> None:
        shown_mb = 0.0
        while not self._ended.wait(0.02):
            size_mb = self._gateway.memory_mb
            self.peak_mb = max(self.peak_mb, size_mb)
            if size_mb > shown_mb + 20.0:
                shown_mb = size_mb
                self._record.add(f"platform: {self._gateway.node} has {size_mb:.0f} MB")
            if size_mb > self._memory_mb:
                self.ends += 1
                self._gateway.kill()
                self._record.add(
                    f"platform: {self._gateway.node} has {size_mb:.0f} MB, more than "
                    f"{self._memory_mb} MB, and is killed"
                )
                shown_mb = 0.0
                if not self._ended.wait(RESTART_S):
                    self._gateway.start()


@dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        per_s: Requests a second of all clients together.
        clients: Number of clients, each of which sends one request after the other.
    """

    name: str
    path: str
    body_bytes: int
    deadline_ms: int
    per_s: float
    clients: int


class KeptClients:
    """Clients that send requests of a kind on kept connections.

    Attributes:
        statuses: Number of answers by their status.
        unanswered: Requests on connections that had served another one before, and
            that were closed without an answer.
    """

    def __init__(self, record: Record, gateway: Gateway, kind: Kind) -> None:
        self._record = record
        self._gateway = gateway
        self._kind = kind
        self._ended = threading.Event()
        self._lock = threading.Lock()
        self._numbers = itertools.count()
        self.statuses: dict[int, int] = {}
        self.unanswered: list[str] = []
        self._threads = [
            threading.Thread(target=self._run, args=(number / kind.per_s,), daemon=True)
            for number in range(kind.clients)
        ]
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Ends them after their present requests."""
        self._ended.set()
        for thread in self._threads:
            thread.join(8)

    def _run(self, first_s: float) -> None:
        interval_s = self._kind.clients / self._kind.per_s
        next_s = time.monotonic() + first_s
        connection: http.client.HTTPConnection | None = None
        is_kept = False
        while not self._ended.wait(max(0.0, next_s - time.monotonic())):
            next_s = max(next_s + interval_s, time.monotonic())
            if connection is None:
                connection = http.client.HTTPConnection(
                    "127.0.0.1", self._gateway.front, timeout=6
                )
                is_kept = False
            request = f"{self._kind.name}-{next(self._numbers)}"
            try:
                status = self._ask(connection, request)
            except (OSError, http.client.HTTPException) as error:
                connection.close()
                connection = None
                word = "kept" if is_kept else "new"
                self._record.add(f"client: {request}, {word} connection: {error!r}")
                if is_kept:
                    with self._lock:
                        self.unanswered.append(request)
                continue
            is_kept = connection.sock is not None
            self._record.add(f"client: {request}: {status}")
            with self._lock:
                self.statuses[status] = self.statuses.get(status, 0) + 1

    def _ask(self, connection: http.client.HTTPConnection, request: str) -> int:
        headers = {
            "Host": HOST,
            "Lavendertide-Request-Id": request,
            "Lavendertide-Deadline-Ms": str(self._kind.deadline_ms),
        }
        body = b"b" * self._kind.body_bytes
        method = "POST" if body else "GET"
        connection.request(method, self._kind.path, body or None, headers)
        response = connection.getresponse()
        response.read()
        if response.will_close:
            connection.close()
        return response.status


def ask(
    record: Record, gateway: Gateway, request: str, deadline_ms: int = 3_000
) -> tuple[int, bytes]:
    """Sends one request on a new connection; returns the status and the body."""
    connection = http.client.HTTPConnection("127.0.0.1", gateway.front, timeout=5)
    try:
        connection.request(
            "GET",
            "/lookup/1",
            headers={
                "Host": HOST,
                "Lavendertide-Request-Id": request,
                "Lavendertide-Deadline-Ms": str(deadline_ms),
            },
        )
        response = connection.getresponse()
        status, body = response.status, response.read()
    except (OSError, http.client.HTTPException) as error:
        status, body = 0, repr(error).encode()
    finally:
        connection.close()
    record.add(f"client: {request} to {gateway.node}: {status} {body[:60]!r}")
    return status, body


def wait_until(is_true: Callable[[], bool], timeout_s: float, what: str) -> None:
    """Waits for a condition.

    Raises:
        CannotRun: It did not hold in time.
    """
    until_s = time.monotonic() + timeout_s
    while not is_true():
        if time.monotonic() > until_s:
            raise CannotRun(what)
        time.sleep(0.02)


def _raise_stopped(*_: object) -> NoReturn:
    # The process may be told more than once, and has to end what it started.
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    raise CannotRun("stopped from outside")


def play(folder: Path, case: Callable[[Record, Path, bool, list[Any]], bool]) -> int:
    """Plays a case; returns the exit code of its script.

    Args:
        folder: Folder of the case, for its record.
        case: Gets the record, a temporary folder, whether to disrupt, and a list to
            which it adds all that has to be stopped. Returns whether the rule held.
    """
    record = Record(folder)
    started: list[Any] = []
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = Path(tempfile.mkdtemp())
    code = 2
    signal.signal(signal.SIGTERM, _raise_stopped)
    try:
        record.add(f"case {folder.name}, {'with' if with_trouble else 'no'} trouble")
        code = 0 if case(record, temporary, with_trouble, started) else BROKEN
    except CannotRun as error:
        record.add(f"the case could not run: {error}")
    except Exception as error:
        record.add(f"the case could not run: {error!r}")
        traceback.print_exc()
    finally:
        for each in reversed(started):
            getattr(each, "stop" if isinstance(each, Gateway) else "close")()
        record.add(
            {0: "the rule held", BROKEN: "the rule was broken"}.get(code, "no result")
        )
        record.close()
        if os.environ.get("KEEP"):
            print(temporary, file=sys.stderr)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    return code


def end(code: int) -> NoReturn:
    """Ends this process at once, with the threads of its stand-ins."""
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
