"""Writes samples as a measurement run that `lavendertide report` renders."""

import math
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

from bench.samples import Sample
from bench.summary import STATUS_OK, summarise
from lavendertide.reports.run import (
    FaultRecord,
    LatencyBucket,
    LatencyRecord,
    Run,
    RunHeader,
    SecondRecord,
    dump_run,
)

BUCKET_GROWTH = 1.1
FIRST_BUCKET_MS = 1.0

Variants = dict[str, list[Sample]]


def write_run(
    path: Path, header: RunHeader, variants: Variants, faults: Iterable[FaultRecord]
) -> None:
    """Writes a run of one or more variants.

    Args:
        path: The file to write; its folder is created if it does not exist.
        header: Describes the run.
        variants: The samples of each variant, by its name.
        faults: The injected faults, with times on the clock of the samples.
    """
    run = Run(
        header=header,
        seconds=tuple(
            second
            for variant, samples in variants.items()
            for second in seconds_of(variant, samples)
        ),
        latencies=tuple(
            latency_of(variant, samples) for variant, samples in variants.items()
        ),
        faults=tuple(faults),
    )
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(dump_run(run), encoding="utf-8")


def seconds_of(variant: str, samples: Iterable[Sample]) -> list[SecondRecord]:
    """Returns a record for each second in which a search arrived."""
    by_second: dict[int, list[Sample]] = {}
    for sample in samples:
        by_second.setdefault(int(sample.at_s), []).append(sample)
    return [_second(variant, second, by_second[second]) for second in sorted(by_second)]


def latency_of(variant: str, samples: Iterable[Sample]) -> LatencyRecord:
    """Returns the latency distribution of the answered searches."""
    counts = Counter(
        _bucket_of(sample.latency_ms)
        for sample in samples
        if sample.status == STATUS_OK
    )
    buckets = tuple(
        LatencyBucket(
            upper_ms=FIRST_BUCKET_MS * BUCKET_GROWTH**number, count=counts[number]
        )
        for number in sorted(counts)
    )
    return LatencyRecord(variant=variant, buckets=buckets)


def _second(variant: str, second: int, samples: list[Sample]) -> SecondRecord:
    summary = summarise(samples)
    return SecondRecord(
        variant=variant,
        at_s=float(second),
        queries=summary.searches,
        failed=summary.refused + summary.broken,
        p50_ms=_nan_to_none(summary.p50_ms),
        p99_ms=_nan_to_none(summary.p99_ms),
        coverage=_nan_to_none(summary.coverage),
        extra_load=_nan_to_none(max(0.0, summary.extra_load)),
    )


def _bucket_of(latency_ms: float) -> int:
    """Returns the number of the first bucket whose upper bound is not exceeded."""
    if latency_ms <= FIRST_BUCKET_MS:
        return 0
    return math.ceil(math.log(latency_ms / FIRST_BUCKET_MS, BUCKET_GROWTH))


def _nan_to_none(value: float) -> float | None:
    """Returns a value, or None if it is NaN because nothing was answered."""
    return None if math.isnan(value) else value
