"""Defines the faults of the soak test and draws a plan of them from a seed."""

import random
from dataclasses import dataclass
from typing import Final

# Mean rate at which faults begin. Most last longer than the mean interval between two,
# so that they overlap.
FAULTS_PER_S: Final = 1.0
# A fault lasts longer than a retry takes, and shorter than the time allowed for
# recovery.
LASTS_MIN_S: Final = 0.3
LASTS_MAX_S: Final = 3.0


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


TargetFault = TargetDelayed | TargetStalled | TargetRepliesLost | TargetReset
GatewayFault = GatewayStopped | GatewayKilled | GatewayPaused
Fault = (
    TargetFault
    | TargetReplaced
    | StoreUnavailable
    | StoreStalled
    | GatewayFault
    | RoutesChanged
)


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
    generator = random.Random(seed)
    planned: list[PlannedFault] = []
    at_s = generator.expovariate(FAULTS_PER_S)
    while at_s < duration_s:
        lasts_s = generator.uniform(LASTS_MIN_S, LASTS_MAX_S)
        fault = _draw(generator, targets, gateways)
        planned.append(PlannedFault(at_s, lasts_s, fault))
        at_s += generator.expovariate(FAULTS_PER_S)
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
