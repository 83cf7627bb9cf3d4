"""Messages that replicate published configurations between daemons."""

from dataclasses import dataclass
from enum import Enum

from lavendertide.ids import ConfigurationDigest, ConfigurationVersion, EntryKey


class EntryKind(Enum):
    """Kind of an entry in the published lists."""

    PLAN = "plan"
    INDEX = "index"
    ENTITLEMENT = "use"


@dataclass(frozen=True, slots=True)
class EntryText:
    """One entry of the published lists, serialized as canonical JSON."""

    kind: EntryKind
    text: bytes


@dataclass(frozen=True, slots=True, order=True)
class ConfigurationStamp:
    """Identifies a publication; the greater of two stamps is the one to adopt.

    If two publications have the same version, the greater digest wins, so that daemons
    that have read different ones converge on the same one.
    """

    version: ConfigurationVersion
    digest: ConfigurationDigest


@dataclass(frozen=True, slots=True)
class ConfigurationRefusal:
    """Reports to peers that a daemon has refused a publication.

    Attributes:
        over_version: The version that stayed in force.
        stamp: The refused publication; version zero if its stamp could not be read.
        message: Why it was refused.
        remedy: What an operator can do about it.
    """

    over_version: ConfigurationVersion
    stamp: ConfigurationStamp
    message: str
    remedy: str


@dataclass(frozen=True, slots=True)
class ConfigurationOffer:
    """Announces the publication in force on the sender.

    Attributes:
        round_number: Round of the pull that this offer replies to, zero if it replies
            to none.
        stamp: The publication in force.
        is_confirmed: Whether the sender has compared its publication with its peers'
            since it started or resumed after a pause.
        refusal: The newest publication that was refused since, if any.
    """

    round_number: int
    stamp: ConfigurationStamp
    is_confirmed: bool
    refusal: ConfigurationRefusal | None


@dataclass(frozen=True, slots=True)
class ConfigurationPull:
    """Requests the changes since a publication from a peer.

    Attributes:
        known: The publication that the sender has.
        round_number: The sender's current round of confirmation; an offer sent in reply
            repeats it.
    """

    known: ConfigurationStamp
    round_number: int


@dataclass(frozen=True, slots=True)
class ConfigurationPush:
    """Full content of both published lists of one publication."""

    stamp: ConfigurationStamp
    lists: bytes


@dataclass(frozen=True, slots=True)
class ConfigurationDelta:
    """Difference between two publications.

    Attributes:
        base: The publication to which the changes are applied.
        stamp: The publication that results.
        removed: Keys of the entries that `base` has and `stamp` lacks.
        changed: Entries that are new in `stamp` or differ from those in `base`.
    """

    base: ConfigurationStamp
    stamp: ConfigurationStamp
    removed: tuple[EntryKey, ...]
    changed: tuple[EntryText, ...]


ConfigurationFrame = (
    ConfigurationOffer | ConfigurationPull | ConfigurationPush | ConfigurationDelta
)
