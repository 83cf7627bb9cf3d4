"""The task that claims this daemon's shares of plans once a second.

Every claim goes to all allocators of its plan, so that each knows all holders and can
take over from the others.
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

ROUND_S: Final = 1.0
BATCH_S: Final = 0.02
ANSWER_TIMEOUT_S: Final = 0.5
FIRST_GRANT_WAIT_S: Final = 0.1


class ClaimLinks(Protocol):
    """Carries claims to other daemons."""

    def request_plan_grants(
        self, member: MemberRecord, claims: PlanClaims, timeout_s: float
    ) -> PlanGrants | None:
        """Sends claims; none if they were not answered in time."""


class ShareExchange:
    """This daemon's shares of all plans, kept up to date by one task."""

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
        self._asked: set[DaemonId] = set()
        self._allocators = allocators
        self._exchanges = itertools.count(1)

    @property
    def held(self) -> HeldShares:
        """The shares held here."""
        return self._held

    @property
    def allocator(self) -> PlanAllocator:
        """What this daemon allocates for others."""
        return self._allocator

    def record_arrival(self, plan: Plan, now_s: float) -> float:
        """Counts an arrival and returns the part of the plan to grant.

        The first queries of a plan wait a moment for the first grant.
        """
        if self._held.arrive(plan, now_s) and plan.plan not in self._first_grants:
            self._first_grants[plan.plan] = tasks.Signal()
            self._wake_ups.send(None)
        first_grant = self._first_grants.get(plan.plan)
        if first_grant is not None:
            first_grant.wait(FIRST_GRANT_WAIT_S)
            self._first_grants.pop(plan.plan, None)
        return self._held.share_of(plan.plan, self._allocators.member_count)

    def current_share(self, plan: PlanId) -> float:
        """Returns the part of a plan to grant, without counting an arrival."""
        return self._held.share_of(plan, self._allocators.member_count)

    def allocators_of(self, plan: PlanId) -> list[MemberRecord]:
        """Returns who allocates a plan."""
        return self._allocators.allocators_of(plan)

    def run(self) -> None:
        """Claims once a round, and at once when a plan is new here."""
        round_at_s = clock.monotonic_s()
        while True:
            now_s = clock.monotonic_s()
            if now_s >= round_at_s:
                self._begin_round(now_s)
                round_at_s = clock.next_tick_s(now_s, ROUND_S)
            self._claim_all(now_s)
            tasks.sleep(BATCH_S)
            self._wake_ups.receive(max(0.0, round_at_s - clock.monotonic_s()))

    def _begin_round(self, now_s: float) -> None:
        self._held.count_demand(now_s)
        self._held.forget_idle(now_s)
        self._allocator.forget_absent(now_s)
        self._allocators.forget_plans(self._held.plans)
        if self._allocators.update_members(self._roster.members):
            self._allocator.note_members_changed(now_s)
            self._held.claim_all_again()
        self._allocator.note_silence(
            (member.daemon for member in self._roster.members), now_s
        )

    def _claim_all(self, now_s: float) -> None:
        by_allocator: dict[DaemonId, list[PlanClaim]] = defaultdict(list)
        for claim in self._held.claims(self._allocators.reach_of, now_s):
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
                self._take(daemon, message, self._allocator.handle(message, now_s))
            elif daemon in self._asked:
                self._held.claim_again(claims)
            else:
                self._asked.add(daemon)
                tasks.spawn(self._ask, daemon, message)

    def _ask(self, daemon: DaemonId, message: PlanClaims) -> None:
        member = self._roster.find(daemon)
        grants = None
        if member is not None:
            grants = self._links.request_plan_grants(member, message, ANSWER_TIMEOUT_S)
        self._asked.discard(daemon)
        if grants is None:
            self._allocators.note_silence(daemon)
            self._held.claim_again(message.claims)
        else:
            self._take(daemon, message, grants)

    def _take(self, daemon: DaemonId, message: PlanClaims, grants: PlanGrants) -> None:
        must_claim = False
        claims = {claim.plan: claim for claim in message.claims}
        for grant in grants.grants:
            if grant.is_settled and grant.plan in claims:
                self._held.note_answer(claims[grant.plan], daemon)
            if self._allocators.note_grant(daemon, grant.plan, grant.is_settled):
                must_claim |= self._held.take_grant(grant.plan, grant.share)
            first_grant = self._first_grants.get(grant.plan)
            if first_grant is not None:
                must_claim = True
                if self._held.has_claimed_with_reach(grant.plan):
                    first_grant.set()
        if must_claim:
            self._wake_ups.send(None)
