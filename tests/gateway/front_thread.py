"""Serves callers in a thread with an event loop of its own."""

from types import TracebackType
from typing import Final

from prometheus_client import CollectorRegistry

from lavendertide.daemon.in_flight import InFlightCounter
from lavendertide.fleet.readiness import Readiness
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.gateway.caller_front import CallerFront
from lavendertide.gateway.request_ledger import RequestLedger
from lavendertide.ids import Address
from lavendertide.platform.caller_codec import PlatformCallerCodec
from lavendertide.routes.table import RouteTable
from lavendertide.runtime import clock, sockets, tasks
from tests.forwarding.scripted_targets import ScriptedForwarder
from tests.runtime.loop_thread import LoopThread

CONNECTIONS_MAX: Final = 100


class FrontThread:
    """Runs a front whose targets are scripted, while the context is open.

    Attributes:
        scripted: The targets and the table in force.
        ledger: The account of the requests.
        codec: The codec of callers' requests.
        port: The port on which callers connect.
    """

    def __init__(self, scripted: ScriptedForwarder) -> None:
        self.scripted = scripted
        self.ledger = RequestLedger()
        self.codec = PlatformCallerCodec()
        self.port = 0
        self._loop = LoopThread()

    def __enter__(self) -> "FrontThread":
        self._loop.__enter__()
        self.port = self._loop.call(self._serve)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._loop.__exit__(kind, error, trace)

    def stall(self, duration_s: float) -> None:
        """Keeps the process busy, as the adoption of a large table does."""
        self._loop.stall(duration_s)

    def adopt(self, table: RouteTable) -> None:
        """Puts a table in force."""
        routes = self.scripted.active_routes
        self._loop.call(lambda: routes.adopt(table, "test", clock.monotonic_s()))

    def _serve(self) -> int:
        readiness = Readiness(1_000.0, clock.monotonic_s())
        readiness.finish_refresh(True, clock.monotonic_s())
        front = CallerFront(
            self.codec,
            self.scripted.forwarder,
            self.scripted.active_routes,
            readiness,
            InFlightCounter(),
            ForwardingMetrics(CollectorRegistry()),
            ledger=self.ledger,
        )
        listener = sockets.listen(Address("127.0.0.1:0"))
        tasks.spawn(sockets.accept_forever, listener, front.serve, CONNECTIONS_MAX)
        port: int = listener.getsockname()[1]
        return port
