"""The capacities of all keys in this process.

A key identifies the work that shares a limit, such as a route.
"""

import random
from collections.abc import Collection, Hashable
from typing import Generic, TypeVar

from lavendertide.overload.capacity import Capacity

Key = TypeVar("Key", bound=Hashable)


class Capacities(Generic[Key]):
    """Holds one capacity for each key.

    Memory is bounded by the number of keys that are requested and not removed by
    `retain_only`.
    """

    def __init__(self, generator: random.Random, onset_pressure: float) -> None:
        """Starts without any capacity.

        Args:
            generator: Random numbers by which a fractional limit is rounded.
            onset_pressure: Pressure above which a key without a limit receives one.
                Pressure is the queueing time divided by the allowed queueing time.
        """
        self._random = generator
        self._onset_pressure = onset_pressure
        self._by_key: dict[Key, Capacity] = {}

    def capacity_of(self, key: Key, now_s: float) -> Capacity:
        """Returns the capacity of a key; a new one starts without a limit."""
        capacity = self._by_key.get(key)
        if capacity is None:
            capacity = Capacity(self._random, self._onset_pressure, now_s)
            self._by_key[key] = capacity
        return capacity

    @property
    def known(self) -> dict[Key, Capacity]:
        """The capacities that were requested before, by key."""
        return self._by_key.copy()

    def retain_only(self, retained: Collection[Key]) -> None:
        """Removes the capacities of all other keys; their permits stay valid."""
        for key in self._by_key.keys() - set(retained):
            del self._by_key[key]
