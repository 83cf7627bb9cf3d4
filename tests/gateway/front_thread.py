"""Serves callers in a thread with an event loop of its own.

The test itself uses ordinary sockets, which would block the loop in its own thread.
"""

import threading
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
from lavendertide.runtime import clock, sockets, tasks
from tests.forwarding.scripted_targets import ScriptedForwarder

STOP_POLL_S: Final = 0.01
START_TIMEOUT_S: Final = 10.0
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
        self._started = threading.Event()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self) -> "FrontThread":
        self._thread.start()
        if not self._started.wait(START_TIMEOUT_S):
            raise AssertionError("the front did not start")
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
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
        self.port = listener.getsockname()[1]
        tasks.spawn(sockets.accept_forever, listener, front.serve, CONNECTIONS_MAX)
        self._started.set()
        while not self._stopped.is_set():
            tasks.sleep(STOP_POLL_S)
        sockets.close_listener(listener)
