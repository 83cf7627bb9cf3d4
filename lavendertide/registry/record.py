"""The registry entry that a target publishes."""

import re
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from lavendertide.addressing import check_ip_port
from lavendertide.ids import Address, FailureDomain, ServiceName, TargetId

# Longest name of a target, a service or a failure domain.
NAME_MAX_CHARACTERS: Final = 200
# A target's name is sent to it in a header, so it is visible ASCII.
TARGET_NAME: Final = re.compile(r"[!-~]+")
SLOTS_MAX: Final = 1_000_000
# The last millisecond of the year 9999.
STARTED_AT_MAX_MS: Final = 253_402_300_799_999
# Longest time for which a target may say that it is cold.
COLD_MAX_MS: Final = 3_600_000


class TargetState(Enum):
    """Whether a target accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class TargetRun:
    """One run of a target's process.

    Attributes:
        started_at_ms: Start time in Unix milliseconds; zero if it isn't published.
    """

    target: TargetId
    started_at_ms: int

    @property
    def is_dated(self) -> bool:
        """Whether the run can be told from another one under the same name."""
        return self.started_at_ms != 0


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """One registered target.

    Attributes:
        target: Identifies one run of a process, unless its owner reuses the name.
        slots: Requests that it runs concurrently.
        started_at_ms: Start time in Unix milliseconds; distinguishes runs of one name.
        cold_left_ms: How long the target remained cold when the entry was written; none
            if it doesn't say. Each copy differs in it, so it isn't compared.
    """

    target: TargetId
    service: ServiceName
    address: Address
    failure_domain: FailureDomain
    slots: int
    state: TargetState
    started_at_ms: int
    cold_left_ms: int | None = field(default=None, compare=False)

    @property
    def run(self) -> TargetRun:
        """The run of the target that the entry describes."""
        return TargetRun(self.target, self.started_at_ms)

    def is_same_start(self, other: "TargetRecord") -> bool:
        """Returns whether both records describe the same run of a process."""
        return (
            self.started_at_ms == other.started_at_ms and self.address == other.address
        )


def check_record(record: TargetRecord) -> None:
    """Checks a record that was read from outside this process.

    A record that passes can be stored, sent to peers and connected to.

    Raises:
        ValueError: A field is invalid; the message names it.
    """
    _check_name(record.target, "target")
    if not TARGET_NAME.fullmatch(record.target):
        raise ValueError("target is not visible ASCII")
    _check_name(record.service, "service")
    _check_name(record.failure_domain, "failure domain")
    _check_name(record.address, "address")
    check_ip_port(record.address)
    _check_whole(record.slots, "slots", 1, SLOTS_MAX)
    _check_whole(record.started_at_ms, "start time", 0, STARTED_AT_MAX_MS)
    if record.cold_left_ms is not None:
        _check_whole(record.cold_left_ms, "cold time", 0, COLD_MAX_MS)


def _check_name(value: object, field: str) -> None:
    # Printable text has no surrogates, so it can be encoded.
    if not isinstance(value, str) or not value or not value.isprintable():
        raise ValueError(f"{field} is not a printable text")
    if len(value) > NAME_MAX_CHARACTERS:
        raise ValueError(f"{field} has more than {NAME_MAX_CHARACTERS} characters")


def _check_whole(value: object, field: str, least: int, greatest: int) -> None:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{field} is not a whole number")
    if not least <= value <= greatest:
        raise ValueError(f"{field} is not from {least} to {greatest}")
