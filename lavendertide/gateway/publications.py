"""What is read from the platform, and the reader that the follower needs."""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from lavendertide.errors import Refusal
from lavendertide.evacuation.evacuated_domains import Evacuation
from lavendertide.ids import StoreEra, TargetId
from lavendertide.registry.record import TargetRecord
from lavendertide.restoration.position import Position
from lavendertide.routes.table import RouteTable


@dataclass(frozen=True, slots=True)
class RoutesPublished:
    """The newest route table."""

    table: RouteTable


@dataclass(frozen=True, slots=True)
class TargetPublished:
    """The newest entry of a target."""

    record: TargetRecord


@dataclass(frozen=True, slots=True)
class TargetWithdrawn:
    """A target was unregistered, or its entry is not usable."""

    target: TargetId


@dataclass(frozen=True, slots=True)
class EvacuationPublished:
    """The operator has ordered or ended the evacuation of a failure domain."""

    state: Evacuation


Publication = RoutesPublished | TargetPublished | TargetWithdrawn | EvacuationPublished


@dataclass(frozen=True, slots=True)
class PublicationBatch:
    """The publications of one read.

    Attributes:
        publications: In the order in which they were published.
        position: Place after which the next read continues.
        is_from_peer: Whether a peer sent it, which may itself be behind.
        evacuations: All known evacuations, complete as of `position`; none if the batch
            has at most changes of them.
        is_complete: Whether it has everything that is published, and not changes.
    """

    publications: tuple[Publication, ...]
    position: Position
    is_from_peer: bool = False
    evacuations: tuple[Evacuation, ...] | None = None
    is_complete: bool = False


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The changes since a position can't be read any more; everything must be read.

    The platform has discarded them, they are too many for one read, or the platform's
    store was restored from an older copy.

    Attributes:
        era: Era of the answer, which is not the position's if the store was restored.
    """

    era: StoreEra


class PlatformReader(Protocol):
    """Reads what the platform publishes.

    `lavendertide.platform` implements it.
    """

    def read_all(self) -> Result[PublicationBatch, Refusal]:
        """Returns everything that is published."""

    def read_changes(
        self, position: Position
    ) -> Result[PublicationBatch | HistoryLost, Refusal]:
        """Returns the changes since a position; waits for some if there are none.

        The wait is bounded, so the result may be empty.
        """
