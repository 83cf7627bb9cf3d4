"""One sub-request to one target, and the connection that carries it."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from lavendertide.forwarding.messages import CallerRequest, NotRunReason, TargetReply
from lavendertide.registry.record import TargetRecord


@dataclass(eq=False, slots=True)
class TargetCall:
    """One sub-request to one target.

    Attributes:
        number: Identifies the call on this host.
        part: Number of the request's part that the call belongs to.
        request: The caller's request.
        record: The target.
        late_at_s: Time from which the reply is late, monotonic.
        ends_at_s: Time from which nobody waits for the reply, monotonic.
        done: Called once with the call and its reply.
        is_repeatable: Whether the request may be sent again if its fate is unknown.
        outages: How often the target had stopped accepting connections before.
        is_on_rested: Whether it was sent on a connection that had rested for too long
            for calls that can't be repeated.
        is_sent: Whether a byte of the request may have reached the target.
        is_cancelled: Whether nobody waits for the reply any more.
        channel: The connection while the exchange runs.
        priority: Calls with a lower number are sent first; zero where routes have none.
        queued_at_s: Time from which the call waits for a connection, monotonic.
    """

    number: int
    part: int
    request: CallerRequest
    record: TargetRecord
    late_at_s: float
    ends_at_s: float
    done: Callable[["TargetCall", TargetReply], None]
    outages: int = 0
    is_repeatable: bool = True
    is_on_rested: bool = False
    is_sent: bool = False
    is_cancelled: bool = False
    channel: "TargetChannel | None" = field(default=None, repr=False)
    priority: int = 0
    queued_at_s: float = 0.0

    def is_late(self, now_s: float) -> bool:
        """Returns whether the reply is late."""
        return now_s >= self.late_at_s

    def cancel(self) -> None:
        """Cancels the call; a running exchange ends, since its connection is closed."""
        if self.channel is not None and not self.is_cancelled:
            self.channel.close()
        self.is_cancelled = True


# Returns the reason why a call must not be sent at a time; none if it may be. The last
# argument is whether the call is sent at once if there is none.
FindBlockingReason = Callable[[TargetCall, float, bool], NotRunReason | None]


class TargetChannel(Protocol):
    """One connection to a target; implemented in `lavendertide.platform`."""

    def is_usable(self, now_s: float) -> bool:
        """Returns whether the connection is open and may carry the next request."""

    def open(self, timeout_s: float) -> bool:
        """Opens a new connection; returns whether the target accepted it."""

    def exchange(self, call: TargetCall, now_s: float) -> TargetReply:
        """Sends a request and waits for its reply."""

    def has_data(self) -> bool:
        """Returns whether data has arrived that was not read yet; never waits."""

    def close(self) -> None:
        """Closes the connection, which ends an exchange that waits for its reply."""

    def release(self) -> None:
        """Closes the connection and frees its descriptor; no exchange may run."""
