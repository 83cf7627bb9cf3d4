"""The faults of the query-path benchmark, as data classes.

Each is induced at a third of the run, so that the first third shows the calm before.
"""

import signal
from dataclasses import dataclass

from standins.launcher import Launcher

NEXT_VERSION = 2


@dataclass(frozen=True)
class Calm:
    """Nothing fails."""


@dataclass(frozen=True)
class SlowTarget:
    """One replica of the first shard answers slowly."""

    index: str
    median_ms: float


@dataclass(frozen=True)
class KilledReplica:
    """One replica of the first shard crashes and stays down."""

    index: str


@dataclass(frozen=True)
class KilledDaemon:
    """One daemon is killed and stays down."""

    daemon: str


@dataclass(frozen=True)
class NeighbourOverload:
    """Callers of the other owner send far more than their plan allows."""

    key: str
    index: str
    rate_per_s: float


@dataclass(frozen=True)
class VersionChange:
    """Targets take up a new version one after another while it is published."""

    index: str


Scenario = (
    Calm | SlowTarget | KilledReplica | KilledDaemon | NeighbourOverload | VersionChange
)


def induce(scenario: Scenario, launcher: Launcher) -> None:
    """Brings about the fault; load is started elsewhere."""
    match scenario:
        case SlowTarget(index, median_ms):
            launcher.change_target(f"{index}-0-0", median_ms=median_ms)
        case KilledReplica(index):
            target = f"{index}-0-0"
            launcher.change_target(target, restart_ms=600_000.0)
            launcher.crash_target(target)
        case KilledDaemon(daemon):
            launcher.signal_daemon(daemon, signal.SIGKILL)
        case VersionChange(index):
            _change_version(index, launcher)
        case Calm() | NeighbourOverload():
            pass


def _change_version(index: str, launcher: Launcher) -> None:
    """Publishes first and builds after, the order that is harder to serve."""
    launcher.publish(index_versions=(1, NEXT_VERSION))
    for target in launcher.placed:
        if target.index.index == index:
            held = {"1": [target.shard], str(NEXT_VERSION): [target.shard]}
            launcher.change_target(target.target, versions=held)


def fault_of(scenario: Scenario) -> str | None:
    """Returns what is induced in a few words, none for what lasts the whole run."""
    match scenario:
        case SlowTarget(index, median_ms):
            return f"a {index} replica slows to {median_ms:g} ms"
        case KilledReplica(index):
            return f"a {index} replica crashes"
        case KilledDaemon(daemon):
            return f"{daemon} is killed"
        case VersionChange(index):
            return f"{index} changes its version"
        case Calm() | NeighbourOverload():
            return None


def name_of(scenario: Scenario) -> str:
    """Returns the scenario's name in tables."""
    return type(scenario).__name__
