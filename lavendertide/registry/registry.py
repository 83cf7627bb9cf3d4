"""The registered targets of all services, as read last from the platform."""

import logging
from collections.abc import Callable, Iterable
from typing import Final

from lavendertide.evacuation.evacuated_domains import EvacuatedDomains, Evacuation
from lavendertide.ids import ServiceName, TargetId
from lavendertide.registry.announcements import Announcements
from lavendertide.registry.exclusion import Exclusion, ExclusionReason
from lavendertide.registry.record import TargetRecord, TargetRun, TargetState
from lavendertide.registry.restored_entries import RestoredEntries

# Time after a platform outage within which targets register again whose entries lapsed
# during it.
REREGISTRATION_S: Final = 2.0
# New targets that one log line names; the others are only counted.
LOGGED_NAMES_MAX: Final = 8

_log = logging.getLogger(__name__)


class TargetRegistry:
    """The targets by service; entries are kept while the platform is unreachable.

    Args:
        last_resort_s: How long after a target has announced that it is leaving it may
            still get requests that no other target can serve.
        evacuated: The failure domains whose targets get no requests.
    """

    def __init__(
        self, last_resort_s: float = 0.0, evacuated: EvacuatedDomains | None = None
    ) -> None:
        self._evacuated = evacuated or EvacuatedDomains()
        self._evacuated.on_change(self._apply_evacuation)
        self._announcements = Announcements(last_resort_s)
        self._restored = RestoredEntries()
        self._records: dict[TargetId, TargetRecord] = {}
        self._by_service: dict[ServiceName, tuple[TargetRecord, ...]] = {}
        self._missing_since_s: dict[TargetId, float] = {}
        self._platform_returned_at_s: float | None = None
        self._removal_listener: Callable[[TargetRecord], None] = lambda _: None
        self._closing_listener: Callable[[TargetRecord], None] = lambda _: None

    @property
    def targets(self) -> tuple[TargetRecord, ...]:
        """All targets, including draining ones."""
        return tuple(self._records.values())

    @property
    def listed_targets(self) -> tuple[TargetRecord, ...]:
        """All targets as the store lists them, also where that is not believed yet."""
        outdated = self._restored.outdated
        believed = (
            record
            for target, record in self._records.items()
            if target not in self._missing_since_s and target not in outdated
        )
        return (*believed, *outdated.values())

    def set_removal_listener(self, listener: Callable[[TargetRecord], None]) -> None:
        """Sets the function that is called with each run of a target that has ended."""
        self._removal_listener = listener

    def set_closing_listener(self, listener: Callable[[TargetRecord], None]) -> None:
        """Sets the function that is called with each run that wants no new requests.

        It is called when the run starts to drain or announces that it leaves or pauses.
        """
        self._closing_listener = listener

    def ready_targets(
        self, service: ServiceName, now_s: float
    ) -> tuple[TargetRecord, ...]:
        """Returns the targets of a service that accept new requests."""
        listed = self._listed_ready(service)
        # They are discarded by `expire`; the next call of it may be seconds away.
        if self._missing_since_s and not self._is_reregistration_period(now_s):
            listed = tuple(r for r in listed if r.target not in self._missing_since_s)
        return self._announcements.select_available(listed, now_s)

    def exclusion_of(self, record: TargetRecord, now_s: float) -> Exclusion | None:
        """Returns why a target gets no new requests; none if it gets them.

        A leaving target may still be the last resort of its service.
        """
        if record.state is not TargetState.READY:
            return Exclusion(ExclusionReason.DRAINING)
        if self._evacuated.is_evacuated(record.failure_domain):
            return Exclusion(ExclusionReason.EVACUATED)
        is_missing = record.target in self._missing_since_s
        if is_missing and not self._is_reregistration_period(now_s):
            return Exclusion(ExclusionReason.LAPSED)
        pause_end_s = self._announcements.pause_end_s(record.run, now_s)
        if pause_end_s is not None:
            return Exclusion(ExclusionReason.PAUSED, pause_end_s)
        if self._announcements.is_leaving(record.run, now_s):
            return Exclusion(ExclusionReason.LEAVING)
        return None

    def is_evacuated(self, service: ServiceName) -> bool:
        """Returns whether a service has ready targets in evacuated domains only."""
        return (
            self._evacuated.has_any
            and not self._listed_ready(service)
            and any(
                record.service == service and record.state is TargetState.READY
                for record in self._records.values()
            )
        )

    def record_leaving(self, run: TargetRun, now_s: float) -> bool:
        """Records that a run of a target is leaving, whatever its entry says.

        Returns:
            Whether this was not known yet.
        """
        is_new = self._announcements.record_leaving(run, now_s)
        if is_new:
            self._notify_closing(run)
        return is_new

    def record_pause(self, run: TargetRun, until_s: float, now_s: float) -> None:
        """Records until when a run of a target wants no requests of this host."""
        self._announcements.record_pause(run, until_s, now_s)
        self._notify_closing(run)

    def is_accepting(self, record: TargetRecord, now_s: float) -> bool:
        """Returns whether the run that a record describes accepts new requests."""
        return any(
            listed.target == record.target and listed.is_same_start(record)
            for listed in self.ready_targets(record.service, now_s)
        )

    def is_paused(self, record: TargetRecord, now_s: float) -> bool:
        """Returns whether a target wants no requests of this host at present."""
        return self._announcements.pause_end_s(record.run, now_s) is not None

    def pause_end_s(self, service: ServiceName, now_s: float) -> float | None:
        """Returns when the first pause of a service's targets ends, monotonic.

        Returns none if no target of the service pauses.
        """
        ends_s = (
            self._announcements.pause_end_s(record.run, now_s)
            for record in self._listed_ready(service)
            if not self._announcements.is_leaving(record.run, now_s)
        )
        return min((end_s for end_s in ends_s if end_s is not None), default=None)

    def unlisted_leaving(self, now_s: float) -> tuple[TargetRun, ...]:
        """Returns the runs that are leaving although they are published as ready.

        A restored store may list a draining run as ready. Without a start time it
        couldn't be told from a later run.
        """
        outdated = self._restored.outdated
        return tuple(
            record.run
            for target, record in self._records.items()
            if (
                record.state is TargetState.READY
                and self._announcements.is_leaving(record.run, now_s)
            )
            or (target in outdated and record.run.is_dated and _is_draining(record))
        )

    def find(self, target: TargetId) -> TargetRecord | None:
        """Returns the entry of a target, if it is registered."""
        return self._records.get(target)

    def is_registered(self, target: TargetId) -> bool:
        """Returns whether a target of this name is registered."""
        return target in self._records

    def is_listed_ready(self, run: TargetRun) -> bool:
        """Returns whether a run is published as accepting requests."""
        record = self._records.get(run.target)
        return (
            record is not None
            and record.run == run
            and record.state is TargetState.READY
        )

    def _listed_ready(self, service: ServiceName) -> tuple[TargetRecord, ...]:
        """Returns the targets of a service whose entries say that they are ready.

        Those in evacuated failure domains are left out.
        """
        ready_targets = self._by_service.get(service)
        if ready_targets is None:
            ready_targets = tuple(
                record
                for record in self._records.values()
                if record.service == service
                and record.state is TargetState.READY
                and not self._evacuated.is_evacuated(record.failure_domain)
            )
            self._by_service[service] = ready_targets
        return ready_targets

    def put(self, *records: TargetRecord) -> None:
        """Adds or updates targets whose entries were written."""
        for record in records:
            self._restored.record_written(record.run)
        self._put(records)

    def _put(self, records: Iterable[TargetRecord]) -> None:
        """Adds or updates targets; all new ones share one log line."""
        started: list[TargetRecord] = []
        for record in records:
            previous = self._records.get(record.target)
            self._missing_since_s.pop(record.target, None)
            if previous == record:
                continue
            self._records[record.target] = record
            self._by_service.clear()
            if previous is None or not record.is_same_start(previous):
                started.append(record)
            elif record.state is not previous.state:
                _log.info("target changed state", extra=_log_fields(record))
                if record.state is not TargetState.READY:
                    self._closing_listener(record)
            if previous is not None and not record.is_same_start(previous):
                # Without start times both runs have the same identity.
                if previous.run != record.run:
                    self._restored.record_ended(previous.run)
                self._removal_listener(previous)
        if started:
            _log_registered(started)

    def remove(self, target: TargetId, now_s: float) -> None:
        """Removes a target that is no longer registered.

        Just after a platform outage the entry may have lapsed although the target is
        alive, so the target is kept until it has had time to register again.
        """
        self._restored.record_removed(target)
        if target not in self._records:
            return
        if self._is_reregistration_period(now_s):
            self._missing_since_s.setdefault(target, now_s)
            return
        self._discard(target, "unregistered")

    def replace(self, records: Iterable[TargetRecord], now_s: float) -> None:
        """Replaces all targets by a full list.

        Just after a restoration of the store, entries that are older than known ones
        change nothing.
        """
        listed = tuple(records)
        self._put(self._restored.select_believed(listed, self._records, now_s))
        listed_names = {record.target for record in listed}
        for target in [name for name in self._records if name not in listed_names]:
            self.remove(target, now_s)

    def record_platform_return(self, now_s: float) -> None:
        """Records that the platform answers again after an outage."""
        self._platform_returned_at_s = now_s

    def record_restoration(self, now_s: float) -> None:
        """Records that the store was restored from a copy, before `replace`.

        Targets that the copy lacks are kept until they have had time to register again.
        """
        self.record_platform_return(now_s)
        self._restored.record_restoration(now_s)

    def expire(self, now_s: float) -> None:
        """Discards targets that have not registered again after a platform outage.

        Entries of a restored store that were not written again count from now on.
        """
        self.put(*self._restored.expire(now_s))
        if not self._missing_since_s or self._is_reregistration_period(now_s):
            return
        for target in list(self._missing_since_s):
            self._discard(target, "lapsed during an outage of the platform")

    def _apply_evacuation(self, state: Evacuation, now_s: float) -> None:
        """Has the calls that wait for targets of an evacuated domain sent elsewhere."""
        self._by_service.clear()
        if not state.is_evacuated:
            return
        for record in self.targets:
            if record.failure_domain == state.domain:
                self._closing_listener(record)

    def _notify_closing(self, run: TargetRun) -> None:
        record = self._records.get(run.target)
        if record is not None and record.run == run:
            self._closing_listener(record)

    def _is_reregistration_period(self, now_s: float) -> bool:
        platform_returned_at_s = self._platform_returned_at_s
        return (
            platform_returned_at_s is not None
            and now_s - platform_returned_at_s < REREGISTRATION_S
        )

    def _discard(self, target: TargetId, reason: str) -> None:
        self._missing_since_s.pop(target, None)
        record = self._records.pop(target, None)
        if record is None:
            return
        self._by_service.clear()
        _log.info("target gone", extra={**_log_fields(record), "reason": reason})
        self._restored.record_ended(record.run)
        self._removal_listener(record)


def _is_draining(record: TargetRecord) -> bool:
    return record.state is TargetState.DRAINING


def _log_registered(records: list[TargetRecord]) -> None:
    """Logs new targets in one line, as hundreds of them are read at a start."""
    if len(records) == 1:
        _log.info("target registered", extra=_log_fields(records[0]))
        return
    names = [record.target for record in records[:LOGGED_NAMES_MAX]]
    _log.info("targets registered", extra={"count": len(records), "targets": names})


def _log_fields(record: TargetRecord) -> dict[str, str]:
    return {
        "target": record.target,
        "service": record.service,
        "address": record.address,
        "state": record.state.value,
    }
