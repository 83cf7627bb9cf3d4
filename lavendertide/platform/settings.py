"""Reads the settings file that the platform writes, with lines like `a.b=value`."""

import math
import os
from pathlib import Path

from lavendertide.addressing import check_ip_port
from lavendertide.forwarding.budget import RetryAllowance
from lavendertide.gateway.options import GatewayOptions
from lavendertide.gateway.reading_times import ReadingTimes
from lavendertide.ids import Address, FailureDomain, HostId, Region
from lavendertide.warmup.allowance import (
    DEFAULT_OVERSHOOT,
    DEFAULT_SLACK,
    ColdBounds,
)

PATH_VARIABLE = "LAVENDERTIDE_SETTINGS"
KEY_VARIABLE = "FLEET_KEY"
METRICS_VARIABLE = "METRICS_PORT"
DEFAULT_METRICS_PORT = "9464"
# Used if the platform does not set how long a leaving target accepts requests.
DEFAULT_LEAVING_MS = "3000"

# Contracts of which one makes hosts share what they learn of targets.
SHARING_CONTRACTS = frozenset({"pressure", "places"})
# Entry of the list of contracts that enables admission by priority.
PRIORITY_CONTRACT = "pressure"
# Key that lets hosts share queueing delays, off by default: hosts short of processor
# time made each other refuse at usual load (docs/design/priority-admission.md).
SHARED_OVERLOADS_KEY = "overload.shared"
# Contracts of which one makes requests that can't be repeated avoid targets that have
# lost some.
LOSS_CONTRACTS = frozenset({"health", "pool"})

# Shortest window over which repeats are counted.
WINDOW_MIN_S = 0.1


class SettingsError(Exception):
    """The settings are invalid; the message says what to change."""


def settings_path() -> Path:
    """Returns the path of the settings file from the environment.

    Raises:
        SettingsError: The environment variable is not set.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(f"Set {PATH_VARIABLE} to the path of the settings file.")
    return Path(path)


def read_settings(path: Path) -> GatewayOptions:
    """Reads the options of this process from the settings file and the environment.

    Raises:
        SettingsError: The file cannot be read, or a value is missing or malformed.
    """
    try:
        fields = parse_lines(path.read_text())
    except (OSError, UnicodeError) as error:
        raise SettingsError(f"Make {path} readable: {error}.") from error
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        raise SettingsError(f"Set {KEY_VARIABLE}, the secret that all hosts share.")
    metrics_port = os.environ.get(METRICS_VARIABLE, DEFAULT_METRICS_PORT)
    try:
        return _build_options(fields, key, metrics_port)
    except KeyError as error:
        raise SettingsError(f"Add {error.args[0]} to {path}.") from error
    except ValueError as error:
        raise SettingsError(f"Correct a value in {path}: {error}.") from error


def parse_lines(text: str) -> dict[str, str]:
    """Returns the values by name; lines that are not assignments are skipped."""
    pairs = (line.partition("=") for line in text.splitlines())
    return {name.strip(): value.strip() for name, sign, value in pairs if sign}


def _build_options(
    fields: dict[str, str], key: str, metrics_port: str
) -> GatewayOptions:
    seeds = [seed for seed in fields.get("seeds", "").split(",") if seed]
    return GatewayOptions(
        host=HostId(fields["node"]),
        region=Region(fields["region"]),
        failure_domain=FailureDomain(fields["zone"]),
        callers=_parse_address(fields["listen.front"]),
        readiness=_parse_address(fields["listen.ready"]),
        directory=_parse_address(fields["listen.directory"]),
        # "control" is the platform's name for the traffic between hosts.
        peers=_parse_address(fields["listen.control"]),
        metrics=Address(f"{fields['ip']}:{int(metrics_port)}"),
        seeds=tuple(_parse_address(seed) for seed in seeds),
        fleet_key=key,
        platform=_parse_address(fields["platform.address"]),
        # From the store's acknowledgement that a target leaves to its last request.
        reading=ReadingTimes(
            _number(fields, "bounds.drain-ms", DEFAULT_LEAVING_MS) / 1_000
        ),
        retries=RetryAllowance(
            ratio=_number(fields, "bounds.retry-budget-ratio"),
            fixed=_number(fields, "bounds.retry-slack"),
            window_s=_number(fields, "bounds.budget-window-s", least=WINDOW_MIN_S),
        ),
        grace_s=_number(fields, "bounds.grace-s"),
        # The only one of the platform's names with underscores.
        address_lifetime_s=_number(fields, "bounds.ttl_max_s"),
        # The share refers to one core that is "cores" times as fast, not to several.
        processor_share=_number(fields, "limits.cpu-share")
        * _number(fields, "limits.cores"),
        shares_capacities=not SHARING_CONTRACTS.isdisjoint(_contracts(fields)),
        is_first_start=fields.get("bootstrap") == "true",
        cold=ColdBounds(
            _number(fields, "bounds.cold-overshoot", str(DEFAULT_OVERSHOOT)),
            _number(fields, "bounds.cold-slack", str(DEFAULT_SLACK)),
        ),
        memory_bytes=_optional_count(fields, "limits.memory-mb", 1_000_000),
        files_max=_optional_count(fields, "limits.max-fds"),
        admits_by_priority=PRIORITY_CONTRACT in _contracts(fields),
        shares_overloads=PRIORITY_CONTRACT in _contracts(fields)
        and fields.get(SHARED_OVERLOADS_KEY) == "true",
        avoids_losses=not LOSS_CONTRACTS.isdisjoint(_contracts(fields)),
    )


def _contracts(fields: dict[str, str]) -> frozenset[str]:
    """Returns the names of the platform's rules that apply to this deployment."""
    return frozenset(name.strip() for name in fields.get("contracts", "").split(","))


def _optional_count(fields: dict[str, str], name: str, unit: int = 1) -> int | None:
    """Returns a value above zero in whole units; none if it is not set."""
    if name not in fields:
        return None
    return int(unit * _number(fields, name, least=1.0))


def _parse_address(text: str) -> Address:
    return Address(check_ip_port(text))


def _number(
    fields: dict[str, str], name: str, default: str | None = None, least: float = 0.0
) -> float:
    """Returns a value that is a finite number and not less than `least`."""
    text = fields[name] if default is None else fields.get(name, default)
    value = float(text)
    if not math.isfinite(value) or value < least:
        raise ValueError(f"{name} is {text}, not a number from {least:g}")
    return value
