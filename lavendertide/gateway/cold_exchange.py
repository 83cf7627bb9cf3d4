"""Exchanges with peers the requests to cold targets that some of them don't need.

A host that withholds requests asks hosts that have a part of the allowance, and those
answer if they can give some. Nothing is sent while no request is withheld.
"""

from collections import defaultdict
from dataclasses import replace
from typing import Final

from lavendertide.fleet.peers import Peers
from lavendertide.fleet.roster import SILENCE_S, Roster
from lavendertide.ids import DaemonId
from lavendertide.messages import ColdGrants
from lavendertide.overload.byte_budget import BYTES_PER_S, ByteBudget
from lavendertide.registry.registry import TargetRegistry
from lavendertide.runtime import clock, tasks
from lavendertide.warmup.cold_share import ColdShare
from lavendertide.warmup.cold_targets import ColdTargets
from lavendertide.warmup.grant_requests import ColdGrant, GrantRequests, Shortage
from lavendertide.warmup.metrics import ColdMetrics
from lavendertide.warmup.run_allowance import USE_S

# Interval between looks at what was withheld; a fraction of the time of use.
LOOK_INTERVAL_S: Final = 0.1
# Targets for which hosts are asked at a look. More can't be asked for within the bytes,
# and to find the givers among 510 hosts takes up to 1 ms for each.
SHORTAGES_MAX: Final = 4
# Grants of a peer's frame that are handled.
ITEMS_MAX: Final = 64
# Bytes of a frame and of a grant beside the names, rounded up
# (tests/encodings/test_peer_frames.py compares them with the encoding).
FRAME_BYTES: Final = 40
ITEM_BYTES: Final = 52
# Of the bytes for load information, those for grants; capacities need the others.
COLD_BYTES_PER_S: Final = BYTES_PER_S // 2


class ColdExchange:
    """Asks peers for requests to cold targets, and answers them.

    Args:
        budget: The bytes of all load information that this host sends.
    """

    def __init__(
        self,
        cold: ColdTargets,
        share: ColdShare,
        registry: TargetRegistry,
        roster: Roster,
        peers: Peers,
        metrics: ColdMetrics,
        budget: ByteBudget | None = None,
    ) -> None:
        self._cold = cold
        self._share = share
        self._registry = registry
        self._roster = roster
        self._peers = peers
        self._metrics = metrics
        self._budget = budget or ByteBudget()
        self._own_budget = ByteBudget(COLD_BYTES_PER_S)
        self._requests = GrantRequests(roster.own.daemon)

    def run(self) -> None:
        """Asks for what is missing until the process ends."""
        while True:
            tasks.sleep(LOOK_INTERVAL_S)
            self.ask_due(clock.monotonic_s())

    def ask_due(self, now_s: float) -> None:
        """Asks for the requests that were withheld since the last call."""
        # Where the bytes don't suffice, each target has its turn by chance.
        shortages = self._cold.take_shortages(SHORTAGES_MAX)
        if not shortages or not self._share.may_transfer(now_s):
            return
        wishes: defaultdict[DaemonId, list[ColdGrant]] = defaultdict(list)
        left = self._left(now_s)
        for shortage in shortages:
            size = FRAME_BYTES + self._size_of(shortage.record.target)
            if left < size:
                break
            chosen = self._requests.select(
                shortage.record.run,
                shortage.requests,
                self._reachable_parts(shortage, now_s),
                now_s,
                left // size,
            )
            for giver, wish in chosen:
                left -= size
                wishes[giver].append(wish)
                self._metrics.asked.inc(wish.requests)
        for giver, items in wishes.items():
            self._send(giver, items, now_s)

    def handle(
        self, grants: tuple[ColdGrant, ...], sender: DaemonId, now_s: float
    ) -> None:
        """Answers a peer's wishes and uses its gifts; does neither with an old view."""
        if not self._share.may_transfer(now_s):
            return
        answers: list[ColdGrant] = []
        left = self._left(now_s)
        for grant in grants[:ITEMS_MAX]:
            if not grant.is_wish:
                self._receive(grant, sender, now_s)
                continue
            left -= FRAME_BYTES + self._size_of(grant.run.target)
            if grant.receiver == sender and left >= 0:
                answers += self._answer(grant, now_s)
        if answers:
            self._send(sender, answers, now_s)

    def _receive(self, grant: ColdGrant, sender: DaemonId, now_s: float) -> None:
        accepted = self._requests.accept(grant, sender, now_s)
        if accepted is None:
            return
        requests, until_s = accepted
        if self._cold.receive(grant.run, requests, until_s, now_s):
            self._metrics.received.inc(requests)

    def _answer(self, wish: ColdGrant, now_s: float) -> list[ColdGrant]:
        record = self._registry.find(wish.run.target)
        if record is None or record.run != wish.run:
            return []
        given = self._cold.give(record, wish.requests, now_s)
        self._metrics.given.inc(given)
        valid_ms = round(USE_S * 1_000)
        return [replace(wish, requests=given, valid_ms=valid_ms)] if given else []

    def _reachable_parts(self, shortage: Shortage, now_s: float) -> dict[DaemonId, int]:
        target = shortage.record.target
        parts = self._share.givers_of(target, shortage.spendable)
        return {
            name: part
            for name, part in parts.items()
            if self._roster.is_reachable(name, SILENCE_S, now_s)
        }

    def _send(self, receiver: DaemonId, items: list[ColdGrant], now_s: float) -> None:
        member = self._roster.find(receiver)
        if member is None or member not in self._roster.members:
            return
        size = FRAME_BYTES + sum(self._size_of(item.run.target) for item in items)
        for budget in (self._budget, self._own_budget):
            budget.record(size, now_s)
        self._peers.link_to(member).send(ColdGrants(tuple(items)))

    def _left(self, now_s: float) -> int:
        return min(self._budget.left(now_s), self._own_budget.left(now_s))

    def _size_of(self, target: str) -> int:
        # The names of hosts are about as long as this one's.
        return ITEM_BYTES + len(target) + len(self._roster.own.daemon)
