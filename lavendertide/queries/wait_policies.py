"""Decides how long a query waits for its last shards, by its index's preference."""

import math
from typing import Final

from lavendertide.configuration.catalog import Index
from lavendertide.options import (
    CoverageFirst,
    LatencyFirst,
    PolicyOptions,
    WaitPolicy,
)
from lavendertide.queries.deadline import Deadline

# The slots of a drained daemon are handed over within about one heartbeat of a peer,
# those of a crashed one within seconds. Five more requests per second cost little
# compared with a response that has gaps.
HANDOVER_PAUSE_S: Final = 0.025
HANDOVER_PAUSE_MAX_S: Final = 0.2


def select_wait_policy(policies: PolicyOptions, index: Index) -> WaitPolicy:
    """Returns the wait policy that the index's owner chose in the list of uses."""
    if index.preference == "coverage":
        return policies.coverage_first
    return policies.latency_first


def response_due_s(
    policy: WaitPolicy,
    deadline: Deadline,
    started_at_s: float,
    covered: int,
    shard_count: int,
) -> float:
    """Returns the time at which a response with uncovered shards may be sent.

    Args:
        policy: Wait policy of the index.
        deadline: Time at which the response must be sent.
        started_at_s: Time at which the query started.
        covered: Number of shards covered so far.
        shard_count: Number of shards of the version.
    """
    match policy:
        case LatencyFirst(deadline_share=share, coverage_min=coverage_min):
            if covered < coverage_min * shard_count:
                return deadline.at_s
            return started_at_s + share * (deadline.at_s - started_at_s)
        case CoverageFirst():
            return deadline.at_s


def round_pause_s(
    policy: WaitPolicy, rounds: int, is_handed_over: bool
) -> float | None:
    """Returns the pause before a shard's next round, or None for no further round.

    Under each policy a query waits for slots that are being handed over from one daemon
    to another, for as long as its deadline and the retry budget allow.

    Args:
        policy: Wait policy of the index.
        rounds: Number of rounds that the shard has had.
        is_handed_over: Whether no daemon could use a replica's slots in the last round.
    """
    match policy:
        case CoverageFirst(rounds=rounds_max, pause_ms=pause_ms) if rounds < rounds_max:
            return math.ldexp(pause_ms / 1000, rounds - 1)
        case _ if is_handed_over:
            pause_s = math.ldexp(HANDOVER_PAUSE_S, rounds - 1)
            return min(HANDOVER_PAUSE_MAX_S, pause_s)
        case _:
            return None
