"""The task that watches the configuration service.

The service can only be read. A watch waits there until a version above the one in
force is published; after an error, or an answer that brought nothing new, the next try
comes later and at random, so that a fleet does not come back all at once.
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

WATCH_S: Final = 20.0
ROLE_CHECK_MIN_S: Final = 0.5
ROLE_CHECK_MAX_S: Final = 1.0
RETRY_MIN_S: Final = 0.5
RETRY_MAX_S: Final = 2.0
USELESS_MIN_S: Final = 1.0
USELESS_MAX_S: Final = 4.0
REREAD_S: Final = 600.0

_log = logging.getLogger(__name__)


class ConfigurationReader(Protocol):
    """Reads the configuration service."""

    def watch(
        self, known: ConfigurationVersion, wait_s: float
    ) -> Result[bytes | None, Refusal]:
        """Waits for a version above the known one; none if there was none."""


@dataclass(frozen=True, slots=True)
class ServiceContact:
    """How this daemon stands with the configuration service.

    Attributes:
        is_watching: Whether it watches now; few daemons do.
        reads: Calls since the start.
        answered_at_s: When the service last answered, monotonic; none for never.
        problem: Why the last call failed, if it did.
    """

    is_watching: bool = False
    reads: int = 0
    answered_at_s: float | None = None
    problem: str | None = None


class ServiceWatch:
    """Watches the service while this daemon has the role.

    Args:
        reader: The service.
        configuration: What is in force here.
        has_role: Whether the daemon is a watcher at a time.
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
        self._answered_at_s: float | None = None
        self._problem: str | None = None
        self._skipped = NO_VERSION
        self._reread_at_s = 0.0

    @property
    def contact(self) -> ServiceContact:
        """How this daemon stands with the service."""
        return ServiceContact(
            self._is_watching, self._reads, self._answered_at_s, self._problem
        )

    def run(self) -> None:
        """Watches for as long as the daemon lives."""
        while True:
            now_s = clock.monotonic_s()
            self._is_watching = self._has_role(now_s)
            if not self._is_watching:
                tasks.sleep(random.uniform(ROLE_CHECK_MIN_S, ROLE_CHECK_MAX_S))
                continue
            tasks.sleep(self._watch_once(now_s))

    def _watch_once(self, now_s: float) -> float:
        """Makes one call; returns the time until the next, in seconds."""
        self._reads += 1
        known = self._known(now_s)
        # After a failure the answer is wanted at once, so that its end is seen.
        wait_s = WATCH_S if self._problem is None else 0.0
        result = self._reader.watch(known, wait_s)
        answered_at_s = clock.monotonic_s()
        match result:
            case Success(text):
                self._note_answer(answered_at_s)
                if self._take(text, known, answered_at_s - now_s):
                    return 0.0
                return random.uniform(USELESS_MIN_S, USELESS_MAX_S)
            case Failure(refusal):
                self._note_problem(refusal)
        return random.uniform(RETRY_MIN_S, RETRY_MAX_S)

    def _known(self, now_s: float) -> ConfigurationVersion:
        """Returns the version above which the next call waits.

        Now and then the version in force is read again, since another one may have
        been published under the same number.
        """
        version = self._configuration.version
        if self._skipped > version:
            return self._skipped
        if version > NO_VERSION and now_s >= self._reread_due_s():
            self._reread_at_s = now_s
            return ConfigurationVersion(version - 1)
        return version

    def _reread_due_s(self) -> float:
        adopted_at_s = self._configuration.adopted_at_s
        if self._reread_at_s < adopted_at_s:
            return adopted_at_s + WATCH_S
        return self._reread_at_s + REREAD_S

    def _take(
        self, text: bytes | None, known: ConfigurationVersion, waited_s: float
    ) -> bool:
        """Takes in an answer; returns whether the next call may follow at once."""
        if text is None:
            self._skipped = NO_VERSION
            return waited_s >= RETRY_MIN_S
        now_s = clock.monotonic_s()
        if self._configuration.adopt_text(text, now_s) is Adoption.ADOPTED:
            self._on_adopted()
            return True
        refused = self._configuration.refused
        if refused is not None:
            self._skipped = refused.notice.stamp.version
        return known < self._configuration.version

    def _note_answer(self, now_s: float) -> None:
        if self._problem is not None:
            _log.info("configuration service answers again")
        self._problem = None
        self._answered_at_s = now_s

    def _note_problem(self, refusal: Refusal) -> None:
        if self._problem is None:
            _log.warning("configuration service lost: %s", refusal)
        self._problem = refusal.message
