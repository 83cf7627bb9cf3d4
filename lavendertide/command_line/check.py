"""The command `check`: nothing here needs a running daemon."""

from pathlib import Path

import click

from lavendertide.command_line import output
from lavendertide.configuration.rules import check_publication
from lavendertide.encodings.settings_yaml import read_options


@click.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
def check(file: Path) -> None:
    """Checks a settings FILE (YAML) or a FILE with both published lists (JSON)."""
    if file.suffix == ".json":
        output.or_exit(check_publication(file.read_bytes()))
    else:
        output.or_exit(read_options(file))
    click.echo(f"{file}: good")
