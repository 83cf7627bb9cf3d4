"""Converts failure logs and lanes to documents of the administration API."""

from typing import Final

from lavendertide.encodings import admin_json
from lavendertide.ids import OwnerId
from lavendertide.plans.failure_logs import FailureLog
from lavendertide.targets.condition import Reachability
from lavendertide.targets.lane import Lane

DRAINING: Final = "draining"
STATES: Final = (*(reach.value for reach in Reachability), DRAINING)


def failure_log_document(
    owner: OwnerId, failure_log: FailureLog, entries_max: int
) -> admin_json.FailureLogDocument:
    """Returns an owner's failure log with its newest `entries_max` entries."""
    return admin_json.FailureLogDocument(
        owner=owner,
        recorded=failure_log.recorded,
        tallies=tuple(
            admin_json.FailureCountDocument(
                kind=tally.kind.value,
                reason=tally.reason,
                fault=tally.fault.value,
                count=count,
            )
            for tally, count in failure_log.tallies.items()
        ),
        entries=tuple(
            admin_json.FailureDocument(
                at_s=entry.at_s,
                query=entry.query,
                plan=entry.plan,
                index=entry.index,
                kind=entry.kind.value,
                reason=entry.reason,
                fault=entry.fault.value,
                shards=entry.shards,
            )
            for entry in failure_log.entries(entries_max)
        ),
    )


def target_document(lane: Lane, now_s: float) -> admin_json.TargetDocument:
    """Returns the state, queue and slots of a target that this daemon holds."""
    place = lane.place
    return admin_json.TargetDocument(
        target=place.target,
        owner=place.owner,
        index=place.index,
        failure_domain=place.failure_domain,
        address=place.address,
        state=state_of(lane, now_s),
        queued=lane.queued,
        slots_in_use=lane.slots_in_use,
        usable_slots=lane.usable_slots(now_s),
        spare_slots=lane.spare_slots(now_s),
        slots=place.slots,
    )


def state_of(lane: Lane, now_s: float) -> str:
    """Returns a target's state, one of `STATES`; draining overrides reachability."""
    if lane.condition.is_draining(now_s):
        return DRAINING
    return lane.condition.reach.value
