"""The task of one connection to a target.

Each connection carries one sub-request at a time, so that a lane with as many
connections as slots never overruns its target.
"""

from typing import Protocol

from lavendertide.configuration.catalog import TargetPlace
from lavendertide.messages import Declined, SubReply, SubRequest
from lavendertide.runtime import clock, tasks
from lavendertide.targets.lane import Lane


class TargetExchange(Protocol):
    """One connection's way of asking a target."""

    def run(
        self, place: TargetPlace, request: SubRequest, timeout_s: float
    ) -> SubReply:
        """Sends one sub-request and returns what became of it."""

    def close(self) -> None:
        """Closes the connection."""


def serve_connection(
    lane: Lane, wake_ups: tasks.Mailbox[None], exchange: TargetExchange
) -> None:
    """Carries sub-requests to a target for as long as its lane exists."""
    while True:
        wake_ups.receive()
        job = lane.take()
        if job is None:
            continue
        now_s = clock.monotonic_s()
        reason = lane.reason_to_drop(job, now_s)
        if reason is not None:
            reply: SubReply = Declined(job.request.attempt, reason)
        else:
            timeout_s = job.deadline.remaining_s(now_s)
            reply = exchange.run(lane.place, job.request, timeout_s)
        lane.free(job.request.attempt)
        job.inbox.send(reply)
