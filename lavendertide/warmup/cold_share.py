"""Divides the allowance of each cold target among the hosts, without messages.

Load pattern: hosts join, end, restart, pause and are cut off from each other while
targets are cold. All that live may send at the same time.

Each host takes whole requests from the allowance of a target by its rank for that
target: half of them go to all hosts, and half to the hosts that are named to callers.
Hosts that know the same hosts compute the same ranks, so what they take adds up to the
allowance. While hosts disagree, each one takes the least that it has computed within
`SETTLE_S`, and what a host takes never rises because it has lost sight of others:

- Hosts that it has known count for as long as the process runs, unless they have
  announced that they leave. So no side of a partition takes over the other's part.
- The named hosts change only while it sees all the hosts that it knows.
- A host that has started, or has not updated its view for `VIEW_MAX_AGE_S`, takes
  nothing before it has reached all the hosts that it knows for `SETTLE_S`. By then the
  others count it.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from lavendertide.fleet.readiness import ALONE_AFTER_S
from lavendertide.gateway.fleet_size import ASSUMED_HOSTS
from lavendertide.ids import DaemonId, TargetId
from lavendertide.warmup.allowance import WINDOW_S

# Oldest view of the fleet by which a host sends; the view is updated every second.
VIEW_MAX_AGE_S: Final = 2.5
# Time in which every connected host learns of a new one and notices a lost one.
SPREAD_S: Final = 1.5
# After this time all hosts go by the newer view, and what they have sent by the older
# one no longer counts.
SETTLE_S: Final = SPREAD_S + VIEW_MAX_AGE_S + WINDOW_S

# Returns the weight of a host for a name; the same on all hosts.
Score = Callable[[str, DaemonId], int]


@dataclass(frozen=True, slots=True)
class FleetView:
    """The hosts of the fleet as this host sees them now.

    Attributes:
        members: All known hosts, this one included.
        silent: Those of them that can't be reached.
        leaving: Those of them that have announced their end.
        named: The hosts that are named to callers.
    """

    members: frozenset[DaemonId]
    silent: frozenset[DaemonId] = frozenset()
    leaving: frozenset[DaemonId] = frozenset()
    named: frozenset[DaemonId] = frozenset()


@dataclass(frozen=True, slots=True)
class _Division:
    """The hosts among which an allowance is divided; none while no other is known."""

    hosts: frozenset[DaemonId]
    named: frozenset[DaemonId]


@dataclass(slots=True)
class _DatedDivision:
    """A division and when a later one replaced it, monotonic."""

    division: _Division
    replaced_at_s: float | None = None
    requests: dict[tuple[TargetId, int], int] = field(default_factory=dict)


class ColdShare:
    """What this host may take of the allowance of each cold target.

    Args:
        own: This host.
        score: Ranks the hosts for a target.
    """

    def __init__(self, own: DaemonId, score: Score) -> None:
        self._own = own
        self._score = score
        self._updated_at_s: float | None = None
        self._is_settled = False
        self._was_settled = False
        self._reaches_all_since_s: float | None = None
        self._known: frozenset[DaemonId] = frozenset((own,))
        self._leaving: frozenset[DaemonId] = frozenset()
        self._named: frozenset[DaemonId] = frozenset()
        self._divisions: list[_DatedDivision] = []

    def update(self, view: FleetView, now_s: float) -> None:
        """Applies the present view of the fleet; called about once a second."""
        was_alone = len(self._known) <= 1
        self._update_known(view)
        is_met = was_alone and len(self._known) > 1
        if is_met or not self._is_current(now_s):
            self._is_settled = False
            self._reaches_all_since_s = None
        self._updated_at_s = now_s
        # A host that has announced its end sends nothing once it is silent.
        is_missing_any = bool(view.silent - self._leaving)
        if not self._is_settled:
            self._settle(view, is_missing_any, now_s)
        self._divide(view, is_missing_any, now_s)

    def requests_of(self, target: TargetId, spendable: int, now_s: float) -> int:
        """Returns the requests that this host may send to a target in one window.

        Args:
            target: The cold target.
            spendable: What all hosts together may send to it in one window.
            now_s: Present time, monotonic.
        """
        if not self._is_settled or not self._is_current(now_s):
            return 0
        return min(
            self._part_of(dated, target, spendable)
            for dated in self._divisions
            if _counts(dated, now_s)
        )

    def _is_current(self, now_s: float) -> bool:
        updated_at_s = self._updated_at_s
        return updated_at_s is not None and now_s - updated_at_s <= VIEW_MAX_AGE_S

    def _update_known(self, view: FleetView) -> None:
        # Hosts that have ended before this one first settles are no part of the fleet.
        kept = self._known - (self._leaving - view.members)
        self._known = kept | view.members if self._was_settled else view.members
        self._leaving = (self._leaving & view.silent) | view.leaving

    def _settle(self, view: FleetView, is_missing_any: bool, now_s: float) -> None:
        if is_missing_any:
            self._reaches_all_since_s = None
            return
        if self._reaches_all_since_s is None:
            self._reaches_all_since_s = now_s
        wait_s = ALONE_AFTER_S if len(view.members) <= 1 else SETTLE_S
        if now_s - self._reaches_all_since_s < wait_s:
            return
        self._is_settled = self._was_settled = True

    def _divide(self, view: FleetView, is_missing_any: bool, now_s: float) -> None:
        if not is_missing_any and self._known <= view.members:
            self._named = view.named & view.members
        division = _Division(self._known, self._named)
        kept = [dated for dated in self._divisions if _counts(dated, now_s)]
        if not kept or kept[-1].division != division:
            if kept:
                kept[-1].replaced_at_s = now_s
            kept.append(_DatedDivision(division))
        self._divisions = kept

    def _part_of(self, dated: _DatedDivision, target: TargetId, spendable: int) -> int:
        part = dated.requests.get((target, spendable))
        if part is None:
            part = self._compute_part(dated.division, target, spendable)
            dated.requests[target, spendable] = part
        return part

    def _compute_part(
        self, division: _Division, target: TargetId, spendable: int
    ) -> int:
        if len(division.hosts) <= 1:
            # Others may exist that this host has never met. Up to as many as are
            # assumed, or as the allowance has requests, stay within it.
            return max(spendable // ASSUMED_HOSTS, min(1, spendable))
        of_named = spendable // 2
        part = self._ranked_part(division.hosts, str(target), spendable - of_named)
        if self._own in division.named:
            part += self._ranked_part(division.named, f"named {target}", of_named)
        return part

    def _ranked_part(self, hosts: frozenset[DaemonId], key: str, requests: int) -> int:
        """Returns this host's part if requests are dealt out in order of rank."""
        own = self._score(key, self._own)
        rank = sum(self._score(key, host) > own for host in hosts)
        return max(0, (requests - rank + len(hosts) - 1) // len(hosts))


def _counts(dated: _DatedDivision, now_s: float) -> bool:
    replaced_at_s = dated.replaced_at_s
    return replaced_at_s is None or now_s - replaced_at_s < SETTLE_S
