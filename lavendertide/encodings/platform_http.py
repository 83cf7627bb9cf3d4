"""HTTP clients of the platform's configuration and membership services.

Both services are only read. docs/PROTOCOLS.md describes the two protocols.
"""

import json
from typing import Final

import urllib3
from returns.result import Failure, Result, Success

from lavendertide.encodings.checked_replies import CheckedPool
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.ids import Address, ConfigurationVersion, HostId
from lavendertide.runtime.sockets import split_address

LISTS_PATH: Final = "/v1/lists"
HOSTS_PATH: Final = "/v1/hosts"
STATUS_OK: Final = 200
CONNECT_TIMEOUT_S: Final = 0.5
RESPONSE_MARGIN_S: Final = 2.0
# Raised for a document with fields missing, of another type or nested too deeply.
UNREADABLE: Final = (AttributeError, LookupError, RecursionError, TypeError, ValueError)


class HttpConfigurationReader:
    """Reads published lists from the configuration service by long polling."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._pool = _pool(address)

    def watch(
        self, known: ConfigurationVersion, wait_s: float
    ) -> Result[bytes | None, Refusal]:
        """Waits up to `wait_s` for a version above `known`.

        Returns the published text, none if no such version appears in this time.
        """
        path = f"{LISTS_PATH}?after={known}&wait_s={wait_s:g}"
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=wait_s + RESPONSE_MARGIN_S
        )
        try:
            response = self._pool.request("GET", path, timeout=timeout, retries=False)
        except urllib3.exceptions.HTTPError as error:
            return Failure(
                _service_unreachable("configuration service", self._address, error)
            )
        match response.status:
            case 200:
                return Success(response.data)
            case 204:
                return Success(None)
        problem = urllib3.exceptions.HTTPError(f"status {response.status}")
        return Failure(
            _service_unreachable("configuration service", self._address, problem)
        )


class HttpMembershipReader:
    """Reads the platform's membership list."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._pool = _pool(address)

    def read(self) -> Result[dict[HostId, str], Refusal]:
        """Returns the state (`live` or `leaving`) of each listed host."""
        try:
            response = self._pool.request(
                "GET",
                HOSTS_PATH,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=RESPONSE_MARGIN_S
                ),
                retries=False,
            )
            if response.status != STATUS_OK:
                raise urllib3.exceptions.HTTPError(f"status {response.status}")
            listed = json.loads(response.data)["hosts"]
            return Success({HostId(h["host"]): str(h["state"]) for h in listed})
        except (urllib3.exceptions.HTTPError, *UNREADABLE) as error:
            return Failure(
                _service_unreachable("membership list", self._address, error)
            )


def _pool(address: Address) -> urllib3.HTTPConnectionPool:
    host, port = split_address(address)
    return CheckedPool(host, port, maxsize=1, block=False)


def _service_unreachable(service: str, address: Address, error: Exception) -> Refusal:
    return Refusal(
        RefusalKind.UNREACHABLE,
        f"The {service} at {address} does not answer: {type(error).__name__}.",
        "Check that it runs and that `platform` in the settings has its address.",
        Fault.SYSTEM,
    )
