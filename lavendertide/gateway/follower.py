"""Keeps the routes and the registered targets in step with the platform.

The follower reads everything once and then polls for changes. It pauses shortly after
each read so that changes arrive in batches and a rolling replacement takes few calls.
While the platform is unreachable, the state that was read last stays in force.
"""

import logging
import random
from collections.abc import Iterable
from typing import Final

from returns.result import Failure, Success

from lavendertide.errors import Refusal, outdated
from lavendertide.evacuation.evacuated_domains import EvacuatedDomains
from lavendertide.gateway.publications import (
    EvacuationPublished,
    HistoryLost,
    PlatformReader,
    Publication,
    PublicationBatch,
    RoutesPublished,
    TargetPublished,
    TargetWithdrawn,
)
from lavendertide.ids import StoreEra, TargetId
from lavendertide.registry.history import RegistryHistory
from lavendertide.registry.record import TargetRecord
from lavendertide.registry.registry import TargetRegistry
from lavendertide.restoration.position import Position, position_fields
from lavendertide.restoration.restorations import Continuity, Restorations
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.routes.replication import RouteReplication
from lavendertide.runtime import clock, tasks
from lavendertide.warmup.cold_targets import ColdTargets

# Pause after a read, so that further changes share the next one. The platform allows
# seconds until a change is in force, which is far longer.
BATCH_DELAY_S: Final = 0.2
# Longest pause after a failed read; the pause is drawn between half of it and all of
# it. A host that has read nothing yet can't serve, so it retries sooner.
RETRY_S: Final = 0.5
RETRY_UNINITIALIZED_S: Final = 0.2
PEER_REMEDY: Final = "Check that the platform's store can be read."
OUTDATED_REMEDY: Final = (
    "Check which store responds; restart the hosts if it was set up anew."
)

_log = logging.getLogger(__name__)


class Follower:
    """Keeps the routes and the target registry of one host up to date."""

    def __init__(
        self,
        reader: PlatformReader,
        active_routes: ActiveRoutes,
        route_replication: RouteReplication,
        registry: TargetRegistry,
        evacuated: EvacuatedDomains,
        now_s: float,
        cold: ColdTargets | None = None,
    ) -> None:
        self._cold = cold or ColdTargets()
        self._reader = reader
        self._evacuated = evacuated
        self._active_routes = active_routes
        self._route_replication = route_replication
        self._registry = registry
        self._position: Position | None = None
        # Set while the changes since `_position` can't be read.
        self._must_read_all = True
        self._restorations = Restorations()
        self._answered_at_s = now_s
        self._is_platform_lost = False
        self._history = RegistryHistory()
        self._has_changed = tasks.Signal()
        self._platform_was_read = tasks.Signal()

    @property
    def history(self) -> RegistryHistory:
        """The latest changes, for the hosts that read from this one."""
        return self._history

    @property
    def restorations(self) -> Restorations:
        """The eras of the store that this host has seen."""
        return self._restorations

    @property
    def knows_targets(self) -> bool:
        """Whether the targets were read, from the platform or from a peer."""
        return self._position is not None

    @property
    def is_platform_lost(self) -> bool:
        """Whether the last read failed."""
        return self._is_platform_lost

    def wait_for_changes(self, timeout_s: float) -> None:
        """Waits at most `timeout_s` until a change is read or the platform is lost."""
        self._has_changed.wait(timeout_s)

    def wait_for_platform_read(self) -> None:
        """Waits until everything has been read from the platform itself."""
        self._platform_was_read.wait()

    @property
    def answered_at_s(self) -> float:
        """Monotonic time of the platform's last answer; at first, of the start."""
        return self._answered_at_s

    def run(self) -> None:
        """Reads until the process ends."""
        while True:
            is_answered = self.read()
            now_s = clock.monotonic_s()
            self._registry.expire(now_s)
            self._evacuated.expire(now_s)
            if is_answered:
                tasks.sleep(BATCH_DELAY_S)
            else:
                is_initialized = self._position is not None
                longest_s = RETRY_S if is_initialized else RETRY_UNINITIALIZED_S
                tasks.sleep(random.uniform(longest_s / 2, longest_s))

    def read(self) -> bool:
        """Reads once and applies the result; returns whether the read succeeded."""
        position = self._position
        if position is None or self._must_read_all:
            return self._read_all()
        result = self._reader.read_changes(position)
        now_s = clock.monotonic_s()
        match result:
            case Success(HistoryLost(era)):
                return self._read_all_after_loss(era, position, now_s)
            case Success(PublicationBatch(is_complete=True) as batch):
                return self._adopt_complete(batch, now_s)
            case Success(PublicationBatch(publications, position) as batch):
                self._record_answer(now_s)
                self._apply_evacuations(batch, now_s)
                self._apply(publications, now_s)
                self._record_changes(publications, position)
                return True
            case Failure(refusal):
                self._record_failure(refusal, now_s)
        return False

    def _read_all(self) -> bool:
        result = self._reader.read_all()
        now_s = clock.monotonic_s()
        match result:
            case Success(batch):
                return self._adopt_complete(batch, now_s)
            case Failure(refusal):
                self._record_failure(refusal, now_s)
        return False

    def _read_all_after_loss(
        self, era: StoreEra, position: Position, now_s: float
    ) -> bool:
        """Reads everything, as the changes since a position can't be read."""
        match self._restorations.record(era):
            case Continuity.OUTDATED:
                self._record_failure(self._describe_outdated(era), now_s)
                return False
            case Continuity.CONTINUED:
                _log.info(
                    "platform history lost; reading everything",
                    extra=position_fields(position),
                )
                self._record_answer(now_s)
            case Continuity.RESTORED:
                # The answer may be an error.
                pass
        self._must_read_all = True
        return self._read_all()

    def _adopt_complete(self, batch: PublicationBatch, now_s: float) -> bool:
        """Applies a batch of everything; returns whether it is not outdated."""
        era = batch.position.era
        if self._restorations.record(era) is Continuity.OUTDATED:
            self._record_failure(self._describe_outdated(era), now_s)
            return False
        known = self._position
        if batch.is_from_peer and known is not None and batch.position < known:
            refusal = outdated("a peer", "it has read less far", PEER_REMEDY)
            self._record_failure(refusal, now_s)
            return False
        if not batch.is_from_peer:
            self._record_answer(now_s)
        is_restored = known is not None and era != known.era
        if is_restored:
            self._registry.record_restoration(now_s)
        self._apply_evacuations(batch, now_s)
        self._apply_all(batch.publications, is_restored, now_s)
        self._history.reset(batch.position)
        self._must_read_all = False
        self._record_position(batch.position)
        if not batch.is_from_peer:
            self._platform_was_read.set()
        return True

    def _describe_outdated(self, era: StoreEra) -> Refusal:
        problem = f"it is of era {era}, and era {self._restorations.era} is known"
        return outdated("the platform's store", problem, OUTDATED_REMEDY)

    def _apply_evacuations(self, batch: PublicationBatch, now_s: float) -> None:
        """Applies a complete list, before targets of its domains become usable."""
        if batch.evacuations is not None:
            self._evacuated.apply_complete(batch.evacuations, batch.position, now_s)

    def _apply_all(
        self, publications: Iterable[Publication], is_restored: bool, now_s: float
    ) -> None:
        """Applies a complete list of publications; unlisted targets are removed.

        Args:
            publications: All publications.
            is_restored: Whether this is the first list since the store was restored.
            now_s: Present time, monotonic.
        """
        records: list[TargetRecord] = []
        for publication in publications:
            match publication:
                case TargetPublished(record):
                    records.append(record)
                case _:
                    self._apply((publication,), now_s)
        if is_restored:
            self._cold.record_restored(records, now_s)
        else:
            self._cold.record_complete(records, now_s)
        self._registry.replace(records, now_s)

    def _apply(self, publications: Iterable[Publication], now_s: float) -> None:
        """Applies publications in order, and runs of target entries together."""
        records: list[TargetRecord] = []
        for publication in publications:
            match publication:
                case RoutesPublished(table):
                    self._active_routes.adopt(table, "platform", now_s)
                case EvacuationPublished(state):
                    self._evacuated.apply((state,), now_s)
                case TargetPublished(record):
                    self._cold.record_published((record,), now_s)
                    records.append(record)
                case TargetWithdrawn(target):
                    self._registry.put(*records)
                    records.clear()
                    self._cold.record_withdrawn(target)
                    self._registry.remove(target, now_s)
        self._registry.put(*records)

    def _record_changes(
        self, publications: tuple[Publication, ...], position: Position
    ) -> None:
        changes: list[tuple[TargetId, TargetRecord | None]] = []
        for publication in publications:
            match publication:
                case TargetPublished(record):
                    changes.append((record.target, record))
                case TargetWithdrawn(target):
                    changes.append((target, None))
        self._history.append(changes, position)
        if position != self._position or changes:
            self._record_position(position)

    def _record_position(self, position: Position) -> None:
        self._position = position
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        """Wakes the waiting tasks; the next wait needs a new signal."""
        changed, self._has_changed = self._has_changed, tasks.Signal()
        changed.set()

    def _record_answer(self, now_s: float) -> None:
        if self._is_platform_lost:
            _log.info(
                "platform regained",
                extra={"silence_s": round(now_s - self._answered_at_s, 3)},
            )
            self._registry.record_platform_return(now_s)
        self._is_platform_lost = False
        self._answered_at_s = now_s
        self._route_replication.record_confirmed(now_s)

    def _record_failure(self, refusal: Refusal, now_s: float) -> None:
        if self._is_platform_lost:
            return
        self._is_platform_lost = True
        self._notify_waiters()
        _log.warning(
            "platform lost",
            extra={
                "problem": str(refusal),
                "answered_ago_s": round(now_s - self._answered_at_s, 3),
            },
        )
