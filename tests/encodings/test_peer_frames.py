"""Tests of `lavendertide.encodings.peer_frames`."""

import unittest
from dataclasses import replace

from hypothesis import given, settings, strategies as st

from bench.codec import build_frame
from lavendertide.encodings.generated.peer_protocol import ttypes
from lavendertide.encodings.holder_frames import from_union, to_union
from lavendertide.encodings.peer_frames import LENGTH, decode_frame, encode_frame
from lavendertide.evacuation.evacuated_domains import Evacuation
from lavendertide.gateway import cold_exchange
from lavendertide.ids import (
    Address,
    AttemptId,
    ConfigurationVersion,
    DaemonId,
    ExchangeId,
    FailureDomain,
    Fingerprint,
    HostId,
    Incarnation,
    IndexName,
    IndexVersion,
    PlanId,
    QueryId,
    Region,
    ShardNumber,
    TargetId,
    TicketId,
)
from lavendertide.messages import (
    Answered,
    Cancels,
    CapacityNotices,
    Challenge,
    ChallengeAnswer,
    ColdGrants,
    Declined,
    DeclineReason,
    EvacuationNotices,
    Frame,
    Heartbeat,
    HeartbeatAck,
    Hello,
    LeavingNotices,
    LossReason,
    Lost,
    MemberRecord,
    MemberState,
    Operation,
    Outcome,
    OverloadNotices,
    PlanClaim,
    PlanClaims,
    PlanGrant,
    PlanGrants,
    ReachReply,
    ReachRequest,
    RegistryPull,
    RegistryPush,
    RosterPull,
    RosterPush,
    Row,
    StallNotices,
    SubReplies,
    TicketReply,
    TicketRequest,
    Verdict,
    VerdictKind,
    Verdicts,
)
from lavendertide.overload.capacity_sharing import (
    FRAME_BYTES,
    ITEM_BYTES,
    CapacityObservation,
)
from lavendertide.overload.shared_overload import (
    FRAME_BYTES as OVERLOAD_FRAME_BYTES,
    ITEM_BYTES as OVERLOAD_ITEM_BYTES,
    OverloadObservation,
)
from lavendertide.registry.record import TargetRun
from lavendertide.warmup.grant_requests import ColdGrant
from standins.forwarding_records import at, target

MEMBER = MemberRecord(
    daemon=DaemonId("a-0"),
    host=HostId("a-host"),
    region=Region("north"),
    failure_domain=FailureDomain("north-a"),
    peer_address=Address("127.0.0.1:1"),
    caller_address=Address("127.0.0.1:2"),
    incarnation=Incarnation(7),
    state=MemberState.SERVING,
)
ANSWERED = Answered(
    attempt=AttemptId("q.1"),
    query=QueryId("q"),
    shard=ShardNumber(3),
    version=IndexVersion(9),
    rows=(Row("key", 1.5, "καλημέρα"),),
    matches=1,
    amount=-5,
)
FRAMES: tuple[Frame, ...] = (
    build_frame(3),
    SubReplies(
        (
            ANSWERED,
            Declined(AttemptId("q.2"), DeclineReason.SHED),
            Lost(AttemptId("q.3"), LossReason.TIMED_OUT),
        )
    ),
    Cancels((AttemptId("q.1"),)),
    Heartbeat(5, (MEMBER,), ConfigurationVersion(2), 77),
    HeartbeatAck(5, (), ConfigurationVersion(2), -77),
    Hello(MEMBER, "nonce"),
    Challenge(MEMBER, "nonce", "proof"),
    ChallengeAnswer("proof"),
    RosterPull((1, 2, 3)),
    RosterPush((MEMBER, replace(MEMBER, refutation=4))),
    ReachRequest(ExchangeId("x"), DaemonId("a-0")),
    ReachReply(ExchangeId("x"), True),
    TicketRequest(
        ExchangeId("x"),
        TicketId("t"),
        PlanId("p"),
        IndexName("i"),
        Operation.REDEEM,
        "body",
        100,
    ),
    TicketReply(ExchangeId("x"), Outcome.UNKNOWN, "minter is gone"),
    PlanClaims(
        ExchangeId("7"),
        DaemonId("a-0"),
        Incarnation(3),
        (PlanClaim(PlanId("stall-clerk"), 12.5, 0.25, 3, 6),),
    ),
    PlanGrants(ExchangeId("7"), (PlanGrant(PlanId("stall-clerk"), 0.5, True),)),
    StallNotices((TargetId("t1"), TargetId("t2"))),
    EvacuationNotices((Evacuation(FailureDomain("north-a"), at(412, 3), True),)),
    ColdGrants(
        (ColdGrant(TargetRun(TargetId("t1"), 17), DaemonId("m1"), 3, 500, 2**40),)
    ),
    OverloadNotices((OverloadObservation(7, 150, 4, 20, 310, 250, True, 250),)),
    CapacityNotices((CapacityObservation(TargetId("t1"), 400, 120),)),
    LeavingNotices((TargetRun(TargetId("t1"), 17), TargetRun(TargetId("t2"), 0))),
    RegistryPull(ExchangeId("8"), at(41)),
    RegistryPush(
        ExchangeId("8"),
        at(42),
        (target("t1"), target("t2")),
        (TargetId("t3"),),
        False,
        True,
        ConfigurationVersion(3),
    ),
    Verdicts((Verdict(Fingerprint("f"), ShardNumber(1), VerdictKind.SUSPECT, 2, 900),)),
)


class PeerFramesTest(unittest.TestCase):
    """Frames survive encoding and decoding; invalid payloads are refused.

    A damaged frame must not raise, since that would end the task that reads from the
    peer.
    """

    def test_each_frame_arrives_as_it_was_sent(self) -> None:
        for frame in FRAMES:
            with self.subTest(frame=type(frame).__name__):
                data = encode_frame(frame)
                self.assertEqual(decode_frame(data[LENGTH.size :]).unwrap(), frame)

    def test_capacity_notices_are_as_small_as_the_byte_bound_assumes(self) -> None:
        for count in (1, 64):
            items = tuple(
                CapacityObservation(TargetId(f"target-{number:04}"), 3_200, 1_000)
                for number in range(count)
            )
            assumed = FRAME_BYTES + sum(ITEM_BYTES + len(i.target) for i in items)
            size = len(encode_frame(CapacityNotices(items)))
            with self.subTest(count=count, size=size, assumed=assumed):
                self.assertLessEqual(size, assumed)

    def test_cold_grants_are_as_small_as_the_byte_bound_assumes(self) -> None:
        run, receiver = TargetRun(TargetId("desk-17"), 1_700_000_000_000), "m-12"
        for count in (1, 64):
            grant = ColdGrant(run, DaemonId(receiver), 3, 500, 2**40)
            size = len(encode_frame(ColdGrants((grant,) * count)))
            item = cold_exchange.ITEM_BYTES + len(run.target) + len(receiver)
            assumed = cold_exchange.FRAME_BYTES + count * item
            with self.subTest(count=count, size=size, assumed=assumed):
                self.assertLessEqual(size, assumed)

    def test_overload_notices_are_as_small_as_the_byte_bound_assumes(self) -> None:
        item = OverloadObservation(2**31 - 1, 400, 4, 1_999, 30_000, 30_000, True, 300)
        for count in (1, 4):
            size = len(encode_frame(OverloadNotices(count * (item,))))
            assumed = OVERLOAD_FRAME_BYTES + count * OVERLOAD_ITEM_BYTES
            with self.subTest(count=count, size=size, assumed=assumed):
                self.assertLessEqual(size, assumed)

    def test_a_notice_of_overload_has_no_stalls_for_an_earlier_release(self) -> None:
        """It skips field 74, and must not read anything else into the frame."""
        item = OverloadObservation(7, 150, 4, 20, 310, 250, True, 250)
        notices = to_union(OverloadNotices((item,))).stall_notices
        notices.overloads = None
        self.assertEqual(
            from_union(ttypes.Frame(stall_notices=notices)), StallNotices(())
        )

    def test_the_length_prefix_is_that_of_the_payload(self) -> None:
        data = encode_frame(FRAMES[0])
        self.assertEqual(LENGTH.unpack(data[: LENGTH.size])[0], len(data) - LENGTH.size)

    @settings(derandomize=True, max_examples=300)
    @given(st.binary(max_size=200))
    def test_random_bytes_never_raise(self, payload: bytes) -> None:
        decode_frame(payload)

    @settings(derandomize=True, max_examples=300)
    @given(st.sampled_from(FRAMES), st.data())
    def test_a_damaged_frame_never_raises(
        self, frame: Frame, data: st.DataObject
    ) -> None:
        payload = bytearray(encode_frame(frame)[LENGTH.size :])
        place = data.draw(st.integers(0, len(payload) - 1))
        payload[place] = data.draw(st.integers(0, 255))
        decode_frame(bytes(payload[: data.draw(st.integers(0, len(payload)))]))
