"""The entry point of the command-line tool `lavendertide`.

Each group of commands has its own module; `lavendertide.command_line.output` defines
the exit codes.
"""

import sys

import click

from lavendertide.command_line import callers, operators, output
from lavendertide.command_line.check import check, settings
from lavendertide.command_line.completion import completion
from lavendertide.command_line.explain import explain
from lavendertide.command_line.fleet import fleet
from lavendertide.command_line.missing import missing
from lavendertide.command_line.reports import report
from lavendertide.command_line.route import route


@click.group()
@click.version_option(package_name="lavendertide")
def commands() -> None:
    """Queries and operates a lavendertide fleet.

    Exit codes: 0 success; 1 refused, partial or not known to have run; 2 wrong usage or
    a missing library; 3 no daemon could be reached; 130 interrupted.
    """


for command in (
    callers.addresses,
    callers.query,
    callers.redeem,
    callers.outcome,
    operators.status,
    fleet,
    operators.configuration,
    operators.plan,
    operators.books,
    operators.targets,
    operators.drain,
    report,
    explain,
    missing,
    route,
    check,
    settings,
    completion,
):
    commands.add_command(command)


def main() -> None:
    """Runs the command line.

    Every error is printed as one line on standard error, never as a traceback.
    """
    try:
        sys.exit(commands(prog_name="lavendertide", standalone_mode=False))
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except click.Abort:
        click.echo("lavendertide: interrupted; a request may still run.", err=True)
        sys.exit(output.EXIT_INTERRUPTED)
    except OSError as error:
        click.echo(f"lavendertide: cannot write the output: {error}.", err=True)
        sys.exit(output.EXIT_REFUSED)
    except Exception as error:
        click.echo(
            f"lavendertide: internal error: {error!r}. Please report it.", err=True
        )
        sys.exit(output.EXIT_REFUSED)
