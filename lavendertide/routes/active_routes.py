"""Holds the route table in force on this host."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from lavendertide.ids import NO_VERSION, ConfigurationVersion
from lavendertide.routes.table import RouteTable

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RoutesAge:
    """The version of the routes in force and their age.

    Attributes:
        version: Version of the routes; zero if there are none.
        age_s: Seconds since this host adopted them; zero if there are none.
    """

    version: ConfigurationVersion
    age_s: float


class ActiveRoutes:
    """Adopts tables of increasing versions; an older one never replaces a newer one."""

    def __init__(self) -> None:
        self._table: RouteTable | None = None
        self._adopted_at_s: float | None = None
        self._listeners: list[Callable[[RouteTable], None]] = []

    @property
    def table(self) -> RouteTable | None:
        """The table in force; none before the first one is adopted."""
        return self._table

    @property
    def version(self) -> ConfigurationVersion:
        """The version in force; zero if there is none."""
        return self._table.version if self._table is not None else NO_VERSION

    def age(self, now_s: float) -> RoutesAge:
        """Returns the version of the routes in force and their age."""
        adopted_at_s = self._adopted_at_s
        age_s = now_s - adopted_at_s if adopted_at_s is not None else 0.0
        return RoutesAge(self.version, age_s)

    def on_change(self, listener: Callable[[RouteTable], None]) -> None:
        """Adds a listener that is called after each adoption; it must not block."""
        self._listeners.append(listener)

    def adopt(self, table: RouteTable, source: str, now_s: float) -> bool:
        """Puts a table in force if its version is higher; returns whether it was.

        Args:
            table: The table.
            source: Sender of the table, for the log.
            now_s: Present time, monotonic.
        """
        if table.version <= self.version:
            return False
        _log.info(
            "routes adopted",
            extra={
                "version": table.version,
                "replaced_version": self.version,
                "replaced_age_s": round(self.age(now_s).age_s, 3),
                "routes": len(table.routes),
                "source": source,
            },
        )
        self._table = table
        self._adopted_at_s = now_s
        for listener in self._listeners:
            try:
                listener(table)
            except Exception:
                # The same version is never adopted again, so the others need it now.
                _log.exception("table not applied", extra={"version": table.version})
        return True
