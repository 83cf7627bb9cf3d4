"""Task that watches the configuration service.

The service can only be read. A watch call waits there until a version above the one in
force is published. After an error, or a reply without a new version, the next call is
delayed by a random time, so that the daemons of a fleet do not call all at once.
"""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from returns.result import Failure, Result, Success

from lavendertide.configuration.adoption import Adoption, Configuration
from lavendertide.errors import Refusal
from lavendertide.ids import NO_VERSION, ConfigurationVersion
from lavendertide.runtime import clock, tasks

WATCH_TIMEOUT_S: Final = 20.0
ROLE_CHECK_MIN_S: Final = 0.5
ROLE_CHECK_MAX_S: Final = 1.0
RETRY_MIN_S: Final = 0.5
RETRY_MAX_S: Final = 2.0
UNCHANGED_RETRY_MIN_S: Final = 1.0
UNCHANGED_RETRY_MAX_S: Final = 4.0
REREAD_INTERVAL_S: Final = 600.0

_log = logging.getLogger(__name__)


class ConfigurationReader(Protocol):
    """Client of the configuration service."""

    def watch(
        self, known: ConfigurationVersion, wait_s: float
    ) -> Result[bytes | None, Refusal]:
        """Waits until a version above the known one is published.

        Returns:
            The text of the publication, none if none came within the wait.
        """


@dataclass(frozen=True, slots=True)
class ServiceContact:
    """State of this daemon's connection to the configuration service.

    Attributes:
        is_watching: Whether this daemon watches the service now. Few daemons do.
        reads: Number of calls since the start.
        last_reply_at_s: Monotonic time of the last reply, none before the first.
        problem: Why the last call failed, none if it succeeded.
    """

    is_watching: bool = False
    reads: int = 0
    last_reply_at_s: float | None = None
    problem: str | None = None


class ServiceWatch:
    """Watches the service while this daemon is a watcher.

    Args:
        reader: Client of the service.
        configuration: Adopts the publications that are read.
        has_role: Returns whether this daemon is a watcher at a given time.
        on_adopted: Called after a publication has been adopted.
    """

    def __init__(
        self,
        reader: ConfigurationReader,
        configuration: Configuration,
        has_role: Callable[[float], bool],
        on_adopted: Callable[[], None],
    ) -> None:
        self._reader = reader
        self._configuration = configuration
        self._has_role = has_role
        self._on_adopted = on_adopted
        self._is_watching = False
        self._reads = 0
        self._last_reply_at_s: float | None = None
        self._problem: str | None = None
        self._skipped_version = NO_VERSION
        self._reread_at_s = 0.0

    @property
    def contact(self) -> ServiceContact:
        """State of the connection to the service."""
        return ServiceContact(
            self._is_watching, self._reads, self._last_reply_at_s, self._problem
        )

    def run(self) -> None:
        """Watches until the process ends, except while this daemon is no watcher."""
        while True:
            now_s = clock.monotonic_s()
            self._is_watching = self._has_role(now_s)
            if not self._is_watching:
                tasks.sleep(random.uniform(ROLE_CHECK_MIN_S, ROLE_CHECK_MAX_S))
                continue
            tasks.sleep(self._watch_once(now_s))

    def _watch_once(self, now_s: float) -> float:
        """Makes one call; returns the seconds until the next."""
        self._reads += 1
        known = self._version_to_exceed(now_s)
        # After a failure the call does not wait, so that a recovery shows at once.
        wait_s = WATCH_TIMEOUT_S if self._problem is None else 0.0
        result = self._reader.watch(known, wait_s)
        replied_at_s = clock.monotonic_s()
        match result:
            case Success(text):
                self._record_reply(replied_at_s)
                if self._handle_reply(text, known, replied_at_s - now_s):
                    return 0.0
                return random.uniform(UNCHANGED_RETRY_MIN_S, UNCHANGED_RETRY_MAX_S)
            case Failure(refusal):
                self._record_problem(refusal)
        return random.uniform(RETRY_MIN_S, RETRY_MAX_S)

    def _version_to_exceed(self, now_s: float) -> ConfigurationVersion:
        """Returns the version above which the next call waits.

        The version in force is read again once `WATCH_TIMEOUT_S` after its adoption and
        then every `REREAD_INTERVAL_S`, because another publication may have the same
        version. A refused version is skipped.
        """
        version = self._configuration.version
        if self._skipped_version > version:
            return self._skipped_version
        if version > NO_VERSION and now_s >= self._reread_due_s():
            self._reread_at_s = now_s
            return ConfigurationVersion(version - 1)
        return version

    def _reread_due_s(self) -> float:
        adopted_at_s = self._configuration.adopted_at_s
        if self._reread_at_s < adopted_at_s:
            return adopted_at_s + WATCH_TIMEOUT_S
        return self._reread_at_s + REREAD_INTERVAL_S

    def _handle_reply(
        self, text: bytes | None, known: ConfigurationVersion, waited_s: float
    ) -> bool:
        """Adopts a reply; returns whether the next call may follow at once."""
        if text is None:
            self._skipped_version = NO_VERSION
            return waited_s >= RETRY_MIN_S
        now_s = clock.monotonic_s()
        if self._configuration.adopt_text(text, now_s) is Adoption.ADOPTED:
            self._on_adopted()
            return True
        refused = self._configuration.refused
        if refused is not None:
            self._skipped_version = refused.notice.stamp.version
        return known < self._configuration.version

    def _record_reply(self, now_s: float) -> None:
        if self._problem is not None:
            _log.info("configuration service answers again")
        self._problem = None
        self._last_reply_at_s = now_s

    def _record_problem(self, refusal: Refusal) -> None:
        if self._problem is None:
            _log.warning("configuration service lost: %s", refusal)
        self._problem = refusal.message
