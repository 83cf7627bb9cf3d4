"""The commands that callers use: query, redeem, outcome, addresses."""

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
    """Shows which addresses a caller should use, the nearest first."""
    client = CallerClient(list(hosts), key)
    found = output.or_exit(client.addresses(time.monotonic()))
    if as_json:
        output.show_json({"addresses": found})
        return
    for address in found:
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

    The exit code is 1 if the answer does not cover every shard.
    """
    client = CallerClient(list(hosts), key)
    now_s = time.monotonic()
    answer = output.or_exit(client.search(index, body, deadline_ms, page_size, now_s))
    if as_json:
        output.show_json(answer)
    else:
        _show_answer(answer)
    if not answer["whole"]:
        sys.exit(output.EXIT_REFUSED)


@click.command()
@parameters.hosts
@parameters.caller_key
@parameters.deadline_ms
@parameters.as_json
@click.option("--operation", default="redeem", type=click.Choice(["redeem", "charge"]))
@click.option("--ticket", help="Send again under an earlier ticket.")
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
    """Redeems or charges BODY at INDEX, once at most.

    The ticket is printed on standard error before anything is sent. The exit code is 1
    unless the request has run.
    """
    client = CallerClient(list(hosts), key)
    ticket = ticket or output.or_exit(client.request_ticket(time.monotonic()))
    click.echo(f"ticket {ticket}", err=True)
    now_s = time.monotonic()
    result = client.execute(ticket, index, operation, body, deadline_ms, now_s)
    if isinstance(result, Failure):
        output.fail(_with_ticket(result.failure()))
    _show_execution(result.unwrap(), as_json)


@click.command()
@parameters.hosts
@parameters.caller_key
@parameters.as_json
@click.argument("ticket")
def outcome(hosts: tuple[str, ...], key: str, as_json: bool, ticket: str) -> None:
    """Shows what is known of the request under TICKET, and runs nothing."""
    client = CallerClient(list(hosts), key)
    _show_execution(output.or_exit(client.outcome(ticket, time.monotonic())), as_json)


def _show_answer(answer: dict[str, Any]) -> None:
    shards = len(answer["covered"]) + len(answer["gaps"])
    output.show_facts(
        [
            ("query", answer["query"]),
            ("outcome", answer["outcome"]),
            ("version", answer["version"]),
            ("covered", f"{len(answer['covered'])} of {shards} shards"),
            ("matches", answer["matches"]),
            ("amount", answer["amount"]),
        ]
    )
    if answer["gaps"]:
        click.echo()
        output.show_table(
            ["not covered", "reason", "fault"],
            [[gap["shard"], gap["reason"], gap["fault"]] for gap in answer["gaps"]],
        )
    if answer["rows"]:
        click.echo()
        output.show_table(["key", "score", "document"], answer["rows"])


def _show_execution(execution: dict[str, Any], as_json: bool) -> None:
    if as_json:
        output.show_json(execution)
    else:
        output.show_facts(
            [("outcome", execution["outcome"]), ("detail", execution["detail"])]
        )
    if execution["outcome"] != "ran":
        sys.exit(output.EXIT_REFUSED)


def _with_ticket(refusal: Refusal) -> Refusal:
    if refusal.kind is not RefusalKind.UNREACHABLE:
        return refusal
    remedy = "It may have run: send it again with --ticket, it runs once at most."
    return Refusal(refusal.kind, refusal.message, remedy, refusal.fault)
