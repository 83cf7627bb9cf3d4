"""The commands `check` and `settings`, which need no running daemon."""

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
PUBLICATION_SUFFIX: Final = ".json"


@click.command()
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=Path, dir_okay=False)
)
def check(files: tuple[Path, ...]) -> None:
    """Checks FILES with settings (YAML) or with a publication (JSON).

    The rules are those that the daemons apply. Every file is checked, also after one
    was refused; the exit code is 1 if any file is refused.
    """
    refused = False
    for file in files:
        match _check_file(file):
            case Success(summary):
                click.echo(f"{file}: good, {summary}")
            case Failure(refusal):
                refused = True
                click.echo(f"lavendertide: {refusal}", err=True)
    if refused:
        sys.exit(EXIT_REFUSED)


@click.command()
def settings() -> None:
    """Lists every key of the settings file with its default and meaning."""
    for row in setting_rows():
        unit = f" {row.unit}" if row.unit else ""
        variant = f" (policy {row.variant})" if row.variant else ""
        click.echo(f"{row.path}: {row.default}{unit}{variant}")
        click.echo(f"    {row.meaning}")
        if row.bounds:
            click.echo(f"    {row.bounds}")


def _check_file(file: Path) -> Result[str, Refusal]:
    if file.suffix == PUBLICATION_SUFFIX:
        return _check_publication(file)
    return read_options(file).map(
        lambda options: f"settings of daemon '{options.place.daemon}'"
    )


def _check_publication(file: Path) -> Result[str, Refusal]:
    try:
        text = file.read_bytes()
    except OSError as error:
        return Failure(_unreadable_file(file, error))
    return (
        check_publication(text)
        .map(
            lambda publication: (
                f"version {publication.plans.version} with "
                f"{len(publication.plans.plans)} plans, "
                f"{len(publication.uses.indexes)} indexes and "
                f"{len(publication.uses.uses)} uses, digest {_compute_digest(text)}"
            )
        )
        .alt(lambda refusal: _add_file_name(file, refusal))
    )


def _compute_digest(text: bytes) -> str:
    configuration = Configuration()
    configuration.adopt_text(text, 0.0)
    return configuration.stamp.digest.hex()


def _add_file_name(file: Path, refusal: Refusal) -> Refusal:
    message = f"{file}: {refusal.message}"
    return Refusal(refusal.kind, message, refusal.remedy, refusal.fault)


def _unreadable_file(file: Path, error: OSError) -> Refusal:
    return Refusal(
        RefusalKind.BAD_PUBLICATION,
        f"{file}: {error.strerror}.",
        "Check that the file exists and can be read.",
        Fault.CALLER,
    )
