"""What a lane's tasks need of the connections to a target."""

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
        """Whether the connection can be used now."""

    def open(self) -> bool:
        """Opens the connection anew; returns whether it can be used."""

    def run(self, request: SubRequest, timeout_s: float) -> SubReply:
        """Sends one sub-request and returns what became of it."""

    def close(self) -> None:
        """Closes the connection."""


class TargetControl(Protocol):
    """The connection on which attempts are cancelled and the health is read."""

    def cancel(self, attempt: AttemptId, timeout_s: float) -> bool:
        """Ends an attempt; returns whether the target says that it has ended."""

    def is_draining(self, timeout_s: float) -> bool:
        """Returns whether the target's health endpoint says that it is leaving."""

    def close(self) -> None:
        """Closes the connection."""


class ExchangeFactory(Protocol):
    """Makes connections to targets; nothing is opened yet."""

    def exchange(self, place: TargetPlace) -> TargetExchange:
        """Returns a working connection."""

    def control(self, place: TargetPlace) -> TargetControl:
        """Returns a connection for control."""


class CrashWitness(Protocol):
    """Is told what was in flight when a target closed its connections."""

    def permission(self, request: SubRequest, now_s: float) -> Permission:
        """Returns how a request may run now."""

    def record_crash(self, request: SubRequest, was_alone: bool) -> None:
        """Notes that a target closed the connection that carried a request."""

    def record_reply(self, request: SubRequest) -> None:
        """Notes that a request that ran alone was answered."""


@dataclass(frozen=True, slots=True)
class ExchangeTiming:
    """Times of the tasks of one target's connections.

    Attributes:
        health_poll_s: Time between two looks at the health endpoint.
        end_margin_s: An attempt has ended at the target this long after its deadline.
    """

    health_poll_s: float = 2.0
    end_margin_s: float = 0.25
