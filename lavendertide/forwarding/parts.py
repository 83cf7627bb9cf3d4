"""The state of a request at each of the services that have to reply to it."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from lavendertide.forwarding.messages import (
    UNSENT_REASONS,
    NotRun,
    NotRunReason,
    Replied,
    TargetReply,
    Unknown,
    UnknownReason,
)
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.ids import ServiceName, TargetId
from lavendertide.registry.record import TargetRecord

# Pause before a retry, doubled for each further failure.
RETRY_PAUSE_MIN_S: Final = 0.02
RETRY_PAUSE_MAX_S: Final = 0.32


@dataclass(slots=True)
class Part:
    """The part of a request that one service has to reply to.

    Attributes:
        service: The service.
        tried_targets: Targets that the request was sent to.
        unreachable_targets: Those of them that accepted no connection, so that nothing
            was sent.
        open_calls: Calls without a reply, by their number.
        reply: The successful reply, once there is one.
        failure: The last unsuccessful reply.
        may_have_run: Whether a target may have run the request without a usable reply.
        has_reached_target: Whether a target has received the request; it may have
            refused it.
        late_at_s: Time at which the request is hedged, that is sent to another target
            while the first call is open; none if no hedge is due.
        retry_at_s: Time of the next attempt after a refusal or failure; none if no
            retry is planned.
        failed_rounds: Number of refusals and failures; each one doubles the next pause.
        is_withheld: Whether the budget did not allow the last repeat.
    """

    service: ServiceName
    tried_targets: list[TargetId] = field(default_factory=list)
    unreachable_targets: set[TargetId] = field(default_factory=set)
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
        """Whether there is a successful reply."""
        return self.reply is not None

    @property
    def attempts(self) -> int:
        """Number of targets that the request was sent to, or may be."""
        return len(self.tried_targets) - len(self.unreachable_targets)

    @property
    def has_sent_call(self) -> bool:
        """Whether an open call has been sent, and doesn't wait for a connection."""
        return any(call.is_sent for call in self.open_calls.values())

    @property
    def has_failed_unsent(self) -> bool:
        """Whether attempts have failed before a byte reached any target.

        The next attempt is then not an extra one, so it needs no budget.
        """
        return (
            self.failure is not None
            and not self.has_reached_target
            and not self.open_calls
        )

    @property
    def is_lost(self) -> bool:
        """Whether there is no reply and no open call or planned retry."""
        return self.reply is None and not self.open_calls and self.retry_at_s is None

    @property
    def has_run_or_may_run(self) -> bool:
        """Whether a target has run the request, may have, or may still do so."""
        return self.may_have_run or self.has_sent_call or self.is_done

    @property
    def retry_pause_s(self) -> float:
        """Seconds before the next retry, doubled for each further failure."""
        pause_s = RETRY_PAUSE_MIN_S * 2.0 ** max(0, self.failed_rounds - 1)
        return min(RETRY_PAUSE_MAX_S, pause_s)

    @property
    def due_at_s(self) -> float | None:
        """Time of the next hedge or retry; none if neither is planned."""
        due = [at for at in (self.late_at_s, self.retry_at_s) if at is not None]
        return min(due) if due and self.reply is None else None

    @property
    def is_starved(self) -> bool:
        """Whether the targets were full or have not replied in time."""
        match self.failure:
            case None:
                return bool(self.open_calls)
            case NotRun(reason=NotRunReason.REFUSED | NotRunReason.PAUSED):
                return True
            case Unknown(reason=UnknownReason.TIMED_OUT):
                return True
            case _:
                return False

    def find_untried(self, ranked: Iterable[TargetRecord]) -> TargetRecord | None:
        """Returns the first target that was not tried."""
        return next((r for r in ranked if r.target not in self.tried_targets), None)

    def find_tried(self, ranked: Iterable[TargetRecord]) -> TargetRecord | None:
        """Returns the first target that was tried and has no open call."""
        for record in ranked:
            is_tried = record.target in self.tried_targets
            if is_tried and not self.has_open_call(record.target):
                return record
        return None

    def record_failure(self, reply: TargetReply) -> None:
        """Records an unsuccessful reply and whether the request may have run."""
        match reply:
            case NotRun(target=target, reason=reason) if reason in UNSENT_REASONS:
                # It says nothing about the part, so an earlier failure stands. The
                # target doesn't count among those that the request may be sent to.
                self.failure = self.failure or reply
                if target in self.tried_targets and not self.has_open_call(target):
                    self.tried_targets.remove(target)
                return
        self.failure = reply
        self.failed_rounds += 1
        match reply:
            case NotRun(reason=NotRunReason.REFUSED | NotRunReason.OTHER_TARGET):
                self.has_reached_target = True
            case NotRun(target=target, reason=NotRunReason.UNREACHABLE):
                self.unreachable_targets.add(target)
            case NotRun():
                pass
            case _:
                self.has_reached_target = self.may_have_run = True

    def has_open_call(self, target: TargetId) -> bool:
        """Returns whether a call to a target has no reply yet."""
        return any(call.record.target == target for call in self.open_calls.values())

    def has_late_call(self, now_s: float) -> bool:
        """Returns whether the reply to any open call is late."""
        return any(call.is_late(now_s) for call in self.open_calls.values())

    def cancel_late_calls(self, now_s: float) -> None:
        """Cancels the open calls whose replies are late.

        Nobody waits for these replies any more, but the calls hold a slot of their
        target and one of the few connections to it. Calls that aren't late are about
        to end, so they are left open.
        """
        for call in self.open_calls.values():
            if call.is_late(now_s):
                call.cancel()
