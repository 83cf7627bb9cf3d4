"""Follows what the platform publishes: the routes, and the targets that register.

It reads everything once and then waits for changes. A short pause after each change
lets others gather, so that a rolling replacement takes few calls. While the platform is
away, what was last read stays in force.
"""

import logging
import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, Protocol

from returns.result import Failure, Result, Success

from lavendertide.errors import Refusal
from lavendertide.ids import TargetId
from lavendertide.registry.history import RegistryHistory
from lavendertide.registry.record import TargetRecord
from lavendertide.registry.registry import TargetRegistry
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.routes.replication import RouteReplication
from lavendertide.routes.table import RouteTable
from lavendertide.runtime import clock, tasks

# Pause after a change, in which further ones gather; far below the seconds within
# which the platform wants a change in force.
GATHER_S: Final = 0.2
# Pause after a read that failed, drawn between half of it and the whole. A host that
# knows nothing yet serves nobody, so it asks again sooner.
RETRY_S: Final = 0.5
RETRY_UNKNOWING_S: Final = 0.2

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RoutesPublished:
    """The newest routes."""

    table: RouteTable


@dataclass(frozen=True, slots=True)
class TargetPublished:
    """A target's newest entry."""

    record: TargetRecord


@dataclass(frozen=True, slots=True)
class TargetWithdrawn:
    """A target is not registered any more, or its entry names none that is usable."""

    target: TargetId


Publication = RoutesPublished | TargetPublished | TargetWithdrawn


@dataclass(frozen=True, slots=True)
class PublicationBatch:
    """What was read.

    Attributes:
        publications: In the order in which they were published.
        revision: From where to read on.
        is_second_hand: Whether a peer has told it that may itself be behind.
    """

    publications: tuple[Publication, ...]
    revision: int
    is_second_hand: bool = False


class HistoryLost:
    """The changes since a revision are not known any more; read everything."""


class PlatformReader(Protocol):
    """Reads the platform, as `lavendertide.platform` implements it."""

    def read_all(self) -> Result[PublicationBatch, Refusal]:
        """Returns everything that is published."""

    def read_changes(
        self, revision: int
    ) -> Result[PublicationBatch | HistoryLost, Refusal]:
        """Returns what has changed since a revision; waits a little if nothing has."""


class Follower:
    """Keeps the routes and the registry of one host up to date."""

    def __init__(
        self,
        reader: PlatformReader,
        book: ActiveRoutes,
        spreading: RouteReplication,
        registry: TargetRegistry,
        now_s: float,
    ) -> None:
        self._reader = reader
        self._book = book
        self._spreading = spreading
        self._registry = registry
        self._revision: int | None = None
        self._answered_at_s = now_s
        self._is_lost = False
        self._history = RegistryHistory()
        self._has_news = tasks.Signal()
        self._has_read_platform = tasks.Signal()

    @property
    def history(self) -> RegistryHistory:
        """The latest changes, for hosts that follow this one."""
        return self._history

    @property
    def has_read(self) -> bool:
        """Whether the targets are known, be it from a peer."""
        return self._revision is not None

    @property
    def is_lost(self) -> bool:
        """Whether the last read has failed."""
        return self._is_lost

    def wait_for_news(self, timeout_s: float) -> None:
        """Waits until something more was read, the platform is lost, or for a time."""
        self._has_news.wait(timeout_s)

    def wait_for_platform(self) -> None:
        """Waits until the platform itself has told everything that it publishes."""
        self._has_read_platform.wait()

    @property
    def answered_at_s(self) -> float:
        """When the platform last answered, monotonic; the start if it never has."""
        return self._answered_at_s

    def run(self) -> None:
        """Reads for as long as the process lives."""
        while True:
            is_answered = self.read()
            self._registry.expire(clock.monotonic_s())
            if is_answered:
                tasks.sleep(GATHER_S)
            else:
                knows = self._revision is not None
                longest_s = RETRY_S if knows else RETRY_UNKNOWING_S
                tasks.sleep(random.uniform(longest_s / 2, longest_s))

    def read(self) -> bool:
        """Reads once; returns whether the platform answered."""
        if self._revision is None:
            return self._read_all()
        result = self._reader.read_changes(self._revision)
        now_s = clock.monotonic_s()
        match result:
            case Success(HistoryLost()):
                _log.info(
                    "platform history lost; reading everything",
                    extra={"revision": self._revision},
                )
                self._note_answer(now_s)
                self._revision = None
                return self._read_all()
            case Success(PublicationBatch(publications, revision)):
                self._note_answer(now_s)
                self._apply(publications, now_s)
                self._note_changes(publications, revision)
                return True
            case Failure(refusal):
                self._note_failure(refusal, now_s)
        return False

    def _read_all(self) -> bool:
        result = self._reader.read_all()
        now_s = clock.monotonic_s()
        match result:
            case Success(reading):
                if not reading.is_second_hand:
                    self._note_answer(now_s)
                self._replace(reading.publications, now_s)
                self._history.begin(reading.revision)
                self._note_read(reading.revision)
                if not reading.is_second_hand:
                    self._has_read_platform.set()
                return True
            case Failure(refusal):
                self._note_failure(refusal, now_s)
        return False

    def _replace(self, publications: Iterable[Publication], now_s: float) -> None:
        """Takes in everything that is published."""
        records: list[TargetRecord] = []
        for publication in publications:
            match publication:
                case TargetPublished(record):
                    records.append(record)
                case _:
                    self._apply((publication,), now_s)
        self._registry.replace(records, now_s)

    def _apply(self, publications: Iterable[Publication], now_s: float) -> None:
        """Takes in publications in order; targets that follow each other at once."""
        records: list[TargetRecord] = []
        for publication in publications:
            match publication:
                case RoutesPublished(table):
                    self._book.adopt(table, "platform", now_s)
                case TargetPublished(record):
                    records.append(record)
                case TargetWithdrawn(target):
                    self._registry.put(*records)
                    records.clear()
                    self._registry.remove(target, now_s)
        self._registry.put(*records)

    def _note_changes(
        self, publications: tuple[Publication, ...], revision: int
    ) -> None:
        changes: list[tuple[TargetId, TargetRecord | None]] = []
        for publication in publications:
            match publication:
                case TargetPublished(record):
                    changes.append((record.target, record))
                case TargetWithdrawn(target):
                    changes.append((target, None))
        self._history.add(changes, revision)
        if revision != self._revision or changes:
            self._note_read(revision)

    def _note_read(self, revision: int) -> None:
        self._revision = revision
        self._wake_waiting()

    def _wake_waiting(self) -> None:
        news, self._has_news = self._has_news, tasks.Signal()
        news.set()

    def _note_answer(self, now_s: float) -> None:
        if self._is_lost:
            _log.info(
                "platform regained",
                extra={"silence_s": round(now_s - self._answered_at_s, 3)},
            )
            self._registry.note_return(now_s)
        self._is_lost = False
        self._answered_at_s = now_s
        self._spreading.record_confirmed(now_s)

    def _note_failure(self, refusal: Refusal, now_s: float) -> None:
        if self._is_lost:
            return
        self._is_lost = True
        self._wake_waiting()
        _log.warning(
            "platform lost",
            extra={
                "problem": str(refusal),
                "answered_ago_s": round(now_s - self._answered_at_s, 3),
            },
        )
