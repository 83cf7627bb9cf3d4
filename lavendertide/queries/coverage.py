"""The shards that a response covers, and the reasons for those that it does not."""

from dataclasses import dataclass
from enum import Enum

from lavendertide.errors import Fault
from lavendertide.ids import ShardNumber
from lavendertide.messages import Answered, DeclineReason, LossReason


class GapReason(Enum):
    """Reason why a shard is not covered."""

    NO_ANSWER_IN_TIME = "no_answer_in_time"
    NO_REPLICA = "no_replica"
    REFUSED_BY_TARGETS = "refused_by_targets"
    TARGET_FAILED = "target_failed"
    VERSION_NOT_HELD = "version_not_held"
    POISONED = "poisoned"
    RESULT_TOO_LARGE = "result_too_large"


@dataclass(frozen=True, slots=True)
class Gap:
    """A shard that the response does not cover."""

    shard: ShardNumber
    reason: GapReason
    fault: Fault


class Coverage:
    """Tracks which shards of a pinned version are covered.

    Every shard is either covered or a gap with a reason, so covered shards and gaps
    together are always exactly the version's shards.
    """

    def __init__(self, shard_count: int) -> None:
        self._answers: dict[ShardNumber, Answered] = {}
        self._gaps = {
            ShardNumber(number): Gap(
                ShardNumber(number), GapReason.NO_ANSWER_IN_TIME, Fault.TARGET
            )
            for number in range(shard_count)
        }

    @property
    def is_complete(self) -> bool:
        """Whether every shard is covered."""
        return not self._gaps

    @property
    def answers(self) -> list[Answered]:
        """The answers, in the order of their shard numbers."""
        return [self._answers[shard] for shard in sorted(self._answers)]

    @property
    def covered(self) -> list[ShardNumber]:
        """The covered shards, in order."""
        return sorted(self._answers)

    @property
    def covered_count(self) -> int:
        """Number of covered shards."""
        return len(self._answers)

    @property
    def gaps(self) -> list[Gap]:
        """The uncovered shards with their reasons, in order."""
        return [self._gaps[shard] for shard in sorted(self._gaps)]

    def is_covered(self, shard: ShardNumber) -> bool:
        """Returns whether a shard is covered."""
        return shard in self._answers

    def cover(self, answer: Answered) -> bool:
        """Adds an answer; returns False if its shard is covered already or unknown."""
        if answer.shard not in self._gaps:
            return False
        del self._gaps[answer.shard]
        self._answers[answer.shard] = answer
        return True

    def set_gap_reason(self, shard: ShardNumber, gap: GapReason, fault: Fault) -> None:
        """Sets the reason of a gap; a covered shard stays covered."""
        if shard in self._gaps:
            self._gaps[shard] = Gap(shard, gap, fault)


def gap_of_decline(reason: DeclineReason) -> tuple[GapReason, Fault]:
    """Returns the gap reason and fault for a shard whose last attempt was declined."""
    match reason:
        case DeclineReason.VERSION_NOT_HELD:
            return GapReason.VERSION_NOT_HELD, Fault.TARGET
        case DeclineReason.POISONED:
            return GapReason.POISONED, Fault.CALLER
        case DeclineReason.UNREACHABLE:
            return GapReason.TARGET_FAILED, Fault.LINK
        case DeclineReason.NO_LEASE | DeclineReason.STALE_VIEW:
            return GapReason.NO_REPLICA, Fault.SYSTEM
        case _:
            return GapReason.REFUSED_BY_TARGETS, Fault.TARGET


def gap_of_loss(reason: LossReason) -> tuple[GapReason, Fault]:
    """Returns the gap reason and fault for a shard whose last attempt was lost."""
    match reason:
        case LossReason.TIMED_OUT:
            return GapReason.NO_ANSWER_IN_TIME, Fault.TARGET
        case LossReason.PEER_LOST:
            return GapReason.TARGET_FAILED, Fault.SYSTEM
        case LossReason.REPLY_TOO_LARGE:
            return GapReason.RESULT_TOO_LARGE, Fault.TARGET
        case _:
            return GapReason.TARGET_FAILED, Fault.TARGET
