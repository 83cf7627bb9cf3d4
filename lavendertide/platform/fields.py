"""Reads typed fields of the platform's JSON documents.

Documents may be written by others than the operators' own tools. A field of the wrong
type or outside its range raises `ValueError`, so that the reader refuses its document
and nothing else.
"""

import math
from typing import Any


def text_field(document: dict[str, Any], field: str) -> str:
    """Returns a field that is a non-empty text.

    Raises:
        ValueError: The field is missing or not such a text.
    """
    value = document.get(field)
    if not isinstance(value, str) or not value:
        raise ValueError(f"{field} is not a text")
    return value


def whole_number(value: Any, name: str, least: int, greatest: int) -> int:
    """Returns a value that is a whole number within a range.

    Raises:
        ValueError: The value is no such number.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{name} is not a whole number")
    if not least <= value <= greatest:
        raise ValueError(f"{name} is not from {least} to {greatest}")
    return value


def number(value: Any, name: str, least: float, greatest: float) -> float:
    """Returns a value that is a finite number within a range.

    Raises:
        ValueError: The value is no such number.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} is not a number")
    if not least <= value <= greatest or not math.isfinite(value):
        raise ValueError(f"{name} is not from {least:g} to {greatest:g}")
    return float(value)


def list_field(document: dict[str, Any], field: str) -> list[Any]:
    """Returns a field that is a list.

    Raises:
        ValueError: The field is missing or not a list.
    """
    value = document.get(field)
    if not isinstance(value, list):
        raise ValueError(f"{field} is not a list")
    return value
