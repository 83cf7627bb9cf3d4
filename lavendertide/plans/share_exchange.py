"""Task that claims this daemon's shares of plans.

Claims that are due are sent once a second, and at once for a plan that is new here.
Every claim goes to all allocators of its plan, so that each of them knows all holders
and can take over from the others.
"""

import itertools
from collections import defaultdict
from typing import Final, Protocol

from lavendertide.configuration.catalog import Plan
from lavendertide.fleet.roster import Roster
from lavendertide.ids import DaemonId, ExchangeId, PlanId
from lavendertide.messages import MemberRecord, PlanClaim, PlanClaims, PlanGrants
from lavendertide.plans.allocator import PlanAllocator
from lavendertide.plans.allocators import Allocators
from lavendertide.plans.shares import HeldShares
from lavendertide.runtime import clock, tasks

ROUND_INTERVAL_S: Final = 1.0
BATCH_DELAY_S: Final = 0.02
REPLY_TIMEOUT_S: Final = 0.5
FIRST_GRANT_WAIT_MAX_S: Final = 0.1


class ClaimLinks(Protocol):
    """Connections over which claims are sent to other daemons."""

    def request_plan_grants(
        self, member: MemberRecord, claims: PlanClaims, timeout_s: float
    ) -> PlanGrants | None:
        """Sends claims; returns the grants, none if no reply came in time."""


class ShareExchange:
    """Exchanges claims and grants with the allocators of all plans used here.

    Args:
        roster: Members of the fleet.
        links: Connections to other daemons.
        allocators: The allocators of each plan.
        allocator: This daemon's own allocator, to which its claims go without a
            connection.
    """

    def __init__(
        self,
        roster: Roster,
        links: ClaimLinks,
        allocators: Allocators,
        allocator: PlanAllocator,
    ) -> None:
        self._roster = roster
        self._links = links
        self._allocator = allocator
        self._held = HeldShares()
        self._wake_ups: tasks.Mailbox[None] = tasks.Mailbox(1)
        self._first_grants: dict[PlanId, tasks.Signal] = {}
        self._awaiting_reply: set[DaemonId] = set()
        self._allocators = allocators
        self._exchanges = itertools.count(1)

    @property
    def held(self) -> HeldShares:
        """The shares that this daemon holds."""
        return self._held

    @property
    def allocator(self) -> PlanAllocator:
        """The allocator that handles claims sent to this daemon."""
        return self._allocator

    def record_arrival(self, plan: Plan, now_s: float) -> float:
        """Counts an arrival and returns this daemon's share of the plan.

        The first queries of a plan wait up to `FIRST_GRANT_WAIT_MAX_S` for its first
        grant.
        """
        if (
            self._held.count_arrival(plan, now_s)
            and plan.plan not in self._first_grants
        ):
            self._first_grants[plan.plan] = tasks.Signal()
            self._wake_ups.send(None)
        first_grant = self._first_grants.get(plan.plan)
        if first_grant is not None:
            first_grant.wait(FIRST_GRANT_WAIT_MAX_S)
            self._first_grants.pop(plan.plan, None)
        return self._held.share_of(plan.plan, self._allocators.member_count)

    def current_share(self, plan: PlanId) -> float:
        """Returns this daemon's share of a plan without counting an arrival."""
        return self._held.share_of(plan, self._allocators.member_count)

    def allocators_of(self, plan: PlanId) -> list[MemberRecord]:
        """Returns a plan's allocators in the order in which their grants count."""
        return self._allocators.allocators_of(plan)

    def run(self) -> None:
        """Sends due claims once a round, and at once when a plan is new here."""
        round_at_s = clock.monotonic_s()
        while True:
            now_s = clock.monotonic_s()
            if now_s >= round_at_s:
                self._begin_round(now_s)
                round_at_s = clock.next_tick_s(now_s, ROUND_INTERVAL_S)
            self._send_claims(now_s)
            tasks.sleep(BATCH_DELAY_S)
            self._wake_ups.receive(max(0.0, round_at_s - clock.monotonic_s()))

    def _begin_round(self, now_s: float) -> None:
        self._held.update_demand(now_s)
        self._held.remove_idle(now_s)
        self._allocator.remove_absent(now_s)
        self._allocators.retain_plans(self._held.plans)
        if self._allocators.update_members(self._roster.members):
            self._allocator.record_members_changed(now_s)
            self._held.mark_all_due()
        self._allocator.record_silent_members(
            (member.daemon for member in self._roster.members), now_s
        )

    def _send_claims(self, now_s: float) -> None:
        by_allocator: dict[DaemonId, list[PlanClaim]] = defaultdict(list)
        for claim in self._held.due_claims(self._allocators.reach_of, now_s):
            for member in self._allocators.allocators_of(claim.plan):
                by_allocator[member.daemon].append(claim)
        own = self._roster.own
        for daemon, claims in by_allocator.items():
            message = PlanClaims(
                ExchangeId(str(next(self._exchanges))),
                own.daemon,
                own.incarnation,
                tuple(claims),
            )
            if daemon == own.daemon:
                self._apply_grants(
                    daemon, message, self._allocator.handle(message, now_s)
                )
            elif daemon in self._awaiting_reply:
                self._held.mark_due(claims)
            else:
                self._awaiting_reply.add(daemon)
                tasks.spawn(self._request_grants, daemon, message)

    def _request_grants(self, daemon: DaemonId, message: PlanClaims) -> None:
        member = self._roster.find(daemon)
        grants = None
        if member is not None:
            grants = self._links.request_plan_grants(member, message, REPLY_TIMEOUT_S)
        self._awaiting_reply.discard(daemon)
        if grants is None:
            self._allocators.record_silence(daemon)
            self._held.mark_due(message.claims)
        else:
            self._apply_grants(daemon, message, grants)

    def _apply_grants(
        self, daemon: DaemonId, message: PlanClaims, grants: PlanGrants
    ) -> None:
        must_claim = False
        claims = {claim.plan: claim for claim in message.claims}
        for grant in grants.grants:
            if grant.is_settled and grant.plan in claims:
                self._held.record_reply(claims[grant.plan], daemon)
            if self._allocators.record_grant(daemon, grant.plan, grant.is_settled):
                must_claim |= self._held.apply_grant(grant.plan, grant.share)
            first_grant = self._first_grants.get(grant.plan)
            if first_grant is not None:
                must_claim = True
                if self._held.has_claimed_with_reach(grant.plan):
                    first_grant.set()
        if must_claim:
            self._wake_ups.send(None)
