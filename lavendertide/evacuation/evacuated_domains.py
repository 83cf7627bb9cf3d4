"""Knows which failure domains are evacuated, from copies that arrive in any order.

Load pattern: all requests of a service move at once from the targets of one failure
domain to those of the others, and back some time later.

A host learns of an evacuation from its reads of the platform, from the host that reads
for it, and from notices of any peer. Each copy has the place in the store's history
that set it. While hosts disagree, each one goes by the latest that it knows, so copies
that arrive late change nothing. No state ends by time: a host that is cut off keeps to
what it has read. The exception is an order of which a restored store knows nothing:
either it is written again soon, or it is gone.
"""

import logging
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from lavendertide.ids import FailureDomain
from lavendertide.restoration.position import Position, position_fields
from lavendertide.restoration.restorations import REWRITE_S

# Domains that are remembered; a deployment has fewer. The oldest ended evacuations are
# dropped first, and an evacuated domain never is.
DOMAINS_MAX: Final = 256

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Whether a failure domain is evacuated, as of one place in the store's history.

    Attributes:
        position: Place at which the state was set, or at which it was read.
    """

    domain: FailureDomain
    position: Position
    is_evacuated: bool

    def supersedes(self, other: "Evacuation") -> bool:
        """Returns whether this state is newer than another one of the same domain.

        Of two states of one position, "evacuated" counts.
        """
        own = self.position, self.is_evacuated
        return own > (other.position, other.is_evacuated)


@dataclass(frozen=True, slots=True)
class EvacuatedDomain:
    """A domain that is evacuated now.

    Attributes:
        since_s: When this host learned of it, monotonic.
    """

    domain: FailureDomain
    position: Position
    since_s: float


class EvacuatedDomains:
    """The newest known state of each failure domain."""

    def __init__(self) -> None:
        self._newest: dict[FailureDomain, Evacuation] = {}
        self._since_s: dict[FailureDomain, float] = {}
        self._listeners: list[Callable[[Evacuation, float], None]] = []
        self._complete_position: Position | None = None
        # End of the time within which what a restored store lacks is written again.
        self._rewritten_by_s = -math.inf

    @property
    def has_any(self) -> bool:
        """Whether any domain is evacuated."""
        return bool(self._since_s)

    @property
    def evacuated(self) -> tuple[EvacuatedDomain, ...]:
        """The domains that are evacuated, in the order in which this became known."""
        return tuple(
            EvacuatedDomain(domain, self._newest[domain].position, since_s)
            for domain, since_s in self._since_s.items()
        )

    @property
    def known(self) -> tuple[Evacuation, ...]:
        """The newest known states, ended evacuations included."""
        return tuple(self._newest.values())

    def is_evacuated(self, domain: FailureDomain) -> bool:
        """Returns whether the targets of a domain must get no requests."""
        return domain in self._since_s

    def on_change(self, listener: Callable[[Evacuation, float], None]) -> None:
        """Adds a function that is called with each change of a domain's state.

        It gets the new state and the present time, monotonic.
        """
        self._listeners.append(listener)

    def apply(self, states: Iterable[Evacuation], now_s: float) -> None:
        """Applies states from any source; older ones than the known change nothing."""
        for state in states:
            self._apply_one(state, now_s)

    def apply_notices(self, states: Iterable[Evacuation], now_s: float) -> None:
        """Applies states that a peer sent unasked, and that may be long outdated.

        An order for a domain that a later complete list did not have has ended. This
        host may have started after its end, so that it knows no newer state.
        """
        current = (state for state in states if not self._has_ended(state, now_s))
        self.apply(current, now_s)

    def apply_complete(
        self, states: Iterable[Evacuation], position: Position, now_s: float
    ) -> None:
        """Applies a complete list, so that a removal that was missed is made good.

        Domains that it doesn't list are evacuated no more, unless their evacuation is
        newer than the list. An order of an earlier era may have been lost with the
        store and is kept until `expire` ends it. A list of an earlier era than a known
        one changes nothing.

        Args:
            states: All states that the sender knows.
            position: Place in the store's history as of which the list is complete.
            now_s: Present time, monotonic.
        """
        listed = tuple(states)
        previous = self._complete_position
        if previous is not None and position.era < previous.era:
            return
        if previous is None or position.era > previous.era:
            self._rewritten_by_s = now_s + REWRITE_S
        self._complete_position = position
        self.apply(listed, now_s)
        names = {state.domain for state in listed}
        for domain in [name for name in self._since_s if name not in names]:
            known = self._newest[domain].position
            if known.era == position.era and known <= position:
                self._end(domain, position, now_s)

    def expire(self, now_s: float) -> None:
        """Ends orders that a restored store has lost and that weren't written again."""
        position = self._complete_position
        if position is None or now_s < self._rewritten_by_s:
            return
        for domain in list(self._since_s):
            if self._newest[domain].position.era < position.era:
                self._end(domain, position, now_s)

    def _end(self, domain: FailureDomain, position: Position, now_s: float) -> None:
        self._newest[domain] = Evacuation(domain, position, False)
        self._record_change(self._newest[domain], now_s)

    def _has_ended(self, state: Evacuation, now_s: float) -> bool:
        position = self._complete_position
        if position is None or state.position > position:
            return False
        if state.position.era < position.era:
            return now_s >= self._rewritten_by_s
        return state.domain not in self._newest

    def _apply_one(self, state: Evacuation, now_s: float) -> None:
        known = self._newest.get(state.domain)
        if known is not None and not state.supersedes(known):
            return
        self._newest[state.domain] = state
        was_evacuated = state.domain in self._since_s
        if state.is_evacuated != was_evacuated:
            self._record_change(state, now_s)
        self._drop_surplus()

    def _record_change(self, state: Evacuation, now_s: float) -> None:
        if state.is_evacuated:
            self._since_s[state.domain] = now_s
        else:
            del self._since_s[state.domain]
        _log.warning(
            "failure domain evacuated"
            if state.is_evacuated
            else "evacuation of a failure domain ended",
            extra={"domain": state.domain, **position_fields(state.position)},
        )
        for listener in self._listeners:
            listener(state, now_s)

    def _drop_surplus(self) -> None:
        surplus = len(self._newest) - DOMAINS_MAX
        if surplus <= 0:
            return
        ended = [name for name in self._newest if name not in self._since_s]
        ended.sort(key=lambda name: self._newest[name].position)
        for name in ended[:surplus]:
            del self._newest[name]
