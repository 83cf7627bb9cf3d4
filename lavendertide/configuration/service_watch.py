"""The task that watches the configuration service.

The service can only be read. A watch waits there until a version above the one in
force is published; after an error the next try comes later and at random, so that a
fleet does not come back all at once.
"""

import logging
import random
from collections.abc import Callable
from typing import Final, Protocol

from returns.result import Failure, Result, Success

from lavendertide.configuration.adoption import Configuration
from lavendertide.errors import Refusal
from lavendertide.ids import ConfigurationVersion
from lavendertide.runtime import clock, tasks

WATCH_S: Final = 20.0
RETRY_MIN_S: Final = 0.5
RETRY_MAX_S: Final = 2.0

_log = logging.getLogger(__name__)


class ConfigurationReader(Protocol):
    """Reads the configuration service."""

    def watch(
        self, known: ConfigurationVersion, wait_s: float
    ) -> Result[bytes | None, Refusal]:
        """Waits for a version above the known one; none if there was none."""


def watch_service(
    reader: ConfigurationReader,
    configuration: Configuration,
    is_watcher: Callable[[], bool],
    on_adopted: Callable[[], None],
) -> None:
    """Watches for as long as the daemon lives."""
    reachable = True
    while True:
        if not is_watcher():
            tasks.sleep(RETRY_MIN_S)
            continue
        match reader.watch(configuration.version, WATCH_S):
            case Success(text):
                reachable = True
                if text and configuration.offer(text, clock.monotonic_s()):
                    on_adopted()
            case Failure(refusal):
                if reachable:
                    _log.warning("configuration service lost: %s", refusal)
                reachable = False
                tasks.sleep(random.uniform(RETRY_MIN_S, RETRY_MAX_S))
