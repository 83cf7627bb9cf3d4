"""Labels with a bounded number of values, so that the number of series is bounded."""

from collections.abc import Callable
from typing import Final, Generic, TypeVar

OTHER: Final = "other"
OWNERS_MAX: Final = 32
CLASSES_MAX: Final = 64
INDEXES_MAX: Final = 64

C = TypeVar("C")


class BoundedLabel:
    """Maps the values of a label above a bound to `other`.

    The first values keep their own names, for as long as the process runs.

    Args:
        max_values: How many values keep their own names.
    """

    def __init__(self, max_values: int) -> None:
        self._max_values = max_values
        self._values: set[str] = set()

    def value(self, name: str) -> str:
        """Returns the name itself, or `other` if it is new and the bound is reached."""
        if name in self._values:
            return name
        if len(self._values) >= self._max_values:
            return OTHER
        self._values.add(name)
        return name


class Children(Generic[C]):
    """Caches the children of one metric by their label values.

    Args:
        make_child: Creates the child for label values, such as `Counter.labels`.
    """

    def __init__(self, make_child: Callable[..., C]) -> None:
        self._make_child = make_child
        self._children: dict[tuple[str, ...], C] = {}

    def child_of(self, *values: str) -> C:
        """Returns the child for label values and creates it on first use."""
        child = self._children.get(values)
        if child is None:
            child = self._make_child(*values)
            self._children[values] = child
        return child
