"""Replicates the route table between hosts.

A host that can't read the platform thus receives the routes from a peer. Heartbeats
carry the version in force; a host that receives a higher version pulls its table from
the sender.
"""

import itertools
import logging
from collections.abc import Callable
from typing import Final

from lavendertide.ids import ConfigurationDigest, ConfigurationVersion, DaemonId
from lavendertide.messages import (
    ConfigurationFrame,
    ConfigurationOffer,
    ConfigurationPull,
    ConfigurationPush,
    ConfigurationStamp,
)
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.routes.table import RouteTable

# Time without a reply after which a pull is sent again.
PULL_AGAIN_S: Final = 1.0

_log = logging.getLogger(__name__)


class RouteReplication:
    """Exchanges the route table of this host with its peers.

    Args:
        active_routes: Holds the table in force.
        encode: Encodes a table as bytes.
        decode: Decodes a table; raises `ValueError` if the bytes are invalid.
        now_s: Present time, monotonic.
    """

    def __init__(
        self,
        active_routes: ActiveRoutes,
        encode: Callable[[RouteTable], bytes],
        decode: Callable[[bytes], RouteTable],
        now_s: float,
    ) -> None:
        self._active_routes = active_routes
        self._encode = encode
        self._decode = decode
        self._round_numbers = itertools.count(1)
        self._last_pull: tuple[ConfigurationVersion, float] | None = None
        self._confirmed_at_s: float | None = None
        self._refreshed_at_s = now_s

    def handle(
        self, frame: ConfigurationFrame, sender: DaemonId, now_s: float
    ) -> ConfigurationFrame | None:
        """Handles a frame of a peer; returns the reply, if there is one."""
        match frame:
            case ConfigurationPull(known, round_number):
                return self._reply_to_pull(known, round_number)
            case ConfigurationPush(lists=data):
                self._adopt(data, sender, now_s)
            case ConfigurationOffer(stamp=stamp):
                return self.handle_version(stamp.version, now_s)
        return None

    def handle_version(
        self, version: ConfigurationVersion, now_s: float
    ) -> ConfigurationPull | None:
        """Handles the version that a peer has in force.

        Returns:
            A pull request for the peer if its version is higher and no pull of that
            version is pending; none otherwise.
        """
        if version <= self._active_routes.version:
            self.record_confirmed(now_s)
            return None
        if self._last_pull is not None:
            pulled_version, pulled_at_s = self._last_pull
            if pulled_version >= version and now_s - pulled_at_s < PULL_AGAIN_S:
                return None
        self._last_pull = version, now_s
        return ConfigurationPull(
            _stamp(self._active_routes.version), next(self._round_numbers)
        )

    def needs_refresh(self, now_s: float) -> bool:
        """Returns whether the version is unconfirmed since the last refresh."""
        confirmed_at_s = self._confirmed_at_s
        return confirmed_at_s is None or confirmed_at_s < self._refreshed_at_s

    def refresh(self, now_s: float) -> None:
        """Requires a new confirmation of the version."""
        self._refreshed_at_s = now_s

    def record_confirmed(self, now_s: float) -> None:
        """Records that a peer or the platform has no higher version."""
        self._confirmed_at_s = now_s

    def _reply_to_pull(
        self, known: ConfigurationStamp, round_number: int
    ) -> ConfigurationFrame | None:
        table = self._active_routes.table
        if table is None:
            return None
        stamp = _stamp(table.version)
        if known.version >= table.version:
            return ConfigurationOffer(round_number, stamp, True, None)
        return ConfigurationPush(stamp, self._encode(table))

    def _adopt(self, data: bytes, sender: DaemonId, now_s: float) -> None:
        try:
            table = self._decode(data)
        except ValueError as error:
            _log.warning(
                "invalid routes from a peer",
                extra={"peer": sender, "problem": str(error)},
            )
            return
        self._active_routes.adopt(table, f"peer {sender}", now_s)
        self.record_confirmed(now_s)


def _stamp(version: ConfigurationVersion) -> ConfigurationStamp:
    return ConfigurationStamp(version, ConfigurationDigest(b""))
