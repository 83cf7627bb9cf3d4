"""Codec of requests for readiness, host addresses, metrics and reports."""

import json
from urllib.parse import parse_qs, urlsplit

from lavendertide.encodings.gateway_documents import (
    EXPLAIN_PATH,
    HOST_PARAMETER,
    PATH_PARAMETER,
    STATUS_PATH,
)
from lavendertide.encodings.http_messages import BadRequest, HttpRequest, HttpResponse
from lavendertide.gateway.entry_front import (
    AddressesRequest,
    EntryRequest,
    ExplanationRequest,
    MetricsRequest,
    ReadinessRequest,
    StatusRequest,
)
from lavendertide.ids import FailureDomain, Region
from lavendertide.platform.caller_codec import PlatformCallerCodec
from lavendertide.platform.names import ADDRESSES_PATH, METRICS_PATH, READY_PATH

CALLERS = PlatformCallerCodec()
JSON_TYPE = (b"Content-Type", b"application/json")
TEXT_TYPE = (b"Content-Type", b"text/plain; version=0.0.4")


class PlatformEntryCodec:
    """Converts between HTTP messages and the gateway's entry requests."""

    def decode(self, request: HttpRequest) -> EntryRequest | BadRequest:
        """Returns the decoded request."""
        url = urlsplit(request.target)
        match request.method, url.path:
            case "GET", str(path) if path == READY_PATH:
                return ReadinessRequest()
            case "GET", str(path) if path == METRICS_PATH:
                return MetricsRequest()
            case "GET", str(path) if path == ADDRESSES_PATH:
                query = parse_qs(url.query)
                return AddressesRequest(
                    # The host name in callers' requests, not the name of a machine.
                    _first_value(query, "name"),
                    Region(_first_value(query, "region")),
                    FailureDomain(_first_value(query, "zone")),
                )
            case "GET", str(path) if path == STATUS_PATH:
                return StatusRequest()
            case "GET", str(path) if path == EXPLAIN_PATH:
                return _decode_explanation(parse_qs(url.query))
            case _:
                return BadRequest(404)

    def encode_ready(self, is_ready: bool) -> HttpResponse:
        """Returns the response with the readiness: status 200 or 503."""
        return HttpResponse(200 if is_ready else 503, (), b"")

    def encode_addresses(
        self, addresses: tuple[str, ...], lifetime_s: float
    ) -> HttpResponse:
        """Returns the response with hosts' addresses and their lifetime."""
        body = json.dumps({"addrs": addresses, "ttl_s": lifetime_s}).encode()
        return HttpResponse(200, (JSON_TYPE,), body)

    def encode_text(self, text: bytes) -> HttpResponse:
        """Returns a response with plain text."""
        return HttpResponse(200, (TEXT_TYPE,), text)

    def encode_document(self, document: bytes) -> HttpResponse:
        """Returns a response with a JSON document."""
        return HttpResponse(200, (JSON_TYPE,), document)

    def encode_bad_request(self, bad: BadRequest) -> HttpResponse:
        """Returns the response to an unknown request."""
        return HttpResponse(bad.status, (), b"")


def _decode_explanation(
    query: dict[str, list[str]],
) -> ExplanationRequest | BadRequest:
    """Returns the request to explain, as a caller would send it without a body."""
    host = _first_value(query, HOST_PARAMETER)
    path = _first_value(query, PATH_PARAMETER)
    if not host or not (host + path).isascii():
        return BadRequest(400)
    headers = ((b"host", host.encode()),)
    request = CALLERS.decode(HttpRequest("GET", path, headers, b""), 0.0)
    return (
        ExplanationRequest(request) if not isinstance(request, BadRequest) else request
    )


def _first_value(query: dict[str, list[str]], name: str) -> str:
    return query.get(name, [""])[0]
