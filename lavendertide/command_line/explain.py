"""The command `explain`: shows the history of a request from the logs of hosts."""

import sys
from pathlib import Path

import click
from returns.result import Failure, Result, Success

from lavendertide.command_line import output
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.reports.timeline import build_timeline, format_line, parse_lines


@click.command()
@click.argument("request")
@click.argument("logs", type=click.Path(path_type=Path, dir_okay=False), nargs=-1)
def explain(request: str, logs: tuple[Path, ...]) -> None:
    """Shows the decisions of the hosts about REQUEST and the events behind them.

    LOGS are files with the standard output of one or more hosts. Without any, the log
    is read from standard input.
    """
    log_texts = [output.unwrap_or_exit(_read_log(path)) for path in logs] or [
        sys.stdin.read()
    ]
    lines = parse_lines(line for text in log_texts for line in text.splitlines())
    history = build_timeline(lines, request)
    if not history:
        output.exit_with_refusal(_unknown_request(request))
    start_s = next(
        line.at_s for line in history if line.details.get("request") == request
    )
    for line in history:
        click.echo(format_line(line, start_s))


def _read_log(path: Path) -> Result[str, Refusal]:
    try:
        return Success(path.read_text(encoding="utf-8", errors="replace"))
    except OSError as error:
        return Failure(
            Refusal(
                RefusalKind.BAD_RUN,
                f"{path} cannot be read: {error}.",
                "Pass files with the standard output of gateways.",
                Fault.CALLER,
            )
        )


def _unknown_request(request: str) -> Refusal:
    return Refusal(
        RefusalKind.NOT_FOUND,
        f"No log line names the request {request}.",
        "Pass the logs of all hosts; lines above the limit are dropped and counted.",
        Fault.CALLER,
    )
