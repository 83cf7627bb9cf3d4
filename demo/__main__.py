"""Starts a small deployment, queries it, kills a daemon and prints a summary."""

import json
import signal
import statistics
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from prometheus_client.parser import text_string_to_metric_families
from returns.result import Failure, Success

from lavendertide.caller_client import CallerClient
from standins.deployment import ASSOCIATION, KOINOPRAXIA, scaled_down
from standins.launcher import Launcher

ROUNDS = 60
DEADLINE_MS = 500
PAGE_SIZE = 10
KILLED = "association-1"
ANSWERED_METRIC = "lavendertide_query_latency_seconds_count"
OWNERS = (scaled_down(ASSOCIATION, 8, 3), scaled_down(KOINOPRAXIA, 8, 2))


@dataclass
class Results:
    """Counts the responses that the callers of the demo received.

    Attributes:
        whole: Searches whose response covers all shards.
        partial: Searches whose response lacks some shards.
        failed: Searches that were refused or failed.
        attempts: Sub-requests that the tier sent for the answered searches.
        shards: Shards of the answered searches.
        latencies_ms: Latencies of the answered searches.
        outcomes: Redemptions by their outcome or the kind of their refusal.
    """

    whole: int = 0
    partial: int = 0
    failed: int = 0
    attempts: int = 0
    shards: int = 0
    latencies_ms: list[float] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)

    def add_search(self, response: dict[str, Any], latency_ms: float) -> None:
        """Records the response to a search."""
        self.latencies_ms.append(latency_ms)
        self.attempts += response["attempts"]
        self.shards += len(response["covered"]) + len(response["gaps"])
        if response["whole"]:
            self.whole += 1
        else:
            self.partial += 1


def main() -> int:
    """Runs the demo.

    Returns:
        The exit code: 0 if some searches were answered with all shards and no
        redemption ran twice.
    """
    results = Results()
    launcher = Launcher(OWNERS)
    with launcher.running():
        print(
            f"{len(launcher.callers)} daemons serve "
            f"{len(launcher.placed_targets)} targets"
        )
        clerk, apprentice = _clients(launcher)
        for number in range(ROUNDS):
            if number == ROUNDS // 2:
                print(f"killing {KILLED}")
                launcher.signal_daemon(KILLED, signal.SIGKILL)
            _search(clerk, "venue-desk", f"order {number}", results)
            _search(apprentice, "apprentice-app", f"voucher {number}", results)
            if number % 5 == 0:
                _redeem(apprentice, f"voucher-{number}", results)
        executions = _executions(launcher)
        counted = _counted_by_owner(launcher)
    duplicated = sum(1 for count in executions.values() if count > 1)
    _print_results(results, duplicated, counted)
    return 0 if results.whole and not duplicated else 1


def _clients(launcher: Launcher) -> tuple[CallerClient, CallerClient]:
    hosts = list(launcher.callers.values())
    clerk = CallerClient(hosts, "stall-clerk", "eu-west-ie", "ie-dub-b")
    apprentice = CallerClient(hosts, "apprentice", "attiki", "attiki-a")
    return clerk, apprentice


def _search(client: CallerClient, index: str, body: str, results: Results) -> None:
    started_s = time.monotonic()
    match client.search(index, body, DEADLINE_MS, PAGE_SIZE, started_s):
        case Success(response):
            results.add_search(response, (time.monotonic() - started_s) * 1000)
        case Failure(_):
            results.failed += 1


def _redeem(client: CallerClient, body: str, results: Results) -> None:
    now_s = time.monotonic()
    response = client.request_ticket(now_s).bind(
        lambda ticket: client.execute(
            ticket, "apprentice-app", "redeem", body, DEADLINE_MS, now_s
        )
    )
    match response:
        case Success(document):
            results.outcomes[document["outcome"]] += 1
        case Failure(refusal):
            results.outcomes[refusal.kind.value] += 1


def _executions(launcher: Launcher) -> Counter[str]:
    executions: Counter[str] = Counter()
    for counts in launcher.target_counts().values():
        executions.update(counts["executions"])
    return executions


def _counted_by_owner(launcher: Launcher) -> dict[str, int]:
    """Sums up the answered searches of each owner from the metrics of all daemons.

    The killed daemon is left out.
    """
    counted: Counter[str] = Counter()
    for name, admin in launcher.admins.items():
        if name == KILLED:
            continue
        for family in text_string_to_metric_families(
            launcher.get_text(admin, "/metrics")
        ):
            for sample in family.samples:
                if sample.name == ANSWERED_METRIC:
                    counted[sample.labels["owner"]] += int(sample.value)
    return dict(counted)


def _print_results(results: Results, duplicated: int, counted: dict[str, int]) -> None:
    latencies = sorted(results.latencies_ms)
    summary = {
        "queries": len(latencies) + results.failed,
        "whole": results.whole,
        "partial": results.partial,
        "failed": results.failed,
        "doubled": duplicated,
        "counted_by_owner": counted,
        "p50_ms": round(statistics.median(latencies), 1),
        "p99_ms": round(latencies[int(len(latencies) * 0.99)], 1),
        "extra_load_ratio": round(results.attempts / results.shards - 1, 4),
    }
    print(f"searches: {results.whole} whole, {results.partial} partial")
    print(f"redemptions by outcome: {dict(results.outcomes)}")
    print(f"searches by owner in the metrics: {counted}")
    print(f"half of the searches took {summary['p50_ms']} ms or less")
    print(json.dumps(summary))


if __name__ == "__main__":
    sys.exit(main())
