"""Codec of the frames between the holders of targets' slots.

Holders hand over slots and report stalled targets and requests that crash targets.
"""

from dataclasses import astuple
from typing import Any, Final

from lavendertide import messages
from lavendertide.encodings.generated.peer_protocol import ttypes
from lavendertide.encodings.registry_frames import pack_evacuations, unpack_evacuations
from lavendertide.ids import DaemonId, ExchangeId, Fingerprint, ShardNumber, TargetId
from lavendertide.overload.capacity_sharing import CapacityObservation
from lavendertide.overload.shared_overload import OverloadObservation
from lavendertide.registry.record import TargetRun
from lavendertide.warmup.grant_requests import ColdGrant

# Greatest value of a field of 16 bits; times above it are beyond any that count.
I16_MAX: Final = 0x7FFF

# The frames that share one struct, since an earlier release skips its new fields.
TargetNotices = (
    messages.StallNotices
    | messages.LeavingNotices
    | messages.EvacuationNotices
    | messages.CapacityNotices
    | messages.ColdGrants
    | messages.OverloadNotices
)


def to_union(frame: messages.Frame) -> Any:
    """Returns the generated union for one of these frames."""
    match frame:
        case messages.Verdicts(items):
            packed = ttypes.Verdicts([_pack_verdict(item) for item in items])
            return ttypes.Frame(verdicts=packed)
        case (
            messages.StallNotices()
            | messages.LeavingNotices()
            | messages.EvacuationNotices()
            | messages.CapacityNotices()
            | messages.ColdGrants()
            | messages.OverloadNotices()
        ):
            return ttypes.Frame(stall_notices=_pack_target_notices(frame))
        case messages.TrialClaim(exchange, sender, fingerprint, duration_ms):
            claim = ttypes.TrialClaim(exchange, sender, fingerprint, duration_ms)
            return ttypes.Frame(trial_claim=claim)
        case messages.TrialGrant(exchange, is_granted):
            grant = ttypes.TrialGrant(exchange, is_granted)
            return ttypes.Frame(trial_grant=grant)
        case messages.SlotClaims(sender, items):
            claims = ttypes.SlotClaims(sender, _pack_claims(items))
            return ttypes.Frame(slot_claims=claims)
        case messages.SlotReleases(sender, items):
            releases = ttypes.SlotReleases(sender, _pack_claims(items))
            return ttypes.Frame(slot_releases=releases)
    raise TypeError(f"not a frame: {frame!r}")


def from_union(union: Any) -> messages.Frame:
    """Returns the frame in a generated union.

    Raises:
        ValueError: The union contains no frame that is known here.
    """
    if union.verdicts is not None:
        verdicts = union.verdicts.items
        return messages.Verdicts(tuple(_unpack_verdict(item) for item in verdicts))
    if union.stall_notices is not None:
        return _unpack_target_notices(union.stall_notices)
    if union.trial_claim is not None:
        claim = union.trial_claim
        return messages.TrialClaim(
            ExchangeId(claim.exchange),
            DaemonId(claim.sender),
            Fingerprint(claim.fingerprint),
            claim.duration_ms,
        )
    if union.trial_grant is not None:
        grant = union.trial_grant
        return messages.TrialGrant(ExchangeId(grant.exchange), grant.is_granted)
    if union.slot_claims is not None:
        claims = union.slot_claims
        return messages.SlotClaims(
            DaemonId(claims.sender), _unpack_claims(claims.items)
        )
    if union.slot_releases is not None:
        releases = union.slot_releases
        return messages.SlotReleases(
            DaemonId(releases.sender), _unpack_claims(releases.items)
        )
    raise ValueError("frame without a known message")


def _pack_target_notices(notices: TargetNotices) -> Any:
    """Returns the generated struct of notices about targets.

    All are in one struct, since an earlier release closes a link on which it receives a
    frame that it doesn't know. It skips the fields that it doesn't know, and reads a
    frame without stalls.
    """
    match notices:
        case messages.StallNotices(targets):
            return ttypes.StallNotices(list(targets))
        case messages.LeavingNotices(runs):
            packed_runs = [ttypes.TargetRun(r.target, r.started_at_ms) for r in runs]
            return ttypes.StallNotices([], packed_runs)
        case messages.EvacuationNotices(states):
            return ttypes.StallNotices([], [], pack_evacuations(states))
        case messages.CapacityNotices(observed):
            capacities = [
                ttypes.CapacityNotice(o.target, o.slowness_percent, o.age_ms)
                for o in observed
            ]
            return ttypes.StallNotices([], [], None, capacities)
        case messages.ColdGrants(grants):
            packed_grants = [_pack_grant(grant) for grant in grants]
            return ttypes.StallNotices([], [], cold_grants=packed_grants)
        case messages.OverloadNotices(delays):
            overloads = [_pack_overload(each) for each in delays]
            return ttypes.StallNotices([], [], overloads=overloads)


def _unpack_target_notices(notices: Any) -> TargetNotices:
    states = unpack_evacuations(notices.evacuations)
    if states is not None:
        return messages.EvacuationNotices(states)
    if notices.capacities:
        return messages.CapacityNotices(
            tuple(
                CapacityObservation(TargetId(c.target), c.slowness_percent, c.age_ms)
                for c in notices.capacities
                if None not in (c.target, c.slowness_percent, c.age_ms)
            )
        )
    if notices.cold_grants:
        grants = [_unpack_grant(grant) for grant in notices.cold_grants]
        return messages.ColdGrants(tuple(g for g in grants if g is not None))
    if notices.overloads:
        unpacked = (_unpack_overload(each) for each in notices.overloads)
        return messages.OverloadNotices(tuple(o for o in unpacked if o is not None))
    if notices.leaving:
        return messages.LeavingNotices(
            tuple(TargetRun(TargetId(r.target), r.born_ms) for r in notices.leaving)
        )
    return messages.StallNotices(tuple(TargetId(name) for name in notices.targets))


def _pack_grant(grant: ColdGrant) -> Any:
    run = grant.run
    return ttypes.ColdGrant(
        run.target,
        run.started_at_ms,
        grant.receiver,
        grant.requests,
        grant.valid_ms,
        grant.serial,
    )


def _unpack_grant(item: Any) -> ColdGrant | None:
    """Returns a grant; none if a field is missing."""
    numbers = item.born_ms, item.requests, item.valid_ms, item.serial
    if None in numbers or item.target is None or item.receiver is None:
        return None
    run = TargetRun(TargetId(item.target), item.born_ms)
    receiver = DaemonId(item.receiver)
    return ColdGrant(run, receiver, item.requests, item.valid_ms, item.serial)


def _pack_overload(observation: OverloadObservation) -> Any:
    return ttypes.OverloadNotice(
        observation.group,
        min(I16_MAX, observation.pressure_percent),
        observation.weight,
        min(I16_MAX, observation.age_ms),
        min(I16_MAX, observation.took_ms),
        min(I16_MAX, observation.queued_ms),
        observation.is_urgent,
        min(I16_MAX, observation.level_percent),
    )


def _unpack_overload(notice: Any) -> OverloadObservation | None:
    observation = OverloadObservation(
        notice.group,
        notice.pressure_percent,
        notice.weight,
        notice.age_ms,
        notice.took_ms,
        notice.queued_ms,
        notice.is_urgent,
        notice.level_percent,
    )
    return None if None in astuple(observation) else observation


def _pack_verdict(verdict: messages.Verdict) -> Any:
    return ttypes.Verdict(
        verdict.fingerprint,
        verdict.shard,
        verdict.kind.value,
        verdict.crashes,
        verdict.valid_ms,
    )


def _unpack_verdict(verdict: Any) -> messages.Verdict:
    return messages.Verdict(
        Fingerprint(verdict.fingerprint),
        ShardNumber(verdict.shard),
        messages.VerdictKind(verdict.kind),
        verdict.crashes,
        verdict.valid_ms,
    )


def _pack_claims(items: tuple[messages.SlotClaim, ...]) -> list[Any]:
    return [ttypes.SlotClaim(item.target, item.serial) for item in items]


def _unpack_claims(items: list[Any]) -> tuple[messages.SlotClaim, ...]:
    return tuple(messages.SlotClaim(TargetId(i.target), i.serial) for i in items)
