"""The load that a target reports in its replies."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """How busy a target was when it sent a reply.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait for a slot.
        slots: Requests that it runs concurrently; at least one.
        work_percent: How long work takes there now, in percent of usual; none if the
            target doesn't say.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int | None = None

    @property
    def is_long_queue(self) -> bool:
        """Whether a new request would have waited for a whole one or longer."""
        return self.waiting >= self.slots
