"""Backends of many shards in one process, for the scripts of the second review."""

import asyncio
import threading
import time
from collections import Counter
from typing import Any

from stand_ins_2 import Record

READ_BYTES = 65_536
SLOW_READ_BYTES = 16_384


class ShardBackend:
    """One backend of a shard; it answers with one record."""

    def __init__(self, name: str, service: str, number: int, slots: int) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.address = ""
        self._record_bytes = b"%016d" % number
        self._born = int(time.time() * 1_000)

    @property
    def key(self) -> str:
        """The key of its entry in the store."""
        return f"servers/{self.name}"

    def entry(self) -> dict[str, Any]:
        """Returns the entry with which it registers."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold-left-ms": 0,
            "call-seq": 1,
            "born": self._born,
        }

    def answer(self, request: str, expected: str) -> bytes:
        """Runs a request, unless it is meant for another backend."""
        if expected != self.name:
            return _render(421, {"Lavendertide-Not-Executed": "1"}, request, b"")
        stamp = {"Lavendertide-Server-Stamp": f"{self.name}.{request}"}
        return _render(200, stamp, request, self._record_bytes)


class ShardBackends:
    """Serves all backends of all shards.

    Attributes:
        received: How many backends the head of each request has reached.
        ran: How many have run it.
        bytes_per_s: How fast they read; none if at once.
    """

    def __init__(
        self, record: Record, shards: int, copies: int, slots: int, work_s: float
    ) -> None:
        self._record = record
        self._work_s = work_s
        self.received: Counter[str] = Counter()
        self.ran: Counter[str] = Counter()
        self.bytes_per_s: float | None = None
        self.services = [f"shard-{shard}" for shard in range(shards)]
        self.backends = [
            ShardBackend(f"{service}-{copy}", service, shard, slots)
            for shard, service in enumerate(self.services)
            for copy in range(copies)
        ]
        self._started = threading.Event()
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._run, daemon=True).start()
        self._started.wait()

    def close(self) -> None:
        """Ends all servers."""
        self._loop.call_soon_threadsafe(self._loop.stop)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._start())
        self._started.set()
        self._loop.run_forever()

    async def _start(self) -> None:
        self._servers = []
        for backend in self.backends:
            server = await asyncio.start_server(
                self._handler_of(backend), "127.0.0.1", 0, limit=READ_BYTES
            )
            self._servers.append(server)
            port = server.sockets[0].getsockname()[1]
            backend.address = f"127.0.0.1:{port}"

    def _handler_of(self, backend: ShardBackend) -> Any:
        slots = asyncio.Semaphore(backend.slots)

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                while True:
                    headers = await _read_head(reader)
                    request = headers.get("lavendertide-request-id", "")
                    self.received[request] += 1
                    await self._read_body(reader, headers)
                    async with slots:
                        await asyncio.sleep(self._work_s)
                    expected = headers.get("lavendertide-expect-instance", backend.name)
                    self.ran[request] += expected == backend.name
                    writer.write(backend.answer(request, expected))
                    await writer.drain()
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        return handle

    async def _read_body(
        self, reader: asyncio.StreamReader, headers: dict[str, str]
    ) -> None:
        """Reads a body and drops it."""
        left = int(headers.get("content-length", 0))
        while left:
            rate = self.bytes_per_s
            most = READ_BYTES if rate is None else SLOW_READ_BYTES
            data = await reader.read(min(left, most))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(data)
            if rate is not None:
                await asyncio.sleep(len(data) / rate)


async def _read_head(reader: asyncio.StreamReader) -> dict[str, str]:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")[1:]
    pairs = (line.partition(": ") for line in lines if line)
    return {name.lower(): value for name, _, value in pairs}


def _render(status: int, headers: dict[str, str], request: str, body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} -", f"Lavendertide-Request-Id: {request}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body
