"""The form of addresses: IP number and port, as the platform works by IP numbers."""

import ipaddress
from typing import Final

PORT_MAX: Final = 65_535


def check_ip_port(text: str) -> str:
    """Returns an address of the form `IP:port` unchanged.

    Raises:
        ValueError: It is not an IPv4 number and a port.
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
