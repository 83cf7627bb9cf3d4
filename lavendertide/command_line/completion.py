"""The command `completion`: prints a shell's completion script."""

from typing import Final

import click
from click.shell_completion import ShellComplete, get_completion_class

PROGRAM: Final = "lavendertide"
COMPLETION_VARIABLE: Final = "_LAVENDERTIDE_COMPLETE"


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Prints the completion script for SHELL."""
    completion_class = get_completion_class(shell)
    if completion_class is None:
        raise click.UsageError(f"Completion does not support {shell}.")
    completer = completion_class(
        context.find_root().command, {}, PROGRAM, COMPLETION_VARIABLE
    )
    # `BashComplete.source` starts bash to check its version; the base class does not.
    click.echo(ShellComplete.source(completer))
