"""The command that explains a request from the logs of the hosts."""

import sys
from pathlib import Path

import click
from returns.result import Failure, Result, Success

from lavendertide.command_line import output
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.reports.timeline import describe, parse_lines, timeline


@click.command()
@click.argument("request")
@click.argument("logs", type=click.Path(path_type=Path, dir_okay=False), nargs=-1)
def explain(request: str, logs: tuple[Path, ...]) -> None:
    """Shows what the hosts decided about REQUEST and what that rested on.

    LOGS are files with the standard output of one or more hosts; standard input is read
    if there are none.
    """
    texts = [output.or_exit(_read(path)) for path in logs] or [sys.stdin.read()]
    lines = parse_lines(line for text in texts for line in text.splitlines())
    found = timeline(lines, request)
    if not found:
        output.fail(_unknown(request))
    began_s = next(
        line.at_s for line in found if line.details.get("request") == request
    )
    for line in found:
        click.echo(describe(line, began_s))


def _read(path: Path) -> Result[str, Refusal]:
    try:
        return Success(path.read_text(encoding="utf-8", errors="replace"))
    except OSError as error:
        return Failure(
            Refusal(
                RefusalKind.BAD_RUN,
                f"{path} cannot be read: {error}.",
                "Name files with the standard output of gateways.",
                Fault.CALLER,
            )
        )


def _unknown(request: str) -> Refusal:
    return Refusal(
        RefusalKind.NOT_FOUND,
        f"No line names the request {request}.",
        "Give the logs of all hosts; lines over the bound are counted as dropped.",
        Fault.CALLER,
    )
