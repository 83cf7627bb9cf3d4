"""Runs the soak test of one seed: planned faults under constant load from callers."""

import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from soak import guarantees
from soak.callers import Caller, Callers, RequestKind
from soak.environment import SERVICES, SoakEnvironment
from soak.faults import draw_plan
from soak.gateways import GATEWAYS
from soak.operator import APPLY_S

# Time after the last fault by which all requests must succeed again, as the deployed
# sites require.
RECOVERY_S: Final = 15.0
# Time for which callers go on after the last change is due on all gateways.
SHOWN_S: Final = 2.0
# Consecutive successful requests that count as recovery.
RECOVERED_REQUESTS: Final = 30


@dataclass(frozen=True, slots=True)
class Finding:
    """The result of the soak test of one seed.

    Attributes:
        seed: The seed of the faults.
        statuses: Number of requests by HTTP status; 0 if there was no response.
        broken: One line for each violated guarantee.
    """

    seed: int
    statuses: dict[int, int]
    broken: tuple[str, ...]


def run_soak(seed: int, duration_s: float, folder: Path | None = None) -> Finding:
    """Runs the soak test of one seed.

    Args:
        seed: Seed of the faults.
        duration_s: Time in which faults begin.
        folder: Folder for settings and logs; a temporary one if absent.
    """
    if folder is None:
        with tempfile.TemporaryDirectory() as temporary:
            return run_soak(seed, duration_s, Path(temporary))
    folder.mkdir(parents=True, exist_ok=True)
    # Gateways append to their logs, and faults of an earlier run aren't of this one.
    for path in folder.glob("*.log"):
        path.unlink()
    environment = SoakEnvironment(folder)
    try:
        environment.start()
        with Callers(environment.gateways) as callers:
            environment.inject_faults(
                draw_plan(seed, duration_s, len(SERVICES), GATEWAYS)
            )
            prober = Caller("last", environment.gateways)
            unrecovered = _check_recovery(prober)
            prober.disconnect()
            # What a gateway has missed shows once it is due.
            time.sleep(APPLY_S + SHOWN_S)
        broken = guarantees.find_violations(
            callers.outcomes, environment.targets, environment.record
        )
        broken += environment.check_accounts()
        broken += environment.violations + unrecovered + _find_tracebacks(folder)
    finally:
        environment.stop()
    statuses = Counter(outcome.status for outcome in callers.outcomes)
    return Finding(seed, dict(statuses), tuple(broken))


def _check_recovery(caller: Caller) -> list[str]:
    """Sends requests until enough of them in a row succeed with all shards.

    Returns:
        One line if this takes longer than `RECOVERY_S`, otherwise nothing.
    """
    ends_at_s = time.monotonic() + RECOVERY_S
    served = 0
    kinds = list(RequestKind)
    while served < RECOVERED_REQUESTS:
        outcome = caller.send(kinds[len(caller.outcomes) % len(kinds)])
        is_served = outcome is not None and outcome.status == 200
        is_complete = outcome is not None and outcome.missing == 0
        served = served + 1 if is_served and is_complete else 0
        if time.monotonic() > ends_at_s:
            return [f"recovery: {outcome} still {RECOVERY_S} s after the last fault"]
        time.sleep(0.02)
    return []


def _find_tracebacks(folder: Path) -> list[str]:
    return [
        f"log: {path.name} has a traceback"
        for path in sorted(folder.glob("*.log"))
        if "Traceback" in path.read_text(errors="replace")
    ]
