"""Messages between hosts about targets: stalls, the registry, and slot handover."""

from dataclasses import dataclass

from lavendertide.evacuation.evacuated_domains import Evacuation
from lavendertide.ids import ConfigurationVersion, DaemonId, ExchangeId, TargetId
from lavendertide.overload.capacity_sharing import CapacityObservation
from lavendertide.overload.shared_overload import OverloadObservation
from lavendertide.registry.record import TargetRecord, TargetRun
from lavendertide.restoration.position import Position
from lavendertide.warmup.grant_requests import ColdGrant


@dataclass(frozen=True, slots=True)
class StallNotices:
    """Broadcast of targets that have stopped replying to the sender.

    Sent to all connected peers.
    """

    targets: tuple[TargetId, ...]


@dataclass(frozen=True, slots=True)
class LeavingNotices:
    """Broadcast of targets that are leaving although they are published as ready.

    Sent to all connected peers, which pass on what is new to them.
    """

    runs: tuple[TargetRun, ...]


@dataclass(frozen=True, slots=True)
class EvacuationNotices:
    """Broadcast of failure domains whose evacuation has begun or ended.

    Sent to all connected peers, which pass on what is new to them.
    """

    states: tuple[Evacuation, ...]


@dataclass(frozen=True, slots=True)
class CapacityNotices:
    """What the sender has itself observed of targets that deviate from usual.

    Sent to linked peers that are advertised to callers, which don't pass it on.
    """

    items: tuple[CapacityObservation, ...]


@dataclass(frozen=True, slots=True)
class ColdGrants:
    """Wishes for requests to cold targets, or gifts of them, to one peer."""

    items: tuple[ColdGrant, ...]


@dataclass(frozen=True, slots=True)
class OverloadNotices:
    """What the sender's own requests show about the queues of their targets.

    Sent to a few peers that are advertised to callers, which don't pass it on.
    """

    items: tuple[OverloadObservation, ...]


@dataclass(frozen=True, slots=True)
class RegistryPull:
    """Requests changed target records from a peer that reads the platform.

    Attributes:
        position: Place up to which the sender knows all changes; none if it requests
            everything.
    """

    exchange: ExchangeId
    position: Position | None


@dataclass(frozen=True, slots=True)
class RegistryPush:
    """Reply to a registry pull.

    Attributes:
        position: Place to send with the next pull.
        withdrawn: Targets that were removed since the pull's position.
        is_full: Whether `records` lists all targets and not only the changed ones. It
            is empty if the changes since the pull's position were discarded.
        is_current: Whether the sender's own reads from the platform succeed; if not,
            the other fields carry no information.
        routes_version: Version of the routes in force on the sender.
        evacuations: All failure domains whose evacuation the sender knows, complete as
            of `position`; none if it has not read as far as that, or runs a release
            without evacuations.
    """

    exchange: ExchangeId
    position: Position
    records: tuple[TargetRecord, ...]
    withdrawn: tuple[TargetId, ...]
    is_full: bool
    is_current: bool
    routes_version: ConfigurationVersion
    evacuations: tuple[Evacuation, ...] | None = None


@dataclass(frozen=True, slots=True)
class SlotClaim:
    """Claim of a new primary to the slots of one target of the previous holder.

    Attributes:
        serial: Number by which the claimant matches a release to its claim.
    """

    target: TargetId
    serial: int


@dataclass(frozen=True, slots=True)
class SlotClaims:
    """Requests releases from the previous holder, as soon as it runs nothing there."""

    sender: DaemonId
    items: tuple[SlotClaim, ...]


@dataclass(frozen=True, slots=True)
class SlotReleases:
    """Confirms that the sender runs nothing on these targets and will start nothing."""

    sender: DaemonId
    items: tuple[SlotClaim, ...]
