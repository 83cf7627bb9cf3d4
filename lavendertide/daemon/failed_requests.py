"""Records whole requests that an unexpected exception has ended."""

import logging
import uuid
from typing import Final

from prometheus_client import Counter

from lavendertide.errors import Refusal, internal_error
from lavendertide.ids import FailureId

FAILED_REQUESTS: Final = Counter(
    "lavendertide_failed_requests",
    "Requests of callers, operators and peers that an unexpected exception has ended.",
)

_log = logging.getLogger(__name__)


def record_failure(path: str) -> Refusal:
    """Counts and logs the exception that is being handled; returns its description.

    Args:
        path: The path of the request, or its kind if it came from a peer.
    """
    failure = FailureId(uuid.uuid4().hex)
    FAILED_REQUESTS.inc()
    _log.exception("request failed", extra={"failure": failure, "path": path})
    return internal_error(failure)
