"""The operations of the administration API, independent of HTTP."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from returns.result import Failure, Result, Success

from lavendertide.configuration.adoption import Configuration
from lavendertide.configuration.catalog import Catalog, Plan
from lavendertide.configuration.status import ConfigurationStatus, to_document
from lavendertide.daemon.access import (
    Access,
    OperatorAccess,
    OwnerAccess,
    require_operator,
    require_owner,
)
from lavendertide.daemon.admin_documents import failure_log_document, target_document
from lavendertide.encodings import admin_json
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.fleet.readiness import Readiness
from lavendertide.fleet.roster import SILENCE_S, Roster
from lavendertide.ids import OwnerId, PlanId
from lavendertide.messages import MemberRecord
from lavendertide.plans.admission import PlanLimiters
from lavendertide.plans.failure_logs import FailureLog, FailureLogs
from lavendertide.plans.share_exchange import ShareExchange
from lavendertide.runtime import clock
from lavendertide.targets.lane import Lane


class Lanes(Protocol):
    """Provides the lanes of the targets whose slots the daemon holds."""

    @property
    def lanes(self) -> list[Lane]:
        """The open lanes."""


@dataclass(frozen=True, slots=True)
class AdminDependencies:
    """The aggregates that the administration API reads.

    Attributes:
        request_drain: Starts the same graceful shutdown as SIGTERM.
    """

    roster: Roster
    readiness: Readiness
    configuration: Configuration
    configuration_status: Callable[[float], ConfigurationStatus]
    limiters: PlanLimiters
    shares: ShareExchange
    failure_logs: FailureLogs
    targets: Lanes
    request_drain: Callable[[], None]


class AdminService:
    """Handles requests of operators and owners about this daemon."""

    def __init__(self, dependencies: AdminDependencies) -> None:
        self._dependencies = dependencies

    def status(self, access: Access) -> Result[admin_json.StatusDocument, Refusal]:
        """Returns this daemon's state and its view of the fleet."""
        return require_operator(access).map(lambda _: self._status())

    def configuration(
        self, access: Access
    ) -> Result[admin_json.ConfigurationDocument, Refusal]:
        """Returns the active version and why a later one was refused."""
        return require_operator(access).map(lambda _: self._configuration())

    def plans(self, access: Access) -> Result[admin_json.PlansDocument, Refusal]:
        """Returns the names of all plans for an operator, of its own for an owner."""
        return self._dependencies.configuration.catalog.map(
            lambda catalog: admin_json.PlansDocument(
                plans=tuple(
                    sorted(
                        plan.plan
                        for plan in _plans(catalog).values()
                        if _has_access(access, plan.owner)
                    )
                )
            )
        )

    def plan(
        self, access: Access, plan: PlanId
    ) -> Result[admin_json.PlanDocument, Refusal]:
        """Returns a plan's limits, entitlements, usage and shares."""
        return self._dependencies.configuration.catalog.bind(
            lambda catalog: _find_plan(catalog, access, plan).map(
                lambda found: self._plan(catalog, found)
            )
        )

    def failure_log(
        self, access: Access, owner: OwnerId | None, entries_max: int
    ) -> Result[admin_json.FailureLogDocument, Refusal]:
        """Returns an owner's newest failures.

        Args:
            access: The access of the request's key.
            owner: The owner of the failure log; none for the requesting owner.
            entries_max: How many entries to return at most.
        """
        match access:
            case OwnerAccess(own):
                requested_owner = owner or own
            case OperatorAccess() if owner is None:
                return Failure(_missing_owner(self._dependencies.failure_logs.owners))
            case OperatorAccess():
                requested_owner = owner
        return require_owner(access, requested_owner).map(
            lambda _: self._failure_log(requested_owner, entries_max)
        )

    def targets(self, access: Access) -> Result[admin_json.TargetsDocument, Refusal]:
        """Returns the targets whose slots this daemon holds."""
        now_s = clock.monotonic_s()
        return Success(
            admin_json.TargetsDocument(
                targets=tuple(
                    target_document(lane, now_s)
                    for lane in self._dependencies.targets.lanes
                    if _has_access(access, lane.place.owner)
                )
            )
        )

    def drain(self, access: Access) -> Result[admin_json.DrainDocument, Refusal]:
        """Starts a graceful shutdown."""
        return require_operator(access).map(lambda _: self._drain())

    def _status(self) -> admin_json.StatusDocument:
        own = self._dependencies.roster.own
        refused = self._dependencies.configuration.refused
        now_s = clock.monotonic_s()
        return admin_json.StatusDocument(
            daemon=own.daemon,
            host=own.host,
            region=own.region,
            failure_domain=own.failure_domain,
            state=own.state.value,
            readiness=self._dependencies.readiness.state.value,
            configuration=self._dependencies.configuration.version,
            refused=str(refused.refusal) if refused else None,
            in_flight=self._dependencies.limiters.in_flight,
            members=tuple(
                self._member(member, now_s)
                for member in self._dependencies.roster.members
            ),
        )

    def _member(self, member: MemberRecord, now_s: float) -> admin_json.MemberDocument:
        return admin_json.MemberDocument(
            daemon=member.daemon,
            host=member.host,
            region=member.region,
            failure_domain=member.failure_domain,
            state=member.state.value,
            incarnation=member.incarnation,
            callers=member.caller_address,
            reachable=self._dependencies.roster.is_reachable(
                member.daemon, SILENCE_S, now_s
            ),
        )

    def _configuration(self) -> admin_json.ConfigurationDocument:
        configuration = self._dependencies.configuration
        refused = configuration.refused
        catalog = configuration.catalog.value_or(None)
        to_wall_s = clock.wall_s() - clock.monotonic_s()
        now_s = clock.monotonic_s()
        status = self._dependencies.configuration_status(now_s)
        return admin_json.ConfigurationDocument(
            **to_document(status),
            adopted_at_s=clock.wall_s() - status.adopted_ago_s if catalog else None,
            plans=len(_plans(catalog)) if catalog else 0,
            indexes=len(catalog.indexes) if catalog else 0,
            targets=len(catalog.targets) if catalog else 0,
            refused=refused.refusal.message if refused else None,
            remedy=refused.refusal.remedy if refused else None,
            refused_at_s=refused.refused_at_s + to_wall_s if refused else None,
        )

    def _plan(self, catalog: Catalog, plan: Plan) -> admin_json.PlanDocument:
        shares = self._dependencies.shares
        allocation = shares.allocator.find(plan.plan)
        return admin_json.PlanDocument(
            plan=plan.plan,
            owner=plan.owner,
            plan_class=plan.plan_class,
            rate_per_s=plan.rate_per_s,
            burst=plan.burst,
            concurrency=plan.concurrency,
            uses=tuple(
                admin_json.EntitlementDocument(
                    index=index,
                    operations=tuple(sorted(o.value for o in operations)),
                )
                for index, operations in catalog.entitlements_of(plan.plan).items()
            ),
            here=self._plan_usage_here(plan),
            allocators=tuple(
                member.daemon for member in shares.allocators_of(plan.plan)
            ),
            fleet=admin_json.PlanFleetDocument(
                granted=allocation.granted,
                demand_per_s=allocation.demand_per_s,
                shares={str(d): share for d, share in allocation.shares.items()},
            )
            if allocation
            else None,
        )

    def _plan_usage_here(self, plan: Plan) -> admin_json.LocalPlanDocument:
        share = self._dependencies.shares.current_share(plan.plan)
        limiter = self._dependencies.limiters.find(plan.plan)
        now_s = clock.monotonic_s()
        return admin_json.LocalPlanDocument(
            daemon=self._dependencies.roster.own.daemon,
            share=share,
            tokens=max(0.0, limiter.available_tokens(share, now_s))
            if limiter
            else plan.burst * share,
            in_flight=limiter.in_flight if limiter else 0,
            rate_per_s=plan.rate_per_s * share,
            concurrency=max(1.0, plan.concurrency * share),
            demand_per_s=self._dependencies.shares.held.demand_of(plan.plan),
        )

    def _failure_log(
        self, owner: OwnerId, entries_max: int
    ) -> admin_json.FailureLogDocument:
        return failure_log_document(
            owner,
            self._dependencies.failure_logs.failure_log_of(owner) or FailureLog(),
            entries_max,
        )

    def _drain(self) -> admin_json.DrainDocument:
        self._dependencies.request_drain()
        return admin_json.DrainDocument(
            daemon=self._dependencies.roster.own.daemon, draining=True
        )


def _plans(catalog: Catalog) -> dict[PlanId, Plan]:
    return dict(catalog.plans_by_id)


def _has_access(access: Access, owner: OwnerId) -> bool:
    return isinstance(require_owner(access, owner), Success)


def _find_plan(catalog: Catalog, access: Access, plan: PlanId) -> Result[Plan, Refusal]:
    found = _plans(catalog).get(plan)
    if found is None or not _has_access(access, found.owner):
        return Failure(
            Refusal(
                RefusalKind.NOT_FOUND,
                f"The active configuration has no plan '{plan}' that this key may see.",
                "See /v1/plans for the names, or publish the plan.",
                Fault.CALLER,
            )
        )
    return Success(found)


def _missing_owner(owners: list[OwnerId]) -> Refusal:
    known = ", ".join(owners) or "none has failures here"
    return Refusal(
        RefusalKind.MALFORMED_REQUEST,
        "An operator has to name the owner whose failures to show.",
        f"Add '?owner=NAME', or '--owner NAME' to the command ({known}).",
        Fault.CALLER,
    )
