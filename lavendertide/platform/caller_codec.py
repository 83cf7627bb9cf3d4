"""Codec of callers' requests and the responses to them."""

import hashlib
import math
from typing import Final

from lavendertide.encodings.http_messages import (
    BadRequest,
    Header,
    HttpRequest,
    HttpResponse,
    forwarded_headers,
    render_head,
)
from lavendertide.forwarding.messages import (
    Abandoned,
    CallerRequest,
    Failed,
    Gathered,
    Passed,
    RefusalCause,
    Refused,
    Response,
    Unroutable,
)
from lavendertide.ids import CallerRequestId, Fingerprint
from lavendertide.platform.names import (
    DEADLINE_MS,
    EXPECTED_TARGET,
    MISSING_SHARDS,
    PART_SIGNATURES,
    REQUEST_ID,
    RETRY_AFTER,
)

FINGERPRINT_BYTES: Final = 8
# This host sets these headers on requests to targets, so a caller's are not forwarded.
HEADERS_SET_HERE: Final = frozenset({DEADLINE_MS, EXPECTED_TARGET})
TEXT_TYPE: Final = (b"Content-Type", b"text/plain")


class PlatformCallerCodec:
    """Converts between HTTP messages and the forwarder's requests and responses."""

    def decode(self, request: HttpRequest, now_s: float) -> CallerRequest | BadRequest:
        """Returns the request that a caller has sent.

        Args:
            request: The HTTP request.
            now_s: Present time, monotonic.
        """
        host = request.header(b"host")
        name = request.header(REQUEST_ID)
        if host is None or not request.target.startswith("/"):
            return BadRequest(400)
        if request.method == "CONNECT":
            return BadRequest(501)
        timeout_s = _caller_timeout_s(request)
        return CallerRequest(
            request=CallerRequestId((name or b"").decode("latin-1")),
            method=request.method,
            host=host.decode("latin-1"),
            path=request.target,
            head=render_head(
                request.method,
                request.target,
                forwarded_headers(request.headers, HEADERS_SET_HERE),
            ),
            body=request.body,
            gives_up_at_s=None if timeout_s is None else now_s + timeout_s,
            arrived_at_s=now_s,
            fingerprint=_fingerprint(request, host),
        )

    def encode(self, request: CallerRequest, response: Response) -> HttpResponse:
        """Returns the HTTP response for the forwarder's response."""
        match response:
            case Passed(reply):
                headers = tuple(forwarded_headers(reply.headers, frozenset()))
                return HttpResponse(reply.status, headers, reply.body, reply.held)
            case Gathered(signatures, missing, body):
                parts = ", ".join(signatures).encode("latin-1")
                headers = (
                    (b"Content-Type", b"application/octet-stream"),
                    (PART_SIGNATURES, parts),
                    (MISSING_SHARDS, b"%d" % missing),
                )
                return HttpResponse(200, headers, body)
            case Refused(cause, retry_after_s):
                return _encode_refused(cause, retry_after_s)
            case Unroutable():
                return HttpResponse(404, (TEXT_TYPE,), b"no route takes this request\n")
            case Failed(cause, is_timeout):
                status = 504 if is_timeout else 502
                return HttpResponse(status, (TEXT_TYPE,), cause.value.encode() + b"\n")
            case Abandoned():
                return HttpResponse(499, (), b"")

    def encode_bad_request(self, bad: BadRequest) -> HttpResponse:
        """Returns the HTTP response to a malformed request.

        One that this host had no memory for has the status of a refusal.
        """
        text = b"out_of_memory\n" if bad.status == 503 else b"malformed request\n"
        return HttpResponse(bad.status, (TEXT_TYPE,), text)

    def encode_failure(self, may_have_run: bool) -> HttpResponse:
        """Returns the HTTP response to a request that an exception has ended.

        Args:
            may_have_run: Whether a target may have run the request.
        """
        if not may_have_run:
            return _encode_refused(RefusalCause.INTERNAL_ERROR, None)
        return HttpResponse(502, (TEXT_TYPE,), b"internal_error\n")


def _encode_refused(cause: RefusalCause, retry_after_s: float | None) -> HttpResponse:
    headers: list[Header] = [TEXT_TYPE]
    if retry_after_s is not None:
        headers.append((RETRY_AFTER, f"{retry_after_s:.3f}".encode()))
    return HttpResponse(503, tuple(headers), cause.value.encode() + b"\n")


def _caller_timeout_s(request: HttpRequest) -> float | None:
    """Returns how long the caller waits; none without a readable header."""
    value = request.header(DEADLINE_MS)
    try:
        timeout_ms = float(value) if value is not None else math.nan
    except ValueError:
        return None
    return timeout_ms / 1_000 if math.isfinite(timeout_ms) else None


def _fingerprint(request: HttpRequest, host: bytes) -> Fingerprint:
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (request.method.encode(), host, request.target.encode("latin-1")):
        digest.update(part + b"\n")
    digest.update(request.body)
    return Fingerprint(digest.hexdigest())
