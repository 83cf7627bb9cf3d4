"""The command that explains a request from the logs of the hosts."""

import sys
from typing import TextIO

import click

from lavendertide.command_line import output
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.reports.timeline import describe, parse_lines, timeline


@click.command()
@click.argument("request")
@click.argument("logs", type=click.File("r"), nargs=-1)
def explain(request: str, logs: tuple[TextIO, ...]) -> None:
    """Shows what the hosts decided about REQUEST and what that rested on.

    LOGS are files with the standard output of one or more hosts; standard input is read
    if there are none.
    """
    files = logs or (sys.stdin,)
    lines = parse_lines(text for file in files for text in file)
    found = timeline(lines, request)
    if not found:
        output.fail(_unknown(request))
    began_s = next(
        line.at_s for line in found if line.details.get("request") == request
    )
    for line in found:
        click.echo(describe(line, began_s))


def _unknown(request: str) -> Refusal:
    return Refusal(
        RefusalKind.NOT_FOUND,
        f"No line names the request {request}.",
        "Give the logs of all hosts; lines over the bound are counted as dropped.",
        Fault.CALLER,
    )
