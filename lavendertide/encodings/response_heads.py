"""The head of a response to a caller, as `h11` writes it."""

from http import HTTPStatus

import h11

from lavendertide.encodings.http_messages import HttpResponse


def render_response_head(response: HttpResponse, is_last: bool) -> h11.Response:
    """Returns the head of a response.

    Raises:
        h11.LocalProtocolError: A header or the status is not valid in HTTP.
    """
    headers = list(response.headers)
    headers.append((b"Content-Length", b"%d" % len(response.body)))
    if is_last:
        headers.append((b"Connection", b"close"))
    return h11.Response(
        status_code=response.status,
        headers=headers,
        reason=_reason_phrase(response.status),
    )


def _reason_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode("ascii")
    except ValueError:
        return b"Unknown"
