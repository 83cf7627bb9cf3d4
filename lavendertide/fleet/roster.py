"""This daemon's view of the fleet's members.

A record with a higher incarnation overrides one with a lower; within one incarnation
the higher refutation wins, and then the later state. A member says itself that it
serves or leaves; others may only suspect it, and it refutes that by itself.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Final

from lavendertide.fleet.contacts import Contacts
from lavendertide.fleet.digests import Digests, bucket_of
from lavendertide.fleet.metrics import FALSE_SUSPICIONS
from lavendertide.fleet.rumours import Rumours
from lavendertide.ids import DaemonId, HostId, Incarnation
from lavendertide.messages import MemberRecord, MemberState

SILENCE_S: Final = 1.5
REMOVED_KEPT_S: Final = 600.0
_STATE_ORDER: Final = {
    MemberState.JOINING: 0,
    MemberState.SERVING: 1,
    MemberState.LEAVING: 2,
    MemberState.SUSPECT: 3,
    MemberState.REMOVED: 4,
}
_GONE: Final = frozenset({MemberState.SUSPECT, MemberState.REMOVED})


class Roster:
    """The members that this daemon knows, itself among them."""

    def __init__(self, own: MemberRecord) -> None:
        self._own_name = own.daemon
        self._records: dict[DaemonId, MemberRecord] = {}
        self._changed_at_s: dict[DaemonId, float] = {}
        self._contacts = Contacts()
        self._rumours = Rumours()
        self._digests = Digests()
        self._generation = 0
        self._members: tuple[MemberRecord, ...] | None = None
        self._leaving_hosts: frozenset[HostId] = frozenset()
        self._on_change: Callable[[], None] | None = None
        self._put(own, 0.0)

    @property
    def own(self) -> MemberRecord:
        """This daemon's own record."""
        return self._records[self._own_name]

    @property
    def members(self) -> tuple[MemberRecord, ...]:
        """All members that are not removed, in the same order everywhere."""
        if self._members is None:
            present = [r for r in self._records.values() if not _is_removed(r)]
            self._members = tuple(sorted(present, key=lambda member: member.daemon))
        return self._members

    @property
    def serving(self) -> tuple[MemberRecord, ...]:
        """Members that take queries, in the same order everywhere."""
        return tuple(m for m in self.members if m.state is MemberState.SERVING)

    @property
    def generation(self) -> int:
        """Rises with each change of a record."""
        return self._generation

    @property
    def contacts(self) -> Contacts:
        """This daemon's own evidence about the members."""
        return self._contacts

    @property
    def digests(self) -> Digests:
        """Digests of all records."""
        return self._digests

    @property
    def has_news(self) -> bool:
        """Whether a changed record still has to be told."""
        return len(self._rumours) > 0

    def on_change(self, notify: Callable[[], None]) -> None:
        """Has a function called after each change of a record; it must not wait."""
        self._on_change = notify

    def find(self, daemon: DaemonId) -> MemberRecord | None:
        """Returns a member by name."""
        return self._records.get(daemon)

    def apply_records(
        self,
        records: Iterable[MemberRecord],
        now_s: float,
        is_retold: bool = True,
    ) -> bool:
        """Takes in what peers say; returns whether anything was new.

        Args:
            records: What they say.
            now_s: Present time, monotonic.
            is_retold: Whether this daemon passes on what is new to it.
        """
        changed = [self._take(record, now_s, is_retold) for record in records]
        return any(changed)

    def announce(self, state: MemberState, now_s: float) -> None:
        """Changes this daemon's own state."""
        self._put(replace(self.own, state=state), now_s)

    def announce_load(self, is_loaded: bool, now_s: float) -> None:
        """Says whether this daemon uses most of its processor."""
        own = self.own
        if own.is_loaded is not is_loaded:
            later = replace(own, is_loaded=is_loaded, refutation=own.refutation + 1)
            self._put(later, now_s)

    def suspect(self, daemon: DaemonId, now_s: float) -> None:
        """Marks a member as suspect, which it may refute."""
        self._put(replace(self._records[daemon], state=MemberState.SUSPECT), now_s)

    def remove(self, daemon: DaemonId, now_s: float) -> None:
        """Removes a member; only a later run or a refutation brings it back."""
        self._put(replace(self._records[daemon], state=MemberState.REMOVED), now_s)

    def suspected_since(self) -> dict[DaemonId, float]:
        """Returns since when each suspect is one, as this daemon has learned it."""
        return {
            member.daemon: self._changed_at_s[member.daemon]
            for member in self.members
            if member.state is MemberState.SUSPECT
        }

    def news_for(self, daemon: DaemonId | None) -> tuple[MemberRecord, ...]:
        """Returns the records for the next frame to a member.

        A suspect is always told of the suspicion, so that it can refute it.
        """
        chosen = self._rumours.next_frame(daemon, len(self.members))
        news = [self._records[name] for name in chosen]
        peer = self._records.get(daemon) if daemon else None
        if peer is not None and peer.state in _GONE and peer not in news:
            news.append(peer)
        return tuple(news)

    def differing(self, digests: tuple[int, ...]) -> tuple[MemberRecord, ...]:
        """Returns the records of the buckets in which another roster differs."""
        own = self._digests.buckets
        if len(digests) != len(own):
            return tuple(self._records.values())
        differ = {number for number, d in enumerate(digests) if d != own[number]}
        return tuple(r for r in self._records.values() if bucket_of(r.daemon) in differ)

    def hint_leaving(self, hosts: frozenset[HostId]) -> None:
        """Notes which hosts the published list says are leaving."""
        self._leaving_hosts = hosts

    def is_hinted_leaving(self, member: MemberRecord) -> bool:
        """Returns whether the published list says that a member's host leaves."""
        return member.host in self._leaving_hosts

    def answered_sent_at_s(self, daemon: DaemonId) -> float | None:
        """Returns when the newest answered heartbeat to a member was sent."""
        return self._contacts.answered_sent_at_s(daemon)

    def promised_at_s(self, daemon: DaemonId) -> float | None:
        """Returns when this daemon last answered a member's heartbeat."""
        return self._contacts.promised_at_s(daemon)

    def is_reachable(self, daemon: DaemonId, silence_s: float, now_s: float) -> bool:
        """Returns whether work may be sent to a member.

        A member that this daemon has no reason to contact counts as reachable for as
        long as nobody suspects it.
        """
        if daemon == self._own_name:
            return True
        record = self._records.get(daemon)
        if record is None or record.state in _GONE:
            return False
        return not self._contacts.is_silent(daemon, silence_s, now_s)

    def forget_removed(self, now_s: float) -> None:
        """Drops members that were removed long ago."""
        for daemon, record in list(self._records.items()):
            age_s = now_s - self._changed_at_s[daemon]
            if _is_removed(record) and age_s > REMOVED_KEPT_S:
                del self._records[daemon]
                del self._changed_at_s[daemon]
                self._contacts.forget(daemon)

    def _take(self, record: MemberRecord, now_s: float, is_retold: bool) -> bool:
        if record.daemon == self._own_name:
            return self._refute(record, now_s)
        known = self._records.get(record.daemon)
        if known is not None and _precedence(record) <= _precedence(known):
            return False
        if known is not None and record.incarnation > known.incarnation:
            self._contacts.forget(record.daemon)
        self._put(record, now_s, is_retold)
        return True

    def _refute(self, claim: MemberRecord, now_s: float) -> bool:
        own = self.own
        if _precedence(claim) <= _precedence(own):
            return False
        if claim.incarnation > own.incarnation:
            later = Incarnation(claim.incarnation + 1)
            self._put(replace(own, incarnation=later, refutation=0), now_s)
            return True
        FALSE_SUSPICIONS.inc()
        self._put(replace(own, refutation=claim.refutation + 1), now_s)
        return True

    def _put(self, record: MemberRecord, now_s: float, is_retold: bool = True) -> None:
        self._digests.replace(self._records.get(record.daemon), record)
        self._records[record.daemon] = record
        self._changed_at_s[record.daemon] = now_s
        if is_retold:
            self._rumours.add(record.daemon)
        self._generation += 1
        self._members = None
        if self._on_change is not None:
            self._on_change()


def _is_removed(record: MemberRecord) -> bool:
    return record.state is MemberState.REMOVED


def _precedence(record: MemberRecord) -> tuple[int, int, int]:
    return record.incarnation, record.refutation, _STATE_ORDER[record.state]
