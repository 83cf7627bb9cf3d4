"""Client of the reports that a gateway serves on its metrics address."""

from typing import Any, Final
from urllib.parse import urlencode

import urllib3
from returns.result import Failure, Result

from lavendertide.encodings import gateway_documents
from lavendertide.encodings.checked_replies import checked_pool_manager
from lavendertide.errors import Refusal, unreachable

TIMEOUT_S: Final = 3.0
STATUS_OK: Final = 200
UNREACHABLE_REMEDY: Final = (
    "Check that the gateway runs and that this is its metrics address (port 9464)."
)


class GatewayClient:
    """Reads the reports of one gateway.

    Args:
        address: The gateway's metrics address.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._http = checked_pool_manager()

    def explain(self, host: str, path: str) -> Result[dict[str, Any], Refusal]:
        """Returns the document that explains where a request would be sent now.

        Args:
            host: Host name of the request.
            path: Path and query of the request.
        """
        query = urlencode(
            {
                gateway_documents.HOST_PARAMETER: host,
                gateway_documents.PATH_PARAMETER: path,
            }
        )
        return self._get(f"{gateway_documents.EXPLAIN_PATH}?{query}")

    def _get(self, path: str) -> Result[dict[str, Any], Refusal]:
        try:
            response = self._http.request(
                "GET", f"http://{self._address}{path}", timeout=TIMEOUT_S
            )
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            problem = type(error).__name__
            return Failure(unreachable(self._address, problem, UNREACHABLE_REMEDY))
        if response.status != STATUS_OK:
            problem = f"status {response.status}"
            return Failure(unreachable(self._address, problem, UNREACHABLE_REMEDY))
        return gateway_documents.decode(response.data)
