"""The commands for callers: `addresses`, `query`, `redeem` and `outcome`."""

import sys
import time
from typing import Any

import click
from returns.result import Failure

from lavendertide.caller_client import CallerClient
from lavendertide.command_line import output, parameters
from lavendertide.errors import Refusal, RefusalKind


@click.command()
@parameters.hosts
@parameters.caller_key
@parameters.as_json
def addresses(hosts: tuple[str, ...], key: str, as_json: bool) -> None:
    """Lists the addresses that a caller should use, the nearest first."""
    client = CallerClient(list(hosts), key)
    nearest_first = output.unwrap_or_exit(client.addresses(time.monotonic()))
    if as_json:
        output.show_json({"addresses": nearest_first})
        return
    for address in nearest_first:
        click.echo(address)


@click.command()
@parameters.hosts
@parameters.caller_key
@parameters.deadline_ms
@parameters.as_json
@click.option("--page-size", default=20, show_default=True, type=click.IntRange(min=0))
@click.argument("index")
@click.argument("body")
def query(
    hosts: tuple[str, ...],
    key: str,
    deadline_ms: int,
    as_json: bool,
    page_size: int,
    index: str,
    body: str,
) -> None:
    """Searches INDEX for BODY.

    The exit code is 1 if the response does not cover every shard.
    """
    client = CallerClient(list(hosts), key)
    now_s = time.monotonic()
    response = output.unwrap_or_exit(
        client.search(index, body, deadline_ms, page_size, now_s)
    )
    if as_json:
        output.show_json(response)
    else:
        _show_response(response)
    if not response["whole"]:
        sys.exit(output.EXIT_REFUSED)


@click.command()
@parameters.hosts
@parameters.caller_key
@parameters.deadline_ms
@parameters.as_json
@click.option("--operation", default="redeem", type=click.Choice(["redeem", "charge"]))
@click.option("--ticket", help="Repeat the request of an earlier ticket.")
@click.argument("index")
@click.argument("body")
def redeem(
    hosts: tuple[str, ...],
    key: str,
    deadline_ms: int,
    as_json: bool,
    operation: str,
    ticket: str | None,
    index: str,
    body: str,
) -> None:
    """Redeems or charges BODY at INDEX, at most once.

    The ticket is printed on standard error before the request is sent, so that the
    request can be repeated under it. The exit code is 1 unless the request has run.
    """
    client = CallerClient(list(hosts), key)
    ticket = ticket or output.unwrap_or_exit(client.request_ticket(time.monotonic()))
    click.echo(f"ticket {ticket}", err=True)
    now_s = time.monotonic()
    result = client.execute(ticket, index, operation, body, deadline_ms, now_s)
    if isinstance(result, Failure):
        output.exit_with_refusal(_add_retry_remedy(result.failure()))
    _show_execution(result.unwrap(), as_json)


@click.command()
@parameters.hosts
@parameters.caller_key
@parameters.as_json
@click.argument("ticket")
def outcome(hosts: tuple[str, ...], key: str, as_json: bool, ticket: str) -> None:
    """Shows the recorded outcome of the request under TICKET; runs nothing."""
    client = CallerClient(list(hosts), key)
    _show_execution(
        output.unwrap_or_exit(client.outcome(ticket, time.monotonic())), as_json
    )


def _show_response(response: dict[str, Any]) -> None:
    shards = len(response["covered"]) + len(response["gaps"])
    output.show_fields(
        [
            ("query", response["query"]),
            ("outcome", response["outcome"]),
            ("version", response["version"]),
            ("covered", f"{len(response['covered'])} of {shards} shards"),
            ("matches", response["matches"]),
            ("amount", response["amount"]),
        ]
    )
    if response["gaps"]:
        click.echo()
        output.show_table(
            ["not covered", "reason", "fault"],
            [[gap["shard"], gap["reason"], gap["fault"]] for gap in response["gaps"]],
        )
    if response["rows"]:
        click.echo()
        output.show_table(["key", "score", "document"], response["rows"])


def _show_execution(execution: dict[str, Any], as_json: bool) -> None:
    if as_json:
        output.show_json(execution)
    else:
        output.show_fields(
            [("outcome", execution["outcome"]), ("detail", execution["detail"])]
        )
    if execution["outcome"] != "ran":
        sys.exit(output.EXIT_REFUSED)


def _add_retry_remedy(refusal: Refusal) -> Refusal:
    if refusal.kind is not RefusalKind.UNREACHABLE:
        return refusal
    remedy = "It may have run: repeat it with --ticket, it runs at most once."
    return Refusal(refusal.kind, refusal.message, remedy, refusal.fault)
