"""The faults of the query-path benchmark, as data classes.

Each is induced at a third of the run, so that the first third shows the calm before;
a burst and distances are there from the start.
"""

import signal
from dataclasses import dataclass

from standins.launcher import DaemonPlace, Launcher, LinkDistance

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


@dataclass(frozen=True)
class BurstAtStart:
    """The first searches of all callers come at once, before any is counted."""

    searches: int


@dataclass(frozen=True)
class DistantDomains:
    """Frames between failure domains take time and are lost now and then.

    Attributes:
        delay_s: One way within a region.
        region_delay_s: One way between regions.
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
        case Calm() | NeighbourOverload() | BurstAtStart() | DistantDomains():
            pass


def set_out(scenario: Scenario, launcher: Launcher) -> None:
    """Brings about what is there before the load."""
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
    """Publishes first and builds after, the order that is harder to serve."""
    launcher.publish(index_versions=(1, NEXT_VERSION))
    for target in launcher.placed_targets:
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
        case Calm() | NeighbourOverload() | BurstAtStart() | DistantDomains():
            return None


def name_of(scenario: Scenario) -> str:
    """Returns the scenario's name in tables."""
    return type(scenario).__name__
