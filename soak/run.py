"""One soak: a seed's faults on a fresh world, with callers all the while."""

import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from soak import promises
from soak.callers import Caller, Callers, Kind
from soak.faults import draw_plan
from soak.world import GATEWAYS, SERVICES, World

# Two for each gateway; together some 80 requests a second.
CALLERS: Final = 6
# All must be served again so long after the last fault; the users' sites name it.
RECOVERY_S: Final = 15.0
# Requests in a row that show that all are served.
RECOVERED_REQUESTS: Final = 30


@dataclass(frozen=True, slots=True)
class Finding:
    """What one soak has shown.

    Attributes:
        statuses: How many requests got which status; zero for none.
        broken: A line for each broken promise.
    """

    seed: int
    statuses: dict[int, int]
    broken: tuple[str, ...]


def run_soak(seed: int, duration_s: float, folder: Path | None = None) -> Finding:
    """Plays one seed.

    Args:
        seed: Of the faults.
        duration_s: In which faults begin.
        folder: Where logs are kept; none for a temporary one.
    """
    if folder is None:
        with tempfile.TemporaryDirectory() as made:
            return run_soak(seed, duration_s, Path(made))
    folder.mkdir(parents=True, exist_ok=True)
    world = World(folder)
    try:
        world.start()
        with Callers(CALLERS, world.gateways) as callers:
            world.play(draw_plan(seed, duration_s, len(SERVICES), GATEWAYS))
            last = Caller("last", world.gateways)
            recovered = _recovers(last)
            last.leave()
        broken = promises.violations(
            callers.outcomes, world.targets, world.disturbances
        )
        broken += world.violations + recovered + _tracebacks(folder)
    finally:
        world.stop()
    statuses = Counter(outcome.status for outcome in callers.outcomes)
    return Finding(seed, dict(statuses), tuple(broken))


def _recovers(caller: Caller) -> list[str]:
    """Returns a line if some requests still fail when all must be served."""
    ends_at_s = time.monotonic() + RECOVERY_S
    served = 0
    kinds = list(Kind)
    while served < RECOVERED_REQUESTS:
        outcome = caller.send(kinds[len(caller.outcomes) % len(kinds)])
        is_served = outcome is not None and outcome.status == 200
        is_whole = outcome is not None and outcome.missing == 0
        served = served + 1 if is_served and is_whole else 0
        if time.monotonic() > ends_at_s:
            return [f"recovery: {outcome} still {RECOVERY_S} s after the last fault"]
        time.sleep(0.02)
    return []


def _tracebacks(folder: Path) -> list[str]:
    return [
        f"log: {path.name} has a traceback"
        for path in sorted(folder.glob("*.log"))
        if "Traceback" in path.read_text(errors="replace")
    ]
