"""The registered targets of all services, as this host has last read them."""

import logging
from collections.abc import Callable, Iterable
from typing import Final

from lavendertide.ids import ServiceName, TargetId
from lavendertide.registry.record import TargetRecord, TargetState

# Targets that lapsed while the platform was away have registered again by then.
REAPPEAR_S: Final = 2.0
# New targets that one line of the log names; the others are counted.
NAMED_MAX: Final = 8

_log = logging.getLogger(__name__)


class TargetRegistry:
    """The targets by service; entries are kept while the platform is away."""

    def __init__(self) -> None:
        self._records: dict[TargetId, TargetRecord] = {}
        self._by_service: dict[ServiceName, tuple[TargetRecord, ...]] = {}
        self._missing_since_s: dict[TargetId, float] = {}
        self._returned_at_s: float | None = None
        self._on_gone: Callable[[TargetRecord], None] = lambda _: None

    @property
    def targets(self) -> tuple[TargetRecord, ...]:
        """All targets, draining ones among them."""
        return tuple(self._records.values())

    def set_removal_listener(self, listener: Callable[[TargetRecord], None]) -> None:
        """Has a function called with each run of a target that has ended."""
        self._on_gone = listener

    def ready_targets(
        self, service: ServiceName, now_s: float
    ) -> tuple[TargetRecord, ...]:
        """Returns the targets of a service that take new requests."""
        # Nothing else may be read for seconds after the last change.
        self.expire(now_s)
        found = self._by_service.get(service)
        if found is None:
            found = tuple(
                record
                for record in self._records.values()
                if record.service == service and record.state is TargetState.READY
            )
            self._by_service[service] = found
        return found

    def put(self, *records: TargetRecord) -> None:
        """Takes in what targets say of themselves; new ones share a line of the log."""
        new: list[TargetRecord] = []
        for record in records:
            known = self._records.get(record.target)
            self._missing_since_s.pop(record.target, None)
            if known == record:
                continue
            self._records[record.target] = record
            self._by_service.clear()
            if known is None or not record.is_same_start(known):
                new.append(record)
            elif record.state is not known.state:
                _log.info("target changed state", extra=_fields(record))
            if known is not None and not record.is_same_start(known):
                self._on_gone(known)
        if new:
            _log_registered(new)

    def remove(self, target: TargetId, now_s: float) -> None:
        """Takes in that a target is not registered any more.

        Just after the platform's return it may only have lapsed meanwhile; it is kept
        until it has had the time to register again.
        """
        if target not in self._records:
            return
        if self._is_returning(now_s):
            self._missing_since_s.setdefault(target, now_s)
            return
        self._drop(target, "unregistered")

    def replace(self, records: Iterable[TargetRecord], now_s: float) -> None:
        """Takes in a whole list of targets."""
        listed = tuple(records)
        self.put(*listed)
        seen = {record.target for record in listed}
        for target in [name for name in self._records if name not in seen]:
            self.remove(target, now_s)

    def note_return(self, now_s: float) -> None:
        """Notes that the platform answers again after it was away."""
        self._returned_at_s = now_s

    def expire(self, now_s: float) -> None:
        """Drops the targets that have not come back after the platform's return."""
        if not self._missing_since_s or self._is_returning(now_s):
            return
        for target in list(self._missing_since_s):
            self._drop(target, "lapsed during an outage of the platform")

    def _is_returning(self, now_s: float) -> bool:
        returned_at_s = self._returned_at_s
        return returned_at_s is not None and now_s - returned_at_s < REAPPEAR_S

    def _drop(self, target: TargetId, reason: str) -> None:
        self._missing_since_s.pop(target, None)
        record = self._records.pop(target, None)
        if record is None:
            return
        self._by_service.clear()
        _log.info("target gone", extra={**_fields(record), "reason": reason})
        self._on_gone(record)


def _log_registered(records: list[TargetRecord]) -> None:
    """Logs new targets; hundreds of them come at once at a start."""
    if len(records) == 1:
        _log.info("target registered", extra=_fields(records[0]))
        return
    names = [record.target for record in records[:NAMED_MAX]]
    _log.info("targets registered", extra={"count": len(records), "targets": names})


def _fields(record: TargetRecord) -> dict[str, str]:
    return {
        "target": record.target,
        "service": record.service,
        "address": record.address,
        "state": record.state.value,
    }
