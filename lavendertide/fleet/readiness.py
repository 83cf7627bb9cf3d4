"""Decides whether this daemon's view of the fleet is current enough to serve.

A process that was paused for longer than a lease serves nothing until its peers have
replied again. Each check compares the present time with the last tick, so the first
request after a pause is refused before any task has noticed the pause. A daemon that
reaches no peer serves after a bounded wait, so both sides of a network split continue.
"""

from enum import Enum
from typing import Final

from returns.result import Failure, Result, Success

from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.fleet.metrics import NOT_READY_REFUSALS, PAUSES

# A daemon whose peers do not reply for this long serves without them.
ALONE_AFTER_S: Final = 3.0


class ReadinessState(Enum):
    """Whether the daemon serves, and if not, why."""

    JOINING = "joining"
    SERVING = "serving"
    REFRESHING = "refreshing"
    LEAVING = "leaving"


class Readiness:
    """Decides whether requests are accepted.

    Args:
        lease_s: A pause longer than this makes the view of the fleet stale.
        now_s: Start of the process, monotonic.
        join_s: Time after the start during which no requests are accepted.
    """

    def __init__(self, lease_s: float, now_s: float, join_s: float = 0.0) -> None:
        self._lease_s = lease_s
        self._joins_at_s = now_s + join_s
        self._state = ReadinessState.JOINING
        self._ticked_at_s = now_s
        self._stale_since_s: float | None = now_s
        self._closes_at_s: float | None = None
        self._has_unreported_pause = False

    @property
    def state(self) -> ReadinessState:
        """The state as of the last tick or check."""
        return self._state

    @property
    def stale_since_s(self) -> float | None:
        """Since when the view has been stale, or none if it is current."""
        return self._stale_since_s

    def tick(self, now_s: float) -> bool:
        """Records that the process runs.

        Returns:
            Whether a pause was detected since the last tick, here or by a check.
        """
        self._detect_pause(now_s)
        self._ticked_at_s = now_s
        had_pause, self._has_unreported_pause = self._has_unreported_pause, False
        return had_pause

    def finish_refresh(self, is_current: bool, now_s: float) -> bool:
        """Ends the refresh if the view is current or the wait for peers is over.

        Args:
            is_current: Whether peers or the platform have confirmed the view.
            now_s: Present time, monotonic.

        Returns:
            Whether the daemon has just begun to serve.
        """
        if self._stale_since_s is None:
            return False
        if now_s < self._joins_at_s:
            return False
        if not is_current and now_s - self._stale_since_s < ALONE_AFTER_S:
            return False
        self._stale_since_s = None
        if self._state is ReadinessState.LEAVING:
            return False
        self._state = ReadinessState.SERVING
        return True

    def leave(self, closes_at_s: float) -> None:
        """Starts leaving; requests are still accepted until `closes_at_s`."""
        self._state = ReadinessState.LEAVING
        self._closes_at_s = closes_at_s

    def accepts(self, now_s: float) -> bool:
        """Returns whether `check` would accept a request, without any effect."""
        has_paused = now_s - self._ticked_at_s > self._lease_s
        is_closed = self._closes_at_s is not None and now_s >= self._closes_at_s
        return self._stale_since_s is None and not has_paused and not is_closed

    def check(self, now_s: float) -> Result[None, Refusal]:
        """Returns a refusal if a request can't be accepted now."""
        self._detect_pause(now_s)
        if self._stale_since_s is not None:
            NOT_READY_REFUSALS.inc()
            return Failure(_not_ready(self._state))
        if self._closes_at_s is not None and now_s >= self._closes_at_s:
            return Failure(_leaving())
        return Success(None)

    def _detect_pause(self, now_s: float) -> None:
        if now_s - self._ticked_at_s <= self._lease_s:
            return
        PAUSES.inc()
        self._ticked_at_s = now_s
        self._stale_since_s = now_s
        if self._state is not ReadinessState.LEAVING:
            self._state = ReadinessState.REFRESHING
        self._has_unreported_pause = True


def _not_ready(state: ReadinessState) -> Refusal:
    return Refusal(
        RefusalKind.NOT_READY,
        f"This host does not serve now: it is {state.value}.",
        "Use another address.",
        Fault.SYSTEM,
    )


def _leaving() -> Refusal:
    return Refusal(
        RefusalKind.LEAVING,
        "This host is leaving and accepts no more requests.",
        "Ask for addresses again and use another one.",
        Fault.SYSTEM,
    )
