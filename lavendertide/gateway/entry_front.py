"""Short questions of the platform and of callers: is it ready, which hosts to use."""

import socket
from typing import Final, Protocol

from lavendertide.encodings.http_messages import BadRequest, HttpRequest, HttpResponse
from lavendertide.encodings.http_server_connection import ServerConnection
from lavendertide.fleet.addresses import AddressBook
from lavendertide.fleet.readiness import Readiness, ReadinessState
from lavendertide.ids import CallerKey, FailureDomain, Region
from lavendertide.runtime import clock

HEADER_MAX_BYTES: Final = 16_384
# The platform asks once a second, so a connection is idle for a second at a time.
IDLE_S: Final = 15.0
READ_S: Final = 3.0


class ReadinessRequest:
    """Asks whether this host takes requests."""


class MetricsRequest:
    """Asks for the metrics."""


class AddressesRequest:
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


EntryRequest = ReadinessRequest | MetricsRequest | AddressesRequest


class EntryCodec(Protocol):
    """Translates these questions, as `lavendertide.platform` implements it."""

    def decode(self, request: HttpRequest) -> EntryRequest | BadRequest:
        """Returns what is asked."""

    def encode_ready(self, is_ready: bool) -> HttpResponse:
        """Returns the response to whether the host takes requests."""

    def encode_addresses(
        self, addresses: tuple[str, ...], lifetime_s: float
    ) -> HttpResponse:
        """Returns the response that names hosts."""

    def encode_text(self, text: bytes) -> HttpResponse:
        """Returns a response of plain text."""

    def encode_bad_request(self, bad: BadRequest) -> HttpResponse:
        """Returns the response to what is no proper question."""


class MetricsText(Protocol):
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
        metrics_text: MetricsText,
    ) -> None:
        self._codec = codec
        self._readiness = readiness
        self._address_book = address_book
        self._metrics_text = metrics_text

    def serve(self, accepted: socket.socket) -> None:
        """Serves one connection until it ends."""
        connection = ServerConnection(accepted, HEADER_MAX_BYTES)
        while (read := connection.read_request(IDLE_S, READ_S, 0)) is not None:
            response = self._answer(read)
            is_last = isinstance(read, BadRequest)
            is_written = connection.write(response, is_last, READ_S)
            if is_last or not is_written or not connection.is_reusable:
                return

    def _answer(self, read: HttpRequest | BadRequest) -> HttpResponse:
        asked = self._codec.decode(read) if isinstance(read, HttpRequest) else read
        now_s = clock.monotonic_s()
        match asked:
            case ReadinessRequest():
                is_ready = self._readiness.state is ReadinessState.SERVING
                return self._codec.encode_ready(is_ready)
            case AddressesRequest():
                answer = self._address_book.addresses_for(
                    CallerKey(asked.name), asked.region, asked.failure_domain, now_s
                )
                return self._codec.encode_addresses(answer.addresses, answer.lifetime_s)
            case MetricsRequest():
                return self._codec.encode_text(self._metrics_text())
            case BadRequest():
                return self._codec.encode_bad_request(asked)
