"""Codec of the frames for the handshake, rosters and indirect probes."""

from typing import Any

from lavendertide import messages
from lavendertide.encodings.generated.peer_protocol import ttypes
from lavendertide.ids import (
    Address,
    DaemonId,
    ExchangeId,
    FailureDomain,
    HostId,
    Incarnation,
    Region,
)


def to_union(frame: messages.Frame) -> Any | None:
    """Returns the generated union for a membership frame, none for any other frame."""
    match frame:
        case messages.Hello(member, nonce, accepts_compressed):
            hello = ttypes.Hello(pack_member(member), nonce, accepts_compressed)
            return ttypes.Frame(hello=hello)
        case messages.Challenge(member, nonce, proof, accepts_compressed):
            challenge = ttypes.Challenge(
                pack_member(member), nonce, proof, accepts_compressed
            )
            return ttypes.Frame(challenge=challenge)
        case messages.ChallengeAnswer(proof):
            return ttypes.Frame(challenge_answer=ttypes.ChallengeAnswer(proof))
        case messages.RosterPull(digests):
            return ttypes.Frame(roster_pull=ttypes.RosterPull(list(digests)))
        case messages.RosterPush(records):
            push = ttypes.RosterPush([pack_member(record) for record in records])
            return ttypes.Frame(roster_push=push)
        case messages.ReachRequest(exchange, daemon):
            return ttypes.Frame(reach_request=ttypes.ReachRequest(exchange, daemon))
        case messages.ReachReply(exchange, is_reached):
            return ttypes.Frame(reach_reply=ttypes.ReachReply(exchange, is_reached))
    return None


def from_union(union: Any) -> messages.Frame | None:
    """Returns the membership frame in a generated union, none if it has another."""
    if union.hello is not None:
        hello = union.hello
        member = unpack_member(hello.member)
        return messages.Hello(member, hello.nonce, bool(hello.takes_compressed))
    if union.challenge is not None:
        challenge = union.challenge
        member = unpack_member(challenge.member)
        accepts_compressed = bool(challenge.takes_compressed)
        return messages.Challenge(
            member, challenge.nonce, challenge.proof, accepts_compressed
        )
    if union.challenge_answer is not None:
        return messages.ChallengeAnswer(union.challenge_answer.proof)
    if union.roster_pull is not None:
        return messages.RosterPull(tuple(union.roster_pull.digests))
    if union.roster_push is not None:
        records = union.roster_push.records
        return messages.RosterPush(tuple(unpack_member(record) for record in records))
    if union.reach_request is not None:
        request = union.reach_request
        return messages.ReachRequest(
            ExchangeId(request.exchange), DaemonId(request.daemon)
        )
    if union.reach_reply is not None:
        reply = union.reach_reply
        return messages.ReachReply(ExchangeId(reply.exchange), reply.is_reached)
    return None


def pack_member(member: messages.MemberRecord) -> Any:
    """Returns the generated struct for a member's record."""
    return ttypes.MemberRecord(
        member.daemon,
        member.host,
        member.region,
        member.failure_domain,
        member.peer_address,
        member.caller_address,
        member.incarnation,
        member.state.value,
        member.refutation,
        member.capacity,
        member.is_loaded,
    )


def unpack_member(record: Any) -> messages.MemberRecord:
    """Returns the member's record in a generated struct."""
    return messages.MemberRecord(
        DaemonId(record.daemon),
        HostId(record.host),
        Region(record.region),
        FailureDomain(record.failure_domain),
        Address(record.peer_address),
        Address(record.caller_address),
        Incarnation(record.incarnation),
        messages.MemberState(record.state),
        record.refutation or 0,
        record.capacity or 0,
        bool(record.is_loaded),
    )
