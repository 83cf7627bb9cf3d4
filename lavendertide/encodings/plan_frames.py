"""Codec of the frames by which daemons divide plans among themselves."""

from typing import Any

from lavendertide.encodings.generated.peer_protocol import ttypes
from lavendertide.ids import DaemonId, ExchangeId, Incarnation, PlanId
from lavendertide.messages import PlanClaim, PlanClaims, PlanGrant, PlanGrants


def to_union(frame: PlanClaims | PlanGrants) -> Any:
    """Returns the generated union for a plan frame."""
    match frame:
        case PlanClaims(exchange, daemon, incarnation, claims):
            packed = [
                ttypes.PlanClaim(
                    claim.plan,
                    claim.demand_per_s,
                    claim.share,
                    claim.reached,
                    claim.allocators,
                )
                for claim in claims
            ]
            message = ttypes.PlanClaims(exchange, daemon, incarnation, packed)
            return ttypes.Frame(plan_claims=message)
        case PlanGrants(exchange, grants):
            packed = [
                ttypes.PlanGrant(grant.plan, grant.share, grant.is_settled)
                for grant in grants
            ]
            return ttypes.Frame(plan_grants=ttypes.PlanGrants(exchange, packed))


def from_union(union: Any) -> PlanClaims | PlanGrants:
    """Returns the plan frame in a generated union."""
    if union.plan_claims is not None:
        return _unpack_claims(union.plan_claims)
    return PlanGrants(
        ExchangeId(union.plan_grants.exchange),
        tuple(
            PlanGrant(PlanId(grant.plan), grant.share, grant.is_settled)
            for grant in union.plan_grants.grants
        ),
    )


def _unpack_claims(message: Any) -> PlanClaims:
    return PlanClaims(
        ExchangeId(message.exchange),
        DaemonId(message.daemon),
        Incarnation(message.incarnation),
        tuple(
            PlanClaim(
                PlanId(claim.plan),
                claim.demand_per_s,
                claim.share,
                claim.reached,
                claim.allocators,
            )
            for claim in message.claims
        ),
    )
