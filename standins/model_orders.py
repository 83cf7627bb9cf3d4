"""Simulates a day on which targets lose requests that can't be repeated.

The faults are those of the deployments: targets crash, flap, lose replies by silence or
by a reset, reply with errors while their health check is good, forget idle connections,
and leave. Periods with faults follow each other, and a quarter of the day is calm.
"""

import math
import random
from dataclasses import dataclass
from typing import Final

from lavendertide.forwarding.messages import Failed, Passed, Response
from lavendertide.runtime import clock, tasks
from standins.model_day import DAY_S, DayResult, ModelDay
from standins.model_fleet import NO_CONDITIONS, Size
from standins.model_targets import Fault, ModelTarget
from standins.virtual_time import run_on_virtual_clock

ORDER: Final = "/order/"
PER_S: Final = 240.0
SIZE: Final = Size(hosts=4, shards=1, replicas=6)
# The day begins with the calm period.
CALM_S: Final = 5.0
PERIOD_S: Final = 5.0
PAUSE_S: Final = 2.0
# Share of the targets that lose replies, and of the replies that each of them loses.
AFFECTED_SHARE: Final = (0.45, 0.6)
LOST_SHARE: Final = (0.025, 0.05)
ERROR_SHARE: Final = 0.2
FLAP_S: Final = 1.4
DOWN_S: Final = 1.0
# Time after which the entry of a target's new run is published.
PUBLISHED_AFTER_S: Final = 0.3
FORGETS_AFTER_S: Final = 0.3


@dataclass(frozen=True, slots=True)
class OrderResult:
    """What became of the requests that can't be repeated.

    Attributes:
        orders: Orders that arrived while there were faults.
        lost: Those of them that may have run without a usable reply.
        refused: Those of them that were refused.
        calm_s: Times of the orders of the calm period, sorted.
        busiest_share: Largest share of the orders that one of their targets ran.
        day: The results of the day for all requests.
    """

    orders: int
    lost: int
    refused: int
    calm_s: tuple[float, ...]
    busiest_share: float
    day: DayResult

    @property
    def lost_share(self) -> float:
        """Share of the orders that were lost while there were faults."""
        return self.lost / max(1, self.orders)


class OrderDay(ModelDay):
    """Simulates one day with the faults that lose orders."""

    # Searches use other targets.
    path_weights = (0, 75, 25)

    def __init__(self, seed: int, size: Size, per_s: float) -> None:
        super().__init__(seed, size, (), per_s, NO_CONDITIONS)
        self._faults = random.Random(seed)
        self._orders = self._lost = self._refused = 0
        self._calm_s: list[float] = []
        self._order_names: set[str] = set()
        self._starts_at_s = clock.monotonic_s()

    def play(self) -> OrderResult:
        """Simulates the day."""
        tasks.spawn(self._apply_faults)
        day = self.simulate()
        ran = [
            sum(name in self._order_names for name in model.executed_requests)
            for model in self._fleet.targets.values()
        ]
        return OrderResult(
            self._orders,
            self._lost,
            self._refused,
            tuple(sorted(self._calm_s)),
            max(ran) / max(1, sum(ran)),
            day,
        )

    def _apply_faults(self) -> None:
        tasks.sleep(CALM_S)
        desks = self._fleet.size.routes[-1].services
        for _ in range(int((DAY_S - CALM_S) / (PERIOD_S + PAUSE_S))):
            targets = [
                model
                for model in self._fleet.targets.values()
                if model.record.service in desks
            ]
            flapping, crashing, leaving = self._faults.sample(targets, 3)
            tasks.spawn(self._flap, flapping)
            tasks.spawn(self._crash, crashing)
            tasks.spawn(self._leave, leaving)
            others = [t for t in targets if t not in (flapping, crashing, leaving)]
            self._lose_replies(others)
            tasks.sleep(PERIOD_S)
            for model in others:
                model.fault = Fault.NONE
                model.forgets_after_s = math.inf
            tasks.sleep(PAUSE_S)

    def _lose_replies(self, targets: list[ModelTarget]) -> None:
        share = self._faults.uniform(*AFFECTED_SHARE)
        affected = self._faults.sample(targets, math.ceil(share * len(targets)))
        for model in affected:
            model.fault = self._faults.choice((Fault.LOSSY, Fault.SILENT))
            model.lost_share = self._faults.uniform(*LOST_SHARE)
        erring = self._faults.choice(affected)
        self._faults.choice(targets).forgets_after_s = FORGETS_AFTER_S
        erring.fault, erring.lost_share = Fault.ERRORS, ERROR_SHARE

    def _flap(self, model: ModelTarget) -> None:
        """Lets a target crash and return several times; its entry stays the same."""
        ends_at_s = clock.monotonic_s() + PERIOD_S - FLAP_S
        while clock.monotonic_s() < ends_at_s:
            model.crash()
            tasks.sleep(FLAP_S)
            model.fault = Fault.NONE
            tasks.sleep(FLAP_S)

    def _crash(self, model: ModelTarget) -> None:
        tasks.sleep(self._faults.uniform(0.0, PERIOD_S - 2 * DOWN_S))
        model.crash()
        tasks.sleep(DOWN_S)
        model.restart()
        tasks.sleep(PUBLISHED_AFTER_S)
        self._fleet.publish(model.record)

    def _leave(self, model: ModelTarget) -> None:
        model.fault = Fault.LEAVING
        tasks.sleep(PERIOD_S / 2)
        model.restart()
        self._fleet.publish(model.record)

    def _record_response(
        self, name: str, path: str, response: Response, took_s: float
    ) -> None:
        super()._record_response(name, path, response, took_s)
        if not path.startswith(ORDER):
            return
        self._order_names.add(name)
        started_s = clock.monotonic_s() - took_s - self._starts_at_s
        if started_s < CALM_S:
            self._calm_s.append(took_s)
            return
        is_error = isinstance(response, Passed) and not response.reply.is_success
        self._orders += 1
        self._lost += is_error or isinstance(response, Failed)
        self._refused += type(response).__name__ == "Refused"


def simulate_order_day(
    seed: int, size: Size = SIZE, per_s: float = PER_S
) -> OrderResult:
    """Simulates the day of a seed on a virtual clock.

    Args:
        seed: Seed of the arrivals, the service times and the faults.
        size: Size of the fleet.
        per_s: Requests per second of all callers together; a tenth are orders.
    """

    def run() -> OrderResult:
        random.seed(seed)
        return OrderDay(seed, size, per_s).play()

    return run_on_virtual_clock(run)
