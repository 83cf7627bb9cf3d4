"""Places in the history of the platform's store.

Load pattern: none; every host compares what it reads from the store with what it and
its peers have read before.
"""

from dataclasses import dataclass
from typing import Final

from lavendertide.ids import StoreEra, StoreRevision

# Era of a store that names none, which precedes all eras that are named.
UNNAMED_ERA: Final = StoreEra(0)
# Peers are sent eras and revisions as signed 64-bit numbers.
NUMBER_MAX: Final = 2**63 - 1


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A place in the history of the store, ordered by era and then by revision.

    A store that is restored from an older copy begins another era, in which it gives
    out again the revisions that the copy lacks. So revisions of different eras say
    nothing about each other.

    Attributes:
        era: Line of revisions, which the store counts up with each restoration.
        revision: Revision within the era.
    """

    era: StoreEra
    revision: StoreRevision


def position_fields(position: Position) -> dict[str, int]:
    """Returns the fields by which log lines name a position."""
    return {"era": position.era, "revision": position.revision}


def check_number(number: object, name: str) -> int:
    """Returns an era or a revision that was read from outside this process.

    Args:
        number: The value as decoded.
        name: What it is, for the message.

    Raises:
        ValueError: It is no whole number from 0 to 2**63 - 1.
    """
    if isinstance(number, bool) or not isinstance(number, int):
        raise ValueError(f"the {name} is not a whole number")
    if not 0 <= number <= NUMBER_MAX:
        raise ValueError(f"the {name} is not from 0 to {NUMBER_MAX}")
    return number
