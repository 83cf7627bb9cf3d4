"""Determines why the response to a search leaves out some of its shards.

Load pattern: a search needs a reply of every shard within its objective, so the slowest
of many sub-requests decides whether its response is whole.

The cause is determined once, when the request ends, from the state of each part. If
several causes apply, it is the one that came first or that the others follow from.
"""

from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum
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
from lavendertide.forwarding.parts import Part
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.ids import ServiceName

# Status of a target that has reached the deadline of a request.
DEADLINE_STATUS: Final = 504


class MissingCause(Enum):
    """Reasons for which a response leaves out a shard.

    The first attempt is the one that is sent on arrival, a hedge is sent while it is
    late, a retry is sent after a failure.
    """

    # No target of the shard took requests.
    NO_TARGET = "no_target"
    # The attempt was never sent, as all connections to its target were in use.
    WAITED_FOR_CONNECTION = "waited_for_connection"
    # The target accepted no connection.
    TARGET_UNREACHABLE = "target_unreachable"
    TARGET_FAILED = "target_failed"
    # The target was full.
    TARGET_REFUSED = "target_refused"
    # The target asked for a pause while the attempt waited for a connection.
    TARGET_PAUSED = "target_paused"
    # The target drained, left or was replaced before the attempt was sent.
    TARGET_WITHDRAWN = "target_withdrawn"
    # The request has crashed several targets.
    QUARANTINED = "quarantined"
    # The only attempt was not late yet at the end, so no hedge was due.
    HEDGE_NOT_DUE = "hedge_not_due"
    # The first attempt was late, and the budget did not allow a hedge.
    HEDGE_WITHHELD = "hedge_withheld"
    # The last attempt failed, and the budget did not allow a retry.
    RETRY_WITHHELD = "retry_withheld"
    # The first attempt was late, and the route or the registry had no other target.
    NO_OTHER_TARGET = "no_other_target"
    # The first attempt was late, and the hedge waited for a connection.
    HEDGE_WAITED = "hedge_waited_for_connection"
    # The first attempt was late, and the hedge was not late yet at the end.
    HEDGE_UNFINISHED = "hedge_unfinished"
    # The first attempt and all hedges were late.
    ALL_LATE = "all_attempts_late"
    # The reply had arrived at this host, which had not handled it yet.
    OWN_PROCESSOR = "own_processor"
    # The search ended before, as too many other shards had no reply to wait for.
    OTHERS_LOST = "others_lost"
    # The caller left before the objective.
    CALLER_LEFT = "caller_left"
    # This host ended.
    HOST_ENDS = "host_ends"


@dataclass(frozen=True, slots=True)
class MissingPart:
    """A shard that a response leaves out."""

    service: ServiceName
    cause: MissingCause


def find_missing(
    parts: Iterable[Part],
    unhandled_calls: Collection[int],
    interruption: MissingCause | None,
    now_s: float,
) -> list[MissingPart]:
    """Returns the parts without a reply and why each one is missing.

    It has to be called before any open call is cancelled.

    Args:
        parts: All parts of the request.
        unhandled_calls: Numbers of the calls whose replies have arrived, but were not
            handled when the request ended.
        interruption: Why the request ended before its objective, if it did. It is the
            cause of the parts that could still have received a reply.
        now_s: Present time, monotonic.
    """
    missing = []
    for part in parts:
        if part.is_done:
            continue
        if interruption is not None and not part.is_lost:
            cause = interruption
        elif any(
            _has_reply(call, unhandled_calls) for call in part.open_calls.values()
        ):
            cause = MissingCause.OWN_PROCESSOR
        else:
            cause = _cause_of(part, now_s)
        missing.append(MissingPart(part.service, cause))
    return missing


def count_causes(missing: Iterable[MissingPart]) -> dict[str, int]:
    """Returns the number of missing parts by the name of their cause."""
    return dict(Counter(part.cause.value for part in missing))


def _has_reply(call: TargetCall, unhandled_calls: Collection[int]) -> bool:
    if call.number in unhandled_calls:
        return True
    return call.channel is not None and call.channel.has_data()


def _cause_of(part: Part, now_s: float) -> MissingCause:
    calls = sorted(part.open_calls.values(), key=lambda call: call.number)
    match part.failure:
        case None if not calls:
            return MissingCause.NO_TARGET
        case None:
            return _cause_of_open_calls(calls, part.is_withheld, now_s)
        case NotRun(reason=reason) if calls and reason in UNSENT_REASONS:
            # Such an attempt never reached its target; another one has replaced it.
            return _cause_of_open_calls(calls, part.is_withheld, now_s)
        case _ if part.is_withheld and not calls:
            return MissingCause.RETRY_WITHHELD
        case failure:
            return _cause_of_failure(failure)


def _cause_of_open_calls(
    calls: list[TargetCall], is_withheld: bool, now_s: float
) -> MissingCause:
    first, last = calls[0], calls[-1]
    if not first.is_sent:
        return MissingCause.WAITED_FOR_CONNECTION
    if not first.is_late(now_s):
        return MissingCause.HEDGE_NOT_DUE
    if is_withheld:
        return MissingCause.HEDGE_WITHHELD
    if first is last:
        return MissingCause.NO_OTHER_TARGET
    if not last.is_sent:
        return MissingCause.HEDGE_WAITED
    if not last.is_late(now_s):
        return MissingCause.HEDGE_UNFINISHED
    return MissingCause.ALL_LATE


def _cause_of_failure(failure: TargetReply) -> MissingCause:
    match failure:
        case NotRun(reason=NotRunReason.REFUSED):
            return MissingCause.TARGET_REFUSED
        case NotRun(reason=NotRunReason.UNREACHABLE):
            return MissingCause.TARGET_UNREACHABLE
        case NotRun(reason=NotRunReason.PAUSED):
            return MissingCause.TARGET_PAUSED
        case NotRun(reason=NotRunReason.ABANDONED):
            return MissingCause.WAITED_FOR_CONNECTION
        case NotRun(reason=NotRunReason.QUARANTINED):
            return MissingCause.QUARANTINED
        case NotRun():
            return MissingCause.TARGET_WITHDRAWN
        case Unknown(reason=UnknownReason.TIMED_OUT | UnknownReason.CANCELLED):
            return MissingCause.ALL_LATE
        case Replied(status=status) if status == DEADLINE_STATUS:
            return MissingCause.ALL_LATE
        case _:
            return MissingCause.TARGET_FAILED
