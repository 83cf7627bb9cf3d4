"""Reloads the settings of a running gateway on SIGHUP, and by polling the file."""

import logging
from collections.abc import Callable
from dataclasses import fields
from typing import Final

from returns.result import Failure, Result, Success

from lavendertide.gateway.options import GatewayOptions
from lavendertide.runtime import tasks

# Interval between two reads of the settings file.
POLL_INTERVAL_S: Final = 1.0

_log = logging.getLogger(__name__)


class SettingsReloader:
    """Keeps the settings of a running gateway up to date.

    Args:
        options: The settings at the start.
        read: Reads the settings again; fails with a message that names the remedy.
        apply: Called with the settings when they have changed.
    """

    def __init__(
        self,
        options: GatewayOptions,
        read: Callable[[], Result[GatewayOptions, str]],
        apply: Callable[[GatewayOptions], None],
    ) -> None:
        self._options = options
        self._read = read
        self._apply = apply
        self._problem: str | None = None

    def run(self) -> None:
        """Polls the settings until the process ends."""
        while True:
            tasks.sleep(POLL_INTERVAL_S)
            self.reload()

    def reload(self) -> None:
        """Reads the settings once and applies them if they have changed.

        Settings that can't be read are logged once for each problem, and the previous
        settings stay in force.
        """
        match self._read():
            case Success(options):
                self._problem = None
                self._apply_changes(options)
            case Failure(problem):
                if problem != self._problem:
                    _log.warning("settings refused", extra={"problem": problem})
                self._problem = problem

    def _apply_changes(self, options: GatewayOptions) -> None:
        changed = [
            field.name
            for field in fields(GatewayOptions)
            if getattr(options, field.name) != getattr(self._options, field.name)
        ]
        if not changed:
            return
        _log.info("settings reloaded", extra={"changed": changed})
        self._options = options
        self._apply(options)
