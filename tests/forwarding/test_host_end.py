"""Tests of requests that are in flight, or arrive, while their host ends.

The load: targets that take longer than what is left of the host's time.
"""

from lavendertide.forwarding.messages import (
    Failed,
    Gathered,
    Passed,
    RefusalCause,
    Refused,
    Response,
)
from lavendertide.forwarding.sender import Event, HostEnds
from lavendertide.routes.route import RequestKind
from lavendertide.runtime import clock, tasks
from standins.forwarding_records import route, shards
from tests.forwarding.scripted_targets import (
    ScriptedForwarder,
    replies,
    replies_after,
)
from tests.virtual_time import VirtualTimeTestCase

CONNECTIONS = 2
WAIT_S = 30.0
ENDS_AFTER_S = 1.0
SLOW_S = 10.0


class RequestsInFlightTest(VirtualTimeTestCase):
    """Guards against requests that are cut off without an answer at a planned stop."""

    def forward_until_end(
        self, scripted: ScriptedForwarder, count: int = 1
    ) -> list[Response]:
        """Returns the responses to requests whose host ends while they run."""
        inboxes: list[tasks.Mailbox[Event]] = [tasks.Mailbox() for _ in range(count)]
        responses: list[Response] = []

        def send(number: int) -> None:
            name = f"r{number}"
            responses.append(scripted.forward(inboxes[number], name, WAIT_S))

        for number in range(count):
            tasks.spawn(send, number)
        tasks.sleep(ENDS_AFTER_S)
        self.assertEqual(responses, [])
        for inbox in inboxes:
            inbox.send(HostEnds())
        tasks.sleep(0.0)
        self.assertEqual(len(responses), count)
        return responses

    def test_what_may_have_run_fails_and_the_rest_is_refused(self) -> None:
        for kind in RequestKind:
            with self.subTest(kind=kind):
                scripted = ScriptedForwarder(
                    route(kind=kind, wait_max_s=WAIT_S, objective_s=WAIT_S)
                )
                scripted.add("t", "desk", replies_after(SLOW_S))
                responses = self.forward_until_end(scripted, 5)
                refused = [each for each in responses if isinstance(each, Refused)]
                failed = [each for each in responses if isinstance(each, Failed)]
                self.assertEqual(len(failed), CONNECTIONS)
                self.assertEqual(len(refused), 5 - CONNECTIONS)
                # A refused request must not run later either.
                tasks.sleep(5 * SLOW_S)
                self.assertEqual(len(scripted.called_targets), CONNECTIONS)

    def test_the_parts_that_are_in_are_sent_if_they_suffice(self) -> None:
        scripted = ScriptedForwarder(
            route(shards(4), wait_max_s=WAIT_S, objective_s=WAIT_S)
        )
        for number in range(3):
            scripted.add(f"t{number}", f"shard-{number}", replies())
        scripted.add("t3", "shard-3", replies_after(SLOW_S))
        (response,) = self.forward_until_end(scripted)
        assert isinstance(response, Gathered)
        self.assertEqual(response.missing, 1)


class LateRequestsTest(VirtualTimeTestCase):
    """Guards against requests that are taken although they can't end in time."""

    def setUp(self) -> None:
        super().setUp()
        self.scripted = ScriptedForwarder(
            route(kind=RequestKind.NON_IDEMPOTENT, wait_max_s=WAIT_S, objective_s=4.0)
        )
        self.scripted.add("t", "desk", replies_after(0.5))
        for _ in range(20):
            self.assertIsInstance(self.scripted.forward(wait_s=WAIT_S), Passed)

    def end_after(self, left_s: float) -> None:
        """Announces the end of the host."""
        self.scripted.forwarder.announce_end(clock.monotonic_s() + left_s)

    def test_one_that_usually_takes_longer_is_refused_at_once(self) -> None:
        self.end_after(0.4)
        sent, began_s = len(self.scripted.called_targets), clock.monotonic_s()
        refused = self.scripted.forward(wait_s=WAIT_S)
        assert isinstance(refused, Refused)
        self.assertIs(refused.cause, RefusalCause.LEAVING)
        self.assertIsNotNone(refused.retry_after_s)
        self.assertEqual(clock.monotonic_s(), began_s)
        self.assertEqual(len(self.scripted.called_targets), sent)

    def test_one_that_usually_takes_less_is_served(self) -> None:
        self.end_after(0.6)
        self.assertIsInstance(self.scripted.forward(wait_s=WAIT_S), Passed)

    def test_one_that_takes_unusually_long_is_answered_before_the_end(self) -> None:
        for name in list(self.scripted.behaviours):
            self.scripted.behaviours[name] = replies_after(SLOW_S)
        began_s = clock.monotonic_s()
        self.end_after(0.8)
        response = self.scripted.forward(wait_s=WAIT_S)
        self.assertIsInstance(response, Failed)
        self.assertAlmostEqual(clock.monotonic_s(), began_s + 0.8, places=3)
