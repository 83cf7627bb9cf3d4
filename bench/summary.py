"""Summarises samples: latency percentiles, coverage, refusals and extra load."""

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from bench.samples import Sample

STATUS_OK = 200


@dataclass(frozen=True)
class Summary:
    """Summary of the searches of one plan.

    Attributes:
        searches: Number of searches.
        p50_ms: Median latency of the answered searches.
        p99_ms: 99th percentile of their latency.
        p999_ms: 99.9th percentile of their latency.
        coverage: Covered shards over all shards of the answered searches.
        whole: Share of all searches whose response covers all shards.
        refused: Searches that were refused without being run.
        refused_p50_ms: Median latency of the refusals.
        refusals: Number of refusals by kind.
        broken: Searches without a response.
        extra_load: Sub-requests beyond one per shard, over the number of shards.
        mixed: Responses with a row of another version.
    """

    searches: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    coverage: float
    whole: float
    refused: int
    refused_p50_ms: float
    refusals: dict[str, int]
    broken: int
    extra_load: float
    mixed: int


def read_samples(path: Path) -> list[Sample]:
    """Reads the samples that a process of callers has written."""
    return [Sample(**json.loads(line)) for line in path.read_text().splitlines()]


def summarise(samples: Iterable[Sample]) -> Summary:
    """Summarises samples; latency percentiles cover answered searches only."""
    collected = list(samples)
    answered = [sample for sample in collected if sample.status == STATUS_OK]
    refused = [sample for sample in collected if sample.refusal]
    latencies = sorted(sample.latency_ms for sample in answered)
    refused_latencies = sorted(sample.latency_ms for sample in refused)
    shards = sum(sample.shards for sample in answered)
    attempts = sum(sample.attempts for sample in answered)
    whole = sum(1 for sample in answered if sample.covered == sample.shards)
    return Summary(
        searches=len(collected),
        p50_ms=percentile(latencies, 0.50),
        p99_ms=percentile(latencies, 0.99),
        p999_ms=percentile(latencies, 0.999),
        coverage=_ratio(sum(sample.covered for sample in answered), shards),
        whole=_ratio(whole, len(collected)),
        refused=len(refused),
        refused_p50_ms=percentile(refused_latencies, 0.50) if refused else 0.0,
        refusals=dict(Counter(sample.refusal for sample in refused)),
        broken=sum(1 for sample in collected if sample.status == 0),
        extra_load=_ratio(attempts, shards) - 1.0,
        mixed=sum(1 for sample in answered if sample.mixed),
    )


def percentile(ordered: list[float], share: float) -> float:
    """Returns the value below which a share of the sorted values lies.

    Returns NaN if there are no values.
    """
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def _ratio(part: float, whole: float) -> float:
    return part / whole if whole else float("nan")
