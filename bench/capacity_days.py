"""Compares rankings of targets whose speed differs or changes, in virtual time.

`python -m bench.capacity_days --days 5` simulates days of the forwarding code on model
targets, for each load and each ranking, and prints one line of JSON for each pair: the
share of requests that were served within their objective. The same seed gives the same
arrivals, so the lines of one load can be compared.

`python -m bench.capacity_days --spread 5` measures instead how long it takes after a
target has become four times slower, and after it has recovered, until nine in ten hosts
of a fleet of 62 reflect it.

The loads whose names begin with `domains` have targets in three failure domains, one
replica of each shard in each, and 9 of 33 hosts receive all requests.
"""

import json
import logging
import math
import os
import random
import statistics
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final

import click

from bench.revision import revision
from lavendertide.forwarding.target_view import TargetView, TargetViews
from lavendertide.ids import FailureDomain, TargetId
from lavendertide.overload.reported_load import ReportedLoad
from lavendertide.overload.target_capacity import TargetCapacity
from lavendertide.registry.record import TargetRecord
from lavendertide.runtime import clock, tasks
from standins.model_day import (
    DAY_S,
    PATH_PREFIXES,
    DemandPhase,
    WorkChange,
    simulate_day,
)
from standins.model_fleet import WAIT_MAX_S, Conditions, ModelFleet, Size
from standins.model_targets import ModelTarget
from standins.virtual_time import run_on_virtual_clock

# The moving average that the ranking used before `TargetCapacity`.
AVERAGE_WEIGHT: Final = 0.25
AVERAGE_HALF_LIFE_S: Final = 2.0
# Slowness from which a host is taken to reflect that a target is slow.
REFLECTED_SLOWNESS: Final = 1.5
FLEET_HOSTS: Final = 62
WARM_UP_S: Final = 4.0
SLOW_S: Final = 3.0
WATCHED_S: Final = 4.0
# The disturbances: 15% of the targets take 2.5 times as long for 600 ms.
NOISE: Final = tuple(WorkChange(2.5, 1.0 + 2.0 * n, 0.6, 0.15) for n in range(9))
SPEEDS: Final = (1 / 0.8, 1.0, 1 / 1.3)


class MovingAverage(TargetCapacity):
    """The estimate before `TargetCapacity`, which knew no reports and no late calls."""

    _average: float = 1.0
    _average_at_s: float = 0.0

    def slowness(self, now_s: float) -> float:
        """Returns the average, which decays towards one."""
        age_s = now_s - self._average_at_s
        decay: float = 0.5 ** (age_s / AVERAGE_HALF_LIFE_S)
        return 1.0 + (self._average - 1.0) * decay

    def record_work(self, ratio: float, now_s: float) -> None:
        """Moves the average towards the newest time."""
        current = self.slowness(now_s)
        self._average = current + AVERAGE_WEIGHT * (min(32.0, ratio) - current)
        self._average_at_s = now_s

    def record_load(self, load: ReportedLoad, now_s: float) -> None:
        """Ignores the load."""

    def record_late(self, ratio: float, now_s: float) -> None:
        """Ignores a late call."""


class AverageViews(TargetViews):
    """Ranks by moving averages and by this host's open calls."""

    def view_of(self, target: TargetId) -> TargetView:
        """Returns the view of a target, which is created if there is none."""
        if target not in self._views:
            self._views[target] = TargetView(capacity=MovingAverage())
        return self._views[target]


class RandomChoices(TargetViews):
    """Ranks a few targets that are chosen at random first."""

    choices: int = 2

    def rank_targets(
        self, records: tuple[TargetRecord, ...], now_s: float, jitter: float
    ) -> list[TargetRecord]:
        """Returns the best of the chosen targets, and the others after them."""
        ranked = super().rank_targets(records, now_s, jitter)
        chosen = random.sample(ranked, min(self.choices, len(ranked)))
        return [r for r in ranked if r in chosen] + [
            r for r in ranked if r not in chosen
        ]


# Peers that each host shares with, and whether stalls count.
SPREADS: Final = ((0, True), (8, True), (0, False), (8, False), (15, False))
RANKINGS: Final[dict[str, Callable[[FailureDomain], TargetViews]]] = {
    "moving_average": AverageViews,
    "expected_time": TargetViews,
    "best_of_two_choices": RandomChoices,
}


@dataclass(frozen=True, slots=True)
class Load:
    """What the days of one load have in common.

    Attributes:
        conditions: How the targets differ.
        changes: Periods in which work takes longer.
        per_s: Requests a second at the usual demand.
        demand: Periods of higher demand.
        shards: Shards that a search gathers.
        hosts: Hosts, unless they are given on the command line.
        coverage_min: Least share of the shards in the response to a search.
    """

    conditions: Conditions
    changes: tuple[WorkChange, ...]
    per_s: float
    demand: tuple[DemandPhase, ...] = ()
    shards: int = 10
    hosts: int = 16
    coverage_min: float = 0.9


DOMAINS: Final = Conditions(work_factors=SPEEDS, domains=3, named_hosts=9)
LOADS: Final[dict[str, Load]] = {
    "differing_speeds": Load(Conditions(work_factors=SPEEDS), (), 200.0),
    "noise": Load(Conditions(), NOISE, 200.0),
    "four_times_slower": Load(
        Conditions(),
        tuple(WorkChange(4.0, at_s, 3.0, 0.2) for at_s in (2.0, 8.0, 14.0)),
        200.0,
    ),
    "slows_before_full": Load(Conditions(slots=4, crowding=2.0), (), 300.0),
    "all": Load(Conditions(4, SPEEDS, 2.0), NOISE, 250.0),
    "domains_usual": Load(DOMAINS, NOISE, 90.0, shards=12, hosts=33),
    # Sixfold demand in one domain, then in another.
    "domains_uneven": Load(
        DOMAINS,
        NOISE,
        90.0,
        (DemandPhase(6.0, 4.0, 5.0, 0), DemandPhase(6.0, 11.0, 5.0, 1)),
        shards=12,
        hosts=33,
    ),
    # Four times the load, while 40% of the targets, two of a service at most, are six
    # times slower.
    "domains_overload": Load(
        DOMAINS,
        (WorkChange(6.0, 6.0, 6.0, 0.4, spared=1),),
        30.0,
        (DemandPhase(4.0, 6.0, 4.0),),
        shards=30,
        hosts=33,
        coverage_min=0.95,
    ),
}


@click.command()
@click.option("--days", default=0, help="How many days for each pair.")
@click.option("--spread", default=0, help="How many changes to measure.")
@click.option("--hosts", default=0, help="Hosts on the days; by the load if absent.")
@click.option("--per-s", default=400.0, show_default=True, help="Rate of the spread.")
@click.option("--load", "only", multiple=True, type=click.Choice(list(LOADS)))
@click.option("--ranking", "rankings", multiple=True, type=click.Choice(list(RANKINGS)))
@click.option("--reports/--no-reports", default=None, help="Both if absent.")
def main(
    days: int,
    spread: int,
    hosts: int,
    per_s: float,
    only: tuple[str, ...],
    rankings: tuple[str, ...],
    reports: bool | None,
) -> None:
    """Prints the results."""
    logging.disable(logging.CRITICAL)
    for name, load in LOADS.items() if days else ():
        if only and name not in only:
            continue
        for reported in (False, True) if reports is None else (reports,):
            for ranking, make_views in RANKINGS.items():
                if rankings and ranking not in rankings:
                    continue
                if reported and make_views is AverageViews:
                    continue
                click.echo(
                    json.dumps(
                        {
                            "load": name,
                            "reports": reported,
                            "ranking": ranking,
                            **_simulate_days(load, reported, make_views, days, hosts),
                            "day_s": DAY_S,
                            "commit": revision(),
                        }
                    )
                )
    for links, with_stalls in SPREADS if spread else ():
        pairs = [
            measure_spread(seed, links, per_s, with_stalls) for seed in range(spread)
        ]
        line: dict[str, object] = {
            "links": links,
            "with_stalls": with_stalls,
            "per_s": per_s,
            "slow_ms": [pair[0] for pair in pairs],
            "recovered_ms": [pair[1] for pair in pairs],
            "hosts": FLEET_HOSTS,
            "commit": revision(),
        }
        click.echo(json.dumps(line))


def _simulate_days(
    load: Load,
    reported: bool,
    make_views: Callable[[FailureDomain], TargetViews],
    days: int,
    hosts: int,
) -> dict[str, object]:
    """Returns the figures of the days of one load with one ranking."""
    conditions = replace(load.conditions, reports_load=reported, make_views=make_views)
    size = Size(hosts or load.hosts, load.shards, coverage_min=load.coverage_min)
    results = [
        simulate_day(seed, size, (), load.per_s, conditions, load.changes, load.demand)
        for seed in range(1, days + 1)
    ]
    shares = [result.in_time_share for result in results]
    missing = [result.missing_shards / result.requests for result in results]
    return {
        "in_time_mean": round(statistics.fmean(shares), 4),
        "in_time": [round(share, 4) for share in shares],
        "missing_shards_mean": round(statistics.fmean(missing), 3),
        "busiest_to_mean": [round(each.peak_load_ratio, 2) for each in results],
        "violations": sum(len(each.violations) for each in results),
        "days": days,
        "hosts": size.hosts,
        "shards": size.shards,
    }


def measure_spread(
    seed: int, links: int, per_s: float, with_stalls: bool
) -> tuple[float, float]:
    """Returns the milliseconds until nine in ten hosts reflect two changes.

    Args:
        seed: Seed of the arrivals, the service times and the target.
        links: Peers that each host sends its observations to.
        per_s: Requests a second of all hosts together.
        with_stalls: Whether a target that is taken for stalled counts as slow. Stall
            notices reach all hosts of the model, so they spread faster.

    Returns:
        After a target has become four times slower, and after it has recovered;
        infinity if it took longer than `WATCHED_S`.
    """

    def run() -> tuple[float, float]:
        random.seed(seed)
        generator = random.Random(seed)
        conditions = Conditions(slots=4, links=links)
        fleet = ModelFleet(Size(FLEET_HOSTS), generator, conditions)
        tasks.spawn(_send_forever, fleet, generator, per_s)
        tasks.sleep(WARM_UP_S)
        model = generator.choice(list(fleet.targets.values()))
        model.work_factor = 4.0
        slow_ms = _time_until(fleet, model, True, with_stalls)
        tasks.sleep(SLOW_S)
        model.work_factor = 1.0
        return slow_ms, _time_until(fleet, model, False, with_stalls)

    return run_on_virtual_clock(run)


def _send_forever(fleet: ModelFleet, generator: random.Random, per_s: float) -> None:
    number = 0
    while True:
        tasks.sleep(generator.expovariate(per_s))
        number += 1
        path = generator.choice(PATH_PREFIXES[:2]) + str(number)
        host = generator.choice(fleet.hosts)
        tasks.spawn(host.forward, f"r{number}", path, WAIT_MAX_S)


def _time_until(
    fleet: ModelFleet, model: ModelTarget, is_slow: bool, with_stalls: bool
) -> float:
    began_s = clock.monotonic_s()
    while clock.monotonic_s() - began_s < WATCHED_S:
        tasks.sleep(0.01)
        now_s = clock.monotonic_s()
        views = [host.views.view_of(model.record.target) for host in fleet.hosts]
        reflecting = sum(
            is_slow
            == (
                view.capacity.slowness(now_s) >= REFLECTED_SLOWNESS
                or (with_stalls and view.is_stalled(now_s))
            )
            for view in views
        )
        if reflecting >= 0.9 * len(views):
            return round(1_000 * (now_s - began_s))
    return math.inf


if __name__ == "__main__":
    # The hash seed determines the order of sets and so the random draws of a day.
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.environ["PYTHONHASHSEED"] = "0"
        os.execv(sys.executable, [sys.executable, "-m", __spec__.name, *sys.argv[1:]])
    main()
