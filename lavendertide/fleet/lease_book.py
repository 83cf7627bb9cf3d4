"""The leases on all targets of this daemon's region."""

from collections.abc import Callable, Iterable

from lavendertide.fleet.holders import HolderTable
from lavendertide.fleet.lease import LeaseContacts, LeaseTiming, Role, SlotLease
from lavendertide.fleet.pause_detector import PauseDetector
from lavendertide.fleet.roster import Roster
from lavendertide.ids import DaemonId, TargetId
from lavendertide.messages import SlotClaim, SlotClaims, SlotReleases
from lavendertide.targets.place import TargetPlace


class LeaseBook:
    """Updates the leases as members and targets change, and hands slots over.

    Args:
        roster: The members of the fleet.
        table: Gives the holders of each target.
        timing: The durations of all leases.
        expects_peers: Whether the settings name other daemons; then no slot is used
            before one of them has acknowledged a heartbeat.
        now_s: Present time, monotonic.
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
        self._contacts: LeaseContacts = roster
        self._table = table
        self._timing = timing
        self._started_at_s = now_s
        self._is_isolated = expects_peers
        self._pause_detector = PauseDetector(timing.lease_s, now_s)
        self._leases: dict[TargetId, SlotLease] = {}
        # The leases with a role. Only these are visited on each tick, not the leases on
        # all targets of the region.
        self._held: dict[TargetId, SlotLease] = {}

    @property
    def partners(self) -> set[DaemonId]:
        """The members whose acknowledgements the leases depend on.

        A backup sends its primary no heartbeats: the times of its own acknowledgements
        show when the primary was last alive.
        """
        leases = (each for each in self._held.values() if each.role is not Role.BACKUP)
        partners = {lease.partner for lease in leases}
        return {partner for partner in partners if partner is not None}

    @property
    def held_count(self) -> int:
        """Number of targets for which this daemon is primary, claimant or backup."""
        return len(self._held)

    @property
    def claiming_count(self) -> int:
        """Number of targets whose slots this daemon claims but does not have yet."""
        return sum(lease.role is Role.CLAIMING for lease in self._held.values())

    def holds(self, target: TargetId) -> bool:
        """Returns whether this daemon is a target's primary, claimant or backup."""
        return target in self._held

    def update(self, places: Iterable[TargetPlace], now_s: float) -> None:
        """Applies the published targets and the present members."""
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
        """Returns how many slots of a target this daemon may use now.

        Where peers are expected, it is zero until one has acknowledged a heartbeat.
        """
        self.detect_pause(now_s)
        lease = self._leases.get(target)
        if lease is None or self._is_isolated:
            return 0
        return lease.allowance(self._contacts, now_s)

    def has_all_slots(self, target: TargetId, now_s: float) -> bool:
        """Returns whether this daemon may use all slots, so nobody else uses any."""
        lease = self._leases.get(target)
        return lease is not None and self.allowance(target, now_s) == lease.slots

    def detect_pause(self, now_s: float) -> None:
        """Records a pause in all leases if the process was paused since the last call.

        Has to be called often, so that no pause goes unnoticed.
        """
        if self._pause_detector.detect_pause(now_s):
            for lease in self._leases.values():
                lease.record_pause(now_s)

    def detect_gaps(self, now_s: float) -> None:
        """Checks all held leases for a gap between acknowledged heartbeats.

        Has to be called often, so that a gap is noticed while it lasts.
        """
        self.detect_pause(now_s)
        for lease in self._held.values():
            lease.detect_gap(self._contacts, now_s)

    def due_claims(self, now_s: float) -> dict[DaemonId, SlotClaims]:
        """Returns the claims to send now, by the previous holder that gets them."""
        self._update_isolation()
        claimed: dict[DaemonId, list[SlotClaim]] = {}
        for target, lease in self._held.items():
            previous_holder = lease.claim_recipient(now_s)
            if previous_holder is not None:
                claimed.setdefault(previous_holder, []).append(
                    SlotClaim(target, lease.serial)
                )
        sender = self._own.daemon
        return {
            previous_holder: SlotClaims(sender, tuple(items))
            for previous_holder, items in claimed.items()
        }

    def handle_claims(
        self, claims: SlotClaims, in_use: Callable[[TargetId], int], now_s: float
    ) -> SlotReleases:
        """Releases the claimed targets on which nothing runs here any more.

        Args:
            claims: What a claimant has sent.
            in_use: Returns how many slots of a target this daemon uses now.
            now_s: Present time, monotonic.
        """
        released = tuple(
            item
            for item in claims.items
            if item.target in self._leases
            and self._leases[item.target].try_release_to(
                claims.sender, in_use(item.target), now_s
            )
        )
        return SlotReleases(self._own.daemon, released)

    def apply_releases(self, releases: SlotReleases, now_s: float) -> None:
        """Takes over the slots that a previous holder has released."""
        for item in releases.items:
            lease = self._leases.get(item.target)
            if lease is not None:
                lease.apply_release(releases.sender, item.serial, now_s)

    def _assign(self, place: TargetPlace, now_s: float) -> None:
        lease = self._leases.get(place.target)
        if lease is None:
            lease = SlotLease(
                self._own.daemon, place.slots, self._timing, self._started_at_s
            )
            self._leases[place.target] = lease
        lease.resize(place.slots)
        lease.assign(self._table.holders_of(place), now_s)

    def _update_isolation(self) -> None:
        if self._is_isolated:
            self._is_isolated = not any(
                self._contacts.acked_sent_at_s(member.daemon) is not None
                for member in self._roster.members
            )
