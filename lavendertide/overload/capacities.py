"""The capacities of all uses, as this process sees them."""

import random
from collections.abc import Collection, Hashable
from typing import Generic, TypeVar

from lavendertide.overload.capacity import Capacity

Key = TypeVar("Key", bound=Hashable)


class Capacities(Generic[Key]):
    """One capacity for each use.

    Memory is bounded by the uses that the caller names and does not drop.
    """

    def __init__(self, generator: random.Random, onset_pressure: float) -> None:
        """Starts without any use.

        Args:
            generator: Decides how a fraction of a search is rounded.
            onset_pressure: Queueing of most searches, over what it may be, above which
                a use without a limit gets one.
        """
        self._random = generator
        self._onset_pressure = onset_pressure
        self._by_key: dict[Key, Capacity] = {}

    def capacity_of(self, key: Key, now_s: float) -> Capacity:
        """Returns the capacity of a use, which begins without a limit."""
        capacity = self._by_key.get(key)
        if capacity is None:
            capacity = Capacity(self._random, self._onset_pressure, now_s)
            self._by_key[key] = capacity
        return capacity

    def retain_only(self, retained: Collection[Key]) -> None:
        """Forgets all other uses; permits of theirs stay valid."""
        for key in self._by_key.keys() - set(retained):
            del self._by_key[key]
