"""Tests of `bench.run_file`."""

import tempfile
import unittest
from pathlib import Path

from bench.run_file import latency_of, seconds_of, write_run
from bench.samples import Sample
from bench.scenarios import Calm, KilledReplica, describe_fault
from lavendertide.reports.page import render_page
from lavendertide.reports.run import FaultRecord, RunHeader, parse_run

SHARDS = 10


def sample(
    at_s: float, latency_ms: float, status: int = 200, covered: int = SHARDS
) -> Sample:
    """Builds a sample; statuses other than 0 and 200 are refusals."""
    return Sample(
        at_s=at_s,
        latency_ms=latency_ms,
        status=status,
        covered=covered,
        shards=SHARDS if status == 200 else 0,
        attempts=SHARDS + 1 if status == 200 else 0,
        version=1,
        mixed=False,
        refusal="" if status in (0, 200) else "over_plan_rate",
    )


class SecondsTest(unittest.TestCase):
    """Guards against seconds that count searches which arrived in another second."""

    def test_statistics_of_a_second(self) -> None:
        samples = [sample(1.2, 10.0), sample(1.9, 30.0, covered=5), sample(2.0, 7.0)]
        first, second = seconds_of("v", samples)
        self.assertEqual((first.at_s, first.queries, second.queries), (1.0, 2, 1))
        self.assertEqual((first.coverage, first.p99_ms), (0.75, 30.0))
        self.assertAlmostEqual(first.extra_load or 0.0, 0.1)

    def test_a_second_without_answers_has_no_latency(self) -> None:
        (second,) = seconds_of("v", [sample(3.0, 1.0, status=429), sample(3.1, 1.0, 0)])
        self.assertEqual((second.queries, second.failed), (2, 2))
        self.assertIsNone(second.p99_ms)
        self.assertIsNone(second.coverage)


class LatencyTest(unittest.TestCase):
    """Guards against latencies that are counted in a wrong bucket."""

    def test_buckets(self) -> None:
        latencies_ms = (0.3, 1.0, 4.9, 5.0, 120.0)
        record = latency_of("v", [sample(1.0, each) for each in latencies_ms])
        self.assertEqual(sum(bucket.count for bucket in record.buckets), 5)
        for latency_ms in latencies_ms:
            self.assertTrue(
                any(
                    bucket.upper_ms / 1.1 - 1e-9 <= latency_ms <= bucket.upper_ms + 1e-9
                    or (latency_ms < 1.0 and bucket.upper_ms == 1.0)
                    for bucket in record.buckets
                ),
                latency_ms,
            )

    def test_refusals_are_left_out(self) -> None:
        self.assertEqual(latency_of("v", [sample(1.0, 2.0, status=429)]).buckets, ())


class WriteRunTest(unittest.TestCase):
    """Guards against run files that `lavendertide report` cannot read or render."""

    def test_a_run_is_written_and_rendered(self) -> None:
        header = RunHeader(title="t", commit="c", seed=1, started_at="now")
        fault = describe_fault(KilledReplica("venue-desk"))
        assert fault is not None
        variants = {
            "chosen": [sample(n / 10, 5.0 + n) for n in range(50)],
            "refused": [sample(n / 10, 1.0, status=429) for n in range(50)],
        }
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "runs" / "a.jsonl"
            write_run(
                path, header, variants, [FaultRecord(name=fault, starts_at_s=2.0)]
            )
            run = parse_run(path.read_text()).unwrap()
        self.assertEqual(run.variants, ["chosen", "refused"])
        self.assertIn("a venue-desk replica crashes", render_page(run).unwrap())

    def test_calm_has_no_fault(self) -> None:
        self.assertIsNone(describe_fault(Calm()))
