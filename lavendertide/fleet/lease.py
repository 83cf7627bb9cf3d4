"""The lease on one target's slots, which needs no external store.

The primary may use all slots while its newest acknowledged heartbeat to the backup was
sent less than `lease_s` ago, and the larger half otherwise. After such a gap it uses
all slots again only once attempts that the backup may have started in the gap have
ended.
The backup may use the smaller half once `release_timeout_s` has passed since its last
contact with the primary.
A new primary uses nothing until the previous holder has released the slots or
`release_timeout_s` has passed. If it was the backup and may already use the smaller
half, it keeps that half until then. docs/DESIGN.md discusses the scheme.
"""

import itertools
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from lavendertide.fleet.holders import Holders
from lavendertide.ids import DaemonId

_serials = itertools.count(1)


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Durations that apply to all leases of a daemon.

    Attributes:
        lease_s: How long an acknowledged heartbeat keeps the lease, from its sending.
        attempt_s: The longest time that an attempt may run.
        margin_s: Allowance for delay and for the drift between two clocks.
    """

    lease_s: float
    attempt_s: float
    margin_s: float

    @property
    def drain_s(self) -> float:
        """Time after which every attempt that is running now has ended."""
        return self.attempt_s + self.margin_s

    @property
    def release_timeout_s(self) -> float:
        """Time without contact after which the other side uses its half at most.

        By then its lease has expired and the attempts started under it have ended.
        """
        return self.lease_s + self.drain_s


class LeaseContacts(Protocol):
    """When heartbeats were last acknowledged between this daemon and its peers."""

    def acked_sent_at_s(self, daemon: DaemonId) -> float | None:
        """Returns when the newest heartbeat that a member acknowledged was sent."""

    def lease_granted_at_s(self, daemon: DaemonId) -> float | None:
        """Returns when this daemon last acknowledged a member's heartbeat."""


class Role(Enum):
    """The role of this daemon in a target's lease."""

    NONE = "none"
    BACKUP = "backup"
    CLAIMING = "claiming"
    PRIMARY = "primary"


class SlotLease:
    """Computes how many slots of one target this daemon may use.

    Args:
        own: This daemon.
        slots: All slots of the target.
        timing: The durations of the lease.
        started_at_s: When this incarnation started; attempts of an earlier one may
            still run.
    """

    def __init__(
        self, own: DaemonId, slots: int, timing: LeaseTiming, started_at_s: float
    ) -> None:
        self._own = own
        self._slots = slots
        self._timing = timing
        self._earlier_attempts_end_at_s = started_at_s + timing.drain_s
        self._role = Role.NONE
        self._role_since_s = started_at_s
        self._resumed_at_s: float | None = None
        self._primary: DaemonId | None = None
        self._partner: DaemonId | None = None
        self._previous_holder: DaemonId | None = None
        self._contact_at_s = started_at_s
        self._backup_since_s: float | None = None
        self._acked_at_s = started_at_s
        self._full_from_s = 0.0
        self._serial = 0

    @property
    def role(self) -> Role:
        """The role of this daemon for the target."""
        return self._role

    @property
    def slots(self) -> int:
        """All slots of the target."""
        return self._slots

    @property
    def partner(self) -> DaemonId | None:
        """The backup for a primary or claimant, the primary for a backup."""
        return self._partner

    @property
    def serial(self) -> int:
        """The serial number of the present claim, which a release has to repeat."""
        return self._serial

    def resize(self, slots: int) -> None:
        """Applies a published change of the target's number of slots."""
        self._slots = slots

    def assign(self, holders: Holders | None, now_s: float) -> None:
        """Applies a change of the target's holders."""
        primary = holders.primary.daemon if holders else None
        backup = holders.backup.daemon if holders and holders.backup else None
        if primary == self._own:
            self._become_primary(holders, backup, now_s)
        elif backup == self._own:
            self._become_non_primary(Role.BACKUP, now_s, primary != self._primary)
            self._partner = primary
        else:
            self._become_non_primary(Role.NONE, now_s, primary != self._primary)
            self._partner = None
        self._primary = primary

    def allowance(self, contacts: LeaseContacts, now_s: float) -> int:
        """Returns how many slots this daemon may use now."""
        if now_s < self._earlier_attempts_end_at_s:
            return 0
        match self._role:
            case Role.NONE:
                return 0
            case Role.BACKUP:
                return self._backup_allowance(self._partner, contacts, now_s)
            case Role.CLAIMING:
                return self._claimant_allowance(contacts, now_s)
            case Role.PRIMARY:
                return self._primary_allowance(contacts, now_s)

    def record_pause(self, now_s: float) -> None:
        """Records that the process resumed after a pause, so its state is outdated.

        A claimant claims again. A primary with a backup uses nothing until the backup
        has acknowledged a new heartbeat or `release_timeout_s` has passed.
        """
        self._resumed_at_s = now_s
        self._contact_at_s = now_s
        if self._role is Role.CLAIMING:
            self._start_claim(now_s)

    def detect_gap(self, contacts: LeaseContacts, now_s: float) -> None:
        """Reduces the allowance after a gap between acknowledged heartbeats.

        Has to be called often, so that a gap is noticed while it lasts.
        """
        if self._role is not Role.PRIMARY or self._partner is None:
            return
        acked_at_s = contacts.acked_sent_at_s(self._partner) or 0.0
        gap_s = max(now_s, acked_at_s) - self._acked_at_s
        if acked_at_s > self._acked_at_s:
            gap_s = acked_at_s - self._acked_at_s
            self._acked_at_s = acked_at_s
        if gap_s >= self._timing.lease_s:
            self._full_from_s = now_s + self._timing.drain_s

    def record_contact(self, now_s: float) -> None:
        """Records a contact with the primary or a claimant."""
        self._contact_at_s = now_s

    def claim_recipient(self, now_s: float) -> DaemonId | None:
        """Returns the holder to send a claim to, or none if no claim is due."""
        if self._role is not Role.CLAIMING or now_s < self._earlier_attempts_end_at_s:
            return None
        return self._previous_holder

    def apply_release(self, sender: DaemonId, serial: int, now_s: float) -> None:
        """Completes the claim if the previous holder has released the slots."""
        is_awaited = self._role is Role.CLAIMING and sender == self._previous_holder
        if is_awaited and serial == self._serial:
            self._complete_claim()
            self._acked_at_s = now_s

    def try_release_to(self, claimant: DaemonId, in_use: int, now_s: float) -> bool:
        """Releases the slots to a claimant if nothing runs on them here.

        The release counts as a contact with the claimant, so as a backup this daemon
        uses no slots for the next `release_timeout_s`.

        Returns:
            Whether the slots are released.
        """
        has_drained = now_s >= max(self._earlier_attempts_end_at_s, self._full_from_s)
        if self._primary != claimant or in_use or not has_drained:
            return False
        self.record_contact(now_s)
        return True

    def _become_primary(
        self, holders: Holders | None, backup: DaemonId | None, now_s: float
    ) -> None:
        successor = holders.successor.daemon if holders and holders.successor else None
        if backup != self._partner or self._role is not Role.PRIMARY:
            self._acked_at_s = now_s
        self._partner = backup
        match self._role:
            case Role.PRIMARY:
                pass
            case Role.CLAIMING:
                self._previous_holder = self._previous_holder or successor
            case Role.NONE | Role.BACKUP:
                self._previous_holder = self._primary or successor
                self._start_claim(now_s)

    def _start_claim(self, now_s: float) -> None:
        self._role = Role.CLAIMING
        self._role_since_s = now_s
        self._serial = next(_serials)

    def _become_non_primary(
        self, role: Role, now_s: float, has_new_primary: bool
    ) -> None:
        if self._role is role and not has_new_primary:
            return
        self._role = role
        self._role_since_s = now_s
        self._backup_since_s = now_s if role is Role.BACKUP else None

    def _backup_allowance(
        self, primary: DaemonId | None, contacts: LeaseContacts, now_s: float
    ) -> int:
        if primary is None or self._backup_since_s is None:
            return 0
        contact_at_s = max(
            contacts.lease_granted_at_s(primary) or 0.0,
            contacts.acked_sent_at_s(primary) or 0.0,
            self._contact_at_s,
            self._backup_since_s,
        )
        if now_s < contact_at_s + self._timing.release_timeout_s:
            return 0
        return self._slots // 2

    def _claimant_allowance(self, contacts: LeaseContacts, now_s: float) -> int:
        if (
            self._previous_holder is None
            or now_s >= self._role_since_s + self._timing.release_timeout_s
        ):
            self._complete_claim()
            self._full_from_s = now_s + self._timing.drain_s
            return self._primary_allowance(contacts, now_s)
        return self._backup_allowance(self._previous_holder, contacts, now_s)

    def _complete_claim(self) -> None:
        self._role = Role.PRIMARY
        self._backup_since_s = None

    def _primary_allowance(self, contacts: LeaseContacts, now_s: float) -> int:
        if self._partner is None:
            return self._slots
        if self._awaits_ack_after_pause(self._partner, contacts, now_s):
            return 0
        self.detect_gap(contacts, now_s)
        if now_s < self._full_from_s:
            return (self._slots + 1) // 2
        return self._slots

    def _awaits_ack_after_pause(
        self, partner: DaemonId, contacts: LeaseContacts, now_s: float
    ) -> bool:
        if self._resumed_at_s is None:
            return False
        acked_at_s = contacts.acked_sent_at_s(partner)
        has_acked = acked_at_s is not None and acked_at_s > self._resumed_at_s
        if (
            not has_acked
            and now_s < self._resumed_at_s + self._timing.release_timeout_s
        ):
            return True
        self._resumed_at_s = None
        return False
