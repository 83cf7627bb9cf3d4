"""Draws from a seed which faults come when."""

import random
from dataclasses import dataclass
from typing import Final

# Faults begin on average so often; most last longer, so that they overlap.
FAULTS_PER_S: Final = 1.0
# Longer than a retry takes and shorter than the time in which all must recover.
LASTS_MIN_S: Final = 0.3
LASTS_MAX_S: Final = 3.0


@dataclass(frozen=True, slots=True)
class TargetDelayed:
    """The answers of a target come later."""

    target: int
    delay_s: float


@dataclass(frozen=True, slots=True)
class TargetSilent:
    """A target's connections carry nothing for a while."""

    target: int


@dataclass(frozen=True, slots=True)
class TargetCut:
    """A target receives requests, its answers are lost."""

    target: int


@dataclass(frozen=True, slots=True)
class TargetReset:
    """A target's connections are reset, new ones as well."""

    target: int


@dataclass(frozen=True, slots=True)
class TargetReplaced:
    """A target leaves; another of the same service registers under a new id."""

    target: int


@dataclass(frozen=True, slots=True)
class StoreAway:
    """The store refuses to answer."""


@dataclass(frozen=True, slots=True)
class StoreSilent:
    """The store's connections carry nothing for a while."""


@dataclass(frozen=True, slots=True)
class GatewayStopped:
    """A gateway is asked to stop, and started again once it has ended."""

    gateway: int


@dataclass(frozen=True, slots=True)
class GatewayKilled:
    """A gateway is killed, and started again."""

    gateway: int


@dataclass(frozen=True, slots=True)
class GatewayPaused:
    """A gateway stands still for a while."""

    gateway: int


@dataclass(frozen=True, slots=True)
class RoutesChanged:
    """The operator publishes a new version."""


TargetFault = TargetDelayed | TargetSilent | TargetCut | TargetReset
GatewayFault = GatewayStopped | GatewayKilled | GatewayPaused
Fault = (
    TargetFault
    | TargetReplaced
    | StoreAway
    | StoreSilent
    | GatewayFault
    | RoutesChanged
)


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault with its time.

    Attributes:
        at_s: When it begins, from the start of the plan.
        lasts_s: After how long it is over; a restart follows then.
    """

    at_s: float
    lasts_s: float
    fault: Fault


def draw_plan(
    seed: int, duration_s: float, targets: int, gateways: int
) -> list[PlannedFault]:
    """Returns the faults of a seed in the order of their begin."""
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
        TargetSilent(target),
        TargetCut(target),
        TargetReset(target),
        TargetReplaced(target),
        StoreAway(),
        StoreSilent(),
        GatewayStopped(gateway),
        GatewayKilled(gateway),
        GatewayPaused(gateway),
        RoutesChanged(),
    ]
    return generator.choice(faults)
