"""Tests of `lavendertide.reports.run`."""

import unittest

from returns.result import Failure

from lavendertide.reports.run import (
    FaultRecord,
    LatencyBucket,
    LatencyRecord,
    Run,
    RunHeader,
    SecondRecord,
    dump_run,
    parse_run,
)


def sample_run() -> Run:
    """Returns a run of 30 seconds with two variants and one fault."""
    return Run(
        header=RunHeader(
            title="A replica is killed",
            commit="0123abc",
            seed=1,
            started_at="2026-01-01T00:00:00Z",
            latency_bound_ms=120.0,
            notes=("20 shards",),
        ),
        seconds=tuple(
            SecondRecord(
                variant=variant,
                at_s=float(second),
                queries=100,
                p50_ms=9.0 + number,
                p99_ms=30.0 + 60.0 * number * (10 <= second < 14) + second % 3,
                coverage=1.0 - 0.05 * number * (10 <= second < 14),
                extra_load=0.04 * (1 - number),
            )
            for number, variant in enumerate(("budgeted hedge", "no hedge"))
            for second in range(30)
        ),
        latencies=tuple(
            LatencyRecord(
                variant=variant,
                buckets=tuple(
                    LatencyBucket(upper_ms=upper_ms, count=count)
                    for upper_ms, count in buckets
                ),
            )
            for variant, buckets in (
                ("budgeted hedge", ((5, 200), (10, 2_400), (20, 350), (50, 48))),
                ("no hedge", ((5, 190), (10, 2_300), (20, 380), (50, 90), (120, 40))),
            )
        ),
        faults=(FaultRecord(name="replica killed", starts_at_s=10.0, ends_at_s=14.0),),
    )


class ParseRunTest(unittest.TestCase):
    """A dumped run is parsed unchanged, and the refusal of a bad one says why."""

    def test_a_dumped_run_is_parsed_unchanged(self) -> None:
        self.assertEqual(parse_run(dump_run(sample_run())).unwrap(), sample_run())

    def test_the_refusal_names_the_wrong_line(self) -> None:
        text = dump_run(sample_run()) + '{"record": "second", "variant": "x"}\n'
        result = parse_run(text)
        self.assertIsInstance(result, Failure)
        self.assertIn("line 65: second.at_s", result.failure().message)

    def test_a_run_without_a_header_is_refused(self) -> None:
        result = parse_run("")
        self.assertIn("0 lines with record 'run'", result.failure().message)
