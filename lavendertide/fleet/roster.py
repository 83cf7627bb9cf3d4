"""This daemon's view of the fleet's members.

A record with a higher incarnation overrides one with a lower, and within one
incarnation the later state overrides the earlier. A member says itself that it serves
or leaves; others may only suspect it.
"""

from collections.abc import Iterable
from typing import Final

from lavendertide.ids import DaemonId, FailureDomain, Region
from lavendertide.messages import MemberRecord, MemberState

SILENCE_S: Final = 1.5
_STATE_ORDER: Final = {
    MemberState.JOINING: 0,
    MemberState.SERVING: 1,
    MemberState.SUSPECT: 2,
    MemberState.LEAVING: 3,
    MemberState.REMOVED: 4,
}


class Roster:
    """The members that this daemon knows, itself among them."""

    def __init__(self, own: MemberRecord) -> None:
        self._own = own
        self._members = {own.daemon: own}
        self._heard_at_s: dict[DaemonId, float] = {}
        self._answered_sent_at_s: dict[DaemonId, float] = {}
        self._promised_at_s: dict[DaemonId, float] = {}

    @property
    def own(self) -> MemberRecord:
        """This daemon's own record."""
        return self._members[self._own.daemon]

    @property
    def members(self) -> list[MemberRecord]:
        """All members that are not removed."""
        return [m for m in self._members.values() if m.state != MemberState.REMOVED]

    @property
    def serving(self) -> list[MemberRecord]:
        """Members that take queries."""
        return [m for m in self._members.values() if m.state is MemberState.SERVING]

    def find(self, daemon: DaemonId) -> MemberRecord | None:
        """Returns a member by name."""
        return self._members.get(daemon)

    def learn(self, records: Iterable[MemberRecord]) -> list[MemberRecord]:
        """Takes in what peers say; returns the records that were news."""
        return [record for record in records if self._take(record)]

    def hear(self, daemon: DaemonId, now_s: float) -> None:
        """Notes that a member has answered just now."""
        self._heard_at_s[daemon] = now_s

    def note_answer(self, daemon: DaemonId, sent_at_s: float, now_s: float) -> None:
        """Notes that a member has answered a heartbeat that was sent at a time."""
        newest_s = self._answered_sent_at_s.get(daemon, sent_at_s)
        self._answered_sent_at_s[daemon] = max(newest_s, sent_at_s)
        self.hear(daemon, now_s)

    def note_promise(self, daemon: DaemonId, now_s: float) -> None:
        """Notes that this daemon answers a member's heartbeat."""
        self._promised_at_s[daemon] = now_s

    def answered_sent_at_s(self, daemon: DaemonId) -> float | None:
        """Returns when the newest answered heartbeat to a member was sent."""
        return self._answered_sent_at_s.get(daemon)

    def promised_at_s(self, daemon: DaemonId) -> float | None:
        """Returns when this daemon last answered a member's heartbeat."""
        return self._promised_at_s.get(daemon)

    def is_reachable(self, daemon: DaemonId, silence_s: float, now_s: float) -> bool:
        """Returns whether a member has answered within a span of time."""
        if daemon == self._own.daemon:
            return True
        heard_at_s = self._heard_at_s.get(daemon)
        return heard_at_s is not None and now_s - heard_at_s < silence_s

    def _take(self, record: MemberRecord) -> bool:
        if record.daemon == self._own.daemon:
            return False
        known = self._members.get(record.daemon)
        if known is not None and _rank(record) <= _rank(known):
            return False
        self._members[record.daemon] = record
        return True


def _rank(record: MemberRecord) -> tuple[int, int]:
    return record.incarnation, _STATE_ORDER[record.state]


def near_first(
    members: Iterable[MemberRecord], region: Region, failure_domain: FailureDomain
) -> list[MemberRecord]:
    """Orders members by their distance from a caller."""
    return sorted(
        members,
        key=lambda member: (
            member.failure_domain != failure_domain,
            member.region != region,
        ),
    )
