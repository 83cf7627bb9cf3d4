"""Reads YAML settings files and validates them against `lavendertide.options`.

A refusal names the file, the line of the invalid key and the remedy.
"""

import difflib
import json
from pathlib import Path
from typing import Any, Final

import yaml
from pydantic import ValidationError
from pydantic_core import ErrorDetails
from returns.result import Failure, Result, Success

from lavendertide.encodings.yaml_lines import find_repeated_key, line_of, siblings_of
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.options import Options
from lavendertide.settings_rules import KeyPath, contradictions

FILE_MAX_BYTES: Final = 256 * 1024
UNITS: Final = {"_ms": "milliseconds", "_s": "seconds", "_bytes": "bytes"}
REFERENCE: Final = "docs/SETTINGS.md lists every key."


def read_options(path: Path) -> Result[Options, Refusal]:
    """Reads and validates a settings file."""
    try:
        data = path.read_bytes()
    except OSError as error:
        return Failure(_refusal(f"{path}: {error.strerror}.", "Check that it exists."))
    return parse_options(data, str(path))


def parse_options(data: bytes, name: str) -> Result[Options, Refusal]:
    """Parses and validates settings.

    Args:
        data: YAML in UTF-8.
        name: Name of the file in refusals.
    """
    if len(data) > FILE_MAX_BYTES:
        problem = f"{name}: more than {FILE_MAX_BYTES} bytes."
        return Failure(_refusal(problem, "Use the path of a settings file."))
    try:
        text = data.decode("utf-8")
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        document = yaml.safe_load(text)
    except yaml.MarkedYAMLError as error:
        return Failure(_refuse_syntax(name, error))
    except (ValueError, yaml.YAMLError, RecursionError) as error:
        problem = f"{name}: not YAML: {_one_line(error)}."
        return Failure(_refusal(problem, "Write YAML in UTF-8."))
    repeated = find_repeated_key(root)
    if repeated is not None:
        problem = f"{name}:{repeated.line}: '{repeated.key}' appears 2 times."
        return Failure(_refusal(problem, "Keep one of them."))
    return _check(document, root, name)


def _check(
    document: Any, root: yaml.Node | None, name: str
) -> Result[Options, Refusal]:
    try:
        options = Options.model_validate_json(json.dumps(document, default=str))
    except ValidationError as error:
        return Failure(_refuse_error(_select_error(error), root, name))
    except (ValueError, TypeError, RecursionError) as error:
        problem_text = f"{name}: not settings: {_one_line(error)}."
        return Failure(_refusal(problem_text, REFERENCE))
    for found in contradictions(options):
        location = _location(name, root, found.path)
        return Failure(_refusal(f"{location}: {found.message}", found.remedy))
    return Success(options)


def _select_error(error: ValidationError) -> ErrorDetails:
    """Returns the error to report: an unknown key before all others.

    A misspelt key is reported by pydantic as missing, too.
    """
    problems = error.errors(include_url=False, include_input=False)
    unknown = [each for each in problems if each["type"] == "extra_forbidden"]
    return (unknown or problems)[0]


def _refuse_error(problem: ErrorDetails, root: yaml.Node | None, name: str) -> Refusal:
    path = problem["loc"]
    location = _location(name, root, path)
    match problem["type"]:
        case "extra_forbidden":
            remedy = _remedy_for_unknown(root, path)
            return _refusal(f"{location}: there is no such key.", remedy)
        case "missing":
            return _refusal(f"{location}: the key is missing.", f"Add it; {REFERENCE}")
        case _:
            return _refusal(f"{location}: {problem['msg']}.", _remedy_for_value(path))


def _location(name: str, root: yaml.Node | None, path: KeyPath) -> str:
    dotted = ".".join(str(part) for part in path) or "the file"
    return f"{name}:{line_of(root, path)}: {dotted}"


def _remedy_for_unknown(root: yaml.Node | None, path: KeyPath) -> str:
    known = [key for key in _valid_keys(path) if key not in siblings_of(root, path)]
    unknown_key = str(path[-1])
    stem = unknown_key.rsplit("_", 1)[0]
    similar = [key for key in known if key.rsplit("_", 1)[0] == stem]
    similar = similar or difflib.get_close_matches(unknown_key, known, n=1)
    if similar:
        return f"Write '{similar[0]}'{_unit(similar[0])} or remove the key."
    return f"Remove the key; {REFERENCE}"


def _remedy_for_value(path: KeyPath) -> str:
    if not path:
        return f"Write the sections of a daemon's settings; {REFERENCE}"
    key = str(path[-1])
    unit = _unit(key)
    if unit:
        return f"Write a plain number{unit}; docs/SETTINGS.md has the bounds."
    return f"Change the value; {REFERENCE}"


def _unit(key: str) -> str:
    for suffix, unit in UNITS.items():
        if key.endswith(suffix):
            return f" ({unit})"
    return ""


def _valid_keys(path: KeyPath) -> list[str]:
    """Returns the valid keys of the section in which a path ends."""
    schema = Options.model_json_schema()
    section = schema
    for part in path[:-1]:
        section = _resolve(
            section.get("properties", {}).get(part, section), schema, part
        )
    return list(section.get("properties", {}))


def _resolve(
    section: dict[str, Any], schema: dict[str, Any], part: str | int
) -> dict[str, Any]:
    if "discriminator" in section and part in section["discriminator"]["mapping"]:
        section = {"$ref": section["discriminator"]["mapping"][part]}
    reference = section.get("$ref")
    if reference is None:
        return section
    found: dict[str, Any] = schema["$defs"][reference.rsplit("/", 1)[-1]]
    return found


def _refuse_syntax(name: str, error: yaml.MarkedYAMLError) -> Refusal:
    line = error.problem_mark.line + 1 if error.problem_mark is not None else 1
    problem = error.problem or "it cannot be read"
    return _refusal(
        f"{name}:{line}: not YAML: {problem}.", "Fix this line or the one above it."
    )


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())


def _refusal(problem: str, remedy: str) -> Refusal:
    return Refusal(RefusalKind.BAD_SETTINGS, problem, remedy, Fault.CALLER)
