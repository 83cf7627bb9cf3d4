"""Simulates many days of requests and faults in the forwarding code.

`python -m bench.forwarding_days --days 100` runs each day on a virtual clock. It prints
one line of JSON for each of the worst days and a summary of all: the share of requests
that were served within their objective, and the violated guarantees. The same seed
gives the same day, so a change is evaluated by a run before and a run after it.
"""

import json
import os
import statistics
import sys
from dataclasses import asdict
from typing import Final

import click

from bench.revision import revision
from standins.model_day import (
    REQUESTS_PER_S,
    DayResult,
    draw_fault_windows,
    simulate_day,
)
from standins.model_fleet import Size

# Number of days that get a line of their own, the worst first.
WORST_DAYS: Final = 5
DEFAULT_SIZE: Final = Size()


@click.command()
@click.option("--days", default=50, show_default=True, help="How many days.")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--hosts", default=DEFAULT_SIZE.hosts, show_default=True)
@click.option("--shards", default=DEFAULT_SIZE.shards, show_default=True)
@click.option(
    "--per-s", default=REQUESTS_PER_S, show_default=True, help="Requests a second."
)
def main(days: int, first: int, hosts: int, shards: int, per_s: float) -> None:
    """Prints the results; the exit code is 1 if a guarantee was violated."""
    size = Size(hosts, shards)
    results = {
        seed: simulate_day(seed, size, per_s=per_s)
        for seed in range(first, first + days)
    }
    worst = sorted(results, key=lambda seed: results[seed].in_time_share)
    for seed in worst[:WORST_DAYS]:
        click.echo(json.dumps(_line(seed, results[seed])))
    shares = [result.in_time_share for result in results.values()]
    broken = sum(len(result.violations) for result in results.values())
    summary = {
        "bench": "forwarding_days",
        "commit": revision(),
        "days": days,
        "first": first,
        "size": asdict(size),
        "in_time_mean": round(statistics.fmean(shares), 4),
        "in_time_worst": round(min(shares), 4),
        "extra_most": round(max(r.peak_retry_share for r in results.values()), 3),
        "broken": broken,
    }
    click.echo(json.dumps(summary))
    sys.exit(1 if broken else 0)


def _line(seed: int, result: DayResult) -> dict[str, object]:
    return {
        "seed": seed,
        "requests": result.requests,
        "in_time": round(result.in_time_share, 4),
        "whole": result.complete_searches,
        "outcomes": dict(result.outcomes),
        "extra": round(result.peak_retry_share, 3),
        "broken": result.violations,
        "troubles": [
            f"{t.fault.value} {t.share:.2f}" for t in draw_fault_windows(seed)
        ],
    }


if __name__ == "__main__":
    # The hash seed determines the order of sets and so the random draws of a day.
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.environ["PYTHONHASHSEED"] = "0"
        os.execv(sys.executable, [sys.executable, "-m", __spec__.name, *sys.argv[1:]])
    main()
