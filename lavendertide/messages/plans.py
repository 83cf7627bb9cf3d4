"""Messages by which daemons claim shares of a plan and allocators grant them."""

from dataclasses import dataclass

from lavendertide.ids import DaemonId, ExchangeId, Incarnation, PlanId


@dataclass(frozen=True, slots=True)
class PlanClaim:
    """One daemon's demand for a plan and the share that it uses now.

    Attributes:
        demand_per_s: Queries a second that arrive at the daemon, refused ones included.
        share: Fraction of the plan that the daemon grants to callers at present.
        reached: Number of the plan's allocators that replied to the daemon's last
            claim.
        allocators: Number of all allocators of the plan.
    """

    plan: PlanId
    demand_per_s: float
    share: float
    reached: int
    allocators: int


@dataclass(frozen=True, slots=True)
class PlanClaims:
    """One daemon's claims for all plans that the receiver allocates."""

    exchange: ExchangeId
    daemon: DaemonId
    incarnation: Incarnation
    claims: tuple[PlanClaim, ...]


@dataclass(frozen=True, slots=True)
class PlanGrant:
    """Share of a plan that a daemon may use from now on.

    Attributes:
        share: Fraction of the plan, from 0 to 1.
        is_settled: Whether the allocator has known the plan for so long that all of
            the plan's holders have had time to claim.
    """

    plan: PlanId
    share: float
    is_settled: bool


@dataclass(frozen=True, slots=True)
class PlanGrants:
    """Reply to a daemon's claims, without plans that the allocator does not know."""

    exchange: ExchangeId
    grants: tuple[PlanGrant, ...]
