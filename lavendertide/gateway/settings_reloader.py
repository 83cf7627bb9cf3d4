"""Takes in changed settings, on a signal or when the file has changed without one."""

import logging
from collections.abc import Callable
from dataclasses import fields
from typing import Final

from returns.result import Failure, Result, Success

from lavendertide.gateway.options import GatewayOptions
from lavendertide.runtime import tasks

# How often the file is looked at.
LOOK_S: Final = 1.0

_log = logging.getLogger(__name__)


class SettingsReloader:
    """Keeps the settings of a running gateway up to date.

    Args:
        options: The settings at the start.
        read: Reads the settings anew; fails with a message that names the remedy.
        apply: Takes in settings that have changed.
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
        """Looks at the settings for as long as the process lives."""
        while True:
            tasks.sleep(LOOK_S)
            self.reload()

    def reload(self) -> None:
        """Reads the settings and takes in what has changed; old ones stay if not."""
        match self._read():
            case Success(options):
                self._problem = None
                self._take(options)
            case Failure(problem):
                if problem != self._problem:
                    _log.warning("settings refused", extra={"problem": problem})
                self._problem = problem

    def _take(self, options: GatewayOptions) -> None:
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
