"""Defines the faults of the soak test and draws a plan of them from a seed."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from soak.callers import RequestKind
from standins.platform_store import Absence

# Mean rate at which faults begin. Most last longer than the mean interval between two,
# so that they overlap.
FAULTS_PER_S: Final = 1.0
# A fault lasts longer than a retry takes, and shorter than the time allowed for
# recovery.
LASTS_MIN_S: Final = 0.3
LASTS_MAX_S: Final = 3.0
# Mean rate of changes of the configuration and the settings. A request often meets two.
CHANGES_PER_S: Final = 1.5
# Mean rate at which the store returns from a copy; each takes several seconds.
RESTORATIONS_PER_S: Final = 0.2
# Shortest limits; the callers stay idle for 2 s and send a request within 0.5 s.
IDLE_TIMEOUT_MIN_MS: Final = 3_000
HEADER_TIMEOUT_MIN_MS: Final = 2_000
# Priorities of routes; more than there are routes, so that classes come and go.
PRIORITIES: Final = 4
SHARD_SERVICES: Final = ("shard-0", "shard-1", "other")


@dataclass(frozen=True, slots=True)
class TargetDelayed:
    """The replies of a target are delayed.

    Attributes:
        delay_s: Delay of each reply.
    """

    target: int
    delay_s: float


@dataclass(frozen=True, slots=True)
class TargetStalled:
    """The connections of a target deliver no bytes in either direction."""

    target: int


@dataclass(frozen=True, slots=True)
class TargetRepliesLost:
    """A target receives requests, but its replies are lost."""

    target: int


@dataclass(frozen=True, slots=True)
class TargetReset:
    """The open and the new connections of a target are reset."""

    target: int


@dataclass(frozen=True, slots=True)
class TargetReplaced:
    """A target leaves, and another of the same service registers under a new id."""

    target: int


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store responds to every request with an error."""


@dataclass(frozen=True, slots=True)
class StoreStalled:
    """The connections of the store deliver no bytes in either direction."""


@dataclass(frozen=True, slots=True)
class GatewayStopped:
    """A gateway receives SIGTERM and is restarted once it has ended."""

    gateway: int


@dataclass(frozen=True, slots=True)
class GatewayKilled:
    """A gateway is killed and restarted when the fault is over."""

    gateway: int


@dataclass(frozen=True, slots=True)
class GatewayPaused:
    """A gateway is suspended with SIGSTOP and resumed when the fault is over."""

    gateway: int


@dataclass(frozen=True, slots=True)
class RoutesChanged:
    """The operator publishes a new version of the routes."""


@dataclass(frozen=True, slots=True)
class PrioritiesChanged:
    """The priorities of the routes change.

    Attributes:
        priorities: The priorities of the routes, in the order of `RequestKind`.
    """

    priorities: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RouteRemoved:
    """A route is removed, and added again when the fault is over."""

    kind: RequestKind


@dataclass(frozen=True, slots=True)
class RouteMoved:
    """A route of one service moves to its other service."""

    kind: RequestKind


@dataclass(frozen=True, slots=True)
class ShardsChanged:
    """The set of shards of the searches changes."""

    shards: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LimitsChanged:
    """The limits of what callers may do change."""

    idle_timeout_ms: int
    header_timeout_ms: int


@dataclass(frozen=True, slots=True)
class ConfigurationGrown:
    """The configuration gains many routes, and loses them when the fault is over."""

    routes: int


@dataclass(frozen=True, slots=True)
class VersionsPublished:
    """The operator publishes several versions at once.

    Attributes:
        priorities: The priorities of the routes in each version.
    """

    priorities: tuple[tuple[int, ...], ...]


@dataclass(frozen=True, slots=True)
class SettingsReloaded:
    """The settings file of a gateway changes, and the gateway receives SIGHUP.

    Attributes:
        retry_slack: The new value of `bounds.retry-slack`.
        signals: How often SIGHUP is sent.
        is_stopped: Whether SIGTERM is sent between the signals, or after the only one.
    """

    gateway: int
    retry_slack: int
    signals: int
    is_stopped: bool


@dataclass(frozen=True, slots=True)
class StoreRestored:
    """The store returns from a copy, and what it lost is written again.

    A change that is written first after the return gets a revision that gateways have
    read before.

    Attributes:
        absence: How the store is away.
        lost_writes: How many targets write their entries again after the copy is made.
        copy_age_s: Age of the copy as the store goes away.
        away_s: Time for which it is away.
        rewritten_after_s: Time from its return until what it lost is written again.
        change: What is written first after the return.
    """

    absence: Absence
    lost_writes: int
    copy_age_s: float
    away_s: float
    rewritten_after_s: float
    change: RouteMoved | TargetReplaced


StoreFault = StoreUnavailable | StoreStalled | StoreRestored
TargetFault = TargetDelayed | TargetStalled | TargetRepliesLost | TargetReset
GatewayFault = GatewayStopped | GatewayKilled | GatewayPaused | SettingsReloaded
ConfigurationChange = (
    RoutesChanged
    | PrioritiesChanged
    | RouteRemoved
    | RouteMoved
    | ShardsChanged
    | LimitsChanged
    | ConfigurationGrown
    | VersionsPublished
)
Fault = TargetFault | TargetReplaced | StoreFault | GatewayFault | ConfigurationChange


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault with its start and duration.

    Attributes:
        at_s: Start, from the start of the plan.
        lasts_s: Duration; a killed gateway is restarted at the end of it.
    """

    at_s: float
    lasts_s: float
    fault: Fault


def draw_plan(
    seed: int, duration_s: float, targets: int, gateways: int
) -> list[PlannedFault]:
    """Returns the faults of a seed, ordered by their start.

    Args:
        seed: Seed of the kinds, times and victims of the faults.
        duration_s: Time in which faults begin.
        targets: Number of targets.
        gateways: Number of gateways.
    """
    faults, changes = random.Random(seed), random.Random(f"changes of {seed}")
    restorations = random.Random(f"restorations of {seed}")
    planned = [
        *_draw_series(
            faults, FAULTS_PER_S, duration_s, lambda: _draw(faults, targets, gateways)
        ),
        *_draw_series(
            changes, CHANGES_PER_S, duration_s, lambda: _draw_change(changes, gateways)
        ),
        *_draw_series(
            restorations,
            RESTORATIONS_PER_S,
            duration_s,
            lambda: _draw_restoration(restorations, targets),
        ),
        # No later change hides what gateways miss of this one.
        PlannedFault(duration_s, 0.0, _draw_restoration(restorations, targets)),
    ]
    return sorted(planned, key=lambda each: each.at_s)


def _draw_series(
    generator: random.Random,
    rate_per_s: float,
    duration_s: float,
    draw: Callable[[], Fault],
) -> list[PlannedFault]:
    planned: list[PlannedFault] = []
    at_s = generator.expovariate(rate_per_s)
    while at_s < duration_s:
        lasts_s = generator.uniform(LASTS_MIN_S, LASTS_MAX_S)
        planned.append(PlannedFault(at_s, lasts_s, draw()))
        at_s += generator.expovariate(rate_per_s)
    return planned


def _draw(generator: random.Random, targets: int, gateways: int) -> Fault:
    target = generator.randrange(targets)
    gateway = generator.randrange(gateways)
    faults: list[Fault] = [
        TargetDelayed(target, generator.uniform(0.05, 1.5)),
        TargetStalled(target),
        TargetRepliesLost(target),
        TargetReset(target),
        TargetReplaced(target),
        StoreUnavailable(),
        StoreStalled(),
        GatewayStopped(gateway),
        GatewayKilled(gateway),
        GatewayPaused(gateway),
        RoutesChanged(),
    ]
    return generator.choice(faults)


def _draw_change(generator: random.Random, gateways: int) -> Fault:
    moved = generator.choice([RequestKind.LOOKUP, RequestKind.ORDER])
    versions = [_draw_priorities(generator) for _ in range(generator.randint(2, 6))]
    changes: list[Fault] = [
        PrioritiesChanged(_draw_priorities(generator)),
        RouteRemoved(generator.choice(list(RequestKind))),
        RouteMoved(moved),
        ShardsChanged(tuple(generator.sample(SHARD_SERVICES, generator.randint(2, 3)))),
        LimitsChanged(
            generator.randint(IDLE_TIMEOUT_MIN_MS, 15_000),
            generator.randint(HEADER_TIMEOUT_MIN_MS, 6_000),
        ),
        ConfigurationGrown(generator.randint(200, 600)),
        VersionsPublished(tuple(versions)),
        SettingsReloaded(
            generator.randrange(gateways),
            generator.randint(20, 60),
            generator.randint(1, 2),
            generator.random() < 0.3,
        ),
    ]
    return generator.choice(changes)


def _draw_restoration(generator: random.Random, targets: int) -> StoreRestored:
    moved = generator.choice([RequestKind.LOOKUP, RequestKind.ORDER])
    changes: list[RouteMoved | TargetReplaced] = [
        RouteMoved(moved),
        TargetReplaced(generator.randrange(targets)),
    ]
    return StoreRestored(
        generator.choice(list(Absence)),
        generator.randint(1, 3),
        generator.uniform(0.5, 4.0),
        generator.uniform(0.1, 1.5),
        generator.choice([0.0, generator.uniform(0.1, 1.5)]),
        generator.choice(changes),
    )


def _draw_priorities(generator: random.Random) -> tuple[int, ...]:
    return tuple(generator.randrange(PRIORITIES) for _ in RequestKind)
