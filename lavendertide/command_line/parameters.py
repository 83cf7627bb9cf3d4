"""Command-line options that several commands share.

Addresses and keys can also be set by environment variables.
"""

import re
from typing import Final

import click

HOST_VARIABLE: Final = "LAVENDERTIDE_HOST"
ADMIN_VARIABLE: Final = "LAVENDERTIDE_ADMIN"
GATEWAY_VARIABLE: Final = "LAVENDERTIDE_GATEWAY"
KEY_VARIABLE: Final = "LAVENDERTIDE_KEY"
DEFAULT_DEADLINE_MS: Final = 500
_ADDRESS: Final = re.compile(r"^[0-9.]+:[0-9]{1,5}$")


class AddressType(click.ParamType[str]):
    """The click type of an address `IP:port`; checks its form only."""

    name = "IP:port"

    def convert(
        self, value: str, param: click.Parameter | None, ctx: click.Context | None
    ) -> str:
        """Returns the address unchanged.

        Raises:
            click.BadParameter: The value is not of the form `IP:port`.
        """
        if not _ADDRESS.match(value):
            self.fail(f"'{value}' is not IP:port.", param, ctx)
        return value


hosts = click.option(
    "--host",
    "hosts",
    multiple=True,
    required=True,
    envvar=HOST_VARIABLE,
    show_envvar=True,
    type=AddressType(),
    help="A daemon's address for callers; may be given more than once.",
)
caller_key = click.option(
    "--key",
    required=True,
    envvar=KEY_VARIABLE,
    show_envvar=True,
    help="The caller's key.",
)
deadline_ms = click.option(
    "--deadline-ms",
    default=DEFAULT_DEADLINE_MS,
    show_default=True,
    type=click.IntRange(min=1),
    help="How long to wait for the response.",
)
admin = click.option(
    "--admin",
    required=True,
    envvar=ADMIN_VARIABLE,
    show_envvar=True,
    type=AddressType(),
    help="A daemon's address for operators.",
)
admins = click.option(
    "--admin",
    "admins",
    multiple=True,
    required=True,
    envvar=ADMIN_VARIABLE,
    show_envvar=True,
    type=AddressType(),
    help="A daemon's address for operators; may be given more than once.",
)
admin_key = click.option(
    "--key",
    default="",
    envvar=KEY_VARIABLE,
    show_envvar=True,
    help="An operator's or an owner's key.",
)
gateways = click.option(
    "--gateway",
    "gateways",
    multiple=True,
    required=True,
    envvar=GATEWAY_VARIABLE,
    show_envvar=True,
    type=AddressType(),
    help="A gateway's metrics address; may be given more than once.",
)
as_json = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
