"""The administration API: facts about this daemon, and metrics."""

import json
from collections.abc import Callable, Iterable
from typing import Any

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from lavendertide.configuration.adoption import Configuration
from lavendertide.fleet.readiness import Readiness
from lavendertide.fleet.roster import SILENCE_S, Roster
from lavendertide.ids import DaemonId
from lavendertide.runtime import clock


class AdminFront:
    """The WSGI application that operators reach."""

    def __init__(
        self, roster: Roster, readiness: Readiness, configuration: Configuration
    ) -> None:
        self._roster = roster
        self._readiness = readiness
        self._configuration = configuration

    def __call__(
        self,
        environment: dict[str, Any],
        start_response: Callable[[str, list[tuple[str, str]]], Any],
    ) -> Iterable[bytes]:
        """Answers one request."""
        match environment["PATH_INFO"]:
            case "/metrics":
                start_response("200 OK", [("Content-Type", CONTENT_TYPE_LATEST)])
                return [generate_latest()]
            case "/v1/status":
                start_response("200 OK", [("Content-Type", "application/json")])
                return [self._status()]
            case _:
                start_response("404 Not Found", [("Content-Type", "text/plain")])
                return [b"There is no such path. See docs/PROTOCOLS.md.\n"]

    def _is_reachable(self, daemon: DaemonId) -> bool:
        now_s = clock.monotonic_s()
        return self._roster.is_reachable(daemon, SILENCE_S, now_s)

    def _status(self) -> bytes:
        refused = self._configuration.refused
        return json.dumps(
            {
                "daemon": self._roster.own.daemon,
                "readiness": self._readiness.state.value,
                "configuration": self._configuration.version,
                "refused": str(refused.refusal) if refused else None,
                "members": [
                    {
                        "daemon": member.daemon,
                        "state": member.state.value,
                        "reachable": self._is_reachable(member.daemon),
                    }
                    for member in self._roster.members
                ],
            }
        ).encode()
