"""Short questions of the platform and of callers: is it ready, which hosts to use."""

import socket
from typing import Final, Protocol

from lavendertide.encodings.http_callers import ServerConnection
from lavendertide.encodings.http_messages import BadRequest, HttpRequest, HttpResponse
from lavendertide.fleet.addresses import AddressBook
from lavendertide.fleet.readiness import Readiness, ReadinessState
from lavendertide.ids import CallerKey, FailureDomain, Region
from lavendertide.runtime import clock

HEADER_MAX_BYTES: Final = 16_384
# The platform asks once a second, so a connection is idle for a second at a time.
IDLE_TIMEOUT_S: Final = 15.0
IO_TIMEOUT_S: Final = 3.0


class ReadinessAsked:
    """Asks whether this host takes requests."""


class MetricsAsked:
    """Asks for the metrics."""


class AddressesAsked:
    """Asks which hosts a caller should use.

    Args:
        name: The host name for which the caller has requests.
        region: Where the caller is.
        failure_domain: Where the caller is.
    """

    def __init__(
        self, name: str, region: Region, failure_domain: FailureDomain
    ) -> None:
        self.name = name
        self.region = region
        self.failure_domain = failure_domain


Question = ReadinessAsked | MetricsAsked | AddressesAsked


class EntryCodec(Protocol):
    """Translates these questions, as `lavendertide.platform` implements it."""

    def decode(self, request: HttpRequest) -> Question | BadRequest:
        """Returns what is asked."""

    def encode_ready(self, is_ready: bool) -> HttpResponse:
        """Returns the response to whether the host takes requests."""

    def encode_addresses(
        self, addresses: tuple[str, ...], lifetime_s: float
    ) -> HttpResponse:
        """Returns the response that names hosts."""

    def encode_text(self, text: bytes) -> HttpResponse:
        """Returns a response of plain text."""

    def encode_bad(self, bad: BadRequest) -> HttpResponse:
        """Returns the response to what is no proper question."""


class MetricsRenderer(Protocol):
    """Writes all metrics of the process."""

    def __call__(self) -> bytes:
        """Returns them as text."""


class EntryFront:
    """Serves the connections on which these questions come."""

    def __init__(
        self,
        codec: EntryCodec,
        readiness: Readiness,
        address_book: AddressBook,
        render_metrics: MetricsRenderer,
    ) -> None:
        self._codec = codec
        self._readiness = readiness
        self._address_book = address_book
        self._render_metrics = render_metrics

    def serve(self, accepted: socket.socket) -> None:
        """Serves one connection until it ends."""
        connection = ServerConnection(accepted, HEADER_MAX_BYTES)
        while (
            read := connection.read_request(IDLE_TIMEOUT_S, IO_TIMEOUT_S, 0)
        ) is not None:
            response = self._respond(read)
            is_last = isinstance(read, BadRequest)
            is_written = connection.write(response, is_last, IO_TIMEOUT_S)
            if is_last or not is_written or not connection.is_reusable:
                return

    def _respond(self, read: HttpRequest | BadRequest) -> HttpResponse:
        request = self._codec.decode(read) if isinstance(read, HttpRequest) else read
        now_s = clock.monotonic_s()
        match request:
            case ReadinessAsked():
                is_ready = self._readiness.state is ReadinessState.SERVING
                return self._codec.encode_ready(is_ready)
            case AddressesAsked():
                answer = self._address_book.answer(
                    CallerKey(request.name),
                    request.region,
                    request.failure_domain,
                    now_s,
                )
                return self._codec.encode_addresses(answer.addresses, answer.lifetime_s)
            case MetricsAsked():
                return self._codec.encode_text(self._render_metrics())
            case BadRequest():
                return self._codec.encode_bad(request)
