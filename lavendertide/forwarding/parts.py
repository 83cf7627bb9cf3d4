"""How far the asking for each service of one request has come."""

from dataclasses import dataclass, field

from lavendertide.forwarding.messages import (
    NotRun,
    NotRunReason,
    Replied,
    TargetReply,
    Unknown,
    UnknownReason,
)
from lavendertide.forwarding.pool import TargetCall
from lavendertide.ids import ServiceName, TargetId


@dataclass(slots=True)
class Part:
    """One service that has to answer.

    Attributes:
        tried_targets: Targets that the request was sent to.
        open_calls: Calls without a reply, by number.
        reply: The reply that counts, once there is one.
        failure: The last reply that does not count.
        may_have_run: Whether a target may have run the request without a usable reply.
        has_reached_target: Whether it has come to a target, which may have refused it.
        late_at_s: When another target is asked beside the open call.
        retry_at_s: When a target is asked again after a refusal.
        failed_rounds: Refusals and failures so far; each makes the next pause longer.
        is_withheld: Whether the budget did not allow the last repeat.
    """

    service: ServiceName
    tried_targets: list[TargetId] = field(default_factory=list)
    open_calls: dict[int, TargetCall] = field(default_factory=dict)
    reply: Replied | None = None
    failure: TargetReply | None = None
    may_have_run: bool = False
    has_reached_target: bool = False
    late_at_s: float | None = None
    retry_at_s: float | None = None
    failed_rounds: int = 0
    is_withheld: bool = False

    @property
    def is_done(self) -> bool:
        """Whether it has its reply."""
        return self.reply is not None

    @property
    def is_lost(self) -> bool:
        """Whether nothing is open or planned that could still bring a reply."""
        return self.reply is None and not self.open_calls and self.retry_at_s is None

    @property
    def due_at_s(self) -> float | None:
        """When something has to be done if no reply comes before."""
        due = [at for at in (self.late_at_s, self.retry_at_s) if at is not None]
        return min(due) if due and self.reply is None else None

    @property
    def is_starved(self) -> bool:
        """Whether its targets had no time or no room for it."""
        match self.failure:
            case None:
                return bool(self.open_calls)
            case NotRun(reason=NotRunReason.REFUSED):
                return True
            case Unknown(reason=UnknownReason.TIMED_OUT):
                return True
            case _:
                return False

    def record_failure(self, reply: TargetReply) -> None:
        """Notes a reply that does not count."""
        self.failure = reply
        self.failed_rounds += 1
        match reply:
            case NotRun(reason=NotRunReason.UNREACHABLE | NotRunReason.ABANDONED):
                pass
            case NotRun():
                self.has_reached_target = True
            case _:
                self.has_reached_target = self.may_have_run = True

    def has_late_call(self, now_s: float) -> bool:
        """Returns whether an open call takes longer than usual."""
        return any(call.is_late(now_s) for call in self.open_calls.values())

    def cancel_late_calls(self, now_s: float) -> None:
        """Breaks off open calls that take longer than usual.

        Where nobody waits for them any more, they hold a slot of their target and one
        of the few connections to it. One that is not late has nearly ended.
        """
        for call in self.open_calls.values():
            if call.is_late(now_s):
                call.cancel()
