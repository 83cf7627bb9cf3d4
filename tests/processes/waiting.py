"""Polls for conditions of a deployment, with a timeout that only a failure reaches."""

import contextlib
import time
from collections.abc import Callable

import urllib3

from standins.launcher import Launcher

TIMEOUT_S = 30.0
POLL_S = 0.05


def eventually(condition: Callable[..., object], *arguments: object) -> None:
    """Polls until a condition holds for its arguments.

    HTTP errors count as not held, since a daemon may be starting or stopped.

    Raises:
        AssertionError: The condition did not hold within `TIMEOUT_S`.
    """
    deadline_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline_s:
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            if condition(*arguments):
                return
        time.sleep(POLL_S)
    name = getattr(condition, "__qualname__", repr(condition))
    raise AssertionError(
        f"condition did not hold within {TIMEOUT_S:g} s: {name}{arguments}"
    )


def member_states(launcher: Launcher, name: str) -> dict[str, str]:
    """Returns the state of each member in one daemon's roster."""
    return {m["daemon"]: m["state"] for m in launcher.status(name)["members"]}


def reachable_members(launcher: Launcher, name: str) -> set[str]:
    """Returns the members that one daemon reaches."""
    status = launcher.status(name)
    return {m["daemon"] for m in status["members"] if m["reachable"]}
