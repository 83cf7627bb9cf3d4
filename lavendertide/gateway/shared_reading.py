"""Shares platform reads among the hosts of a failure domain.

The platform counts and prices each read, and the more hosts there are, the fewer reads
it allows to each. So only the first host of each failure domain reads the platform. The
others form a tree below it: each host pulls changes from the host above it, its source,
and each source serves a bounded number of hosts. A host reads the platform directly for
a while if its source doesn't reply in time or is cut off from the platform. A host that
starts while the platform is unreachable pulls the targets from any peer.
"""

import logging
import uuid
from dataclasses import replace
from enum import Enum
from typing import Final

from returns.result import Result, Success

from lavendertide.errors import Refusal
from lavendertide.evacuation.evacuated_domains import EvacuatedDomains
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.ranking import score
from lavendertide.fleet.roster import SILENCE_S, Roster
from lavendertide.gateway.follower import Follower
from lavendertide.gateway.publications import (
    HistoryLost,
    PlatformReader,
    Publication,
    PublicationBatch,
    TargetPublished,
    TargetWithdrawn,
)
from lavendertide.gateway.reading_times import ReadingTimes
from lavendertide.ids import ConfigurationVersion, DaemonId, ExchangeId
from lavendertide.messages import MemberRecord, MemberState, RegistryPull, RegistryPush
from lavendertide.registry.history import NOTHING_READ, NoChanges, RegistryChanges
from lavendertide.registry.record import TargetRecord
from lavendertide.registry.registry import TargetRegistry
from lavendertide.restoration.position import (
    UNNAMED_ERA,
    Position,
    position_fields,
)
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.routes.replication import RouteReplication
from lavendertide.runtime import clock, tasks
from lavendertide.warmup.cold_targets import ColdTargets

# How long a host reads the platform directly after its source has failed to supply
# changes.
DIRECT_READ_S: Final = 5.0
# How long a host that reads the platform directly waits for its source to have read a
# store that was restored, and how often it asks.
SOURCE_WAIT_S: Final = 1.5
SOURCE_POLL_S: Final = 0.1
READER_RANKING_KEY: Final = "platform-reader"
# Most hosts that pull from one source. Each costs the source 0.07% of a core; its other
# control work costs 0.9% (docs/CAPACITY.md, The gateway), of 1.9% allowed.
FOLLOWERS_MAX: Final = 8

_log = logging.getLogger(__name__)


def select_source(roster: Roster, now_s: float) -> MemberRecord:
    """Returns the host from which this host pulls changes.

    It is this host itself if it has to read the platform. A source always precedes its
    followers in an order that all hosts share. Hosts whose rosters differ may thus pick
    different sources, but never form a cycle.
    """
    own = roster.own
    if own.state is not MemberState.SERVING:
        return own
    candidates = [
        member
        for member in roster.serving
        if member.failure_domain == own.failure_domain
        and roster.is_reachable(member.daemon, SILENCE_S, now_s)
    ]
    candidates.sort(
        key=lambda member: (-member.capacity, -score(READER_RANKING_KEY, member.daemon))
    )
    position = candidates.index(own)
    return candidates[(position - 1) // FOLLOWERS_MAX] if position else own


class SourceProblem(Enum):
    """Why a source can't supply changes at the moment."""

    NO_ANSWER = "no_answer"
    NOT_CURRENT = "not_current"
    TOO_FAR_BEHIND = "too_far_behind"
    # It hasn't noticed yet that the store was restored, or runs an earlier release.
    EARLIER_ERA = "earlier_era"


class SharedReader:
    """Reads the platform's changes from this host's source, or directly.

    Args:
        direct: Reads the platform itself.
    """

    def __init__(
        self,
        direct: PlatformReader,
        times: ReadingTimes,
        roster: Roster,
        peers: Peers,
        route_replication: RouteReplication,
        active_routes: ActiveRoutes,
    ) -> None:
        self._direct = direct
        self._times = times
        self._roster = roster
        self._peers = peers
        self._route_replication = route_replication
        self._active_routes = active_routes
        self._direct_until_s = 0.0
        self._problem: SourceProblem | None = None

    def read_all(self) -> Result[PublicationBatch, Refusal]:
        """Returns everything that is published, or the targets that a peer knows."""
        direct = self._direct.read_all()
        if isinstance(direct, Success):
            return direct
        now_s = clock.monotonic_s()
        for member in self._roster.serving:
            if member.daemon == self._roster.own.daemon:
                continue
            if not self._roster.is_reachable(member.daemon, SILENCE_S, now_s):
                continue
            push = self._pull(member, None)
            if push is not None and push.is_full and push.position != NOTHING_READ:
                _log.info(
                    "targets learned from a peer",
                    extra={"peer": member.daemon, "targets": len(push.records)},
                )
                return Success(replace(_to_batch(push), is_from_peer=True))
        return direct

    def read_changes(
        self, position: Position
    ) -> Result[PublicationBatch | HistoryLost, Refusal]:
        """Returns the changes since a position; waits for some if there are none."""
        now_s = clock.monotonic_s()
        source = select_source(self._roster, now_s)
        if source.daemon == self._roster.own.daemon:
            return self._direct.read_changes(position)
        if now_s < self._direct_until_s:
            return self._read_directly(source, position)
        push = self._pull(source, position)
        problem = _detect_problem(push, position)
        self._record_problem(source.daemon, problem, position)
        if push is None or problem is not None:
            self._direct_until_s = clock.monotonic_s() + DIRECT_READ_S
            return self._read_directly(source, position)
        return Success(self._use(push, source))

    def _read_directly(
        self, source: MemberRecord, position: Position
    ) -> Result[PublicationBatch | HistoryLost, Refusal]:
        """Returns changes that the platform itself supplies instead of the source.

        If the platform's store was restored, the source is about to read everything.
        """
        result = self._direct.read_changes(position)
        match result:
            case Success(HistoryLost(era)) if era > position.era:
                restored = self._wait_for_restored(source, position)
                return result if restored is None else Success(restored)
        return result

    def _wait_for_restored(
        self, source: MemberRecord, position: Position
    ) -> PublicationBatch | None:
        """Returns what the source has read of a restored store; none if it is late.

        While the store was away, all hosts have tried to read it. Without the wait each
        of them would read everything as it returns.
        """
        ends_at_s = clock.monotonic_s() + SOURCE_WAIT_S
        while clock.monotonic_s() < ends_at_s:
            push = self._pull(source, position)
            if push is None:
                break
            if push.is_full and _detect_problem(push, position) is None:
                self._direct_until_s = 0.0
                return self._use(push, source)
            tasks.sleep(SOURCE_POLL_S)
        return None

    def _use(self, push: RegistryPush, source: MemberRecord) -> PublicationBatch:
        """Returns what a reply of the source has, and pulls later routes from it."""
        if push.routes_version > self._active_routes.version:
            self._pull_routes(source, push.routes_version)
        return _to_batch(push)

    def _record_problem(
        self, source: DaemonId, problem: SourceProblem | None, position: Position
    ) -> None:
        if problem is self._problem:
            return
        self._problem = problem
        fields: dict[str, object] = {"source": source, **position_fields(position)}
        if problem is None:
            _log.info("source of changes regained", extra=fields)
        else:
            _log.info(
                "source of changes lost; reading the platform directly",
                extra=fields | {"outcome": problem.value},
            )

    def _pull(
        self, source: MemberRecord, position: Position | None
    ) -> RegistryPush | None:
        pull = RegistryPull(ExchangeId(uuid.uuid4().hex), position)
        link = self._peers.link_to(source)
        return link.pull_registry(pull, self._times.hold_timeout_s)

    def _pull_routes(self, source: MemberRecord, version: ConfigurationVersion) -> None:
        routes_pull = self._route_replication.handle_version(
            version, clock.monotonic_s()
        )
        if routes_pull is not None:
            self._peers.link_to(source).send(routes_pull)


class RegistrySource:
    """Serves changes to the hosts whose source is this host."""

    def __init__(
        self,
        times: ReadingTimes,
        follower: Follower,
        registry: TargetRegistry,
        active_routes: ActiveRoutes,
        evacuated: EvacuatedDomains,
        cold: ColdTargets | None = None,
    ) -> None:
        self._times = times
        self._evacuated = evacuated
        self._cold = cold or ColdTargets()
        self._follower = follower
        self._registry = registry
        self._active_routes = active_routes

    def reply_to(self, pull: RegistryPull) -> RegistryPush:
        """Returns the changes since a position; waits for some if there are none.

        A host that has lost the platform replies at once and marks the reply as not
        current.
        """
        history = self._follower.history
        is_known = (
            pull.position is not None
            and pull.position.era == history.position.era
            and pull.position >= history.position
        )
        if is_known and not self._follower.is_platform_lost:
            self._follower.wait_for_changes(self._times.hold_s)
        now_s = clock.monotonic_s()
        empty = self._make_push(pull, now_s)
        if pull.position is None:
            return self._fill(empty, self._registry.targets, now_s)
        match history.changes_since(pull.position):
            case RegistryChanges(records, withdrawn, position):
                # A host that is behind the sender doesn't know of later orders, so its
                # list is not complete as of the reply's position, which is never below
                # the pull's.
                is_behind = history.position < pull.position
                return replace(
                    empty,
                    position=position,
                    records=self._cold.with_present_left(records, now_s),
                    withdrawn=withdrawn,
                    is_full=False,
                    evacuations=None if is_behind else empty.evacuations,
                )
            case NoChanges.FOLLOWER_OUTDATED if pull.position.era != UNNAMED_ERA:
                # What the store lists, as the follower has beliefs of its own.
                return self._fill(empty, self._registry.listed_targets, now_s)
            case NoChanges.SOURCE_OUTDATED:
                return replace(empty, is_full=False, evacuations=None)
            case _:
                # The follower reads the platform.
                return empty

    def _make_push(self, pull: RegistryPull, now_s: float) -> RegistryPush:
        """Returns a reply without records, as of this host's own position."""
        silence_s = now_s - self._follower.answered_at_s
        is_current = (
            not self._follower.is_platform_lost
            and silence_s < self._times.silence_max_s
        )
        return RegistryPush(
            pull.exchange,
            self._follower.history.position,
            (),
            (),
            True,
            is_current,
            self._active_routes.version,
            self._evacuated.known,
        )

    def _fill(
        self, push: RegistryPush, records: tuple[TargetRecord, ...], now_s: float
    ) -> RegistryPush:
        return replace(push, records=self._cold.with_present_left(records, now_s))


def _detect_problem(
    push: RegistryPush | None, position: Position
) -> SourceProblem | None:
    """Returns why a reply to a pull of a position can't be used; none if it can."""
    match push:
        case None:
            return SourceProblem.NO_ANSWER
        case RegistryPush(is_current=False):
            return SourceProblem.NOT_CURRENT
        case RegistryPush(position=reached) if reached.era < position.era:
            return SourceProblem.EARLIER_ERA
        case RegistryPush(position=reached) if reached.era > position.era:
            # A host whose era isn't named gets no records of a later one.
            is_usable = push.is_full and position.era != UNNAMED_ERA
            return None if is_usable else SourceProblem.TOO_FAR_BEHIND
        case RegistryPush(is_full=True):
            return SourceProblem.TOO_FAR_BEHIND
        case _:
            return None


def _to_batch(push: RegistryPush) -> PublicationBatch:
    publications: list[Publication] = [TargetPublished(r) for r in push.records]
    publications += [TargetWithdrawn(target) for target in push.withdrawn]
    return PublicationBatch(
        tuple(publications),
        push.position,
        evacuations=push.evacuations,
        is_complete=push.is_full,
    )
