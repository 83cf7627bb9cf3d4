"""The command `report`: renders a measurement run as an HTML page."""

from pathlib import Path

import click
from returns.result import Failure, Result, Success

from lavendertide.command_line import output
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.reports.page import render_page
from lavendertide.reports.run import parse_run


@click.command()
@click.option(
    "--output",
    "-o",
    "page",
    required=True,
    type=click.Path(path_type=Path, dir_okay=False, writable=True),
    help="The HTML file to write.",
)
@click.argument("run", type=click.Path(path_type=Path, dir_okay=False))
def report(run: Path, page: Path) -> None:
    """Renders the measurement RUN (JSON lines) as one HTML page."""
    text = output.unwrap_or_exit(_read_run(run).bind(parse_run).bind(render_page))
    output.unwrap_or_exit(_write_page(page, text))
    click.echo(f"{page}: written")


def _read_run(path: Path) -> Result[str, Refusal]:
    try:
        return Success(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Failure(_file_problem(path, error))


def _write_page(path: Path, text: str) -> Result[None, Refusal]:
    try:
        path.write_text(text, encoding="utf-8")
    except OSError as error:
        return Failure(_file_problem(path, error))
    return Success(None)


def _file_problem(path: Path, error: Exception) -> Refusal:
    reason = error.strerror if isinstance(error, OSError) else "not UTF-8"
    return Refusal(
        RefusalKind.BAD_RUN,
        f"{path}: {reason}.",
        "Pass a run that can be read and a page that can be written.",
        Fault.CALLER,
    )
