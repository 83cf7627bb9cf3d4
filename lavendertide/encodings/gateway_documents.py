"""Paths of the reports of a gateway, and the decoding of their documents.

The documents are plain JSON, since a gateway loads no library that checks types. It is
apart from their encoding, so that the command line doesn't load the forwarder.
"""

import json
from typing import Any, Final

from returns.result import Failure, Result, Success

from lavendertide.encodings.refusal_json import unreadable_response
from lavendertide.errors import Refusal

EXPLAIN_PATH: Final = "/explain"
STATUS_PATH: Final = "/status"
# Parameters of the query of `EXPLAIN_PATH`.
HOST_PARAMETER: Final = "host"
PATH_PARAMETER: Final = "path"


def decode(data: bytes) -> Result[dict[str, Any], Refusal]:
    """Parses a document of a gateway."""
    try:
        document = json.loads(data)
    except (ValueError, RecursionError):
        return Failure(unreadable_response())
    if not isinstance(document, dict) or "gateway" not in document:
        return Failure(unreadable_response())
    return Success(document)
