"""Callers that read slowly or not at all, and targets with long answers."""

import contextlib
import json
import socket
import threading
import time
from pathlib import Path
from typing import Any, Final

from standins.platform_store import PlainTarget, _Handler

# The smallest that Linux grants is about twice this, so that a caller's system takes
# little of an answer that the caller doesn't read.
RECEIVE_BUFFER_BYTES: Final = 2_048
CONNECT_TIMEOUT_S: Final = 5.0
# Columns of /proc/net/tcp: the local address, and both queues of a connection.
LOCAL_COLUMN: Final = 1
REMOTE_COLUMN: Final = 2
QUEUES_COLUMN: Final = 4


class LongAnswerTarget(PlainTarget):
    """A target whose successful answers have a body of some length.

    Args:
        name: The target's id and signature.
        service: The service that the target belongs to.
        body_bytes: Length of each body.
    """

    def __init__(self, name: str, service: str, body_bytes: int) -> None:
        self._body = b"." * body_bytes
        super().__init__(name, service)

    def _handle(self, handler: _Handler) -> None:
        request = handler.headers["Lavendertide-Request-Id"]
        self.executed_requests.append(request)
        handler.reply(
            200,
            self._body,
            Lavendertide_Request_Id=request,
            Lavendertide_Server_Stamp=self.name,
        )


class CallerCrowd:
    """Connections of callers to one port, all closed at the end of a `with` block.

    Args:
        port: The port on the loopback address.
        request: What each caller sends; nothing if it is empty.
        pace_s: Pause after each caller's start, so that their requests don't compete.
    """

    def __init__(self, port: int, request: bytes, pace_s: float) -> None:
        self._port = port
        self._request = request
        self._pace_s = pace_s
        self._sockets: list[socket.socket] = []
        self._ended = threading.Event()

    def __enter__(self) -> "CallerCrowd":
        return self

    def __exit__(self, *_: object) -> None:
        self._ended.set()
        for each in self._sockets:
            each.close()

    def join(self, callers: int) -> None:
        """Adds callers, which send their requests at once and read nothing.

        A caller that the other side turns away is not replaced.
        """
        for _ in range(callers):
            with contextlib.suppress(OSError):
                self._join()
            time.sleep(self._pace_s)

    def read_now_and_then(self, bytes_max: int, interval_s: float) -> None:
        """Has each caller read a few bytes in each interval until the block ends."""
        threading.Thread(
            target=self._read, args=(bytes_max, interval_s), daemon=True
        ).start()

    def send_now_and_then(self, data: bytes, interval_s: float) -> None:
        """Has each caller send data in each interval until the block ends."""
        threading.Thread(
            target=self._send, args=(data, interval_s), daemon=True
        ).start()

    def _join(self) -> None:
        connection = socket.socket()
        self._sockets.append(connection)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.settimeout(CONNECT_TIMEOUT_S)
        connection.connect(("127.0.0.1", self._port))
        connection.setblocking(False)
        if self._request:
            # What the other side doesn't take at once is left out.
            connection.send(self._request)

    def _send(self, data: bytes, interval_s: float) -> None:
        while not self._ended.wait(interval_s):
            for each in list(self._sockets):
                with contextlib.suppress(OSError):
                    each.send(data)

    def _read(self, bytes_max: int, interval_s: float) -> None:
        while not self._ended.wait(interval_s):
            for each in list(self._sockets):
                with contextlib.suppress(OSError):
                    each.recv(bytes_max)


def send_without_end(port: int, start: bytes, piece: bytes, bytes_max: int) -> int:
    """Sends a piece again and again; returns the bytes that the other side took.

    Args:
        port: A port on the loopback address.
        start: What is sent first.
        piece: What is sent repeatedly.
        bytes_max: Bytes after which it ends.
    """
    sent = 0
    caller = socket.create_connection(("127.0.0.1", port), CONNECT_TIMEOUT_S)
    with caller, contextlib.suppress(OSError):
        caller.sendall(start)
        while sent < bytes_max:
            caller.sendall(piece)
            sent += len(piece)
    return sent


def get_request(path: str) -> bytes:
    """Returns a request for a path of the stand-ins' host."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: shop.example\r\n"
        "Lavendertide-Request-Id: slow\r\nLavendertide-Deadline-Ms: 60000\r\n\r\n"
    ).encode()


def search_request(key: str, document: dict[str, Any]) -> bytes:
    """Returns a request for a search at a daemon.

    Args:
        key: The caller's key.
        document: The search, as the callers' API spells it.
    """
    body = json.dumps(document)
    return (
        f"POST /v1/search HTTP/1.1\r\nHost: daemon\r\nX-Caller-Key: {key}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def open_files(pid: int) -> int:
    """Returns the number of descriptors that a process has open."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    (line,) = (each for each in status.splitlines() if each.startswith("VmRSS"))
    return int(line.split()[1]) * 1_024


def send_queue_bytes(port: int) -> int:
    """Returns what the connections of a listening port have sent and not got through.

    The system's own overhead for it is not counted.
    """
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return sum(
        int(row[QUEUES_COLUMN].partition(":")[0], 16)
        for row in rows
        if int(row[LOCAL_COLUMN].rpartition(":")[2], 16) == port
    )


def queue_bytes(ports: frozenset[int], remote_ports: frozenset[int]) -> int:
    """Returns what the system holds in both queues of a process's connections.

    The system's own overhead for it is not counted.

    Args:
        ports: Ports on which the process listens.
        remote_ports: Ports to which it connects.
    """
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return sum(
        sum(int(queue, 16) for queue in row[QUEUES_COLUMN].split(":"))
        for row in rows
        if int(row[LOCAL_COLUMN].rpartition(":")[2], 16) in ports
        or int(row[REMOTE_COLUMN].rpartition(":")[2], 16) in remote_ports
    )


class Footprint:
    """Samples what a process holds until it is stopped, and keeps the greatest.

    Args:
        pid: The process.
        port: The port of its callers, whose send queues count as its memory.
        other_ports: Further ports on which it listens, for which both queues count.
        remote_ports: Ports to which it connects, for which both queues count.

    Attributes:
        memory_bytes: The greatest sum of resident memory and send queues.
        files: The greatest number of open descriptors.
    """

    def __init__(
        self,
        pid: int,
        port: int,
        other_ports: frozenset[int] = frozenset(),
        remote_ports: frozenset[int] = frozenset(),
    ) -> None:
        self._other_ports = other_ports
        self._remote_ports = remote_ports
        self.memory_bytes = 0
        self.files = 0
        self._pid = pid
        self._port = port
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._sample, daemon=True)

    def __enter__(self) -> "Footprint":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._ended.set()
        self._thread.join()

    def _sample(self) -> None:
        # A process that has ended has no files in /proc; the test sees its end itself.
        with contextlib.suppress(OSError, ValueError):
            while not self._ended.wait(0.05):
                held = resident_bytes(self._pid) + send_queue_bytes(self._port)
                if self._other_ports or self._remote_ports:
                    held += queue_bytes(self._other_ports, self._remote_ports)
                self.memory_bytes = max(self.memory_bytes, held)
                self.files = max(self.files, open_files(self._pid))
