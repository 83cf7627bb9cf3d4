"""Tests of `soak.guarantees`: each kind of violation is detected."""

import unittest
from dataclasses import replace
from typing import cast

from soak.callers import DEADLINE_S, Outcome, RequestKind
from soak.gateways import DRAIN_S, Disturbance, FaultRecord
from soak.guarantees import LATE_SLACK_S, find_violations
from soak.operator import APPLY_S, Period, PublishedVersion, PublishedVersions
from standins.platform_store import PlainTarget

SERVED = Outcome(
    name="c0-1",
    kind=RequestKind.ORDER,
    gateway=0,
    sent_at_s=10.0,
    ended_at_s=10.1,
    status=200,
    echoed="c0-1",
    body=b"t0..............",
    signatures=("t0",),
)
SEARCH = replace(
    SERVED, kind=RequestKind.SEARCH, echoed="", body=b"", signatures=("s0", "s1")
)
SERVICES = {
    RequestKind.LOOKUP: ("desk",),
    RequestKind.ORDER: ("desk",),
    RequestKind.SEARCH: ("shard-0", "shard-1"),
}
VERSIONS = PublishedVersions([PublishedVersion(0.0, SERVICES)])
SERVICE_OF_TARGET = {"s0": "shard-0", "s1": "shard-1", "o0": "other"}
LATE_S = DEADLINE_S + LATE_SLACK_S + 0.1


class FakeTarget:
    """Stands in for a target: its name and the ids of the requests that it ran."""

    def __init__(self, name: str, *ran: str) -> None:
        self.name = name
        self.service = SERVICE_OF_TARGET.get(name, "desk")
        self.executed_requests = list(ran)


class GuaranteesTest(unittest.TestCase):
    """Guards against a soak test that passes although a guarantee was violated."""

    def kinds_of(
        self,
        outcome: Outcome,
        *ran: FakeTarget,
        disturbances: tuple[Disturbance, ...] = (),
        store: tuple[Period, ...] = (),
        versions: PublishedVersions = VERSIONS,
        draining: dict[str, float] | None = None,
    ) -> list[str]:
        """Returns the kinds of the violations of one outcome."""
        targets = [cast(PlainTarget, each) for each in ran]
        record = FaultRecord(disturbances, store, versions, draining or {})
        broken = find_violations([outcome], targets, record)
        return [line.partition(":")[0] for line in broken]

    def test_a_proper_answer_breaks_none(self) -> None:
        self.assertEqual(self.kinds_of(SERVED, FakeTarget("t0", "c0-1")), [])
        ran = FakeTarget("s0", "c0-1"), FakeTarget("s1", "c0-1")
        self.assertEqual(self.kinds_of(SEARCH, *ran), [])

    def test_an_order_that_ran_twice(self) -> None:
        ran = FakeTarget("t0", "c0-1"), FakeTarget("t1", "c0-1")
        self.assertEqual(self.kinds_of(SERVED, *ran), ["once"])

    def test_a_refused_request_that_ran(self) -> None:
        refused = replace(SERVED, status=503, signatures=(), body=b"")
        self.assertEqual(self.kinds_of(refused, FakeTarget("t0", "c0-1")), ["not run"])
        self.assertEqual(self.kinds_of(refused, FakeTarget("t0")), [])

    def test_an_answer_to_another_request(self) -> None:
        other = replace(SERVED, echoed="c0-9")
        self.assertEqual(self.kinds_of(other, FakeTarget("t0", "c0-1")), ["mixed"])

    def test_an_answer_of_a_target_that_did_not_run_it(self) -> None:
        self.assertEqual(self.kinds_of(SERVED, FakeTarget("t0", "c0-2")), ["mixed"])

    def test_a_request_that_reaches_a_draining_target(self) -> None:
        accepted_at_s = SERVED.sent_at_s - DRAIN_S
        ran = FakeTarget("t0", "c0-1")
        late = {"t0": accepted_at_s - 0.1}
        self.assertEqual(self.kinds_of(SERVED, ran, draining=late), ["drain"])
        self.assertEqual(self.kinds_of(SERVED, ran, draining={"t1": 0.0}), [])
        in_time = {"t0": accepted_at_s + 0.1}
        self.assertEqual(self.kinds_of(SERVED, ran, draining=in_time), [])
        # The store was away meanwhile, or the gateway could not read it.
        store = (Period(accepted_at_s, accepted_at_s + 0.2),)
        self.assertEqual(self.kinds_of(SERVED, ran, store=store, draining=late), [])
        paused = Disturbance(0, accepted_at_s, accepted_at_s + 0.2, False)
        kinds = self.kinds_of(SERVED, ran, disturbances=(paused,), draining=late)
        self.assertEqual(kinds, [])

    def test_a_search_that_hides_missing_shards(self) -> None:
        partial = replace(SEARCH, signatures=("s0",))
        self.assertEqual(self.kinds_of(partial, FakeTarget("s0", "c0-1")), ["whole"])
        reported = replace(partial, missing=1)
        self.assertEqual(self.kinds_of(reported, FakeTarget("s0", "c0-1")), [])

    def test_a_search_with_shards_of_two_versions(self) -> None:
        moved = SERVICES | {RequestKind.SEARCH: ("shard-1", "other")}
        versions = PublishedVersions(
            [PublishedVersion(0.0, SERVICES), PublishedVersion(9.0, moved)]
        )
        mixed = replace(SEARCH, signatures=("s0", "o0"))
        ran = FakeTarget("s0", "c0-1"), FakeTarget("o0", "c0-1")
        self.assertEqual(self.kinds_of(mixed, *ran, versions=versions), ["whole"])
        whole = replace(SEARCH, signatures=("s1", "o0"))
        ran = FakeTarget("s1", "c0-1"), FakeTarget("o0", "c0-1")
        self.assertEqual(self.kinds_of(whole, *ran, versions=versions), [])
        self.assertEqual(self.kinds_of(whole, *ran), ["whole"])

    def test_a_request_that_another_service_ran(self) -> None:
        other = replace(SERVED, signatures=("o0",), body=b"o0..............")
        ran = FakeTarget("o0", "c0-1")
        self.assertEqual(self.kinds_of(other, ran), ["route"])
        moved = SERVICES | {RequestKind.ORDER: ("other",)}
        versions = PublishedVersions(
            [PublishedVersion(0.0, moved), PublishedVersion(9.0, SERVICES)]
        )
        self.assertEqual(self.kinds_of(other, ran, versions=versions), [])

    def test_a_404_while_the_route_is_there(self) -> None:
        missing = replace(SERVED, status=404, signatures=(), body=b"")
        self.assertEqual(self.kinds_of(missing), ["route"])
        without = {RequestKind.SEARCH: ("shard-0", "shard-1")}
        removed = PublishedVersion(1.0, without)
        versions = [removed, PublishedVersion(9.0, SERVICES)]
        judged = self.kinds_of(missing, versions=PublishedVersions(versions))
        self.assertEqual(judged, [])
        # Long after the route has been added again.
        back_at_s = SERVED.sent_at_s - APPLY_S - 0.1
        versions = [removed, PublishedVersion(back_at_s, SERVICES)]
        judged = self.kinds_of(missing, versions=PublishedVersions(versions))
        self.assertEqual(judged, ["route"])
        # The store could not be read when the route was added again.
        stalled = Period(back_at_s, back_at_s + 1.0)
        judged = self.kinds_of(
            missing, store=(stalled,), versions=PublishedVersions(versions)
        )
        self.assertEqual(judged, [])

    def test_a_late_answer_of_an_undisturbed_gateway(self) -> None:
        late = replace(SERVED, ended_at_s=10.0 + LATE_S)
        self.assertEqual(self.kinds_of(late, FakeTarget("t0", "c0-1")), ["late"])
        paused = Disturbance(0, 10.5, 12.0, is_graceful=False)
        judged = self.kinds_of(late, FakeTarget("t0", "c0-1"), disturbances=(paused,))
        self.assertEqual(judged, [])

    def test_a_request_in_flight_that_a_stop_cuts_off(self) -> None:
        cut = replace(SERVED, status=0, signatures=(), body=b"")
        stop = Disturbance(0, 10.05, 12.0, is_graceful=True)
        self.assertEqual(self.kinds_of(cut, disturbances=(stop,)), ["cut off"])
        earlier = replace(stop, from_s=9.0)
        self.assertEqual(self.kinds_of(cut, disturbances=(earlier,)), [])

    def test_a_pipelined_request_behind_the_last_response(self) -> None:
        behind = replace(SERVED, status=0, signatures=(), body=b"", is_behind_last=True)
        self.assertEqual(self.kinds_of(behind), ["cut off"])
        stop = Disturbance(0, 10.05, 12.0, is_graceful=True)
        self.assertEqual(self.kinds_of(behind, disturbances=(stop,)), [])
        ran = FakeTarget("t0", "c0-1")
        judged = self.kinds_of(behind, ran, disturbances=(stop,))
        self.assertEqual(judged, ["not run"])

    def test_a_gateway_that_refuses_connections(self) -> None:
        unsent = replace(SERVED, status=0, signatures=(), body=b"", is_unsent=True)
        self.assertEqual(self.kinds_of(unsent), ["cut off"])
        killed = Disturbance(0, 8.0, 9.0, is_graceful=False)
        self.assertEqual(self.kinds_of(unsent, disturbances=(killed,)), [])
        other = replace(killed, gateway=1)
        self.assertEqual(self.kinds_of(unsent, disturbances=(other,)), ["cut off"])
        long_ago = replace(killed, from_s=-40.0, until_s=-30.0)
        self.assertEqual(self.kinds_of(unsent, disturbances=(long_ago,)), ["cut off"])

    def test_an_idle_connection_that_a_gateway_closes(self) -> None:
        dropped = replace(
            SERVED, status=0, signatures=(), body=b"", ended_at_s=12.0, is_dropped=True
        )
        self.assertEqual(self.kinds_of(dropped), ["dropped"])
        for is_graceful in (False, True):
            ended = Disturbance(0, 10.5, 11.5, is_graceful)
            self.assertEqual(self.kinds_of(dropped, disturbances=(ended,)), [])
        earlier = Disturbance(0, 8.0, 9.0, is_graceful=False)
        self.assertEqual(self.kinds_of(dropped, disturbances=(earlier,)), ["dropped"])
