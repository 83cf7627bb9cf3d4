"""This daemon's view of the fleet's members.

Of two records of a member, the one with the higher incarnation wins, then the one with
the higher refutation, then the one with the later state. Only the member itself
announces that it serves or leaves. Others may only suspect or remove it, and it refutes
that with a higher refutation number.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Final

from lavendertide.fleet.contacts import Contacts
from lavendertide.fleet.digests import Digests, bucket_of
from lavendertide.fleet.gossip_queue import GossipQueue
from lavendertide.fleet.metrics import FALSE_SUSPICIONS
from lavendertide.ids import DaemonId, HostId, Incarnation
from lavendertide.messages import MemberRecord, MemberState

# A member that owes a reply for this long is silent.
SILENCE_S: Final = 1.5
REMOVED_KEPT_S: Final = 600.0
_STATE_ORDER: Final = {
    MemberState.JOINING: 0,
    MemberState.SERVING: 1,
    MemberState.LEAVING: 2,
    MemberState.SUSPECT: 3,
    MemberState.REMOVED: 4,
}
_UNREACHABLE_STATES: Final = frozenset({MemberState.SUSPECT, MemberState.REMOVED})


class Roster:
    """Holds the newest record of each known member, including this daemon's own."""

    def __init__(self, own: MemberRecord) -> None:
        self._own_name = own.daemon
        self._records: dict[DaemonId, MemberRecord] = {}
        self._changed_at_s: dict[DaemonId, float] = {}
        self._contacts = Contacts()
        self._gossip_queue = GossipQueue()
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
        """All members that are not removed, in the same order on every daemon."""
        if self._members is None:
            present = [r for r in self._records.values() if not _is_removed(r)]
            self._members = tuple(sorted(present, key=lambda member: member.daemon))
        return self._members

    @property
    def serving(self) -> tuple[MemberRecord, ...]:
        """Members that accept queries, in the same order on every daemon."""
        return tuple(m for m in self.members if m.state is MemberState.SERVING)

    @property
    def generation(self) -> int:
        """A counter that increases with each change of a record."""
        return self._generation

    @property
    def contacts(self) -> Contacts:
        """When this daemon last had contact with each member."""
        return self._contacts

    @property
    def digests(self) -> Digests:
        """Digests of all records, for the comparison with a peer's roster."""
        return self._digests

    @property
    def has_pending_gossip(self) -> bool:
        """Whether a changed record still has to be sent to some peer."""
        return len(self._gossip_queue) > 0

    def on_change(self, notify: Callable[[], None]) -> None:
        """Registers the function to call after each change; it must not block."""
        self._on_change = notify

    def find(self, daemon: DaemonId) -> MemberRecord | None:
        """Returns the record of a member, removed ones included, if it is known."""
        return self._records.get(daemon)

    def apply_records(
        self,
        records: Iterable[MemberRecord],
        now_s: float,
        is_forwarded: bool = True,
    ) -> bool:
        """Merges records that peers sent.

        Args:
            records: Records of any members.
            now_s: Present time, monotonic.
            is_forwarded: Whether to gossip the records that are new here.

        Returns:
            Whether any record changed.
        """
        changed = [self._apply(record, now_s, is_forwarded) for record in records]
        return any(changed)

    def announce(self, state: MemberState, now_s: float) -> None:
        """Changes this daemon's own state, which is then gossiped."""
        self._put(replace(self.own, state=state), now_s)

    def announce_load(self, is_loaded: bool, now_s: float) -> None:
        """Announces whether this daemon uses most of its processor."""
        own = self.own
        if own.is_loaded is not is_loaded:
            newer = replace(own, is_loaded=is_loaded, refutation=own.refutation + 1)
            self._put(newer, now_s)

    def suspect(self, daemon: DaemonId, now_s: float) -> None:
        """Marks a member as suspect until it refutes that."""
        self._put(replace(self._records[daemon], state=MemberState.SUSPECT), now_s)

    def remove(self, daemon: DaemonId, now_s: float) -> None:
        """Removes a member until a later incarnation or a refutation restores it."""
        self._put(replace(self._records[daemon], state=MemberState.REMOVED), now_s)

    def suspected_since(self) -> dict[DaemonId, float]:
        """Returns when this daemon learned of the suspicion of each suspect."""
        return {
            member.daemon: self._changed_at_s[member.daemon]
            for member in self.members
            if member.state is MemberState.SUSPECT
        }

    def gossip_for(self, daemon: DaemonId | None) -> tuple[MemberRecord, ...]:
        """Returns the records for the next frame to a member.

        A frame to a suspect or removed member always carries its own record, so that
        it can refute it.
        """
        chosen = self._gossip_queue.select_next(daemon, len(self.members))
        records = [self._records[name] for name in chosen]
        peer = self._records.get(daemon) if daemon else None
        if (
            peer is not None
            and peer.state in _UNREACHABLE_STATES
            and peer not in records
        ):
            records.append(peer)
        return tuple(records)

    def records_differing_from(
        self, digests: tuple[int, ...]
    ) -> tuple[MemberRecord, ...]:
        """Returns the records of the buckets whose digests differ.

        Args:
            digests: The digests of another roster; if their number differs from this
                one's, all records are returned.
        """
        own = self._digests.buckets
        if len(digests) != len(own):
            return tuple(self._records.values())
        differ = {number for number, d in enumerate(digests) if d != own[number]}
        return tuple(r for r in self._records.values() if bucket_of(r.daemon) in differ)

    def record_leaving_hosts(self, hosts: frozenset[HostId]) -> None:
        """Records which hosts the published list marks as leaving."""
        self._leaving_hosts = hosts

    def is_published_as_leaving(self, member: MemberRecord) -> bool:
        """Returns whether the published list marks a member's host as leaving."""
        return member.host in self._leaving_hosts

    def acked_sent_at_s(self, daemon: DaemonId) -> float | None:
        """Returns when the newest acknowledged heartbeat to a member was sent."""
        return self._contacts.acked_sent_at_s(daemon)

    def lease_granted_at_s(self, daemon: DaemonId) -> float | None:
        """Returns when this daemon last acknowledged a member's heartbeat."""
        return self._contacts.lease_granted_at_s(daemon)

    def is_reachable(self, daemon: DaemonId, silence_s: float, now_s: float) -> bool:
        """Returns whether requests may be sent to a member.

        A member that this daemon does not contact counts as reachable for as long as
        nobody suspects it.
        """
        if daemon == self._own_name:
            return True
        record = self._records.get(daemon)
        if record is None or record.state in _UNREACHABLE_STATES:
            return False
        return not self._contacts.is_silent(daemon, silence_s, now_s)

    def expire_removed(self, now_s: float) -> None:
        """Discards members that were removed more than `REMOVED_KEPT_S` ago."""
        for daemon, record in list(self._records.items()):
            age_s = now_s - self._changed_at_s[daemon]
            if _is_removed(record) and age_s > REMOVED_KEPT_S:
                del self._records[daemon]
                del self._changed_at_s[daemon]
                self._contacts.remove(daemon)

    def _apply(self, record: MemberRecord, now_s: float, is_forwarded: bool) -> bool:
        if record.daemon == self._own_name:
            return self._refute(record, now_s)
        known = self._records.get(record.daemon)
        if known is not None and _precedence(record) <= _precedence(known):
            return False
        if known is not None and record.incarnation > known.incarnation:
            self._contacts.remove(record.daemon)
        self._put(record, now_s, is_forwarded)
        return True

    def _refute(self, claim: MemberRecord, now_s: float) -> bool:
        own = self.own
        if _precedence(claim) <= _precedence(own):
            return False
        if claim.incarnation > own.incarnation:
            newer = Incarnation(claim.incarnation + 1)
            self._put(replace(own, incarnation=newer, refutation=0), now_s)
            return True
        FALSE_SUSPICIONS.inc()
        self._put(replace(own, refutation=claim.refutation + 1), now_s)
        return True

    def _put(
        self, record: MemberRecord, now_s: float, is_forwarded: bool = True
    ) -> None:
        self._digests.replace(self._records.get(record.daemon), record)
        self._records[record.daemon] = record
        self._changed_at_s[record.daemon] = now_s
        if is_forwarded:
            self._gossip_queue.add(record.daemon)
        self._generation += 1
        self._members = None
        if self._on_change is not None:
            self._on_change()


def _is_removed(record: MemberRecord) -> bool:
    return record.state is MemberState.REMOVED


def _precedence(record: MemberRecord) -> tuple[int, int, int]:
    return record.incarnation, record.refutation, _STATE_ORDER[record.state]
