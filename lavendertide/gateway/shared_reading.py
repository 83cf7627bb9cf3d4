"""One host of a failure domain reads the platform for the others.

The platform counts and prices each read, and allows fewer for each host the more there
are. So the first host of each failure domain reads, and the others form a tree below
it: each asks the one above it, which a bounded number of hosts ask. One that is not
answered in time, or whose source does not hear from the platform, reads directly for a
while. A host that starts while the platform is away learns the targets from any peer.
"""

import logging
import uuid
from dataclasses import replace
from enum import Enum
from typing import Final

from returns.result import Result, Success

from lavendertide.errors import Refusal
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.ranking import score
from lavendertide.fleet.roster import SILENCE_S, Roster
from lavendertide.gateway.follower import (
    Follower,
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
from lavendertide.registry.registry import TargetRegistry
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.routes.replication import RouteReplication
from lavendertide.runtime import clock

# How long a host reads directly after its reader has failed it.
DIRECT_S: Final = 5.0
# Stands for a revision of which nothing is known, in a pull.
EVERYTHING: Final = -1
READERS_NAME: Final = "platform-reader"
# Hosts that ask the same one for changes. Each costs it 0.07% of a core, and what else
# a host does for control costs 0.9% (docs/CAPACITY.md, The gateway), of 1.9% allowed.
FOLLOWERS_MAX: Final = 8

_log = logging.getLogger(__name__)


def source_of(roster: Roster, now_s: float) -> MemberRecord:
    """Returns whom this host asks for changes, itself if it reads the platform.

    A host only ever asks one that comes before it in an order which all share. So hosts
    whose rosters differ may ask one that is not theirs, but never each other in a ring.
    """
    own = roster.own
    if own.state is not MemberState.SERVING:
        return own
    near = [
        member
        for member in roster.serving
        if member.failure_domain == own.failure_domain
        and roster.is_reachable(member.daemon, SILENCE_S, now_s)
    ]
    near.sort(
        key=lambda member: (-member.capacity, -score(READERS_NAME, member.daemon))
    )
    place = near.index(own)
    return near[(place - 1) // FOLLOWERS_MAX] if place else own


class SourceProblem(Enum):
    """Why the host that was asked for changes is of no use now."""

    NO_ANSWER = "no_answer"
    NOT_CURRENT = "not_current"
    TOO_FAR_BEHIND = "too_far_behind"


class SharedReader:
    """Reads the changes of the platform from the domain's reader, or directly.

    Args:
        direct: Reads the platform itself.
    """

    def __init__(
        self,
        direct: PlatformReader,
        times: ReadingTimes,
        roster: Roster,
        peers: Peers,
        spreading: RouteReplication,
        book: ActiveRoutes,
    ) -> None:
        self._direct = direct
        self._times = times
        self._roster = roster
        self._peers = peers
        self._spreading = spreading
        self._book = book
        self._direct_until_s = 0.0
        self._problem: SourceProblem | None = None

    def read_all(self) -> Result[PublicationBatch, Refusal]:
        """Returns everything that is published, or what a peer knows of it."""
        direct = self._direct.read_all()
        if isinstance(direct, Success):
            return direct
        now_s = clock.monotonic_s()
        for member in self._roster.serving:
            if member.daemon == self._roster.own.daemon:
                continue
            if not self._roster.is_reachable(member.daemon, SILENCE_S, now_s):
                continue
            push = self._ask(member, EVERYTHING)
            if push is not None and push.is_full and push.revision:
                _log.info(
                    "targets learned from a peer",
                    extra={"peer": member.daemon, "targets": len(push.records)},
                )
                return Success(replace(_reading(push), is_second_hand=True))
        return direct

    def read_changes(
        self, revision: int
    ) -> Result[PublicationBatch | HistoryLost, Refusal]:
        """Returns what has changed since a revision; waits a little if nothing has."""
        now_s = clock.monotonic_s()
        source = source_of(self._roster, now_s)
        if now_s < self._direct_until_s or source.daemon == self._roster.own.daemon:
            return self._direct.read_changes(revision)
        push = self._ask(source, revision)
        problem = _problem_of(push)
        self._note_problem(source.daemon, problem, revision)
        if push is None or problem is not None:
            self._direct_until_s = clock.monotonic_s() + DIRECT_S
            return self._direct.read_changes(revision)
        if push.routes_version > self._book.version:
            self._pull_routes(source, push.routes_version)
        return Success(_reading(push))

    def _note_problem(
        self, source: DaemonId, problem: SourceProblem | None, revision: int
    ) -> None:
        if problem is self._problem:
            return
        self._problem = problem
        about = {"source": source, "revision": revision}
        if problem is None:
            _log.info("source of changes regained", extra=about)
        else:
            _log.info(
                "source of changes lost; reading the platform directly",
                extra=about | {"outcome": problem.value},
            )

    def _ask(self, source: MemberRecord, revision: int) -> RegistryPush | None:
        pull = RegistryPull(ExchangeId(uuid.uuid4().hex), revision)
        link = self._peers.link_to(source)
        return link.pull_registry(pull, self._times.hold_ends_s)

    def _pull_routes(self, source: MemberRecord, version: ConfigurationVersion) -> None:
        question = self._spreading.handle_version(version, clock.monotonic_s())
        if question is not None:
            self._peers.link_to(source).send(question)


class RegistrySource:
    """Answers the hosts that follow this one."""

    def __init__(
        self,
        times: ReadingTimes,
        follower: Follower,
        registry: TargetRegistry,
        book: ActiveRoutes,
    ) -> None:
        self._times = times
        self._follower = follower
        self._registry = registry
        self._book = book

    def answer(self, pull: RegistryPull) -> RegistryPush:
        """Returns the changes since a revision; waits a little if there are none.

        A host that has lost the platform says so at once.
        """
        is_known = self._follower.history.revision <= pull.revision != EVERYTHING
        if is_known and not self._follower.is_lost:
            self._follower.wait_for_news(self._times.hold_s)
        changes = None
        if pull.revision != EVERYTHING:
            changes = self._follower.history.since(pull.revision)
        heard_ago_s = clock.monotonic_s() - self._follower.answered_at_s
        is_current = (
            not self._follower.is_lost and heard_ago_s < self._times.heard_max_s
        )
        if changes is None:
            # A follower that is too far behind reads the platform itself.
            is_asked = pull.revision == EVERYTHING
            return RegistryPush(
                pull.exchange,
                self._follower.history.revision,
                self._registry.targets if is_asked else (),
                (),
                True,
                is_current,
                self._book.version,
            )
        return RegistryPush(
            pull.exchange,
            changes.revision,
            changes.records,
            changes.withdrawn,
            False,
            is_current,
            self._book.version,
        )


def _problem_of(push: RegistryPush | None) -> SourceProblem | None:
    """Returns why an answer brings no changes, none if it does."""
    match push:
        case None:
            return SourceProblem.NO_ANSWER
        case RegistryPush(is_current=False):
            return SourceProblem.NOT_CURRENT
        case RegistryPush(is_full=True):
            return SourceProblem.TOO_FAR_BEHIND
        case _:
            return None


def _reading(push: RegistryPush) -> PublicationBatch:
    publications: list[Publication] = [TargetPublished(r) for r in push.records]
    publications += [TargetWithdrawn(target) for target in push.withdrawn]
    return PublicationBatch(tuple(publications), push.revision)
