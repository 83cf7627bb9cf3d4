"""The head of a response to a caller, as `h11` writes it."""

from http import HTTPStatus
from typing import Final

import h11

from lavendertide.encodings.http_messages import HttpResponse
from lavendertide.encodings.http_replies import NO_BODY_STATUSES

# Statuses of a final response; `h11` writes all others of three digits as well.
FINAL_STATUSES: Final = range(200, 600)


def render_response_head(response: HttpResponse, is_last: bool) -> h11.Response:
    """Returns the head of a response.

    Raises:
        h11.LocalProtocolError: A header or the status is not valid in HTTP.
    """
    if response.status not in FINAL_STATUSES:
        raise h11.LocalProtocolError(f"invalid status {response.status}")
    headers = list(response.headers)
    if response.status not in NO_BODY_STATUSES:
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
