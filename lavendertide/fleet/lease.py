"""The lease on one target's slots, kept without a store.

The primary may use all slots while its newest answered heartbeat to the backup was
sent less than `lease_s` ago, and the larger half otherwise. After a gap it goes back to
all of them only once what the backup may have begun in the gap has ended. The backup
may use the smaller half once a whole span has passed since it last had contact with
the primary.
A new primary uses nothing until the former holder has released the slots or the span
has passed. docs/DESIGN.md weighs the scheme.
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
    """The times that all leases of a daemon share.

    Attributes:
        lease_s: How long an answered heartbeat is good for.
        attempt_s: The longest time that an attempt may run.
        margin_s: Allowance for delay and for the drift of two clocks.
    """

    lease_s: float
    attempt_s: float
    margin_s: float

    @property
    def drain_s(self) -> float:
        """After this time, no attempt that was begun before it still runs."""
        return self.attempt_s + self.margin_s

    @property
    def span_s(self) -> float:
        """After this time without contact, the other side's full use is over."""
        return self.lease_s + self.drain_s


class Contacts(Protocol):
    """When this daemon and its peers have last heard of each other."""

    def answered_sent_at_s(self, daemon: DaemonId) -> float | None:
        """Returns when the newest heartbeat that a member has answered was sent."""

    def promised_at_s(self, daemon: DaemonId) -> float | None:
        """Returns when a heartbeat of a member was last answered here."""


class Role(Enum):
    """What this daemon is for a target."""

    NONE = "none"
    BACKUP = "backup"
    CLAIMING = "claiming"
    PRIMARY = "primary"


class SlotLease:
    """How many slots of one target this daemon may use now.

    Args:
        started_at_s: When this incarnation started; attempts of an earlier one may
            still run.
    """

    def __init__(
        self, own: DaemonId, slots: int, timing: LeaseTiming, started_at_s: float
    ) -> None:
        self._own = own
        self._slots = slots
        self._timing = timing
        self._quiet_until_s = started_at_s + timing.drain_s
        self._role = Role.NONE
        self._role_since_s = started_at_s
        self._woke_at_s: float | None = None
        self._primary: DaemonId | None = None
        self._partner: DaemonId | None = None
        self._former: DaemonId | None = None
        self._contact_at_s = started_at_s
        self._backup_since_s: float | None = None
        self._answered_at_s = started_at_s
        self._whole_from_s = 0.0
        self._serial = 0

    @property
    def role(self) -> Role:
        """What this daemon is for the target."""
        return self._role

    @property
    def slots(self) -> int:
        """All slots of the target."""
        return self._slots

    @property
    def partner(self) -> DaemonId | None:
        """The member to which heartbeats have to go directly."""
        return self._partner

    @property
    def serial(self) -> int:
        """The number of the present claim."""
        return self._serial

    def resize(self, slots: int) -> None:
        """Takes over a published change of the target's slots."""
        self._slots = slots

    def assign(self, holders: Holders | None, now_s: float) -> None:
        """Takes over who holds the target now."""
        primary = holders.primary.daemon if holders else None
        backup = holders.backup.daemon if holders and holders.backup else None
        if primary == self._own:
            self._become_primary(holders, backup, now_s)
        elif backup == self._own:
            self._step_back(Role.BACKUP, now_s, primary != self._primary)
            self._partner = primary
        else:
            self._step_back(Role.NONE, now_s, primary != self._primary)
            self._partner = None
        self._primary = primary

    def allowance(self, contacts: Contacts, now_s: float) -> int:
        """Returns how many slots this daemon may use now."""
        if now_s < self._quiet_until_s:
            return 0
        match self._role:
            case Role.NONE:
                return 0
            case Role.BACKUP:
                return self._share_of_backup(self._partner, contacts, now_s)
            case Role.CLAIMING:
                return self._share_of_claimant(contacts, now_s)
            case Role.PRIMARY:
                return self._share_of_primary(contacts, now_s)

    def wake(self, now_s: float) -> None:
        """Notes that the process had stopped and knows only an old state."""
        self._woke_at_s = now_s
        self._contact_at_s = now_s
        if self._role is Role.CLAIMING:
            self._start_claim(now_s)

    def keep(self, contacts: Contacts, now_s: float) -> None:
        """Has to be called often, so that a gap between answers is noticed."""
        if self._role is not Role.PRIMARY or self._partner is None:
            return
        answered_at_s = contacts.answered_sent_at_s(self._partner) or 0.0
        gap_s = max(now_s, answered_at_s) - self._answered_at_s
        if answered_at_s > self._answered_at_s:
            gap_s = answered_at_s - self._answered_at_s
            self._answered_at_s = answered_at_s
        if gap_s >= self._timing.lease_s:
            self._whole_from_s = now_s + self._timing.drain_s

    def note_contact(self, now_s: float) -> None:
        """Notes that the primary or a claimant has been heard of just now."""
        self._contact_at_s = now_s

    def claims_from(self, now_s: float) -> DaemonId | None:
        """Returns whom to ask for the slots, if they are to be asked for now."""
        if self._role is not Role.CLAIMING or now_s < self._quiet_until_s:
            return None
        return self._former

    def take_release(self, sender: DaemonId, serial: int, now_s: float) -> None:
        """Takes in that the former holder runs nothing on the target."""
        is_awaited = self._role is Role.CLAIMING and sender == self._former
        if is_awaited and serial == self._serial:
            self._become_sole_primary()
            self._answered_at_s = now_s

    def may_release_to(self, claimant: DaemonId, in_use: int, now_s: float) -> bool:
        """Returns whether the slots are free for a claimant, and promises it."""
        is_quiet = now_s >= max(self._quiet_until_s, self._whole_from_s)
        if self._primary != claimant or in_use or not is_quiet:
            return False
        self.note_contact(now_s)
        return True

    def _become_primary(
        self, holders: Holders | None, backup: DaemonId | None, now_s: float
    ) -> None:
        successor = holders.successor.daemon if holders and holders.successor else None
        if backup != self._partner or self._role is not Role.PRIMARY:
            self._answered_at_s = now_s
        self._partner = backup
        match self._role:
            case Role.PRIMARY:
                pass
            case Role.CLAIMING:
                self._former = self._former or successor
            case Role.NONE | Role.BACKUP:
                self._former = self._primary or successor
                self._start_claim(now_s)

    def _start_claim(self, now_s: float) -> None:
        self._role = Role.CLAIMING
        self._role_since_s = now_s
        self._serial = next(_serials)

    def _step_back(self, role: Role, now_s: float, has_new_primary: bool) -> None:
        if self._role is role and not has_new_primary:
            return
        self._role = role
        self._role_since_s = now_s
        self._backup_since_s = now_s if role is Role.BACKUP else None

    def _share_of_backup(
        self, primary: DaemonId | None, contacts: Contacts, now_s: float
    ) -> int:
        if primary is None or self._backup_since_s is None:
            return 0
        contact_at_s = max(
            contacts.promised_at_s(primary) or 0.0,
            contacts.answered_sent_at_s(primary) or 0.0,
            self._contact_at_s,
            self._backup_since_s,
        )
        if now_s < contact_at_s + self._timing.span_s:
            return 0
        return self._slots // 2

    def _share_of_claimant(self, contacts: Contacts, now_s: float) -> int:
        if self._former is None or now_s >= self._role_since_s + self._timing.span_s:
            self._become_sole_primary()
            self._whole_from_s = now_s + self._timing.drain_s
            return self._share_of_primary(contacts, now_s)
        return self._share_of_backup(self._former, contacts, now_s)

    def _become_sole_primary(self) -> None:
        self._role = Role.PRIMARY
        self._backup_since_s = None

    def _share_of_primary(self, contacts: Contacts, now_s: float) -> int:
        if self._partner is None:
            return self._slots
        if self._has_just_woken(self._partner, contacts, now_s):
            return 0
        self.keep(contacts, now_s)
        if now_s < self._whole_from_s:
            return (self._slots + 1) // 2
        return self._slots

    def _has_just_woken(
        self, partner: DaemonId, contacts: Contacts, now_s: float
    ) -> bool:
        if self._woke_at_s is None:
            return False
        answered_at_s = contacts.answered_sent_at_s(partner)
        has_answer = answered_at_s is not None and answered_at_s > self._woke_at_s
        if not has_answer and now_s < self._woke_at_s + self._timing.span_s:
            return True
        self._woke_at_s = None
        return False
