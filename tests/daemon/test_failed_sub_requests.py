"""Tests of sub-requests and peers' requests in whose midst an exception arises."""

from unittest import mock

from bench.codec import build_frame
from lavendertide.daemon.dispatcher import Dispatcher
from lavendertide.daemon.in_flight import InFlightCounter
from lavendertide.daemon.peer_front import PeerFront
from lavendertide.fleet.peer_server import Outbox
from lavendertide.ids import ExchangeId, IndexName, PlanId, TicketId
from lavendertide.messages import (
    LossReason,
    Lost,
    Operation,
    Outcome,
    SubReply,
    TicketReply,
    TicketRequest,
)
from lavendertide.options import RouteStaticShare
from lavendertide.poison.quarantine import Permission
from lavendertide.runtime import tasks
from tests.virtual_time import VirtualTimeTestCase

SUB_REQUEST = build_frame(1).items[0]
TICKET_REQUEST = TicketRequest(
    ExchangeId("e"),
    TicketId("t"),
    PlanId("p"),
    IndexName("i"),
    Operation.REDEEM,
    "",
    remaining_ms=100,
    is_status_request=False,
)
WAIT_S = 1.0


class FailedDispatchTest(VirtualTimeTestCase):
    """A sub-request whose dispatch fails is lost at once.

    Guards against searches that end by the failure of one shard, against peers that
    lose their connection for it, and against those that wait until their deadline.
    """

    def setUp(self) -> None:
        self.quarantine, self.pool = mock.Mock(), mock.Mock()
        self.quarantine.permission.return_value = Permission.FREELY
        self.pool.submit.side_effect = KeyError("t")
        roster = mock.Mock()
        roster.own.daemon = "d"
        self.dispatcher = Dispatcher(
            RouteStaticShare(),
            configuration=mock.Mock(),
            roster=roster,
            table=mock.Mock(),
            peers=mock.Mock(),
            readiness=mock.Mock(),
            pool=self.pool,
            quarantine=self.quarantine,
        )
        self.inbox: tasks.Mailbox[SubReply] = tasks.Mailbox()

    def assert_lost(self) -> None:
        """Checks that the inbox gets exactly one reply."""
        lost = Lost(SUB_REQUEST.attempt, LossReason.PEER_LOST)
        self.assertEqual(self.inbox.receive(WAIT_S), lost)
        self.assertIsNone(self.inbox.receive(WAIT_S))

    def test_an_own_one(self) -> None:
        self.dispatcher.send(SUB_REQUEST, self.inbox)
        self.assert_lost()

    def test_one_of_a_peer(self) -> None:
        self.dispatcher.accept(SUB_REQUEST, self.inbox)
        self.assert_lost()

    def test_one_that_waits_for_its_trial(self) -> None:
        self.quarantine.permission.return_value = Permission.ALONE
        self.quarantine.wait_for_trial.side_effect = KeyError("f")
        self.dispatcher.accept(SUB_REQUEST, self.inbox)
        self.assert_lost()


class FailedTicketRequestTest(VirtualTimeTestCase):
    """A peer is told at once that a ticket's execution failed and may have run.

    Guards against a caller's host that waits for it until the caller's deadline.
    """

    def test_the_outcome_is_unknown(self) -> None:
        tickets = mock.Mock()
        tickets.execute_for_peer.side_effect = KeyError("t")
        in_flight = InFlightCounter()
        front = PeerFront(
            connector=mock.Mock(),
            roster=mock.Mock(),
            peers=mock.Mock(),
            gossip=mock.Mock(),
            readiness=mock.Mock(),
            dispatcher=mock.Mock(),
            tickets=tickets,
            allocator=mock.Mock(),
            in_flight=in_flight,
            slot_manager=mock.Mock(),
            pauses=mock.Mock(),
        )
        outbox: Outbox = tasks.Mailbox()
        front.handle(mock.Mock(), TICKET_REQUEST, outbox)
        reply = outbox.receive(WAIT_S)
        assert isinstance(reply, TicketReply)
        self.assertEqual(reply.exchange, TICKET_REQUEST.exchange)
        self.assertIs(reply.outcome, Outcome.UNKNOWN)
        self.assertIsNone(reply.refusal)
        self.assertEqual(in_flight.count, 0)
