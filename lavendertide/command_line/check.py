"""The commands `check` and `settings`: nothing here needs a running daemon."""

import sys
from pathlib import Path
from typing import Final

import click
from returns.result import Failure, Result, Success

from lavendertide.configuration.adoption import Configuration
from lavendertide.configuration.rules import check_publication
from lavendertide.encodings.settings_yaml import read_options
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.settings_reference import setting_rows

EXIT_REFUSED: Final = 1
LISTS_SUFFIX: Final = ".json"


@click.command()
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=Path, dir_okay=False)
)
def check(files: tuple[Path, ...]) -> None:
    """Checks settings FILES (YAML) and FILES with both published lists (JSON).

    The rules are those of the daemons. Every file is checked; the exit code is 1 if
    one is refused.
    """
    refused = False
    for file in files:
        match _check(file):
            case Success(summary):
                click.echo(f"{file}: good, {summary}")
            case Failure(refusal):
                refused = True
                click.echo(f"lavendertide: {refusal}", err=True)
    if refused:
        sys.exit(EXIT_REFUSED)


@click.command()
def settings() -> None:
    """Lists every key of the settings with its default and meaning."""
    for row in setting_rows():
        unit = f" {row.unit}" if row.unit else ""
        variant = f" (policy {row.variant})" if row.variant else ""
        click.echo(f"{row.path}: {row.default}{unit}{variant}")
        click.echo(f"    {row.meaning}")
        if row.bounds:
            click.echo(f"    {row.bounds}")


def _check(file: Path) -> Result[str, Refusal]:
    if file.suffix == LISTS_SUFFIX:
        return _check_lists(file)
    return read_options(file).map(
        lambda options: f"settings of daemon '{options.place.daemon}'"
    )


def _check_lists(file: Path) -> Result[str, Refusal]:
    try:
        text = file.read_bytes()
    except OSError as error:
        return Failure(_unreadable(file, error))
    return (
        check_publication(text)
        .map(
            lambda publication: (
                f"version {publication.plans.version} with "
                f"{len(publication.plans.plans)} plans, "
                f"{len(publication.uses.indexes)} indexes and "
                f"{len(publication.uses.uses)} uses, digest {_digest(text)}"
            )
        )
        .alt(lambda refusal: _with_file(file, refusal))
    )


def _digest(text: bytes) -> str:
    configuration = Configuration()
    configuration.adopt_text(text, 0.0)
    return configuration.stamp.digest.hex()


def _with_file(file: Path, refusal: Refusal) -> Refusal:
    message = f"{file}: {refusal.message}"
    return Refusal(refusal.kind, message, refusal.remedy, refusal.fault)


def _unreadable(file: Path, error: OSError) -> Refusal:
    return Refusal(
        RefusalKind.BAD_PUBLICATION,
        f"{file}: {error.strerror}.",
        "See whether it exists.",
        Fault.CALLER,
    )
