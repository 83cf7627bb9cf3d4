"""The daemon's command line: one argument, the settings file."""

import sys
from pathlib import Path

import click
from returns.result import Failure, Success

from lavendertide.daemon.daemon import Daemon
from lavendertide.encodings.settings_yaml import read_options
from lavendertide.ids import DaemonId
from lavendertide.logs import set_up_logs
from lavendertide.runtime.large_blocks import map_large_blocks

EXIT_BAD_SETTINGS = 2


@click.command()
@click.argument("settings", type=click.Path(path_type=Path))
def main(settings: Path) -> None:
    """Runs one daemon of the fleet with the given SETTINGS file."""
    map_large_blocks()
    match read_options(settings):
        case Success(options):
            set_up_logs(options.logs, DaemonId(options.place.daemon))
            Daemon(options).run()
        case Failure(refusal):
            click.echo(f"lavendertided: {refusal}", err=True)
            sys.exit(EXIT_BAD_SETTINGS)
