"""How long an answer waits for the last shards, as the index's owner prefers."""

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

# A drained daemon hands its slots over in about one heartbeat of a peer, a crashed one
# within seconds. Five more requests a second cost little beside an answer with gaps.
HANDOVER_PAUSE_S: Final = 0.025
HANDOVER_PAUSE_MAX_S: Final = 0.2


def select_wait_policy(policies: PolicyOptions, index: Index) -> WaitPolicy:
    """Returns the policy that an index's owner has chosen in the list of uses."""
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
    """Returns when an answer with some shards uncovered may leave.

    Args:
        policy: What the owner prefers.
        deadline: When it has to leave.
        started_at_s: When the query came.
        covered: Shards that are covered so far.
        shard_count: Shards of the version.
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
    """Returns the pause before a shard's replicas are asked again, none for never.

    Slots that pass from one daemon to another are worth waiting for under each policy,
    for as long as the query's deadline and the retry budget allow.

    Args:
        policy: What the owner prefers.
        rounds: How many rounds the shard has had.
        is_handed_over: Whether no daemon could use a replica's slots in the last round.
    """
    match policy:
        case CoverageFirst(rounds=most, pause_ms=pause_ms) if rounds < most:
            return math.ldexp(pause_ms / 1000, rounds - 1)
        case _ if is_handed_over:
            pause_s = math.ldexp(HANDOVER_PAUSE_S, rounds - 1)
            return min(HANDOVER_PAUSE_MAX_S, pause_s)
        case _:
            return None
