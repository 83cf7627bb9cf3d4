"""Codec of the frames between daemons: `thrift` structs after a four-byte length.

The structs are generated from `peer_protocol.thrift`; this module converts between them
and the data classes of `lavendertide.messages`. It requires the accelerated codec,
since the library otherwise falls back to one that is many times slower.
"""

import struct
from typing import Any, Final

from returns.result import Failure, Result, Success
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from lavendertide import messages
from lavendertide.encodings import (
    configuration_frames,
    fleet_frames,
    holder_frames,
    plan_frames,
    registry_frames,
)
from lavendertide.encodings.fleet_frames import pack_member, unpack_member
from lavendertide.encodings.generated.peer_protocol import ttypes
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.ids import (
    AttemptId,
    ConfigurationVersion,
    ExchangeId,
    Fingerprint,
    IndexName,
    IndexVersion,
    OwnerId,
    PlanClass,
    PlanId,
    QueryId,
    ShardNumber,
    TargetId,
    TicketId,
)

LENGTH: Final = struct.Struct("!I")
# Bit that is set in the length of a frame whose payload is compressed.
COMPRESSED_FLAG: Final = 1 << 31

# Shared by all frames, since creating one takes as long as decoding a short frame.
# Encoding and decoding never yield to another task, so it serves one frame at a time.
_protocol: Final = TBinaryProtocolAccelerated(TMemoryBuffer(), fallback=False)


def encode_frame(frame: messages.Frame) -> bytes:
    """Serializes a frame, preceded by its length."""
    _protocol.trans = TMemoryBuffer()
    _to_union(frame).write(_protocol)
    payload: bytes = _protocol.trans.getvalue()
    return LENGTH.pack(len(payload)) + payload


def decode_frame(payload: bytes) -> Result[messages.Frame, Refusal]:
    """Parses a frame's payload, which is the frame without its length."""
    union = ttypes.Frame()
    _protocol.trans = TMemoryBuffer(payload)
    try:
        union.read(_protocol)
        return Success(_from_union(union))
    except (ArithmeticError, AttributeError, EOFError, LookupError) as error:
        return Failure(_malformed(error))
    except (TypeError, ValueError, ttypes.TException) as error:
        return Failure(_malformed(error))


def _malformed(error: Exception) -> Refusal:
    return Refusal(
        RefusalKind.MALFORMED_REQUEST,
        f"A peer's frame cannot be decoded: {error!r}.",
        "Run the same release on all daemons of the fleet.",
        Fault.SYSTEM,
    )


def _to_union(frame: messages.Frame) -> Any:
    match frame:
        case messages.SubRequests(items):
            packed = ttypes.SubRequests([_pack_sub_request(item) for item in items])
            return ttypes.Frame(sub_requests=packed)
        case messages.SubReplies(items):
            replies = ttypes.SubReplies([_pack_sub_reply(item) for item in items])
            return ttypes.Frame(sub_replies=replies)
        case messages.Cancels(attempts):
            return ttypes.Frame(cancels=ttypes.Cancels(list(attempts)))
        case messages.TicketRequest():
            return ttypes.Frame(ticket_request=_pack_ticket_request(frame))
        case messages.TicketReply():
            return ttypes.Frame(ticket_reply=_pack_ticket_reply(frame))
        case messages.PlanClaims() | messages.PlanGrants():
            return plan_frames.to_union(frame)
        case _:
            return _control_to_union(frame)


def _control_to_union(frame: messages.Frame) -> Any:
    match frame:
        case messages.Heartbeat():
            return ttypes.Frame(heartbeat=ttypes.Heartbeat(*_pack_heartbeat(frame)))
        case messages.HeartbeatAck():
            return ttypes.Frame(
                heartbeat_ack=ttypes.HeartbeatAck(*_pack_heartbeat(frame))
            )
        case (
            messages.ConfigurationOffer()
            | messages.ConfigurationPull()
            | messages.ConfigurationPush()
            | messages.ConfigurationDelta()
        ):
            return configuration_frames.to_union(frame)
        case _:
            return (
                fleet_frames.to_union(frame)
                or registry_frames.to_union(frame)
                or holder_frames.to_union(frame)
            )


def _from_union(union: Any) -> messages.Frame:
    if union.sub_requests is not None:
        items = union.sub_requests.items
        return messages.SubRequests(tuple(_unpack_sub_request(item) for item in items))
    if union.sub_replies is not None:
        items = union.sub_replies.items
        return messages.SubReplies(tuple(_unpack_sub_reply(item) for item in items))
    if union.cancels is not None:
        attempts = union.cancels.attempts
        return messages.Cancels(tuple(AttemptId(attempt) for attempt in attempts))
    if union.ticket_request is not None:
        return _unpack_ticket_request(union.ticket_request)
    if union.ticket_reply is not None:
        return _unpack_ticket_reply(union.ticket_reply)
    if union.plan_claims is not None or union.plan_grants is not None:
        return plan_frames.from_union(union)
    return _control_from_union(union)


def _control_from_union(union: Any) -> messages.Frame:
    if union.heartbeat is not None:
        return messages.Heartbeat(*_unpack_heartbeat(union.heartbeat))
    if union.heartbeat_ack is not None:
        return messages.HeartbeatAck(*_unpack_heartbeat(union.heartbeat_ack))
    return (
        configuration_frames.from_union(union)
        or fleet_frames.from_union(union)
        or registry_frames.from_union(union)
        or holder_frames.from_union(union)
    )


def _pack_heartbeat(
    heartbeat: messages.Heartbeat | messages.HeartbeatAck,
) -> tuple[Any, ...]:
    return (
        heartbeat.sequence,
        [pack_member(member) for member in heartbeat.gossip],
        heartbeat.configuration_version,
        heartbeat.digest,
    )


def _unpack_heartbeat(
    heartbeat: Any,
) -> tuple[
    int,
    tuple[messages.MemberRecord, ...],
    ConfigurationVersion,
    int,
]:
    return (
        heartbeat.sequence,
        tuple(unpack_member(member) for member in heartbeat.news),
        ConfigurationVersion(heartbeat.configuration_version),
        heartbeat.digest or 0,
    )


def _pack_sub_request(request: messages.SubRequest) -> Any:
    return ttypes.SubRequest(
        request.attempt,
        request.query,
        request.owner,
        request.index,
        request.shard,
        request.version,
        request.target,
        request.operation.value,
        request.body,
        request.remaining_ms,
        request.fingerprint,
        request.plan_class,
        request.page_size,
    )


def _unpack_sub_request(request: Any) -> messages.SubRequest:
    return messages.SubRequest(
        AttemptId(request.attempt),
        QueryId(request.query),
        OwnerId(request.owner),
        IndexName(request.index),
        ShardNumber(request.shard),
        IndexVersion(request.version),
        TargetId(request.target),
        messages.Operation(request.operation),
        request.body,
        request.remaining_ms,
        Fingerprint(request.fingerprint),
        PlanClass(request.plan_class or ""),
        request.page_size or 0,
    )


_ANSWERED: Final = "answered"
_DECLINED: Final = "declined"
_LOST: Final = "lost"


def _pack_sub_reply(reply: messages.SubReply) -> Any:
    match reply:
        case messages.Answered():
            return ttypes.SubReply(
                attempt=reply.attempt,
                kind=_ANSWERED,
                shard=reply.shard,
                version=reply.version,
                rows=[ttypes.Row(r.key, r.score, r.document) for r in reply.rows],
                matches=reply.matches,
                amount=reply.amount,
                query=reply.query,
                spare_slots=reply.spare_slots,
            )
        case messages.Declined(attempt, decline, spare_slots):
            return ttypes.SubReply(
                attempt, _DECLINED, decline.value, spare_slots=spare_slots
            )
        case messages.Lost(attempt, loss):
            return ttypes.SubReply(attempt, _LOST, loss.value)


def _unpack_sub_reply(reply: Any) -> messages.SubReply:
    attempt = AttemptId(reply.attempt)
    match reply.kind:
        case "declined":
            return messages.Declined(
                attempt, messages.DeclineReason(reply.reason), reply.spare_slots or 0
            )
        case "lost":
            return messages.Lost(attempt, messages.LossReason(reply.reason))
        case _:
            return messages.Answered(
                attempt=attempt,
                query=QueryId(reply.query),
                shard=ShardNumber(reply.shard),
                version=IndexVersion(reply.version),
                rows=tuple(
                    messages.Row(r.key, r.score, r.document) for r in reply.rows
                ),
                matches=reply.matches,
                amount=reply.amount,
                spare_slots=reply.spare_slots or 0,
            )


def _pack_ticket_request(request: messages.TicketRequest) -> Any:
    return ttypes.TicketRequest(
        request.exchange,
        request.ticket,
        request.plan,
        request.index,
        request.operation.value,
        request.body,
        request.remaining_ms,
        request.is_status_request,
    )


def _unpack_ticket_request(request: Any) -> messages.TicketRequest:
    return messages.TicketRequest(
        ExchangeId(request.exchange),
        TicketId(request.ticket),
        PlanId(request.plan),
        IndexName(request.index),
        messages.Operation(request.operation),
        request.body,
        request.remaining_ms,
        bool(request.is_inquiry),
    )


def _pack_ticket_reply(reply: messages.TicketReply) -> Any:
    packed = ttypes.TicketReply(reply.exchange, reply.outcome.value, reply.detail)
    if reply.refusal is not None:
        packed.detail = reply.refusal.message
        packed.refusal_kind = reply.refusal.kind.value
        packed.refusal_remedy = reply.refusal.remedy
        packed.refusal_fault = reply.refusal.fault.value
    return packed


def _unpack_ticket_reply(reply: Any) -> messages.TicketReply:
    return messages.TicketReply(
        ExchangeId(reply.exchange),
        messages.Outcome(reply.outcome),
        reply.detail,
        _unpack_refusal(reply) if reply.refusal_kind else None,
    )


def _unpack_refusal(reply: Any) -> Refusal:
    return Refusal(
        RefusalKind(reply.refusal_kind),
        reply.detail,
        reply.refusal_remedy,
        Fault(reply.refusal_fault),
    )
