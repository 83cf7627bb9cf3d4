"""Waiting for a condition, with a bound that only a failure reaches."""

import contextlib
import time
from collections.abc import Callable

import urllib3

from standins.launcher import Launcher

TIMEOUT_S = 30.0
POLL_S = 0.05


def eventually(condition: Callable[..., object], *arguments: object) -> None:
    """Waits until a condition holds for its arguments.

    Raises:
        AssertionError: It did not hold in time.
    """
    deadline_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline_s:
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            if condition(*arguments):
                return
        time.sleep(POLL_S)
    name = getattr(condition, "__qualname__", repr(condition))
    raise AssertionError(f"not within {TIMEOUT_S:g} s: {name}{arguments}")


def member_states(launcher: Launcher, name: str) -> dict[str, str]:
    """Returns the state of each member as one daemon sees it."""
    return {m["daemon"]: m["state"] for m in launcher.status(name)["members"]}


def reachable_members(launcher: Launcher, name: str) -> set[str]:
    """Returns whom one daemon reaches."""
    status = launcher.status(name)
    return {m["daemon"] for m in status["members"] if m["reachable"]}
