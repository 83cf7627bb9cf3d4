"""Keeps the roster current by periodic rounds of failure detection.

Each round detects pauses of the process, opens and closes links as the roster demands,
checks watched members that are silent, and removes suspects that the published list no
longer names. A silent member is suspected only if a few other peers can't reach it
either.
"""

import logging
import random
from collections.abc import Callable
from typing import Final

from returns.result import Failure, Result, Success

from lavendertide.errors import Refusal
from lavendertide.fleet.gossip import Gossip
from lavendertide.fleet.metrics import REMOVALS, REMOVALS_HELD_BACK, SUSPICIONS
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.readiness import Readiness, ReadinessState
from lavendertide.fleet.removal import (
    PublishedHosts,
    UnpublishedHosts,
    may_suspect,
    select_removals,
)
from lavendertide.fleet.roster import SILENCE_S, Roster
from lavendertide.ids import DaemonId, HostId
from lavendertide.messages import MemberState
from lavendertide.runtime import clock, tasks

# Time between two rounds, in heartbeat intervals.
PERIOD_HEARTBEATS: Final = 2
REACH_TIMEOUT_S: Final = 0.7
REACH_PROBERS_MAX: Final = 3
# Time between two rounds while the view of the fleet is stale.
STALE_PERIOD_S: Final = 0.1
LIST_READ_MIN_S: Final = 2.0
LIST_READ_PER_MEMBER_S: Final = 0.02

_log = logging.getLogger(__name__)

ListReader = Callable[[], Result[dict[HostId, str], Refusal]]


class Membership:
    """Runs the rounds that keep one daemon's roster current.

    Args:
        roster: The members as this daemon knows them.
        peers: The links to other members.
        gossip: Exchanges records and versions with peers.
        readiness: Whether this daemon may act on its view of the fleet.
        period_s: Time between two rounds.
        removal_s: How long a member has to be suspect before it can be removed.
        is_listed: Whether the platform publishes a list of hosts.
    """

    def __init__(
        self,
        roster: Roster,
        peers: Peers,
        gossip: Gossip,
        readiness: Readiness,
        period_s: float,
        removal_s: float,
        is_listed: bool = True,
    ) -> None:
        self._roster = roster
        self._peers = peers
        self._gossip = gossip
        self._readiness = readiness
        self._period_s = period_s
        self._removal_s = removal_s
        self._published: PublishedHosts | UnpublishedHosts
        self._published = PublishedHosts() if is_listed else UnpublishedHosts()
        self._being_checked: set[DaemonId] = set()

    def run(self) -> None:
        """Runs a round each period, for as long as the process runs.

        Rounds are more frequent while the view of the fleet is not current.
        """
        while True:
            self.run_round(clock.monotonic_s())
            is_stale = self._readiness.stale_since_s is not None
            period_s = STALE_PERIOD_S if is_stale else self._period_s
            now_s = clock.monotonic_s()
            tasks.sleep(clock.next_tick_s(now_s, period_s) - now_s)

    def poll_published_hosts(self, read: ListReader) -> None:
        """Polls the published list, less often in a large fleet."""
        is_readable = True
        published = self._published = PublishedHosts()
        while True:
            match read():
                case Success(states):
                    is_readable = True
                    published.replace(states)
                    self._roster.record_leaving_hosts(published.leaving)
                case Failure(refusal):
                    if is_readable:
                        _log.warning("published host list can't be read: %s", refusal)
                    is_readable = False
            members = len(self._roster.members)
            pause_s = max(LIST_READ_MIN_S, members * LIST_READ_PER_MEMBER_S)
            now_s = clock.monotonic_s()
            wanted_s = now_s + random.uniform(0.5, 1.5) * pause_s
            tasks.sleep(clock.next_tick_s(wanted_s, self._period_s) - now_s)

    def serve_if_joining(self, now_s: float) -> None:
        """Serves without waiting for peers, once the platform itself was read.

        Applies only to a host that is joining. One that resumed after a pause waits for
        its peers, since it may have missed what they decided in the meantime.
        """
        if self._readiness.state is ReadinessState.JOINING:
            self._refresh(is_confirmed=True, now_s=now_s)

    def run_round(self, now_s: float) -> None:
        """Runs one round of checks."""
        if self._readiness.tick(now_s):
            _log.warning("woke late: the view of the fleet is refreshed first")
            self._roster.contacts.restart_clocks(now_s)
            self._gossip.restart_sync(now_s)
            self._peers.broadcast_heartbeat()
        self._refresh(is_confirmed=False, now_s=now_s)
        self._peers.follow_roster()
        self._peers.retry_broken()
        self._check_silent(now_s)
        self._remove_due(now_s)

    def _refresh(self, is_confirmed: bool, now_s: float) -> None:
        since_s = self._readiness.stale_since_s
        if since_s is None or not self._gossip.has_configuration:
            return
        is_current = is_confirmed or self._gossip.is_current_since(since_s, now_s)
        if self._readiness.finish_refresh(is_current, now_s):
            _log.info("serving")
            if self._roster.own.state is MemberState.JOINING:
                self._roster.announce(MemberState.SERVING, now_s)
                self._peers.broadcast_heartbeat()

    def _check_silent(self, now_s: float) -> None:
        if self._readiness.stale_since_s is not None:
            return
        for daemon in self._peers.watched - self._being_checked:
            member = self._roster.find(daemon)
            if member is None or member.state is MemberState.SUSPECT:
                continue
            if self._roster.contacts.is_silent(daemon, SILENCE_S, now_s):
                self._being_checked.add(daemon)
                tasks.spawn(self._suspect_if_unreachable, daemon)

    def _suspect_if_unreachable(self, daemon: DaemonId) -> None:
        """Suspects a silent member if a few other peers can't reach it either."""
        try:
            if self._is_reachable_by_others(daemon):
                return
            now_s = clock.monotonic_s()
            is_silent = self._roster.contacts.is_silent(daemon, SILENCE_S, now_s)
            member = self._roster.find(daemon)
            if (
                is_silent
                and member in self._roster.members
                and may_suspect(self._roster)
            ):
                SUSPICIONS.inc()
                _log.info("member suspected", extra={"member": daemon})
                self._roster.suspect(daemon, now_s)
                self._peers.broadcast_heartbeat()
        finally:
            self._being_checked.discard(daemon)

    def _is_reachable_by_others(self, daemon: DaemonId) -> bool:
        links = [link for link in self._peers.links if link.is_connected]
        probers = random.sample(links, min(REACH_PROBERS_MAX, len(links)))
        replies: tasks.Mailbox[bool] = tasks.Mailbox()
        for link in probers:
            tasks.spawn(_request_reach, link.request_reach, daemon, replies)
        return any(replies.receive() for _ in probers)

    def _remove_due(self, now_s: float) -> None:
        due = select_removals(self._roster, self._published, self._removal_s, now_s)
        if due.held_back:
            REMOVALS_HELD_BACK.inc()
        for daemon in due.daemons:
            REMOVALS.inc()
            _log.info("member removed", extra={"member": daemon})
            self._roster.remove(daemon, now_s)
        self._roster.expire_removed(now_s)


def _request_reach(
    request_reach: Callable[[DaemonId, float], bool],
    daemon: DaemonId,
    replies: tasks.Mailbox[bool],
) -> None:
    replies.send(request_reach(daemon, 2 * REACH_TIMEOUT_S))
