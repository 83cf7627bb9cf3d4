"""Builds the response to a request from the replies of its targets."""

from collections.abc import Sequence

from lavendertide.forwarding.merging import merge_greatest_records
from lavendertide.forwarding.messages import (
    Failed,
    Gathered,
    Passed,
    RefusalCause,
    Replied,
)
from lavendertide.forwarding.parts import Part
from lavendertide.routes.route import GatheredShards, Route


def build_success(
    route: Route, parts: Sequence[Part], replies: Sequence[Replied]
) -> Gathered | Passed | None:
    """Returns the response that passes on replies; none if there are too few.

    Args:
        route: The route of the request.
        parts: All parts of the request.
        replies: The successful replies, in the order of their arrival.
    """
    match route.destination:
        case GatheredShards(records_max=records_max):
            if len(replies) < route.replies_min:
                return None
            return Gathered(
                tuple(reply.signature for reply in replies),
                len(parts) - len(replies),
                merge_greatest_records((r.body for r in replies), records_max),
            )
        case _:
            part = parts[0]
            if part.reply is not None:
                return Passed(part.reply)
            if isinstance(part.failure, Replied) and not part.open_calls:
                return Passed(part.failure)
            return None


def build_failure(is_gathered: bool, is_late: bool) -> Failed:
    """Returns the response to a request that a target may have run.

    Args:
        is_gathered: Whether the request is a search over shards.
        is_late: Whether it ran out of time.
    """
    if is_late:
        return Failed(RefusalCause.TIMED_OUT, is_late)
    cause = RefusalCause.TARGETS_FAILED
    return Failed(RefusalCause.TOO_FEW_SHARDS if is_gathered else cause, is_late)
