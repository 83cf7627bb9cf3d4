"""The classes of equal priority in a group of routes, the most urgent first.

Load pattern: requests that are in flight while the operator changes the routes. Their
priority may have no class any more, so each priority has a rank, known or not. Hosts
that have different tables for a moment rank by their own.
"""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass

from lavendertide.routes.route import Route


@dataclass(frozen=True, slots=True)
class PriorityClasses:
    """The priorities of a group, each of them once, the most urgent first."""

    priorities: tuple[int, ...] = ()

    @classmethod
    def of(cls, routes: Iterable[Route]) -> "PriorityClasses":
        """Returns the classes of the routes of a group."""
        return cls(tuple(sorted({route.priority for route in routes})))

    def __len__(self) -> int:
        return len(self.priorities)

    def rank_of(self, priority: int) -> int:
        """Returns how many classes are more urgent than a priority.

        A priority without a class has the rank that its class would have.
        """
        return bisect_left(self.priorities, priority)

    def is_most_urgent(self, priority: int) -> bool:
        """Returns whether no class is more urgent than a priority."""
        return self.rank_of(priority) == 0
