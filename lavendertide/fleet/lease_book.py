"""The leases of all targets that this daemon holds or stands in for."""

from collections.abc import Callable, Iterable

from lavendertide.fleet.holders import HolderTable
from lavendertide.fleet.lease import Contacts, LeaseTiming, Role, SlotLease
from lavendertide.fleet.roster import Roster
from lavendertide.fleet.wake_watch import WakeWatch
from lavendertide.ids import DaemonId, TargetId
from lavendertide.messages import SlotClaim, SlotClaims, SlotReleases
from lavendertide.targets.place import TargetPlace


class LeaseBook:
    """Assigns leases as members and targets change, and hands slots over.

    Args:
        expects_peers: Whether the settings name other daemons; then nothing is used
            before one of them has answered.
    """

    def __init__(
        self,
        roster: Roster,
        table: HolderTable,
        timing: LeaseTiming,
        expects_peers: bool,
        now_s: float,
    ) -> None:
        self._own = roster.own
        self._roster = roster
        self._contacts: Contacts = roster
        self._table = table
        self._timing = timing
        self._started_at_s = now_s
        self._is_isolated = expects_peers
        self._watch = WakeWatch(timing.lease_s, now_s)
        self._leases: dict[TargetId, SlotLease] = {}
        # Looked at on each tick, unlike the leases of all targets of a region.
        self._held: dict[TargetId, SlotLease] = {}

    @property
    def partners(self) -> set[DaemonId]:
        """The members whose answers the leases depend on.

        A backup sends its primary nothing: what it has promised by its own answers
        tells it when the primary was last there.
        """
        leases = (each for each in self._held.values() if each.role is not Role.BACKUP)
        partners = {lease.partner for lease in leases}
        return {partner for partner in partners if partner is not None}

    @property
    def held_count(self) -> int:
        """Targets for which this daemon is the primary or the backup."""
        return len(self._held)

    @property
    def claiming_count(self) -> int:
        """Targets whose primary this daemon is but whose slots it has not yet."""
        return sum(lease.role is Role.CLAIMING for lease in self._held.values())

    def holds(self, target: TargetId) -> bool:
        """Returns whether this daemon is a target's primary or backup."""
        return target in self._held

    def update(self, places: Iterable[TargetPlace], now_s: float) -> None:
        """Takes over the published targets and the present members."""
        self.detect_gaps(now_s)
        known: set[TargetId] = set()
        for place in places:
            if place.region == self._own.region:
                known.add(place.target)
                self._assign(place, now_s)
        for target in set(self._leases) - known:
            del self._leases[target]
        self._held = {
            target: lease
            for target, lease in self._leases.items()
            if lease.role is not Role.NONE
        }

    def allowance(self, target: TargetId, now_s: float) -> int:
        """Returns how many slots of a target this daemon may use now."""
        self.detect_pause(now_s)
        lease = self._leases.get(target)
        if lease is None or self._is_isolated:
            return 0
        return lease.allowance(self._contacts, now_s)

    def has_all_slots(self, target: TargetId, now_s: float) -> bool:
        """Returns whether nobody else can be using the target."""
        lease = self._leases.get(target)
        return lease is not None and self.allowance(target, now_s) == lease.slots

    def detect_pause(self, now_s: float) -> None:
        """Has to be called often, so that a stop of the process is noticed."""
        if self._watch.look(now_s):
            for lease in self._leases.values():
                lease.wake(now_s)

    def detect_gaps(self, now_s: float) -> None:
        """Has to be called often, so that a gap between answers is noticed."""
        self.detect_pause(now_s)
        for lease in self._held.values():
            lease.keep(self._contacts, now_s)

    def due_claims(self, now_s: float) -> dict[DaemonId, SlotClaims]:
        """Returns the claims that have to be sent now, by the former holder."""
        self._note_company()
        claimed: dict[DaemonId, list[SlotClaim]] = {}
        for target, lease in self._held.items():
            former = lease.claims_from(now_s)
            if former is not None:
                claimed.setdefault(former, []).append(SlotClaim(target, lease.serial))
        sender = self._own.daemon
        return {
            former: SlotClaims(sender, tuple(items))
            for former, items in claimed.items()
        }

    def handle_claims(
        self, claims: SlotClaims, in_use: Callable[[TargetId], int], now_s: float
    ) -> SlotReleases:
        """Releases those claimed targets on which nothing runs here any more."""
        released = tuple(
            item
            for item in claims.items
            if item.target in self._leases
            and self._leases[item.target].may_release_to(
                claims.sender, in_use(item.target), now_s
            )
        )
        return SlotReleases(self._own.daemon, released)

    def apply_releases(self, releases: SlotReleases, now_s: float) -> None:
        """Takes over released slots."""
        for item in releases.items:
            lease = self._leases.get(item.target)
            if lease is not None:
                lease.take_release(releases.sender, item.serial, now_s)

    def _assign(self, place: TargetPlace, now_s: float) -> None:
        lease = self._leases.get(place.target)
        if lease is None:
            lease = SlotLease(
                self._own.daemon, place.slots, self._timing, self._started_at_s
            )
            self._leases[place.target] = lease
        lease.resize(place.slots)
        lease.assign(self._table.holders_of(place), now_s)

    def _note_company(self) -> None:
        if self._is_isolated:
            self._is_isolated = not any(
                self._contacts.answered_sent_at_s(member.daemon) is not None
                for member in self._roster.members
            )
