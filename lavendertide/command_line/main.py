"""The commands of `lavendertide`.

A refusal is one line on standard error and exit code 1; wrong usage is exit code 2.
"""

import json
import sys
import time
from typing import Any, Final, TypeVar

import click
from returns.result import Failure, Result

from lavendertide.caller_client import CallerClient
from lavendertide.command_line.check import check, settings
from lavendertide.errors import Refusal

EXIT_REFUSED: Final = 1
DEADLINE_MS: Final = 500

T = TypeVar("T")


@click.group()
@click.version_option(package_name="lavendertide")
def main() -> None:
    """Queries and operates a lavendertide fleet."""


_host = click.option("--host", "hosts", multiple=True, required=True, help="IP:port.")
_key = click.option("--key", required=True, help="The caller's key.")
_deadline = click.option("--deadline-ms", default=DEADLINE_MS, show_default=True)


@main.command()
@_host
@_key
def addresses(hosts: tuple[str, ...], key: str) -> None:
    """Shows which addresses a caller should use."""
    for address in _or_exit(_client(hosts, key).addresses(time.monotonic())):
        click.echo(address)


@main.command()
@_host
@_key
@_deadline
@click.option("--page-size", default=20, show_default=True)
@click.argument("index")
@click.argument("body")
def query(
    hosts: tuple[str, ...],
    key: str,
    deadline_ms: int,
    page_size: int,
    index: str,
    body: str,
) -> None:
    """Searches INDEX for BODY."""
    client = _client(hosts, key)
    answer = client.search(index, body, deadline_ms, page_size, time.monotonic())
    _show(_or_exit(answer))


@main.command()
@_host
@_key
@_deadline
@click.option("--operation", default="redeem", type=click.Choice(["redeem", "charge"]))
@click.option("--ticket", help="Sends again under an earlier ticket.")
@click.argument("index")
@click.argument("body")
def redeem(
    hosts: tuple[str, ...],
    key: str,
    deadline_ms: int,
    operation: str,
    ticket: str | None,
    index: str,
    body: str,
) -> None:
    """Redeems or charges BODY at INDEX, once at most."""
    client = _client(hosts, key)
    ticket = ticket or _or_exit(client.ticket(time.monotonic()))
    click.echo(f"ticket {ticket}", err=True)
    now_s = time.monotonic()
    _show(_or_exit(client.execute(ticket, index, operation, body, deadline_ms, now_s)))


main.add_command(check)
main.add_command(settings)


def _client(hosts: tuple[str, ...], key: str) -> CallerClient:
    return CallerClient(list(hosts), key)


def _show(document: dict[str, Any]) -> None:
    click.echo(json.dumps(document, indent=2))


def _or_exit(result: Result[T, Refusal]) -> T:
    if isinstance(result, Failure):
        click.echo(f"lavendertide: {result.failure()}", err=True)
        sys.exit(EXIT_REFUSED)
    return result.unwrap()
