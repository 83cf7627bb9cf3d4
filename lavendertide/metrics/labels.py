"""Bounds how many values a label takes; those above the bound are `other`."""

from collections.abc import Callable
from typing import Final, Generic, TypeVar

OTHER: Final = "other"
OWNERS_MAX: Final = 32
CLASSES_MAX: Final = 64
INDEXES_MAX: Final = 64

C = TypeVar("C")


class BoundedLabel:
    """A label's values, first come first kept."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._values: set[str] = set()

    def value(self, name: str) -> str:
        """Returns the name itself, or `other` once there are too many."""
        if name in self._values:
            return name
        if len(self._values) >= self._most:
            return OTHER
        self._values.add(name)
        return name


class Children(Generic[C]):
    """The children of one metric, looked up once for each set of label values.

    Args:
        make: Returns the child for label values.
    """

    def __init__(self, make: Callable[..., C]) -> None:
        self._make = make
        self._children: dict[tuple[str, ...], C] = {}

    def child_of(self, *values: str) -> C:
        """Returns the child for label values."""
        child = self._children.get(values)
        if child is None:
            child = self._make(*values)
            self._children[values] = child
        return child
