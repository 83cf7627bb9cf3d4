"""Output formats and exit codes of all commands.

Exit codes: 0 success; 1 refused, partial, or not known to have run; 2 wrong usage or a
missing library; 3 no daemon could be reached; 130 interrupted. An error is one line on
standard error.
"""

import json
import signal
import sys
import time
from collections.abc import Sequence
from typing import Any, Final, NoReturn, TypeVar

import click
from pydantic import BaseModel
from returns.result import Failure, Result

from lavendertide.errors import Refusal, RefusalKind

EXIT_REFUSED: Final = 1
EXIT_USAGE: Final = 2
EXIT_UNREACHABLE: Final = 3
EXIT_INTERRUPTED: Final = 128 + signal.SIGINT
_EXIT_CODE_OF_KIND: Final = {
    RefusalKind.LIBRARY_MISSING: EXIT_USAGE,
    RefusalKind.UNREACHABLE: EXIT_UNREACHABLE,
}

T = TypeVar("T")


def unwrap_or_exit(result: Result[T, Refusal]) -> T:
    """Returns the value of a success; prints a refusal and exits with its code."""
    if isinstance(result, Failure):
        exit_with_refusal(result.failure())
    return result.unwrap()


def exit_with_refusal(refusal: Refusal) -> NoReturn:
    """Prints a refusal as one line on standard error and exits with its code."""
    text = " ".join(str(refusal).split())
    click.echo(f"lavendertide: {text}", err=True)
    sys.exit(exit_code_of(refusal))


def exit_code_of(refusal: Refusal) -> int:
    """Returns the exit code of a command that ended with a refusal."""
    return _EXIT_CODE_OF_KIND.get(refusal.kind, EXIT_REFUSED)


def show_json(document: BaseModel | dict[str, Any]) -> None:
    """Prints a document as JSON on one line, for programs."""
    if isinstance(document, BaseModel):
        click.echo(document.model_dump_json())
    else:
        click.echo(json.dumps(document))


def show_fields(fields: Sequence[tuple[str, object]]) -> None:
    """Prints pairs of a name and a value, one pair per line, with aligned values."""
    width = max(len(name) for name, _ in fields)
    for name, value in fields:
        click.echo(f"{name:<{width}}  {_format_value(value)}")


def show_table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Prints a table with aligned columns; numbers are aligned to the right."""
    cells = [[_format_value(value) for value in row] for row in rows]
    widths = [
        max(len(header), *(len(row[column]) for row in cells)) if cells else len(header)
        for column, header in enumerate(headers)
    ]
    click.echo(_format_row(headers, widths, [False] * len(headers)))
    for row, texts in zip(rows, cells, strict=True):
        are_numbers = [isinstance(value, int | float) for value in row]
        click.echo(_format_row(texts, widths, are_numbers))


def format_time(at_s: float | None) -> str:
    """Formats a time in UTC, for comparison with logs; returns `-` for none.

    Args:
        at_s: Seconds since the epoch.
    """
    if at_s is None:
        return "-"
    return time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(at_s))


def _format_row(
    texts: Sequence[str], widths: Sequence[int], are_numbers: Sequence[bool]
) -> str:
    padded = [
        text.rjust(width) if is_number else text.ljust(width)
        for text, width, is_number in zip(texts, widths, are_numbers, strict=True)
    ]
    return "  ".join(padded).rstrip()


def _format_value(value: object) -> str:
    match value:
        case None | "":
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:.2f}"
        case _:
            return str(value)
