"""Finds the line numbers of the keys of a YAML document."""

from collections.abc import Iterator
from dataclasses import dataclass

import yaml

from lavendertide.settings_rules import KeyPath


@dataclass(frozen=True, slots=True)
class RepeatedKey:
    """A key that occurs twice in one mapping.

    Attributes:
        line: Line of the second occurrence, counted from 1.
    """

    key: str
    line: int


def line_of(root: yaml.Node | None, path: KeyPath) -> int:
    """Returns the line of a key, or of the last part of its path that exists.

    Lines are counted from 1. Parts of the path that are not keys, such as the variant
    of a policy, are skipped.
    """
    line = root.start_mark.line if root is not None else 0
    node = root
    for part in path:
        found = _child(node, part)
        if found is not None:
            line, node = found
    return line + 1


def siblings_of(root: yaml.Node | None, path: KeyPath) -> list[str]:
    """Returns all keys of the mapping in which a path ends."""
    node = root
    for part in path[:-1]:
        found = _child(node, part)
        if found is not None:
            node = found[1]
    if not isinstance(node, yaml.MappingNode):
        return []
    return [str(key.value) for key, _ in node.value]


def find_repeated_key(root: yaml.Node | None) -> RepeatedKey | None:
    """Returns the first key that occurs twice in its mapping.

    YAML parsers silently drop the first of two equal keys.
    """
    for mapping in _mappings(root):
        seen: set[str] = set()
        for key, _ in mapping.value:
            name = str(key.value)
            if name in seen:
                return RepeatedKey(name, key.start_mark.line + 1)
            seen.add(name)
    return None


def _child(node: yaml.Node | None, part: str | int) -> tuple[int, yaml.Node] | None:
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if str(key.value) == str(part):
                return key.start_mark.line, value
    if isinstance(node, yaml.SequenceNode) and part in range(len(node.value)):
        value = node.value[int(part)]
        return value.start_mark.line, value
    return None


def _mappings(root: yaml.Node | None) -> Iterator[yaml.MappingNode]:
    pending = [root] if root is not None else []
    visited: set[int] = set()
    while pending:
        node = pending.pop()
        if id(node) in visited:
            continue
        visited.add(id(node))
        if isinstance(node, yaml.MappingNode):
            yield node
            pending.extend(value for _, value in node.value)
        elif isinstance(node, yaml.SequenceNode):
            pending.extend(node.value)
