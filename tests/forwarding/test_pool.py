"""Tests of `lavendertide.forwarding.pool`."""

import unittest

from lavendertide.forwarding.messages import (
    NotRun,
    NotRunReason,
    Passed,
    Replied,
    TargetReply,
)
from lavendertide.forwarding.pool import WaitingCalls, connection_share
from lavendertide.forwarding.pooled_connection import UNSUCCESSFUL_MAX, PooledConnection
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.ids import Address, CallerRequestId
from lavendertide.routes.route import RequestKind
from lavendertide.runtime import clock, tasks
from standins.forwarding_records import reply, request, route, target
from tests.forwarding.scripted_targets import (
    Behaviour,
    ScriptedChannel,
    ScriptedForwarder,
    crashes,
    replies,
)
from tests.virtual_time import VirtualTimeTestCase


class ConnectionShareTest(unittest.TestCase):
    """All hosts together stay within the connections that a target accepts."""

    def test_connections_of_two_starts_fit_if_slots_allow_it(self) -> None:
        for connections, slots, hosts in ((25, 2, 6), (110, 6, 8), (40, 3, 6)):
            share = connection_share(connections, slots, hosts, False)
            self.assertLessEqual(2 * share * hosts, connections)
            self.assertGreaterEqual(share, slots)

    def test_connections_of_one_start_always_fit(self) -> None:
        for hosts in range(1, 27):
            self.assertLessEqual(connection_share(26, 2, hosts, False) * hosts, 26)

    def test_a_host_can_use_all_slots_if_its_full_share_allows_it(self) -> None:
        self.assertEqual(connection_share(26, 2, 8, False), 2)

    def test_previous_connections_fit_after_a_power_loss(
        self,
    ) -> None:
        """All hosts restart at once while targets still count their old connections."""
        sites = ((26, 2, 8), (25, 2, 6), (110, 6, 8), (40, 3, 6), (14, 1, 6))
        for connections, slots, hosts in sites:
            with self.subTest(connections=connections, slots=slots, hosts=hosts):
                previous = connection_share(connections, slots, hosts, False)
                fresh = connection_share(connections, slots, hosts, True)
                self.assertLessEqual((previous + fresh) * hosts, connections)
                self.assertGreaterEqual(fresh, 1)

    def test_each_host_of_a_large_fleet_has_one_connection(self) -> None:
        self.assertEqual(connection_share(60, 2, 76, False), 1)


class CopyingChannel(ScriptedChannel):
    """A connection on which each reply without success is sent a second time, late.

    The copy is sent when the next request arrives. It is skipped unless that is the
    request that the copy belongs to.
    """

    def __init__(self, scripted: ScriptedForwarder) -> None:
        super().__init__(scripted)
        self._copies: dict[CallerRequestId, TargetReply] = {}

    def open(self, timeout_s: float) -> bool:
        """Opens a new connection, to which no copy belongs."""
        self._copies.clear()
        return True

    def exchange(self, call: TargetCall, now_s: float) -> TargetReply:
        """Returns the copy of an earlier reply to the request, if there is one."""
        copies, self._copies = self._copies, {}
        own = super().exchange(call, now_s)
        if not (isinstance(own, Replied) and own.is_success):
            self._copies[call.request.request] = own
        return copies.get(call.request.request, own)


class CopyingForwarder(ScriptedForwarder):
    """A forwarder whose targets repeat their replies without success."""

    def _make_channel(self, address: Address) -> ScriptedChannel:
        return CopyingChannel(self)


def _refuses_first(times: int, runs: list[CallerRequestId]) -> Behaviour:
    """Returns the behaviour of a target that refuses `times` times, then runs."""
    left = iter(range(times))

    def behave(call: TargetCall) -> TargetReply:
        if next(left, None) is not None:
            return NotRun(call.record.target, NotRunReason.REFUSED)
        runs.append(call.request.request)
        return reply(call.record.target, signature=call.record.target)

    return behave


class LateCopyTest(VirtualTimeTestCase):
    """Guards against a late copy of a refusal that passes for the next reply.

    The refused request is sent again to the same target, runs there, and its caller
    would be told that it has not run, or it would be sent a third time.
    """

    def test_a_request_runs_once_although_its_refusal_is_repeated(self) -> None:
        for refusals in (1, 2):
            with self.subTest(refusals=refusals):
                scripted = CopyingForwarder(route(kind=RequestKind.NON_IDEMPOTENT))
                runs: list[CallerRequestId] = []
                scripted.add("t", "desk", _refuses_first(refusals, runs))
                response = scripted.forward()
                self.assertEqual(len(runs), 1)
                self.assertIsInstance(response, Passed)

    def test_a_copy_of_a_failure_is_not_the_reply_to_the_next_attempt(self) -> None:
        scripted = CopyingForwarder(route())
        replies = iter((500, 200))
        scripted.add(
            "t",
            "desk",
            lambda call: reply("t", status=next(replies), signature="t"),
        )
        response = scripted.forward()
        assert isinstance(response, Passed)
        self.assertEqual(response.reply.status, 200)


class PooledConnectionTest(unittest.TestCase):
    """A connection is replaced only where a copy could pass for the next reply."""

    def setUp(self) -> None:
        self.opened = 0
        self.connection = PooledConnection(self)

    def is_usable(self, now_s: float) -> bool:
        """Returns whether the connection has been opened."""
        return self.opened > 0

    def open(self, timeout_s: float) -> bool:
        """Counts the opened connections."""
        self.opened += 1
        return True

    def has_data(self) -> bool:
        """Returns False: replies are returned as soon as they exist."""
        return False

    def close(self) -> None:
        """Does nothing."""

    def release(self) -> None:
        """Closes the connection; no exchange runs on it."""

    def exchange(self, call: TargetCall, now_s: float) -> TargetReply:
        """Refuses the requests whose name begins with an `n`."""
        if call.request.request.startswith("n"):
            return NotRun(call.record.target, NotRunReason.REFUSED)
        return reply(call.record.target)

    def send(self, name: str) -> TargetReply:
        """Sends a request on the connection."""
        now_s = clock.monotonic_s()
        call = TargetCall(
            1, 0, request(name=name), target("t"), now_s, now_s + 1, lambda *_: None
        )
        self.assertTrue(self.connection.make_usable(call, now_s))
        return self.connection.exchange(call, now_s)

    def test_other_requests_share_the_connection(self) -> None:
        for name in ("n1", "y1", "n2", "y2"):
            self.send(name)
        self.assertEqual(self.opened, 1)

    def test_a_refused_request_is_sent_again_on_a_new_connection(self) -> None:
        self.send("n1")
        self.send("y1")
        self.send("n1")
        self.assertEqual(self.opened, 2)
        self.send("n1")
        self.assertEqual(self.opened, 3)

    def test_what_a_connection_remembers_is_bounded(self) -> None:
        for number in range(3 * UNSUCCESSFUL_MAX):
            self.send(f"n{number}")
        self.assertEqual(self.opened, 3)

    def test_a_reply_is_returned_unchanged(self) -> None:
        self.assertIsInstance(self.send("y1"), Replied)


class ForgottenChannel(ScriptedChannel):
    """A connection that its target forgets while it rests, which shows only on use."""

    FORGOTTEN_AFTER_S = 0.3

    def __init__(self, scripted: ScriptedForwarder) -> None:
        super().__init__(scripted)
        self._used_at_s = clock.monotonic_s()

    def open(self, timeout_s: float) -> bool:
        """Opens a new connection."""
        self._used_at_s = clock.monotonic_s()
        return True

    def exchange(self, call: TargetCall, now_s: float) -> TargetReply:
        """Ends without a reply if the target has forgotten the connection."""
        rested_s, self._used_at_s = now_s - self._used_at_s, now_s
        if rested_s > self.FORGOTTEN_AFTER_S:
            return crashes(call)
        return super().exchange(call, now_s)


class ForgettingForwarder(ScriptedForwarder):
    """A forwarder whose targets forget connections that rest."""

    def _make_channel(self, address: Address) -> ScriptedChannel:
        return ForgottenChannel(self)


class RestedConnectionTest(VirtualTimeTestCase):
    """Guards against orders that fail since they are sent on a forgotten connection.

    The load: a few orders a minute, between which connections rest.
    """

    def test_an_order_is_sent_on_a_new_connection(self) -> None:
        scripted = ForgettingForwarder(route(kind=RequestKind.NON_IDEMPOTENT))
        scripted.add("t", "desk", replies())
        for number in range(4):
            self.assertIsInstance(scripted.forward(name=f"r{number}"), Passed)
            tasks.sleep(0.5)


class WaitingOrderTest(VirtualTimeTestCase):
    """Guards against urgent calls that wait behind less urgent ones."""

    def test_calls_are_taken_by_priority_and_then_by_age(self) -> None:
        waiting = WaitingCalls()
        now_s = clock.monotonic_s()
        for number, priority in enumerate((2, 0, 1, 0)):
            call = TargetCall(
                number,
                0,
                request(),
                target("t"),
                now_s,
                now_s + 9.0,
                lambda *_: None,
                priority=priority,
                queued_at_s=now_s,
            )
            waiting.send(call)
        order = [waiting.receive(1.0) for _ in range(5)]
        numbers = [call.number if call is not None else None for call in order]
        self.assertEqual(numbers, [1, 3, 2, 0, None])
