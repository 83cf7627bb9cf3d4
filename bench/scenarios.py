"""Defines the scenarios of the query-path benchmark as data classes.

A fault is injected after a third of the run, so that the first third shows the
behaviour without it. A burst, an overload and link distances are there from the start.
"""

import signal
from dataclasses import dataclass

from standins.launcher import DaemonPlace, Launcher, LinkDistance

NEXT_VERSION = 2


@dataclass(frozen=True)
class Calm:
    """A run without faults."""


@dataclass(frozen=True)
class SlowTarget:
    """One replica of the first shard becomes slow.

    Attributes:
        median_ms: Its median time of a request from then on.
    """

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
    """Callers of the other owner send far more than their plan allows.

    Attributes:
        key: The plan that is overloaded.
        rate_per_s: Rate at which its callers send.
    """

    key: str
    index: str
    rate_per_s: float


@dataclass(frozen=True)
class VersionChange:
    """A new index version is published while targets load it one after another."""

    index: str


@dataclass(frozen=True)
class BurstAtStart:
    """The first searches arrive together, before the tier has observed any of them.

    Attributes:
        searches: Size of the burst of each plan.
    """

    searches: int


@dataclass(frozen=True)
class DistantDomains:
    """Frames between failure domains are delayed and sometimes lost.

    Attributes:
        delay_s: One-way delay between failure domains of a region.
        region_delay_s: One-way delay between regions.
        loss: Share of the frames that are lost.
    """

    delay_s: float
    region_delay_s: float
    loss: float


Scenario = (
    Calm
    | SlowTarget
    | KilledReplica
    | KilledDaemon
    | NeighbourOverload
    | VersionChange
    | BurstAtStart
    | DistantDomains
)


def inject_fault(scenario: Scenario, launcher: Launcher) -> None:
    """Injects the fault of a scenario; scenarios without one have no effect here."""
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
        case Calm() | NeighbourOverload() | BurstAtStart() | DistantDomains():
            pass


def prepare(scenario: Scenario, launcher: Launcher) -> None:
    """Sets up the conditions that a scenario needs before the load starts."""
    match scenario:
        case DistantDomains():
            places = {name: launcher.place_of(name) for name in launcher.callers}
            for name in places:
                distances = _distances(scenario, name, places)
                launcher.set_link_faults(name, distances=distances)
        case _:
            pass


def _distances(
    scenario: DistantDomains, own: str, places: dict[str, DaemonPlace]
) -> tuple[LinkDistance, ...]:
    region, failure_domain = places[own].region, places[own].failure_domain
    far = tuple(name for name, place in places.items() if place.region != region)
    near = tuple(
        name
        for name, place in places.items()
        if place.region == region and place.failure_domain != failure_domain
    )
    return (
        LinkDistance(near, scenario.delay_s, scenario.loss),
        LinkDistance(far, scenario.region_delay_s, scenario.loss),
    )


def _change_version(index: str, launcher: Launcher) -> None:
    """Publishes the next version before the targets have it.

    This order is harder to serve than the reverse.
    """
    launcher.publish(index_versions=(1, NEXT_VERSION))
    for target in launcher.placed_targets:
        if target.index.index == index:
            held = {"1": [target.shard], str(NEXT_VERSION): [target.shard]}
            launcher.change_target(target.target, versions=held)


def describe_fault(scenario: Scenario) -> str | None:
    """Describes the fault of a scenario; None if nothing is injected during the run."""
    match scenario:
        case SlowTarget(index, median_ms):
            return f"a {index} replica slows to {median_ms:g} ms"
        case KilledReplica(index):
            return f"a {index} replica crashes"
        case KilledDaemon(daemon):
            return f"{daemon} is killed"
        case VersionChange(index):
            return f"{index} changes its version"
        case Calm() | NeighbourOverload() | BurstAtStart() | DistantDomains():
            return None


def name_of(scenario: Scenario) -> str:
    """Returns the name of a scenario in tables and file names."""
    return type(scenario).__name__
