"""Decides to which target a request is sent that may run only once.

Load pattern: on each host a few requests a second can't be repeated, among others that
can, while some targets crash, flap, lose a few percent of their replies or reply with
errors. A lost request is an error for its caller, so a slower target is better for it.

While hosts disagree, each goes by its own calls alone. A host that has lost nothing
lately ranks targets as for any other request.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from lavendertide.forwarding.messages import (
    NotRun,
    NotRunReason,
    Replied,
    TargetReply,
    Unknown,
    UnknownReason,
)
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.ids import TargetId
from lavendertide.registry.record import TargetRecord, TargetRun

# Half-life of the evidence: about as long as targets lose replies or flap.
HALF_LIFE_S: Final = 5.0
# Exchanges without loss that are assumed, so that one loss is no certainty.
PRIOR_EXCHANGES: Final = 4.0
# Risk of a target that has just had one outage; it falls with the time it is up.
OUTAGE_RISK: Final = 0.02
# Cost of a certain loss in usual request times.
LOSS_COST: Final = 100.0
# Most that a target may cost for its risk. A target that is slower than this by its
# queue isn't preferred, so that requests don't pile up at the last one without losses.
COST_MAX: Final = 12.0
# Exchanges before a loss that count beside it: targets begin to lose replies suddenly.
EXCHANGES_BEFORE_LOSS: Final = 4.0
# Evidence of a target that this host no longer calls is discarded after this time.
FORGOTTEN_S: Final = 60.0


@dataclass(slots=True)
class _Evidence:
    """What this host has seen of a target lately; the weights are as of `at_s`."""

    run: TargetRun
    at_s: float
    exchanges: float = 0.0
    losses: float = 0.0
    outages: float = 0.0
    is_down: bool = False

    def advance(self, now_s: float) -> None:
        """Lets the weights decay until a time."""
        factor = self._factor(now_s)
        self.exchanges *= factor
        self.losses *= factor
        self.outages *= factor
        self.at_s = now_s

    def begin_run(self, run: TargetRun) -> None:
        """Replaces the losses of a run that has ended; its outages remain.

        Losses may have been its end, so together they count as one outage.
        """
        self.outages += min(1.0, self.losses)
        self.exchanges = self.losses = 0.0
        self.run = run

    def risk(self, now_s: float) -> float:
        """Returns the probability that the next request is lost, from 0 to 1."""
        factor = self._factor(now_s)
        exchanges = PRIOR_EXCHANGES + factor * (self.exchanges + self.losses)
        risk = factor * (self.losses / exchanges + OUTAGE_RISK * self.outages)
        return min(1.0, risk)

    def _factor(self, now_s: float) -> float:
        factor: float = 0.5 ** (max(0.0, now_s - self.at_s) / HALF_LIFE_S)
        return factor


class LossRisks:
    """The risk of each target to lose a request, by this host's own calls."""

    def __init__(self) -> None:
        self._by_target: dict[TargetId, _Evidence] = {}

    def record(self, call: TargetCall, reply: TargetReply, now_s: float) -> None:
        """Records how a call of any kind has ended."""
        run = call.record.run
        match reply:
            case Replied():
                self._add(run, is_loss(reply), now_s)
            case NotRun(reason=NotRunReason.UNREACHABLE):
                evidence = self._evidence_of(run, now_s)
                evidence.outages += not evidence.is_down
                evidence.is_down = True
            case Unknown(reason=UnknownReason.CANCELLED):
                # Most are calls that a pause of the target has made late. In trials
                # they delayed orders in calm periods by 50 ms (p99).
                pass
            case Unknown(reason=UnknownReason.CLOSED) if call.is_on_rested:
                # Calls that can't be repeated use no connection that has rested.
                pass
            case Unknown():
                self._add(run, True, now_s)

    def risk_of(self, record: TargetRecord, now_s: float) -> float:
        """Returns the probability that a target loses a request that is sent now."""
        evidence = self._by_target.get(record.target)
        return 0.0 if evidence is None else evidence.risk(now_s)

    def cost_of(self, record: TargetRecord, now_s: float) -> float:
        """Returns the cost of a target's risk, in usual request times."""
        return min(COST_MAX, LOSS_COST * self.risk_of(record, now_s))

    def rank(
        self,
        ranked: Sequence[TargetRecord],
        score_of: Callable[[TargetRecord], float],
        now_s: float,
    ) -> list[TargetRecord]:
        """Returns targets by score and risk, the best one first.

        Args:
            ranked: Targets of one service by score, the best one first.
            score_of: Returns the cost without the risk, in usual request times.
            now_s: Present time, monotonic.
        """
        if not any(self.risk_of(record, now_s) for record in ranked):
            return list(ranked)

        def total_cost(record: TargetRecord) -> float:
            return score_of(record) + self.cost_of(record, now_s)

        return sorted(ranked, key=total_cost)

    def discard_old(self, now_s: float) -> None:
        """Discards the evidence of targets that were not called for some time."""
        self._by_target = {
            target: evidence
            for target, evidence in self._by_target.items()
            if now_s - evidence.at_s <= FORGOTTEN_S
        }

    def _add(self, run: TargetRun, is_lost: bool, now_s: float) -> None:
        evidence = self._evidence_of(run, now_s)
        evidence.is_down = False
        if is_lost:
            evidence.exchanges = min(evidence.exchanges, EXCHANGES_BEFORE_LOSS)
            evidence.losses += 1.0
        else:
            evidence.exchanges += 1.0

    def _evidence_of(self, run: TargetRun, now_s: float) -> _Evidence:
        evidence = self._by_target.get(run.target)
        if evidence is None:
            evidence = self._by_target[run.target] = _Evidence(run, now_s)
        evidence.advance(now_s)
        if evidence.run != run:
            evidence.begin_run(run)
        return evidence


def is_loss(reply: TargetReply) -> bool:
    """Returns whether a request may have run and its caller gets no usable reply."""
    match reply:
        case Replied(status=status):
            return status >= 500
        case Unknown(reason=reason):
            return reason is not UnknownReason.CANCELLED
        case _:
            return False
