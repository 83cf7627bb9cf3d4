"""Interfaces of the connections to a target."""

from dataclasses import dataclass
from typing import Protocol

from lavendertide.ids import AttemptId
from lavendertide.messages import SubReply, SubRequest
from lavendertide.poison.quarantine import Permission
from lavendertide.targets.place import TargetPlace


class TargetExchange(Protocol):
    """One working connection; it carries one sub-request at a time."""

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""

    def open(self) -> bool:
        """Opens or reopens the connection; returns whether that succeeded."""

    def run(self, request: SubRequest, timeout_s: float) -> SubReply:
        """Sends one sub-request; returns the reply, or a loss if none arrived."""

    def close(self) -> None:
        """Closes the connection."""


class TargetControl(Protocol):
    """The connection for cancellations and health checks."""

    def cancel(self, attempt: AttemptId, timeout_s: float) -> bool:
        """Cancels an attempt; returns whether the target confirmed that it ended."""

    def is_draining(self, timeout_s: float) -> bool:
        """Returns whether the target's health endpoint reports that it is draining."""

    def close(self) -> None:
        """Closes the connection."""


class ExchangeFactory(Protocol):
    """Creates connections to targets without opening them."""

    def exchange(self, place: TargetPlace) -> TargetExchange:
        """Returns a closed working connection."""

    def control(self, place: TargetPlace) -> TargetControl:
        """Returns a control connection."""


class CrashObserver(Protocol):
    """Tracks the requests that were in flight when a target closed its connections."""

    def permission(self, request: SubRequest, now_s: float) -> Permission:
        """Returns whether a request may run freely, only alone, or never."""

    def record_crash(self, request: SubRequest, was_alone: bool) -> None:
        """Records that a target closed the connection that carried a request."""

    def record_answer(self, request: SubRequest) -> None:
        """Records that a request that ran alone was answered."""


@dataclass(frozen=True, slots=True)
class ExchangeTiming:
    """Intervals used by the connection tasks of a target.

    Attributes:
        health_poll_s: Interval between two health checks.
        end_margin_s: Time after its deadline at which an attempt has ended at the
            target.
    """

    health_poll_s: float = 2.0
    end_margin_s: float = 0.25
