"""Knows which runs of targets are cold, and what this host may send to them now.

Load pattern: a target returns cold beside warm ones, or all targets of a service are
cold at once, while the usual requests go on. A cold target that gets more than it can
take crashes, and starts cold again.

A host learns that a run is cold from its entry, from its replies, or because the run
has appeared while this host served. Hosts that disagree on whether a run is cold differ
by what has reached them; each one goes by the longest coldness that it knows.
"""

import logging
import math
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from typing import Final

from lavendertide.ids import ServiceName, TargetId
from lavendertide.registry.record import COLD_MAX_MS, TargetRecord, TargetRun
from lavendertide.routes.route import Service
from lavendertide.warmup.allowance import (
    DEFAULT_BOUNDS,
    ColdBounds,
)
from lavendertide.warmup.cold_status import ColdTargetStatus
from lavendertide.warmup.grant_requests import Shortage
from lavendertide.warmup.run_allowance import HELD_S, RunAllowance
from lavendertide.warmup.seen_runs import SeenRuns
from lavendertide.warmup.target_speed import TargetSpeed, has_capacity, is_fast

# Runs that one log line names; the others are only counted.
LOGGED_NAMES_MAX: Final = 8

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class _ColdRun:
    """A run that is cold or was until recently. All times are monotonic."""

    since_s: float
    until_s: float
    allowance: RunAllowance = field(default_factory=RunAllowance)


class ColdTargets:
    """The cold runs of targets and this host's part of their allowances.

    Args:
        service_of: Returns the settings of a service, if there are any.
        requests_of: Returns what this host may send to a target in one window of what
            all hosts together may send, at a monotonic time.
        bounds: How far the hosts may exceed what a cold target can take.
    """

    def __init__(
        self,
        service_of: Callable[[ServiceName], Service | None] = lambda _: None,
        requests_of: Callable[[TargetId, int, float], int] = lambda *_: 0,
        bounds: ColdBounds = DEFAULT_BOUNDS,
    ) -> None:
        self._service_of = service_of
        self._requests_of = requests_of
        self._bounds = bounds
        self._cold: dict[TargetRun, _ColdRun] = {}
        self._last_end_s = -math.inf
        self._seen = SeenRuns()
        self._withheld: dict[TargetRun, tuple[TargetRecord, int]] = {}
        self._has_list = False
        self._sent_listener: Callable[[bool], None] = lambda _: None

    def set_bounds(self, bounds: ColdBounds) -> None:
        """Replaces how far the hosts may exceed what a cold target can take."""
        self._bounds = bounds

    def set_sent_listener(self, listener: Callable[[bool], None]) -> None:
        """Sets the function that is called for each request to a cold target.

        Only targets with an allowance count. It gets whether the request may be sent.
        """
        self._sent_listener = listener

    def count(self, now_s: float) -> int:
        """Returns the number of runs that are cold."""
        return sum(now_s < cold.until_s for cold in self._cold.values())

    def record_published(self, records: Iterable[TargetRecord], now_s: float) -> None:
        """Records entries that were read.

        The first call has all targets that exist when this host starts. Of those it
        can't know how long they have run.
        """
        started: list[TargetRun] = []
        for record in records:
            is_new = self._seen.record(record.run)
            cold_s = 0.0
            if record.cold_left_ms is not None:
                cold_s = record.cold_left_ms / 1_000
            elif is_new and self._has_list:
                cold_s = self._assumed_cold_s(record.service)
            if cold_s > 0.0 and self._mark(record.run, cold_s, now_s):
                started.append(record.run)
        self._has_list = True
        self._seen.forget_surplus()
        self._log_started(started, now_s)

    def record_complete(self, records: Sequence[TargetRecord], now_s: float) -> None:
        """Records the entries of all targets; unlisted targets were withdrawn."""
        self.record_published(records, now_s)
        self._seen.record_listed(records)

    def record_restored(self, records: Sequence[TargetRecord], now_s: float) -> None:
        """Records the list of a restored store, which says nothing of known runs.

        Its entries may be older than what is known.
        """
        new = [record for record in records if not self._seen.is_outdated(record.run)]
        self.record_published(new, now_s)
        self._seen.record_listed(records)

    def record_withdrawn(self, target: TargetId) -> None:
        """Records that a target's entry was removed, which may be a lapse."""
        self._seen.record_withdrawn(target)

    def record_notice(self, run: TargetRun, cold_s: float, now_s: float) -> None:
        """Records for how many seconds a run remains cold, as its reply says."""
        if cold_s > 0.0 and self._mark(run, cold_s, now_s):
            self._log_started([run], now_s)

    def with_present_left(
        self, records: Iterable[TargetRecord], now_s: float
    ) -> tuple[TargetRecord, ...]:
        """Returns records with the time for which they remain cold from now on."""
        return tuple(self._with_left(record, now_s) for record in records)

    def is_cold(self, record: TargetRecord, now_s: float) -> bool:
        """Returns whether the run that a record describes is cold."""
        return self._cold_run(record, now_s) is not None

    def select_allowed(
        self, records: tuple[TargetRecord, ...], now_s: float
    ) -> tuple[TargetRecord, ...]:
        """Returns the targets that this host may send a request to now."""
        if now_s >= self._last_end_s:
            return records
        return tuple(r for r in records if self.wait_s(r, now_s) <= 0.0)

    def rank(
        self,
        ranked: list[TargetRecord],
        speed_of: Callable[[TargetId], TargetSpeed],
        now_s: float,
    ) -> list[TargetRecord]:
        """Returns the targets that may get a request, cold ones behind warm ones.

        Warm targets without free slots come last. Without an allowance, a cold target
        whose own replies are as fast as usual ranks like a warm one.

        Args:
            ranked: Targets of one service, the best one first.
            speed_of: Returns what this host knows of a target's speed.
            now_s: Present time, monotonic.
        """
        if now_s >= self._last_end_s:
            return ranked
        groups: tuple[list[TargetRecord], ...] = ([], [], [])
        for record in ranked:
            cold = self._cold_run(record, now_s)
            speed = speed_of(record.target)
            if cold is None:
                groups[0 if has_capacity(record, speed, now_s) else 2].append(record)
            elif self._spendable(record) is not None:
                if self.wait_s(record, now_s) <= 0.0:
                    groups[1].append(record)
            elif is_fast(speed, cold.since_s, now_s):
                groups[0 if has_capacity(record, speed, now_s) else 2].append(record)
            else:
                groups[1].append(record)
        if not groups[1]:
            # The order among warm targets is as without any cold ones.
            allowed = set(map(id, (*groups[0], *groups[2])))
            return [record for record in ranked if id(record) in allowed]
        return [*groups[0], *groups[1], *groups[2]]

    def wait_s(self, record: TargetRecord, now_s: float) -> float:
        """Returns the seconds until this host may send a target a request.

        It is zero for a target that is warm or has no allowance. A host that has no
        part of the allowance gets the time after which another host's part is free, or
        the target is warm.
        """
        cold = self._cold_run(record, now_s)
        if cold is None or (spendable := self._spendable(record)) is None:
            return 0.0
        left_s = cold.until_s - now_s
        part = self._requests_of(record.target, spendable, now_s)
        return min(left_s, cold.allowance.wait_s(part, now_s))

    def is_allowed(self, record: TargetRecord, now_s: float) -> bool:
        """Returns whether this host may send a target a request now."""
        return now_s >= self._last_end_s or self.wait_s(record, now_s) <= 0.0

    def shortest_wait_s(self, records: Sequence[TargetRecord], now_s: float) -> float:
        """Returns the seconds until any of the targets may get a request.

        It is infinite if there is no target.
        """
        return min((self.wait_s(record, now_s) for record in records), default=math.inf)

    def try_send(self, record: TargetRecord, now_s: float) -> bool:
        """Counts a request that is sent now; returns whether it may be sent."""
        if now_s >= self._last_end_s:
            return True
        cold = self._cold_run(record, now_s)
        if cold is None or (spendable := self._spendable(record)) is None:
            return True
        part = self._requests_of(record.target, spendable, now_s)
        may_send = cold.allowance.try_send(part, now_s)
        if not may_send:
            self._record_withheld(record)
        self._sent_listener(may_send)
        return may_send

    def record_shortage(self, records: Iterable[TargetRecord], now_s: float) -> None:
        """Records that a request was refused because the allowances are used up."""
        for record in records:
            if self.wait_s(record, now_s) > 0.0:
                self._record_withheld(record)

    def take_shortages(self, most: int) -> tuple[Shortage, ...]:
        """Returns targets of which requests were withheld since the last call.

        Of more than `most` targets, these are drawn at random.
        """
        withheld = list(self._withheld.values())
        self._withheld.clear()
        return tuple(
            Shortage(record, requests, spendable)
            for record, requests in random.sample(withheld, min(most, len(withheld)))
            if (spendable := self._spendable(record)) is not None
        )

    def give(self, record: TargetRecord, wanted: int, now_s: float) -> int:
        """Gives up requests of this host's part for another host; returns how many."""
        cold, spendable = self._cold_run(record, now_s), self._spendable(record)
        if cold is None or spendable is None:
            return 0
        part = self._requests_of(record.target, spendable, now_s)
        return cold.allowance.give(part, wanted, now_s)

    def receive(
        self, run: TargetRun, requests: int, until_s: float, now_s: float
    ) -> bool:
        """Adds requests that another host has given up; returns whether they count."""
        cold = self._cold.get(run)
        if cold is None or now_s >= cold.until_s:
            return False
        cold.allowance.receive(requests, until_s)
        return True

    def describe(self, record: TargetRecord, now_s: float) -> ColdTargetStatus | None:
        """Returns what this host may send to a cold target; none if it is warm."""
        cold = self._cold_run(record, now_s)
        if cold is None:
            return None
        allowance, left_s = self._spendable(record), cold.until_s - now_s
        part = 0
        if allowance is not None:
            part = self._requests_of(record.target, allowance, now_s)
        own = cold.allowance
        counts = part, own.sent(now_s), own.given(now_s), own.received(now_s)
        return ColdTargetStatus(
            record.target, record.service, left_s, allowance, *counts
        )

    def _record_withheld(self, record: TargetRecord) -> None:
        _, requests = self._withheld.get(record.run, (record, 0))
        self._withheld[record.run] = record, requests + 1

    def _mark(self, run: TargetRun, cold_s: float, now_s: float) -> bool:
        """Records that a run is cold; returns whether it was not known to be."""
        until_s = now_s + min(cold_s, COLD_MAX_MS / 1_000)
        self._last_end_s = max(self._last_end_s, until_s)
        cold = self._cold.get(run)
        if cold is not None and now_s < cold.until_s:
            cold.until_s = max(cold.until_s, until_s)
            return False
        self._discard_warm(now_s)
        # What was sent or given up lately counts on if the run is cold again.
        cold = self._cold.setdefault(run, _ColdRun(now_s, until_s))
        cold.since_s, cold.until_s = now_s, until_s
        return True

    def _discard_warm(self, now_s: float) -> None:
        self._cold = {
            run: cold
            for run, cold in self._cold.items()
            if now_s <= cold.until_s + HELD_S
        }

    def _cold_run(self, record: TargetRecord, now_s: float) -> _ColdRun | None:
        if now_s >= self._last_end_s:
            return None
        cold = self._cold.get(record.run)
        return cold if cold is not None and now_s < cold.until_s else None

    def _spendable(self, record: TargetRecord) -> int | None:
        """Returns the allowance of a cold target for all hosts; none without one."""
        service = self._service_of(record.service)
        if service is None or service.cold_per_s <= 0.0:
            return None
        return self._bounds.spendable(service.cold_per_s)

    def _assumed_cold_s(self, service_name: ServiceName) -> float:
        service = self._service_of(service_name)
        if service is None or service.cold_per_s <= 0.0:
            return 0.0
        return service.cold_start_s

    def _with_left(self, record: TargetRecord, now_s: float) -> TargetRecord:
        cold = self._cold_run(record, now_s)
        if cold is not None:
            left_ms = math.ceil((cold.until_s - now_s) * 1_000)
            return replace(record, cold_left_ms=left_ms)
        # What the entry said when it was read is over.
        return replace(record, cold_left_ms=0) if record.cold_left_ms else record

    def _log_started(self, runs: list[TargetRun], now_s: float) -> None:
        if not runs:
            return
        left_s = max(self._cold[run].until_s - now_s for run in runs)
        names = [run.target for run in runs[:LOGGED_NAMES_MAX]]
        _log.info(
            "targets are cold",
            extra={
                "count": len(runs),
                "targets": names,
                "longest_s": round(left_s, 3),
            },
        )
