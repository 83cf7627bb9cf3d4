"""Tests of `soak.promises`: each kind of violation is detected."""

import unittest
from dataclasses import replace
from typing import cast

from soak.callers import DEADLINE_S, Kind, Outcome
from soak.promises import LATE_SLACK_S, violations
from soak.world import Disturbance
from standins.platform_store import PlainTarget

WHOLE = Outcome(
    name="c0-1",
    kind=Kind.ORDER,
    gateway=0,
    sent_at_s=10.0,
    ended_at_s=10.1,
    status=200,
    echoed="c0-1",
    body=b"t0..............",
    signatures=("t0",),
)
SEARCH = replace(WHOLE, kind=Kind.SEARCH, echoed="", body=b"", signatures=("s0", "s1"))
LATE_S = DEADLINE_S + LATE_SLACK_S + 0.1


class Ran:
    """Stands in for a target: its name and the ids of the requests that it ran."""

    def __init__(self, name: str, *ran: str) -> None:
        self.name = name
        self.executed_requests = list(ran)


class PromisesTest(unittest.TestCase):
    """Guards against a soak test that passes although a guarantee was violated."""

    def judge(
        self, outcome: Outcome, *ran: Ran, disturbances: tuple[Disturbance, ...] = ()
    ) -> list[str]:
        """Returns the kinds of the violations of one outcome."""
        targets = [cast(PlainTarget, each) for each in ran]
        broken = violations([outcome], targets, disturbances)
        return [line.partition(":")[0] for line in broken]

    def test_a_proper_answer_breaks_none(self) -> None:
        self.assertEqual(self.judge(WHOLE, Ran("t0", "c0-1")), [])
        ran = Ran("s0", "c0-1"), Ran("s1", "c0-1")
        self.assertEqual(self.judge(SEARCH, *ran), [])

    def test_an_order_that_ran_twice(self) -> None:
        ran = Ran("t0", "c0-1"), Ran("t1", "c0-1")
        self.assertEqual(self.judge(WHOLE, *ran), ["once"])

    def test_a_refused_request_that_ran(self) -> None:
        refused = replace(WHOLE, status=503, signatures=(), body=b"")
        self.assertEqual(self.judge(refused, Ran("t0", "c0-1")), ["not run"])
        self.assertEqual(self.judge(refused, Ran("t0")), [])

    def test_an_answer_to_another_request(self) -> None:
        other = replace(WHOLE, echoed="c0-9")
        self.assertEqual(self.judge(other, Ran("t0", "c0-1")), ["mixed"])

    def test_an_answer_of_a_target_that_did_not_run_it(self) -> None:
        self.assertEqual(self.judge(WHOLE, Ran("t0", "c0-2")), ["mixed"])

    def test_a_search_that_hides_what_it_lacks(self) -> None:
        partial = replace(SEARCH, signatures=("s0",))
        self.assertEqual(self.judge(partial, Ran("s0", "c0-1")), ["whole"])
        told = replace(partial, missing=1)
        self.assertEqual(self.judge(told, Ran("s0", "c0-1")), [])

    def test_a_late_answer_of_an_undisturbed_gateway(self) -> None:
        late = replace(WHOLE, ended_at_s=10.0 + LATE_S)
        self.assertEqual(self.judge(late, Ran("t0", "c0-1")), ["late"])
        paused = Disturbance(0, 10.5, 12.0, is_asked=False)
        judged = self.judge(late, Ran("t0", "c0-1"), disturbances=(paused,))
        self.assertEqual(judged, [])

    def test_a_request_in_flight_that_a_stop_cuts_off(self) -> None:
        cut = replace(WHOLE, status=0, signatures=(), body=b"")
        stop = Disturbance(0, 10.05, 12.0, is_asked=True)
        self.assertEqual(self.judge(cut, disturbances=(stop,)), ["cut off"])
        earlier = replace(stop, from_s=9.0)
        self.assertEqual(self.judge(cut, disturbances=(earlier,)), [])
