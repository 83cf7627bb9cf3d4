"""The daemon's command line: one argument, the settings file."""

import logging
import sys
from pathlib import Path

import click
from returns.result import Failure, Success

from lavendertide.daemon.daemon import Daemon
from lavendertide.encodings.settings_yaml import read_options

EXIT_BAD_SETTINGS = 2


@click.command()
@click.argument("settings", type=click.Path(path_type=Path))
def main(settings: Path) -> None:
    """Runs one daemon of the fleet with the given SETTINGS file."""
    match read_options(settings):
        case Success(options):
            logging.basicConfig(level=logging.INFO)
            Daemon(options).run()
        case Failure(refusal):
            click.echo(f"lavendertided: {refusal}", err=True)
            sys.exit(EXIT_BAD_SETTINGS)
