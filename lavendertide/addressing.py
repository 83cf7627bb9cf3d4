"""Syntax of addresses: IPv4 number and port, since the platform uses IP numbers."""

import ipaddress
from typing import Final

PORT_MAX: Final = 65_535


def check_ip_port(text: str) -> str:
    """Checks that an address has the form `IP:port` and returns it unchanged.

    Raises:
        ValueError: The text is not an IPv4 number and a port.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise ValueError(_invalid_address(text)) from error
    if not (port.isascii() and port.isdigit() and 1 <= int(port[:6]) <= PORT_MAX):
        raise ValueError(_invalid_address(text))
    return text


def _invalid_address(text: str) -> str:
    return f"'{text}' is not IP:port, such as 10.0.0.1:7001"
