"""Broadcasts which targets are leaving, where the platform doesn't say so.

Hosts usually learn from the platform that a target is leaving, at about the time at
which its replies say so. A host broadcasts what it has learned from a reply only if the
platform still lists the target as ready some time later, as during an outage. So the
broadcasts cost nothing while the platform is reachable.
"""

import logging
from typing import Final

from lavendertide.fleet.new_member_sync import NewMemberSync
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.roster import Roster
from lavendertide.ids import DaemonId
from lavendertide.messages import Frame, LeavingNotices
from lavendertide.registry.record import TargetRun
from lavendertide.registry.registry import TargetRegistry

# How long the platform has to report a leaving target before peers are told. Its
# changes reach all hosts within a second.
PLATFORM_DELAY_S: Final = 1.0
# Runs in one frame, about 40 bytes each.
RUNS_PER_FRAME: Final = 128

_log = logging.getLogger(__name__)


class LeavingBroadcast:
    """Records the leaving targets and exchanges them with peers.

    Args:
        registry: The targets that the platform lists.
        roster: The members of the fleet.
        peers: The links to them.
    """

    def __init__(self, registry: TargetRegistry, roster: Roster, peers: Peers) -> None:
        self._registry = registry
        self._peers = peers
        self._due_at_s: dict[TargetRun, float] = {}
        self._new_member_sync = NewMemberSync(roster, peers, self._make_notices)

    def record_leaving(self, run: TargetRun, now_s: float) -> None:
        """Records that a reply to this host has said that a run is leaving."""
        if self._registry.record_leaving(run, now_s):
            _log.info(
                "target is leaving", extra={"target": run.target, "source": "reply"}
            )
            self._due_at_s[run] = now_s + PLATFORM_DELAY_S

    def apply_notices(
        self, runs: tuple[TargetRun, ...], peer: DaemonId, now_s: float
    ) -> None:
        """Records the leaving runs that a peer knows; new ones are passed on."""
        for run in runs[:RUNS_PER_FRAME]:
            if self._registry.record_leaving(run, now_s):
                _log.info(
                    "target is leaving", extra={"target": run.target, "source": peer}
                )
                self._due_at_s[run] = now_s

    def broadcast_due(self, now_s: float) -> None:
        """Broadcasts the runs that the platform hasn't reported as leaving in time."""
        due = [run for run, due_at_s in self._due_at_s.items() if due_at_s <= now_s]
        due = due[:RUNS_PER_FRAME]
        for run in due:
            del self._due_at_s[run]
        unreported = tuple(run for run in due if self._registry.is_listed_ready(run))
        if unreported:
            self._peers.broadcast(LeavingNotices(unreported))

    def send_to_new_members(self, now_s: float) -> None:
        """Sends the leaving runs to members that are new since the last call."""
        self._new_member_sync.send_to_new_members(now_s)

    def _make_notices(self, now_s: float) -> Frame | None:
        runs = self._registry.unlisted_leaving(now_s)[:RUNS_PER_FRAME]
        return LeavingNotices(runs) if runs else None
