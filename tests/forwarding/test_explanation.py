"""Tests of `lavendertide.forwarding.explanation`, on targets without a network."""

import json
import random
from dataclasses import replace

from lavendertide.encodings.explanation_json import encode_explanation
from lavendertide.evacuation.evacuated_domains import Evacuation
from lavendertide.forwarding.explanation import Explanation, TargetExplanation
from lavendertide.forwarding.host_status import HostStatus
from lavendertide.forwarding.messages import RefusalCause, Refused
from lavendertide.forwarding.target_view import AVOIDED_FACTOR, DOWN_AFTER_FAILURES
from lavendertide.ids import ServiceName, TargetId
from lavendertide.registry.record import TargetState
from lavendertide.registry.registry import REREGISTRATION_S
from lavendertide.routes.route import SplitServices, WeightedService
from lavendertide.runtime import clock, tasks
from standins.forwarding_records import (
    DESK,
    OTHER_DOMAIN,
    at,
    request,
    route,
    shards,
    target,
)
from tests.forwarding.scripted_targets import (
    ScriptedForwarder,
    refuses,
    replies,
    replies_after,
)
from tests.virtual_time import VirtualTimeTestCase

# Attributes of the registry: a cache, and objects without a state of their own.
NOT_COMPARED = (
    "_by_service",
    "_removal_listener",
    "_closing_listener",
    "_announcements",
    "_evacuated",
)


def explain(scripted: ScriptedForwarder, is_ready: bool = True) -> Explanation:
    """Explains a request that arrives now."""
    now_s = clock.monotonic_s()
    return scripted.forwarder.explainer.explain(request(now_s), is_ready, now_s)


def targets_of(scripted: ScriptedForwarder) -> dict[str, TargetExplanation]:
    """Returns the explained targets of the first service by name."""
    return {each.target: each for each in explain(scripted).services[0].targets}


def state_of(scripted: ScriptedForwarder) -> str:
    """Returns all state on which decisions depend as text, to compare it."""
    forwarder = scripted.forwarder
    capacities = forwarder.admission._capacities._capacities.known
    registry = vars(scripted.registry)
    return repr(
        [
            {name: registry[name] for name in registry if name not in NOT_COMPARED},
            vars(registry["_announcements"]),
            scripted.views._views,
            forwarder._splits._credits,
            {name: vars(capacity) for name, capacity in capacities.items()},
            list(forwarder._timings._by_route),
            list(forwarder._budgets._by_service),
            forwarder._request_admission._caller_times._by_route,
        ]
    )


class ReasonsTest(VirtualTimeTestCase):
    """Each target that gets no requests, or gets them last, is named with the reason.

    Guards against an operator who searches for the cause in the wrong place.
    """

    def setUp(self) -> None:
        super().setUp()
        self.scripted = ScriptedForwarder(route())
        for name in ("a", "b"):
            self.scripted.add(name, DESK, replies())
        self.record = target("a")

    def check(self, reason: str, ends_in_s: float | None, is_ranked: bool) -> None:
        """Checks how the first target is explained; the other one is sound."""
        found = targets_of(self.scripted)
        assert found["a"].reason is not None
        self.assertEqual(found["a"].reason.value, reason)
        self.assertEqual(found["a"].rank, 2 if is_ranked else None)
        self.assertEqual((found["b"].reason, found["b"].rank), (None, 1))
        if ends_in_s is None:
            self.assertIsNone(found["a"].ends_in_s)
        else:
            self.assertAlmostEqual(found["a"].ends_in_s or 0.0, ends_in_s)

    def test_a_draining_target(self) -> None:
        self.scripted.registry.put(replace(self.record, state=TargetState.DRAINING))
        self.check("draining", None, is_ranked=False)

    def test_a_target_of_an_evacuated_domain(self) -> None:
        self.scripted.registry.put(replace(self.record, failure_domain=OTHER_DOMAIN))
        now_s = clock.monotonic_s()
        self.scripted.evacuated.apply((Evacuation(OTHER_DOMAIN, at(5), True),), now_s)
        self.check("evacuated_domain", None, is_ranked=False)

    def test_a_leaving_target(self) -> None:
        self.scripted.registry.record_leaving(self.record.run, clock.monotonic_s())
        self.check("leaving", None, is_ranked=False)

    def test_a_paused_target(self) -> None:
        now_s = clock.monotonic_s()
        self.scripted.registry.record_pause(self.record.run, now_s + 2.0, now_s)
        tasks.sleep(0.5)
        self.check("paused", 1.5, is_ranked=False)

    def test_a_target_that_lapsed_in_an_outage(self) -> None:
        now_s = clock.monotonic_s()
        self.scripted.registry.record_platform_return(now_s)
        self.scripted.registry.remove(TargetId("a"), now_s)
        tasks.sleep(REREGISTRATION_S)
        self.check("lapsed", None, is_ranked=False)

    def test_a_target_whose_address_another_one_has_taken_over(self) -> None:
        view = self.scripted.views.view_of(TargetId("a"))
        view.excluded_until_s = clock.monotonic_s() + 15.0
        self.check("address_taken_over", 15.0, is_ranked=False)

    def test_an_avoided_target(self) -> None:
        view = self.scripted.views.view_of(TargetId("a"))
        for _ in range(DOWN_AFTER_FAILURES):
            view.record_failure(1, clock.monotonic_s())
        self.check("avoided", 0.5, is_ranked=True)
        self.assertGreater(targets_of(self.scripted)["a"].score, AVOIDED_FACTOR)

    def test_a_stalled_target(self) -> None:
        self.scripted.views.view_of(TargetId("a")).record_stall(clock.monotonic_s())
        self.check("stalled", 0.3, is_ranked=True)

    def test_the_age_of_what_is_known(self) -> None:
        self.assertIsNone(targets_of(self.scripted)["a"].attempt_age_s)
        self.scripted.views.view_of(TargetId("a")).record_reply(
            1, None, clock.monotonic_s()
        )
        tasks.sleep(0.7)
        age_s = targets_of(self.scripted)["a"].attempt_age_s
        self.assertAlmostEqual(age_s or 0.0, 0.7)


class AdmissionTest(VirtualTimeTestCase):
    """The explained refusal is the one that a request gets."""

    def test_a_host_that_is_not_ready(self) -> None:
        scripted = ScriptedForwarder(route())
        cause = explain(scripted, is_ready=False).cause
        self.assertIs(cause, RefusalCause.NOT_READY)

    def test_a_request_without_a_route(self) -> None:
        scripted = ScriptedForwarder(replace(route(), prefix="/y/"))
        self.assertIs(explain(scripted).cause, RefusalCause.NO_ROUTE)

    def test_a_route_at_its_limit(self) -> None:
        scripted = ScriptedForwarder(route())
        scripted.add("a", DESK, replies_after(0.3))
        tasks.spawn(scripted.forward)
        tasks.sleep(0.1)
        (capacity,) = (
            scripted.forwarder.admission._capacities._capacities.known.values()
        )
        capacity._limit, capacity._limited_at_s = 1.25, clock.monotonic_s()
        limit = explain(scripted).limit
        assert limit is not None
        self.assertEqual((limit.in_flight, limit.admitted_share), (1, 0.25))
        capacity._limit = 1.0
        self.assertIs(explain(scripted).cause, RefusalCause.OVER_CAPACITY)

    def test_the_next_service_of_a_split_route(self) -> None:
        names = [ServiceName(name) for name in ("blue", "green")]
        weighted = tuple(WeightedService(name, 1.0) for name in names)
        scripted = ScriptedForwarder(route(SplitServices(weighted)))
        for name in names:
            scripted.add(f"t-{name}", name, replies())
        for _ in range(5):
            services = explain(scripted).services
            (expected,) = (each.service for each in services if each.is_next)
            scripted.forward()
            self.assertEqual(scripted.called_targets[-1], f"t-{expected}")


class AgreementTest(VirtualTimeTestCase):
    """Guards against an explanation that differs from what is done.

    Targets are put into random states; after each change the explanation has to name
    the refusal of the next request, or the target that it is sent to.
    """

    def change(self, scripted: ScriptedForwarder, generator: random.Random) -> None:
        """Changes the state of one target."""
        now_s = clock.monotonic_s()
        name = generator.choice("abcd")
        record = target(name, failure_domain=generator.choice(self.domains))
        view = scripted.views.view_of(record.target)
        match generator.randrange(8):
            case 0:
                scripted.registry.put(replace(record, state=TargetState.DRAINING))
            case 1 | 2:
                scripted.registry.put(record)
            case 3:
                scripted.registry.record_pause(record.run, now_s + 0.4, now_s)
            case 4:
                view.excluded_until_s = now_s + 0.3
            case 5:
                view.record_failure(0, now_s)
            case 6:
                view.record_stall(now_s)
            case _:
                self.revision += 1
                is_evacuated = generator.random() < 0.5
                state = Evacuation(OTHER_DOMAIN, at(self.revision), is_evacuated)
                scripted.evacuated.apply((state,), now_s)

    def test_the_next_request_goes_where_the_explanation_says(self) -> None:
        self.domains = (target("a").failure_domain, OTHER_DOMAIN)
        self.revision = 0
        refused = 0
        for seed in range(20):
            generator = random.Random(seed)
            scripted = ScriptedForwarder(route())
            for name in "abcd":
                scripted.add(name, DESK, replies())
            for number in range(40):
                self.change(scripted, generator)
                explanation = explain(scripted)
                called = len(scripted.called_targets)
                response = scripted.forward(name=f"{seed}-{number}")
                with self.subTest(seed=seed, number=number):
                    if isinstance(response, Refused):
                        refused += 1
                        self.assertIs(explanation.cause, response.cause)
                        continue
                    self.assertIsNone(explanation.cause)
                    ranked = explanation.services[0].targets
                    best = {t.target for t in ranked if t.score == ranked[0].score}
                    self.assertIn(scripted.called_targets[called], best)
                tasks.sleep(generator.random() * 0.2)
        self.assertGreater(refused, 20)

    def test_an_explanation_changes_and_sends_nothing(self) -> None:
        scripted = ScriptedForwarder(route(shards(3)), fixed=0.0)
        for number in range(2):
            scripted.add(f"t{number}", f"shard-{number}", refuses)
        scripted.forward()
        now_s = clock.monotonic_s()
        scripted.registry.record_platform_return(now_s)
        scripted.registry.remove(TargetId("t1"), now_s)
        tasks.sleep(REREGISTRATION_S + 1.0)
        before, called = state_of(scripted), len(scripted.called_targets)
        for is_ready in (True, False):
            explain(scripted, is_ready)
        self.assertEqual(state_of(scripted), before)
        self.assertEqual(len(scripted.called_targets), called)

    def test_other_tasks_run_between_the_shards_of_a_search(self) -> None:
        """Guards against requests that wait until a large search is explained."""
        scripted = ScriptedForwarder(route(shards(30)))
        turns: list[int] = []

        def take_turns() -> None:
            for number in range(100):
                turns.append(number)
                tasks.sleep(0.0)

        tasks.spawn(take_turns)
        explanation = explain(scripted)
        self.assertGreaterEqual(len(turns), 25)
        status = HostStatus("m1", "serving", explanation.routes, (), ())
        before = len(turns)
        document = encode_explanation(explanation, status, lambda: tasks.sleep(0.0))
        self.assertGreaterEqual(len(turns), before + 25)
        self.assertEqual(len(json.loads(document)["services"]), 30)

    def test_a_host_without_any_request_gets_no_state(self) -> None:
        scripted = ScriptedForwarder(route(shards(2)))
        scripted.add("t0", "shard-0", replies())
        before = state_of(scripted)
        self.assertIs(explain(scripted).cause, RefusalCause.NO_TARGET)
        self.assertEqual(state_of(scripted), before)
