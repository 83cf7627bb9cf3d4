"""Reference of all settings, generated from the docstrings of `options`.

`lavendertide settings` prints it; docs/SETTINGS.md and the examples are generated from
it.
"""

import inspect
import re
import types
import typing
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any, Final

from pydantic import BaseModel
from pydantic.fields import FieldInfo

from lavendertide.options import Options

UNITS: Final = {"_ms": "ms", "_s": "s", "_bytes": "bytes"}
BOUNDS: Final = {"ge": "at least", "gt": "above", "le": "at most", "lt": "below"}
REQUIRED: Final = "required"
NO_UNIT: Final = ""
_ATTRIBUTE: Final = re.compile(r"^    (\w+): (.*)$")


@dataclass(frozen=True, slots=True)
class SettingRow:
    """A key of the settings with its description.

    Attributes:
        path: The key with its sections, joined by dots.
        variant: The policy that the key belongs to; empty if it belongs to none.
        default: The default as YAML; `required` if there is none.
        bounds: The bounds on the value, in words.
        meaning: One sentence about the effect of the key.
        is_optional: Whether the section of the key may be omitted.
    """

    path: str
    variant: str
    unit: str
    default: str
    bounds: str
    meaning: str
    is_optional: bool = False


def setting_rows() -> list[SettingRow]:
    """Returns all keys in the order of a settings file."""
    return list(_rows_of(Options, "", ""))


def _rows_of(model: type[BaseModel], prefix: str, variant: str) -> Iterator[SettingRow]:
    meanings = _parse_meanings(model)
    for name, field in model.model_fields.items():
        path = f"{prefix}{name}"
        sections = _section_models(field.annotation)
        if len(sections) == 1:
            rows = _rows_of(sections[0], f"{path}.", variant)
            is_optional = not field.is_required() and field.default is None
            yield from (replace(row, is_optional=is_optional) for row in rows)
        elif sections:
            yield _policy_row(path, sections, field)
            for section in sections:
                yield from _variant_rows(section, f"{path}.")
        else:
            yield _setting_row(path, variant, field, meanings.get(name, ""))


def _variant_rows(section: type[BaseModel], prefix: str) -> Iterator[SettingRow]:
    variant = _policy_of(section)
    for row in _rows_of(section, prefix, variant):
        if row.path != f"{prefix}policy":
            yield row


def _policy_row(
    path: str, sections: list[type[BaseModel]], field: FieldInfo
) -> SettingRow:
    meanings = [f"`{_policy_of(s)}`: {_summary(s)}" for s in sections]
    return SettingRow(
        path=f"{path}.policy",
        variant="",
        unit=NO_UNIT,
        default=_policy_of(type(field.default)),
        bounds="one of " + ", ".join(_policy_of(section) for section in sections),
        meaning=" ".join(meanings),
    )


def _setting_row(path: str, variant: str, field: FieldInfo, meaning: str) -> SettingRow:
    name = path.rsplit(".", 1)[-1]
    if name == "policy":
        meaning = "Names the policy of the section; there is only this one."
    return SettingRow(
        path=path,
        variant=variant,
        unit=_unit_of(name),
        default=REQUIRED if field.is_required() else _to_yaml(field.default),
        bounds=_describe_bounds(field),
        meaning=meaning,
    )


def _section_models(annotation: Any) -> list[type[BaseModel]]:
    if typing.get_origin(annotation) is typing.Annotated:
        return _section_models(typing.get_args(annotation)[0])
    if typing.get_origin(annotation) in (types.UnionType, typing.Union):
        return [
            s for part in typing.get_args(annotation) for s in _section_models(part)
        ]
    if inspect.isclass(annotation) and issubclass(annotation, BaseModel):
        return [annotation]
    return []


def _policy_of(section: type[BaseModel]) -> str:
    return str(section.model_fields["policy"].default)


def _summary(section: type[BaseModel]) -> str:
    return inspect.getdoc(section).split("\n\n")[0].replace("\n", " ")  # type: ignore[union-attr]


def _parse_meanings(model: type[BaseModel]) -> dict[str, str]:
    """Parses the descriptions of keys from the docstring of a section."""
    _, _, attributes = (inspect.getdoc(model) or "").partition("Attributes:\n")
    meanings: dict[str, str] = {}
    name = ""
    for line in attributes.splitlines():
        found = _ATTRIBUTE.match(line)
        if found is not None:
            name = found[1]
            meanings[name] = found[2]
        elif name and line.strip():
            meanings[name] += f" {line.strip()}"
    return meanings


def _unit_of(name: str) -> str:
    for suffix, unit in UNITS.items():
        if name.endswith(suffix):
            return unit
    return NO_UNIT


def _to_yaml(value: Any) -> str:
    if isinstance(value, tuple):
        return f"[{', '.join(str(item) for item in value)}]"
    if isinstance(value, bool):
        return str(value).lower()
    return "null" if value is None else str(value)


def _describe_bounds(field: FieldInfo) -> str:
    words = []
    for constraint in field.metadata:
        for attribute, word in BOUNDS.items():
            bound = getattr(constraint, attribute, None)
            if bound is not None:
                words.append(f"{word} {bound:g}" if bound < 1e6 else f"{word} {bound}")
        shortest = getattr(constraint, "min_length", None)
        if shortest is not None:
            words.append(f"at least {shortest} characters")
    return ", ".join(words)
