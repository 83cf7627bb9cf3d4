"""Decides whom to ask for unused requests to cold targets, and which gifts count.

Load pattern: the requests of a service arrive at few of many hosts while its targets
are cold. A host asks only while it has withheld requests, and the hosts that by its own
view have a part of the target's allowance. While hosts disagree, it asks some in vain.
"""

import itertools
import random
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from lavendertide.ids import DaemonId
from lavendertide.registry.record import TargetRecord, TargetRun
from lavendertide.warmup.run_allowance import HELD_S, USE_S

# Hosts that are asked for one target at a look.
ASKED_MAX: Final = 4
# A host that gave nothing isn't asked for the same target again for this long.
REFUSED_S: Final = 4.0
# After so many wishes in a row without a gift a host is taken for busy, and is asked
# for no target for that long.
REFUSALS_MAX: Final = 3
# How long the refusals of a host count; then it is asked as if it had never refused.
REFUSALS_KEPT_S: Final = 30.0
# Most requests for which one message asks.
REQUESTS_MAX: Final = 1_000
SERIAL_BITS: Final = 40


@dataclass(frozen=True, slots=True)
class ColdGrant:
    """A gift of requests to a cold run, or a host's wish for one.

    Attributes:
        receiver: The host that asks.
        requests: How many are wanted or given.
        valid_ms: How long after it has asked the receiver may use them; zero in a wish.
        serial: Number by which the receiver matches a gift to its wish.
    """

    run: TargetRun
    receiver: DaemonId
    requests: int
    valid_ms: int
    serial: int

    @property
    def is_wish(self) -> bool:
        """Whether the receiver asks for requests."""
        return self.valid_ms == 0


@dataclass(frozen=True, slots=True)
class Shortage:
    """A cold target of which this host could use more than its part.

    Attributes:
        requests: The requests that were withheld.
        spendable: What all hosts together may send to it in one window.
    """

    record: TargetRecord
    requests: int
    spendable: int


@dataclass(frozen=True, slots=True)
class _Wish:
    run: TargetRun
    giver: DaemonId
    requests: int
    at_s: float


class GrantRequests:
    """The wishes of this host that other hosts have not answered yet.

    Args:
        own: This host.
    """

    def __init__(self, own: DaemonId) -> None:
        self._own = own
        # No message to an earlier process of this host has such a number.
        self._serials = itertools.count(random.getrandbits(SERIAL_BITS))
        self._open: dict[int, _Wish] = {}
        self._refusals: dict[DaemonId, tuple[int, float]] = {}
        self._ask_again_at_s: dict[tuple[TargetRun, DaemonId], float] = {}

    def select(
        self,
        run: TargetRun,
        wanted: int,
        givers: Mapping[DaemonId, int],
        now_s: float,
        asked_max: int = ASKED_MAX,
    ) -> list[tuple[DaemonId, ColdGrant]]:
        """Returns the hosts to ask now.

        Args:
            run: A cold run of which this host needs more.
            wanted: The requests that it has withheld.
            givers: What each reachable host may send to the run; the first ones are
                asked first.
            now_s: Present time, monotonic.
            asked_max: Most hosts to ask.
        """
        self._forget_old(now_s)
        asked = [name for name in givers if self._may_ask(run, name, now_s)]
        wishes: list[tuple[DaemonId, ColdGrant]] = []
        for giver in asked[: min(asked_max, ASKED_MAX)]:
            if wanted <= 0:
                break
            requests = min(wanted, givers[giver], REQUESTS_MAX)
            wanted -= requests
            serial = next(self._serials)
            self._open[serial] = _Wish(run, giver, requests, now_s)
            self._ask_again_at_s[run, giver] = now_s + REFUSED_S
            wishes.append((giver, ColdGrant(run, self._own, requests, 0, serial)))
        return wishes

    def accept(
        self, grant: ColdGrant, sender: DaemonId, now_s: float
    ) -> tuple[int, float] | None:
        """Returns the requests of a gift and the time until which they may be used.

        Returns none for a gift that is late, a duplicate, or no answer to a wish.
        """
        wish = self._open.get(grant.serial)
        if wish is None or (wish.run, wish.giver) != (grant.run, sender):
            return None
        if grant.receiver != self._own or not 0 < grant.requests <= wish.requests:
            return None
        del self._open[grant.serial]
        until_s = wish.at_s + min(USE_S, grant.valid_ms / 1_000)
        if now_s > until_s:
            return None
        self._ask_again_at_s[wish.run, sender] = wish.at_s + HELD_S
        self._refusals.pop(sender, None)
        return grant.requests, until_s

    def _may_ask(self, run: TargetRun, giver: DaemonId, now_s: float) -> bool:
        refusals, last_at_s = self._refusals.get(giver, (0, 0.0))
        if refusals >= REFUSALS_MAX and now_s < last_at_s + REFUSED_S:
            return False
        return now_s >= self._ask_again_at_s.get((run, giver), now_s)

    def _forget_old(self, now_s: float) -> None:
        for wish in self._open.values():
            if now_s > wish.at_s + USE_S:
                refusals, _ = self._refusals.get(wish.giver, (0, 0.0))
                self._refusals[wish.giver] = refusals + 1, now_s
        self._open = {
            serial: wish
            for serial, wish in self._open.items()
            if now_s <= wish.at_s + USE_S
        }
        self._refusals = {
            giver: (refusals, at_s)
            for giver, (refusals, at_s) in self._refusals.items()
            if now_s < at_s + REFUSALS_KEPT_S
        }
        self._ask_again_at_s = {
            key: at_s for key, at_s in self._ask_again_at_s.items() if at_s > now_s
        }
