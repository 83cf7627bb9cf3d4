"""How a publication spreads between hosts."""

from dataclasses import dataclass
from enum import Enum

from lavendertide.ids import ConfigurationDigest, ConfigurationVersion, EntryKey


class EntryKind(Enum):
    """What an entry of the published lists describes."""

    PLAN = "plan"
    INDEX = "index"
    ENTITLEMENT = "use"


@dataclass(frozen=True, slots=True)
class EntryText:
    """An entry of the published lists as canonical JSON."""

    kind: EntryKind
    text: bytes


@dataclass(frozen=True, slots=True, order=True)
class ConfigurationStamp:
    """Which publication is meant; the greater stamp is the one to adopt.

    Of two publications with the same version the one with the greater digest counts,
    so that daemons that have read different ones settle on the same.
    """

    version: ConfigurationVersion
    digest: ConfigurationDigest


@dataclass(frozen=True, slots=True)
class ConfigurationRefusal:
    """A publication that a daemon has refused, as it tells its peers.

    Attributes:
        over_version: The version that stayed in force.
        stamp: The refused publication; version zero if none could be read.
    """

    over_version: ConfigurationVersion
    stamp: ConfigurationStamp
    message: str
    remedy: str


@dataclass(frozen=True, slots=True)
class ConfigurationOffer:
    """Says which publication is in force on the sender.

    Attributes:
        round_number: Number of the pull that it answers, zero if it answers none.
        is_confirmed: Whether the sender has itself asked its peers since it started
            or woke.
        refusal: The newest publication that was refused since, if any.
    """

    round_number: int
    stamp: ConfigurationStamp
    is_confirmed: bool
    refusal: ConfigurationRefusal | None


@dataclass(frozen=True, slots=True)
class ConfigurationPull:
    """Asks a peer for what has changed since a publication.

    Attributes:
        round_number: Number that an offer in answer repeats.
    """

    known: ConfigurationStamp
    round_number: int


@dataclass(frozen=True, slots=True)
class ConfigurationPush:
    """Both published lists of one version as a whole."""

    stamp: ConfigurationStamp
    lists: bytes


@dataclass(frozen=True, slots=True)
class ConfigurationDelta:
    """What has changed between two publications.

    Attributes:
        base: The publication that the changes are applied to.
        stamp: The publication that results.
    """

    base: ConfigurationStamp
    stamp: ConfigurationStamp
    removed: tuple[EntryKey, ...]
    changed: tuple[EntryText, ...]


ConfigurationFrame = (
    ConfigurationOffer | ConfigurationPull | ConfigurationPush | ConfigurationDelta
)
