"""Client of a daemon's administration API, for operators' tools."""

from typing import Final, TypeVar
from urllib.parse import quote

import urllib3
from returns.result import Failure, Result

from lavendertide.encodings import admin_json
from lavendertide.encodings.checked_replies import checked_pool_manager
from lavendertide.errors import Refusal, unreachable

TIMEOUT_S: Final = 3.0
STATUS_OK: Final = 200
UNREACHABLE_REMEDY: Final = (
    "Check that the daemon runs and that this is its addresses.admin."
)

D = TypeVar("D", bound=admin_json.Document)


class AdminClient:
    """Sends requests to one daemon's administration API.

    Args:
        address: The daemon's `addresses.admin`.
        key: An operator's or an owner's key; empty if the daemon requires none.
    """

    def __init__(self, address: str, key: str) -> None:
        self._address = address
        self._headers = {"Authorization": f"Bearer {key}"} if key else {}
        self._http = checked_pool_manager()

    def status(self) -> Result[admin_json.StatusDocument, Refusal]:
        """Returns the daemon's state and its view of the fleet."""
        return self._request(admin_json.StatusDocument, "GET", "/v1/status")

    def configuration(self) -> Result[admin_json.ConfigurationDocument, Refusal]:
        """Returns the active configuration and why a later one was refused."""
        return self._request(
            admin_json.ConfigurationDocument, "GET", "/v1/configuration"
        )

    def plans(self) -> Result[admin_json.PlansDocument, Refusal]:
        """Returns the names of the plans that the key may see."""
        return self._request(admin_json.PlansDocument, "GET", "/v1/plans")

    def plan(self, plan: str) -> Result[admin_json.PlanDocument, Refusal]:
        """Returns a plan's limits, entitlements, usage and shares."""
        path = f"/v1/plans/{quote(plan, safe='')}"
        return self._request(admin_json.PlanDocument, "GET", path)

    def failure_log(
        self, owner: str | None, entries: int
    ) -> Result[admin_json.FailureLogDocument, Refusal]:
        """Returns an owner's newest failures, `entries` at most."""
        path = f"/v1/books?entries={entries}"
        if owner:
            path += f"&owner={quote(owner, safe='')}"
        return self._request(admin_json.FailureLogDocument, "GET", path)

    def targets(self) -> Result[admin_json.TargetsDocument, Refusal]:
        """Returns the targets whose slots the daemon holds."""
        return self._request(admin_json.TargetsDocument, "GET", "/v1/targets")

    def drain(self) -> Result[admin_json.DrainDocument, Refusal]:
        """Starts the daemon's graceful shutdown."""
        return self._request(admin_json.DrainDocument, "POST", "/v1/drain")

    def _request(self, kind: type[D], method: str, path: str) -> Result[D, Refusal]:
        try:
            response = self._http.request(
                method,
                f"http://{self._address}{path}",
                headers=self._headers,
                timeout=TIMEOUT_S,
            )
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            problem = type(error).__name__
            return Failure(unreachable(self._address, problem, UNREACHABLE_REMEDY))
        if response.status != STATUS_OK:
            return Failure(admin_json.decode_refusal(response.data))
        return admin_json.decode(kind, response.data)
