"""What hosts tell each other of targets, and how their slots change hands."""

from dataclasses import dataclass

from lavendertide.ids import ConfigurationVersion, DaemonId, ExchangeId, TargetId
from lavendertide.registry.record import TargetRecord


@dataclass(frozen=True, slots=True)
class StallNotices:
    """Targets that have stopped answering the sender, told to all linked peers."""

    targets: tuple[TargetId, ...]


@dataclass(frozen=True, slots=True)
class RegistryPull:
    """Asks a peer that reads the platform what has changed among the targets.

    Attributes:
        revision: What the sender knows already; zero for nothing.
    """

    exchange: ExchangeId
    revision: int


@dataclass(frozen=True, slots=True)
class RegistryPush:
    """Answers a registry pull.

    Attributes:
        revision: From where to ask on.
        is_full: Whether the records are all there are, not only the changed ones.
        is_current: Whether the sender itself hears from the platform; if not, the rest
            says nothing.
        routes_version: Version of the routes in force on the sender.
    """

    exchange: ExchangeId
    revision: int
    records: tuple[TargetRecord, ...]
    withdrawn: tuple[TargetId, ...]
    is_full: bool
    is_current: bool
    routes_version: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class SlotClaim:
    """One target whose slots a new primary wants from the former holder.

    Attributes:
        serial: Tells the claimant which of its claims a release answers.
    """

    target: TargetId
    serial: int


@dataclass(frozen=True, slots=True)
class SlotClaims:
    """Asks the former holder to say when it runs nothing on these targets."""

    sender: DaemonId
    items: tuple[SlotClaim, ...]


@dataclass(frozen=True, slots=True)
class SlotReleases:
    """Says that the sender runs nothing on these targets and will start nothing."""

    sender: DaemonId
    items: tuple[SlotClaim, ...]
