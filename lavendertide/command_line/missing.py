"""The command `missing`: counts the shards that searches left out, from logs."""

from pathlib import Path

import click
from returns.result import Failure, Result, Success

from lavendertide.command_line import output, parameters
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.reports.missing import MissingShards


@click.command()
@click.argument(
    "logs",
    metavar="FILE...",
    type=click.Path(path_type=Path, dir_okay=False),
    nargs=-1,
    required=True,
)
@click.option(
    "--outcome", help="Count only requests that ended with this outcome: `partial`."
)
@parameters.as_json
def missing(logs: tuple[Path, ...], outcome: str | None, as_json: bool) -> None:
    """Counts why shards are missing in the responses to searches.

    FILE is the standard output of a gateway; several files are added up.
    """
    counts = MissingShards()
    for path in logs:
        output.unwrap_or_exit(_read(path, counts, outcome))
    if as_json:
        output.show_json(counts.to_json())
    else:
        _show(counts)


def _read(
    path: Path, counts: MissingShards, outcome: str | None
) -> Result[None, Refusal]:
    try:
        with path.open(encoding="utf-8", errors="replace") as lines:
            counts.read(lines, outcome)
    except OSError as error:
        return Failure(
            Refusal(
                RefusalKind.BAD_RUN,
                f"{path} cannot be read: {error}.",
                "Pass files with the standard output of gateways.",
                Fault.CALLER,
            )
        )
    return Success(None)


def _show(counts: MissingShards) -> None:
    total = counts.total
    output.show_fields(
        [
            ("requests", total.requests),
            ("with missing shards", total.incomplete),
            ("missing shards", total.shards.total()),
            ("lines dropped by hosts", counts.dropped_lines),
        ]
    )
    click.echo()
    causes = [
        [cause, shards, shards / total.shards.total(), total.searches[cause]]
        for cause, shards in total.shards.most_common()
    ]
    output.show_table(["cause", "shards", "share", "searches"], causes)
    click.echo()
    by_route = [
        [name, each.requests, each.incomplete, cause, shards, each.searches[cause]]
        for name, each in sorted(counts.routes.items())
        for cause, shards in each.shards.most_common() or [("", 0)]
    ]
    headers = ["route", "requests", "incomplete", "cause", "shards", "searches"]
    output.show_table(headers, by_route)
