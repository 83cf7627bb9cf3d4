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
- It becomes a named host only while it sees all the hosts that it knows. Until it does
  so again, all that were or are named share with it.
- A host takes nothing while its view is older than `VIEW_MAX_AGE_S`.
- A host that has started, or was away for `ABSENCE_MAX_S`, takes nothing before it has
  reached all the hosts that it knows for `SETTLE_S`. By then the others count it. After
  a shorter absence it goes on: nobody who has missed it has taken more meanwhile.
"""

import functools
import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from lavendertide.fleet.fleet_size import ASSUMED_HOSTS
from lavendertide.fleet.readiness import ALONE_AFTER_S
from lavendertide.ids import DaemonId, TargetId
from lavendertide.warmup.allowance import WINDOW_S
from lavendertide.warmup.run_allowance import USE_S

# Oldest view of the fleet by which a host sends; the view is updated every second.
VIEW_MAX_AGE_S: Final = 2.5
# Absence after which hosts that have started meanwhile may no longer have this one in
# their rosters, which forget a silent host after 30 s.
ABSENCE_MAX_S: Final = 20.0
# A host that ended just before another one started isn't silent to that one yet. One
# that has been in its roster for longer, and isn't silent, is reached.
REACHED_AFTER_S: Final = 2.5
# Time in which every connected host learns of a new one and notices a lost one.
SPREAD_S: Final = 1.5
# After this time all hosts go by the newer view, and what they have sent by the older
# one no longer counts.
SETTLE_S: Final = SPREAD_S + VIEW_MAX_AGE_S + WINDOW_S
# Names whose hashes are kept: more than a large deployment has hosts and targets.
HASHES_KEPT: Final = 16_384
# Parts that are kept for one division. Targets may have new names with each start, and
# an undisturbed fleet keeps its division for weeks.
PARTS_KEPT: Final = 16_384
# Targets whose givers are kept; to find those of one takes 1 ms in a fleet of 510.
GIVERS_KEPT: Final = 256
HASH_BYTES: Final = 8
# An odd number spreads the lower bits of a product over the upper ones.
MIX_FACTOR: Final = 0x9E3779B97F4A7C15
MIX_MASK: Final = 2 ** (8 * HASH_BYTES) - 1


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
    """The hosts among which an allowance is divided.

    Attributes:
        hosts: The hosts that share its first half; one while no other is known.
        named: The hosts that share the other half.
        is_named: Whether this host is one of those.
    """

    hosts: frozenset[DaemonId]
    named: frozenset[DaemonId]
    is_named: bool


@dataclass(slots=True)
class _DatedDivision:
    """A division and when a later one replaced it, monotonic.

    Attributes:
        host_hashes: Hashes of the hosts' names.
        named_hashes: Hashes of the names of the named hosts.
        requests: This host's part, by target and by the allowance of all hosts.
        givers: The other hosts' parts in the order in which they are asked.
    """

    division: _Division
    host_hashes: tuple[int, ...]
    named_hashes: tuple[int, ...]
    replaced_at_s: float | None = None
    requests: dict[tuple[TargetId, int], int] = field(default_factory=dict)
    givers: dict[tuple[TargetId, int], Mapping[DaemonId, int]] = field(
        default_factory=dict
    )


class ColdShare:
    """What this host may take of the allowance of each cold target.

    Args:
        own: This host.
    """

    def __init__(self, own: DaemonId) -> None:
        self._own = own
        self._updated_at_s: float | None = None
        self._is_settled = False
        self._was_settled = False
        self._reaches_all_since_s: float | None = None
        self._first_seen_s: dict[DaemonId, float] = {}
        self._reached: set[DaemonId] = set()
        self._known: frozenset[DaemonId] = frozenset((own,))
        self._leaving: frozenset[DaemonId] = frozenset()
        self._named: frozenset[DaemonId] = frozenset()
        self._is_named = False
        self._divisions: list[_DatedDivision] = []

    def update(self, view: FleetView, now_s: float) -> None:
        """Applies the present view of the fleet; called about once a second."""
        was_alone = len(self._known) <= 1
        self._update_known(view, now_s)
        is_met = was_alone and len(self._known) > 1
        absence_max_s = ABSENCE_MAX_S if self._is_settled else VIEW_MAX_AGE_S
        if is_met or not self._is_newer_than(absence_max_s, now_s):
            self._is_settled = False
            self._reaches_all_since_s = None
        self._updated_at_s = now_s
        # A host that has announced its end sends nothing once it is silent.
        silent = view.silent - self._leaving
        is_missing_any = bool(silent) or not self._known <= view.members
        if not self._is_settled:
            self._settle(is_missing_any, now_s)
        self._divide(view, is_missing_any, now_s)

    def takes_part(self, now_s: float) -> bool:
        """Returns whether this host may send to cold targets with an allowance."""
        return self._is_settled and self._is_newer_than(VIEW_MAX_AGE_S, now_s)

    def may_transfer(self, now_s: float) -> bool:
        """Returns whether this host may give up requests, or use those of others.

        What it gives up is used while its own view would still count.
        """
        is_known = self.takes_part(now_s) and len(self._known) > 1
        return is_known and self._is_newer_than(VIEW_MAX_AGE_S - USE_S, now_s)

    def parts_of_others(
        self, target: TargetId, spendable: int
    ) -> Mapping[DaemonId, int]:
        """Returns what each other known host may send to a target in one window.

        Hosts without a part are left out.
        """
        if not self._divisions:
            return {}
        division = self._divisions[-1].division
        of_named = spendable // 2
        parts = _deal(division.hosts, target, spendable - of_named)
        for host, requests in _deal(
            division.named, f"named {target}", of_named
        ).items():
            parts[host] = parts.get(host, 0) + requests
        parts.pop(self._own, None)
        return parts

    def givers_of(self, target: TargetId, spendable: int) -> Mapping[DaemonId, int]:
        """Returns what other hosts may send to a target, the ones to ask first first.

        Each host is asked first by one of the named hosts, so that they don't all ask
        the same ones. Named hosts, which callers use, come last.
        """
        if not self._divisions:
            return {}
        dated = self._divisions[-1]
        givers = dated.givers.get((target, spendable))
        if givers is None:
            parts, named = self.parts_of_others(target, spendable), dated.division.named
            order = sorted(
                parts,
                key=lambda host: (
                    host in named,
                    self._is_asked_by_another(host, named),
                ),
            )
            givers = {host: parts[host] for host in order}
            if len(dated.givers) >= GIVERS_KEPT:
                dated.givers.clear()
            dated.givers[target, spendable] = givers
        return givers

    def _is_asked_by_another(self, giver: DaemonId, named: frozenset[DaemonId]) -> bool:
        if self._own not in named:
            return True
        key = _hash_of(giver)
        first = max(named, key=lambda host: _mix(_hash_of(host), key))
        return first != self._own

    def requests_of(self, target: TargetId, spendable: int, now_s: float) -> int:
        """Returns the requests that this host may send to a target in one window.

        Args:
            target: The cold target.
            spendable: What all hosts together may send to it in one window.
            now_s: Present time, monotonic.
        """
        if not self.takes_part(now_s):
            return 0
        return min(
            self._part_of(dated, target, spendable)
            for dated in self._divisions
            if _counts(dated, now_s)
        )

    def _is_newer_than(self, age_s: float, now_s: float) -> bool:
        """Returns whether the view was updated within the last `age_s` seconds."""
        updated_at_s = self._updated_at_s
        return updated_at_s is not None and now_s - updated_at_s <= age_s

    def _update_known(self, view: FleetView, now_s: float) -> None:
        if not self._was_settled:
            # Those that it has never reached may have ended before this host started.
            self._update_reached(view, now_s)
            self._known &= self._reached
        self._known = (self._known - (self._leaving - view.members)) | view.members
        self._leaving = (self._leaving & view.silent) | view.leaving

    def _update_reached(self, view: FleetView, now_s: float) -> None:
        """Adds the hosts that have been heard of for longer than a silence lasts."""
        for host in view.members - self._first_seen_s.keys():
            self._first_seen_s[host] = now_s
        self._reached |= {
            host
            for host in view.members - view.silent
            if now_s - self._first_seen_s[host] >= REACHED_AFTER_S
        }

    def _settle(self, is_missing_any: bool, now_s: float) -> None:
        if is_missing_any:
            self._reaches_all_since_s = None
            return
        if self._reaches_all_since_s is None:
            self._reaches_all_since_s = now_s
        wait_s = ALONE_AFTER_S if len(self._known) <= 1 else SETTLE_S
        if now_s - self._reaches_all_since_s < wait_s:
            return
        self._is_settled = self._was_settled = True

    def _divide(self, view: FleetView, is_missing_any: bool, now_s: float) -> None:
        is_named = self._own in view.named
        if not is_missing_any:
            self._named, self._is_named = view.named, is_named
        else:
            # Hosts that this one can't see may still take the parts of named hosts.
            self._named |= view.named
            self._is_named = self._is_named and is_named
        division = _Division(self._known, self._named, self._is_named)
        kept = [dated for dated in self._divisions if _counts(dated, now_s)]
        if not kept or kept[-1].division != division:
            if kept:
                kept[-1].replaced_at_s = now_s
            hashes = _hashes_of(division.hosts), _hashes_of(division.named)
            kept.append(_DatedDivision(division, *hashes))
        self._divisions = kept

    def _part_of(self, dated: _DatedDivision, target: TargetId, spendable: int) -> int:
        part = dated.requests.get((target, spendable))
        if part is None:
            part = self._compute_part(dated, target, spendable)
            if len(dated.requests) >= PARTS_KEPT:
                dated.requests.clear()
            dated.requests[target, spendable] = part
        return part

    def _compute_part(
        self, dated: _DatedDivision, target: TargetId, spendable: int
    ) -> int:
        if len(dated.division.hosts) <= 1:
            # Others may exist that this host has never met. Up to as many as are
            # assumed, or as the allowance has requests, stay within it.
            return max(spendable // ASSUMED_HOSTS, min(1, spendable))
        of_named = spendable // 2
        part = self._ranked_part(dated.host_hashes, target, spendable - of_named)
        if dated.division.is_named:
            part += self._ranked_part(dated.named_hashes, f"named {target}", of_named)
        return part

    def _ranked_part(self, hosts: tuple[int, ...], key: str, requests: int) -> int:
        """Returns this host's part if requests are dealt out in order of rank.

        A host that is added never raises the part of another one, so the parts stay
        within the allowance where hosts know of different additions.
        """
        target = _hash_of(key)
        own = _mix(_hash_of(self._own), target)
        rank = sum((host ^ target) * MIX_FACTOR & MIX_MASK > own for host in hosts)
        return max(0, (requests - rank + len(hosts) - 1) // len(hosts))


def _deal(hosts: frozenset[DaemonId], key: str, requests: int) -> dict[DaemonId, int]:
    """Returns the parts of all hosts that get any, as `ColdShare` deals them out."""
    target = _hash_of(key)
    ranked = sorted(hosts, key=lambda host: -_mix(_hash_of(host), target))
    return {
        host: (requests - rank + len(ranked) - 1) // len(ranked)
        for rank, host in enumerate(ranked[:requests])
    }


def _mix(host: int, target: int) -> int:
    return (host ^ target) * MIX_FACTOR & MIX_MASK


def _counts(dated: _DatedDivision, now_s: float) -> bool:
    replaced_at_s = dated.replaced_at_s
    return replaced_at_s is None or now_s - replaced_at_s < SETTLE_S


@functools.lru_cache(HASHES_KEPT)
def _hash_of(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=HASH_BYTES)
    return int.from_bytes(digest.digest(), "big")


def _hashes_of(hosts: Iterable[DaemonId]) -> tuple[int, ...]:
    return tuple(map(_hash_of, hosts))
