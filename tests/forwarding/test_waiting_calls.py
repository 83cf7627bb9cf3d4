"""Tests of calls that wait for a connection to a target which they can't use any more.

The load: a slow target has more requests than connections while it is replaced.
"""

from collections.abc import Callable

from lavendertide.forwarding.messages import (
    NotRun,
    NotRunReason,
    Passed,
    Refused,
    Response,
    TargetNotice,
    TargetReply,
)
from lavendertide.forwarding.poison import ALL_SERVICES, CRASHES_TO_QUARANTINE
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.ids import Address, CallerRequestId, Fingerprint, TargetId
from lavendertide.messages import Verdict, VerdictKind
from lavendertide.registry.record import TargetState
from lavendertide.routes.route import RequestKind
from lavendertide.runtime import clock, tasks
from standins.forwarding_records import reply, route, shards, target
from tests.forwarding.scripted_targets import (
    ScriptedChannel,
    ScriptedForwarder,
    replies,
    replies_after,
)
from tests.virtual_time import VirtualTimeTestCase

OLD = TargetId("old")
NEW = TargetId("new")
CONNECTIONS = 2
REQUESTS = 8
SLOW_S = 1.0
WAIT_S = 3.0
EVENT_S = 0.2


class SlowlyOpeningChannel(ScriptedChannel):
    """A connection that each call has to open, which takes some time."""

    _is_open = False

    def is_usable(self, now_s: float) -> bool:
        """Returns whether the connection was opened and has not been used since."""
        return self._is_open

    def open(self, timeout_s: float) -> bool:
        """Opens the connection."""
        tasks.sleep(2 * EVENT_S)
        self._is_open = True
        return True

    def exchange(self, call: TargetCall, now_s: float) -> TargetReply:
        """Returns the scripted reply; the next call has to open the connection."""
        self._is_open = False
        return super().exchange(call, now_s)


class SlowlyOpeningForwarder(ScriptedForwarder):
    """A forwarder whose connections take some time to open."""

    def _make_channel(self, address: Address) -> ScriptedChannel:
        return SlowlyOpeningChannel(self)


class WaitingCallsTest(VirtualTimeTestCase):
    """Guards against requests that reach a target long after it has drained.

    They waited in the pool for one of its few connections, while other targets had
    nothing to run.
    """

    def setUp(self) -> None:
        super().setUp()
        self.make(ScriptedForwarder)

    def make(self, forwarder: type[ScriptedForwarder]) -> None:
        """Makes a forwarder with one slow target, which gets all requests."""
        self.scripted = forwarder(
            route(kind=RequestKind.NON_IDEMPOTENT, wait_max_s=WAIT_S, objective_s=0.5)
        )
        self.scripted.add(OLD, "desk", replies_after(SLOW_S))
        self.responses: list[tuple[Response, float]] = []

    def play(self, event: Callable[[], object], has_new: bool = True) -> None:
        """Sends requests to the slow target, then plays an event."""
        began_s = clock.monotonic_s()

        def send(number: int) -> None:
            response = self.scripted.forward(name=f"r{number}", wait_s=WAIT_S)
            self.responses.append((response, clock.monotonic_s() - began_s))

        for number in range(REQUESTS):
            tasks.spawn(send, number)
        tasks.sleep(EVENT_S)
        if has_new:
            self.scripted.add(NEW, "desk", replies())
        event()
        tasks.sleep(WAIT_S)

    def assert_moved(self, sent_to_old: int = CONNECTIONS) -> None:
        """Checks that the waiting requests were served by the new target at once."""
        counts = {name: self.scripted.called_targets.count(name) for name in (OLD, NEW)}
        self.assertEqual(counts, {OLD: sent_to_old, NEW: REQUESTS - sent_to_old})
        self.assertTrue(all(isinstance(each, Passed) for each, _ in self.responses))
        quick = [s for _, s in self.responses if s < EVENT_S + 0.05]
        self.assertEqual(len(quick), REQUESTS - sent_to_old)

    def drain(self) -> None:
        """Publishes that the slow target drains."""
        self.scripted.registry.put(target(OLD, state=TargetState.DRAINING))

    def test_a_target_that_drains(self) -> None:
        self.play(self.drain)
        self.assert_moved()

    def test_a_target_that_is_removed(self) -> None:
        self.play(lambda: self.scripted.registry.remove(OLD, clock.monotonic_s()))
        self.assert_moved()

    def test_a_target_that_announces_that_it_leaves(self) -> None:
        run = target(OLD).run
        self.play(
            lambda: self.scripted.registry.record_leaving(run, clock.monotonic_s())
        )
        self.assert_moved()

    def test_a_target_that_wants_a_pause(self) -> None:
        now_s, run = clock.monotonic_s(), target(OLD).run
        self.play(lambda: self.scripted.registry.record_pause(run, now_s + 60.0, now_s))
        self.assert_moved()

    def test_a_target_that_has_started_again(self) -> None:
        """The requests wait for the process that has ended."""

        def restart() -> None:
            self.scripted.behaviours[OLD] = replies()
            self.scripted.registry.put(target(OLD, started_at_ms=2))

        self.play(restart, has_new=False)
        self.assertTrue(all(isinstance(each, Passed) for each, _ in self.responses))
        quick = [s for _, s in self.responses if s < EVENT_S + 0.05]
        self.assertEqual(len(quick), REQUESTS - CONNECTIONS)

    def test_a_target_whose_address_another_has_taken(self) -> None:
        turns = iter(range(REQUESTS))

        def is_replaced(call: TargetCall) -> TargetReply:
            next(turns)
            tasks.sleep(EVENT_S + 0.1)
            return NotRun(call.record.target, NotRunReason.OTHER_TARGET)

        self.scripted.behaviours[OLD] = is_replaced
        self.play(lambda: None)
        self.assertEqual(self.scripted.called_targets.count(OLD), CONNECTIONS)
        self.assertTrue(all(isinstance(each, Passed) for each, _ in self.responses))
        self.assertLess(max(s for _, s in self.responses), EVENT_S + 0.3)

    def test_a_target_that_drains_while_a_connection_opens(self) -> None:
        self.make(SlowlyOpeningForwarder)
        self.scripted.route = route(
            kind=RequestKind.NON_IDEMPOTENT, wait_max_s=WAIT_S, objective_s=0.5
        )
        self.play(self.drain)
        self.assertEqual(self.scripted.called_targets.count(OLD), 0)
        self.assertEqual(self.scripted.called_targets.count(NEW), REQUESTS)

    def test_without_another_target_they_are_refused_at_once(self) -> None:
        self.play(self.drain, has_new=False)
        refused = [(r, s) for r, s in self.responses if isinstance(r, Refused)]
        self.assertEqual(len(refused), REQUESTS - CONNECTIONS)
        for response, after_s in refused:
            assert isinstance(response, Refused)
            self.assertIsNotNone(response.retry_after_s)
            self.assertLess(after_s, EVENT_S + 0.05)

    def test_the_last_resort_of_a_service_is_not_given_up(self) -> None:
        """A target that leaves alone still serves the requests that wait for it."""
        self.scripted = ScriptedForwarder(
            route(kind=RequestKind.NON_IDEMPOTENT, wait_max_s=WAIT_S, objective_s=0.5),
            last_resort_s=WAIT_S,
        )
        self.scripted.add(OLD, "desk", replies_after(SLOW_S / 4))
        run = target(OLD).run
        self.play(
            lambda: self.scripted.registry.record_leaving(run, clock.monotonic_s()),
            has_new=False,
        )
        self.assertEqual(self.scripted.called_targets.count(OLD), REQUESTS)
        self.assertTrue(all(isinstance(each, Passed) for each, _ in self.responses))

    def test_a_request_that_was_quarantined_meanwhile(self) -> None:
        verdict = Verdict(
            Fingerprint("/x"),
            ALL_SERVICES,
            VerdictKind.QUARANTINED,
            CRASHES_TO_QUARANTINE,
            60_000,
        )
        self.play(
            lambda: self.scripted.crashes.apply_verdicts(
                (verdict,), clock.monotonic_s()
            )
        )
        self.assertEqual(self.scripted.called_targets, [OLD] * CONNECTIONS)

    def test_a_shard_of_a_search(self) -> None:
        self.scripted = ScriptedForwarder(
            route(shards(2, 1.0), wait_max_s=WAIT_S, objective_s=WAIT_S)
        )
        self.scripted.add("first", "shard-0", replies())
        self.scripted.add(OLD, "shard-1", replies_after(SLOW_S))

        def replace() -> None:
            self.scripted.add(NEW, "shard-1", replies())
            record = target(OLD, "shard-1", state=TargetState.DRAINING)
            self.scripted.registry.put(record)

        self.play(replace, has_new=False)
        self.assertEqual(self.scripted.called_targets.count(OLD), CONNECTIONS)

    def test_its_notice_on_a_refusal_moves_the_others(self) -> None:
        """The first request on the target is turned away with a time to stay away."""

        def turns_away(call: TargetCall) -> TargetReply:
            tasks.sleep(EVENT_S + 0.1)
            return NotRun(OLD, NotRunReason.REFUSED, TargetNotice(pause_s=60.0))

        self.scripted.behaviours[OLD] = turns_away
        self.play(lambda: None)
        self.assertEqual(self.scripted.called_targets.count(OLD), CONNECTIONS)
        self.assertLess(max(s for _, s in self.responses), EVENT_S + 0.3)
        self.assertTrue(all(isinstance(each, Passed) for each, _ in self.responses))

    def test_an_unsent_call_uses_up_no_attempt(self) -> None:
        """Two targets may be tried; the one that drained was not one of them."""
        names: list[CallerRequestId] = []

        def refuses_once(call: TargetCall) -> TargetReply:
            names.append(call.request.request)
            return NotRun(call.record.target, NotRunReason.REFUSED)

        def replace() -> None:
            self.scripted.add("full", "desk", refuses_once)
            self.drain()
            self.scripted.registry.put(target(NEW))

        self.scripted.behaviours[NEW] = lambda call: reply(NEW, signature=NEW)
        self.play(replace, has_new=False)
        self.assertTrue(all(isinstance(each, Passed) for each, _ in self.responses))
