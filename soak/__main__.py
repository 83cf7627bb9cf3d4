"""Runs the soak test for several seeds, one after another."""

import json
from dataclasses import asdict
from pathlib import Path

import click

from soak.run import run_soak


@click.command()
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--seeds", default=1, show_default=True, help="How many seeds.")
@click.option(
    "--duration-s",
    default=12.0,
    show_default=True,
    help="Time in which faults begin, in seconds.",
)
@click.option("--logs", type=click.Path(path_type=Path), help="Folder for the logs.")
def main(first: int, seeds: int, duration_s: float, logs: Path | None) -> None:
    """Prints a line of JSON for each seed; fails if a guarantee was violated."""
    failed = 0
    for seed in range(first, first + seeds):
        folder = None if logs is None else logs / str(seed)
        finding = run_soak(seed, duration_s, folder)
        failed += bool(finding.broken)
        click.echo(json.dumps(asdict(finding)))
    if failed:
        raise click.ClickException(f"Trace the {failed} seeds with violations.")


if __name__ == "__main__":
    main()
