"""Serves readiness probes, scrapes of metrics, look-ups of addresses and reports."""

import logging
import socket
from dataclasses import dataclass
from typing import Final, Protocol

from lavendertide.encodings.http_messages import BadRequest, HttpRequest, HttpResponse
from lavendertide.encodings.http_server_connection import Arrival, ServerConnection
from lavendertide.fleet.addresses import AddressBook
from lavendertide.fleet.readiness import Readiness, ReadinessState
from lavendertide.forwarding.messages import CallerRequest
from lavendertide.gateway.host_reports import HostReports
from lavendertide.ids import CallerKey, FailureDomain, Region
from lavendertide.overload.caller_connections import Admission, CallerConnections
from lavendertide.routes.route import CallerLimits
from lavendertide.runtime import clock

IO_TIMEOUT_S: Final = 3.0
# The platform probes once a second, so a live connection is idle for about a second.
# Entry requests have no body.
LIMITS: Final = CallerLimits(16_384, 0, IO_TIMEOUT_S, 15.0)
FAILED_STATUS: Final = 500

_log = logging.getLogger(__name__)


class ReadinessRequest:
    """A readiness probe, which asks whether this host accepts requests."""


class MetricsRequest:
    """A scrape of the metrics of the process."""


class AddressesRequest:
    """A look-up of the addresses of the hosts that a caller should use.

    Args:
        name: The host name to which the caller's requests are addressed.
        region: Region of the caller.
        failure_domain: Failure domain of the caller.
    """

    def __init__(
        self, name: str, region: Region, failure_domain: FailureDomain
    ) -> None:
        self.name = name
        self.region = region
        self.failure_domain = failure_domain


class StatusRequest:
    """Asks for what is in force on this host."""


@dataclass(frozen=True, slots=True)
class ExplanationRequest:
    """Asks where a request would be sent now."""

    request: CallerRequest


# A request that is answered from this host's own state and not forwarded.
EntryRequest = (
    ReadinessRequest
    | MetricsRequest
    | AddressesRequest
    | StatusRequest
    | ExplanationRequest
)


class EntryCodec(Protocol):
    """Decodes entry requests and encodes their responses.

    `lavendertide.platform` implements it.
    """

    def decode(self, request: HttpRequest) -> EntryRequest | BadRequest:
        """Returns the decoded request."""

    def encode_ready(self, is_ready: bool) -> HttpResponse:
        """Returns the response to a readiness probe."""

    def encode_addresses(
        self, addresses: tuple[str, ...], lifetime_s: float
    ) -> HttpResponse:
        """Returns the response that lists host addresses.

        Args:
            addresses: In the order in which the caller should try them.
            lifetime_s: How long the caller may cache them.
        """

    def encode_text(self, text: bytes) -> HttpResponse:
        """Returns a plain-text response."""

    def encode_document(self, document: bytes) -> HttpResponse:
        """Returns the response with a JSON document."""

    def encode_bad_request(self, bad: BadRequest) -> HttpResponse:
        """Returns the response to a malformed request."""


class MetricsRenderer(Protocol):
    """Renders all metrics of the process."""

    def __call__(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""


class EntryFront:
    """Serves the connections on which entry requests arrive."""

    def __init__(
        self,
        codec: EntryCodec,
        readiness: Readiness,
        address_book: AddressBook,
        render_metrics: MetricsRenderer,
        reports: HostReports,
        connections: CallerConnections | None = None,
    ) -> None:
        self._codec = codec
        self._readiness = readiness
        self._address_book = address_book
        self._render_metrics = render_metrics
        self._reports = reports
        # An empty one is false.
        self._connections = CallerConnections() if connections is None else connections

    def serve(self, accepted: socket.socket) -> None:
        """Serves the requests of one connection until it closes."""
        connection = ServerConnection(accepted)
        if self._connections.add(connection) is Admission.REFUSED:
            return
        try:
            self._serve_requests(connection)
        finally:
            self._connections.remove(connection)

    def _serve_requests(self, connection: ServerConnection) -> None:
        while connection.wait_for_request(_find_limits) is Arrival.BEGUN:
            self._connections.mark_busy(connection)
            received = connection.read_request(_find_limits)
            if received is None:
                return
            response = self._find_response(received)
            is_last = isinstance(received, BadRequest)
            is_written = connection.write(response, is_last, IO_TIMEOUT_S)
            if is_last or not is_written or not connection.is_reusable:
                return
            self._connections.mark_idle(connection)

    def _find_response(self, received: HttpRequest | BadRequest) -> HttpResponse:
        """Returns the response to a request, also after an unexpected exception."""
        try:
            return self._respond(received)
        except Exception:
            _log.exception("entry request failed")
            return self._codec.encode_bad_request(BadRequest(FAILED_STATUS))

    def _respond(self, received: HttpRequest | BadRequest) -> HttpResponse:
        request = (
            self._codec.decode(received)
            if isinstance(received, HttpRequest)
            else received
        )
        now_s = clock.monotonic_s()
        match request:
            case ReadinessRequest():
                is_ready = self._readiness.state is ReadinessState.SERVING
                return self._codec.encode_ready(is_ready)
            case AddressesRequest():
                listing = self._address_book.addresses_for(
                    CallerKey(request.name),
                    request.region,
                    request.failure_domain,
                    now_s,
                )
                return self._codec.encode_addresses(
                    listing.addresses, listing.lifetime_s
                )
            case MetricsRequest():
                return self._codec.encode_text(self._render_metrics())
            case StatusRequest():
                return self._codec.encode_document(self._reports.describe(now_s))
            case ExplanationRequest(explained):
                document = self._reports.explain(explained, now_s)
                return self._codec.encode_document(document)
            case BadRequest():
                return self._codec.encode_bad_request(request)


def _find_limits() -> CallerLimits:
    """Returns the limits of entry requests, which never change."""
    return LIMITS
