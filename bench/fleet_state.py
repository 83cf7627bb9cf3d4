"""Measures the cost of the fleet's state in one daemon at the target size.

`python -m bench.fleet_state` builds a roster of the target size in this process and
prints one line of JSON with its memory and the sizes of frames. The line also has the
time to apply one change of a member to the roster, the watched members, the ranks and
the leases, and the time that the leases take on each tick.
"""

import json
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any, Final

from bench.revision import revision
from lavendertide.daemon.slot_manager import TICK_S
from lavendertide.encodings.peer_frames import encode_frame
from lavendertide.fleet.holders import HolderTable
from lavendertide.fleet.lease import LeaseTiming
from lavendertide.fleet.lease_book import LeaseBook
from lavendertide.fleet.overlay import RINGS, watched_by
from lavendertide.fleet.ranking import TargetRanks
from lavendertide.fleet.roster import Roster
from lavendertide.ids import ConfigurationVersion
from lavendertide.messages import Heartbeat, MemberRecord, MemberState, RosterPush
from lavendertide.targets.place import TargetPlace
from standins.records import member_record, target_place

DAEMONS: Final = 1_530
TARGETS: Final = 2_200
REGIONS: Final = ("north", "south")
DOMAINS: Final = (3, 4)
CHANGES: Final = 50
# Each daemon passes through four states: leaving, gone, joining and serving.
CHANGES_A_DAY: Final = 340 * 3 * 4
DAY_S: Final = 86_400
_BYTES_PER_MB: Final = 1_000_000


def main() -> int:
    """Prints the measurements and returns the exit code."""
    tracemalloc.start()
    roster = Roster(_member(0))
    roster.apply_records((_member(number) for number in range(DAEMONS)), 0.0)
    roster_mb = tracemalloc.get_traced_memory()[0] / _BYTES_PER_MB
    ranks = TargetRanks(roster)
    places = [_target(number) for number in range(TARGETS)]
    for place in places:
        ranks.ranked_members(place)
    state_mb = tracemalloc.get_traced_memory()[0] / _BYTES_PER_MB
    tracemalloc.stop()
    result = {
        "bench": "fleet_state",
        "commit": revision(),
        "daemons": DAEMONS,
        "roster_mb": round(roster_mb, 2),
        "roster_and_ranks_mb": round(state_mb, 2),
        **_measure_frames(roster),
        **_measure_leases(places),
        "follow_change_ms": _time_change_ms(roster, ranks, places),
        "watched_by_ms": _time_ms(
            lambda: watched_by(roster.own.daemon, roster.members)
        ),
    }
    print(json.dumps(result))
    return 0


def _measure_frames(roster: Roster) -> dict[str, Any]:
    version = ConfigurationVersion(100_000)
    idle = len(encode_frame(Heartbeat(1, (), version, 2**31)))
    with_record = len(encode_frame(Heartbeat(1, (roster.own,), version, 2**31)))
    # Sent once to each member that the daemon watches and to each that watches it.
    receivers = 2 * RINGS
    per_change = 2 * receivers * (with_record - idle)
    return {
        "heartbeat_bytes": idle,
        "record_bytes": with_record - idle,
        "tells_per_change": receivers,
        "change_bytes_per_daemon": per_change,
        "change_bytes_per_s": round(per_change * CHANGES_A_DAY / DAY_S, 1),
        "join_bytes": len(encode_frame(RosterPush(roster.members))),
    }


def _measure_leases(places: list[TargetPlace]) -> dict[str, Any]:
    """Measures the time that the leases of one region's targets take in a daemon."""
    roster = Roster(_member(0))
    roster.apply_records((_member(number) for number in range(DAEMONS)), 0.0)
    timing = LeaseTiming(lease_s=2.0, attempt_s=2.0, margin_s=0.5)
    leases = LeaseBook(
        roster, HolderTable(roster), timing, expects_peers=False, now_s=0.0
    )
    leases.update(places, 0.0)

    def tick() -> None:
        leases.detect_gaps(1.0)
        leases.due_claims(1.0)

    tick_ms = _time_ms(tick)
    started_s = time.process_time()
    for number in range(1, CHANGES + 1):
        roster.apply_records((_member(number, MemberState.LEAVING),), 1.0)
        leases.update(places, 1.0)
    apply_s = time.process_time() - started_s
    return {
        "leases_held": leases.held_count,
        "lease_tick_ms": tick_ms,
        "lease_ticks_percent_of_core": round(tick_ms / TICK_S / 10, 2),
        "lease_follow_change_ms": round(1_000 * apply_s / CHANGES, 2),
    }


def _time_change_ms(
    roster: Roster, ranks: TargetRanks, places: list[TargetPlace]
) -> float:
    started_s = time.process_time()
    for number in range(1, CHANGES + 1):
        roster.apply_records((_member(number, MemberState.LEAVING),), 1.0)
        ranks.ranked_members(places[0])
    took_s = time.process_time() - started_s
    return round(1_000 * took_s / CHANGES, 2)


def _time_ms(action: Callable[[], object]) -> float:
    started_s = time.process_time()
    for _ in range(CHANGES):
        action()
    return round(1_000 * (time.process_time() - started_s) / CHANGES, 3)


def _location_of(number: int) -> tuple[str, str]:
    """Returns the region and the failure domain of a daemon or target."""
    region = number % len(REGIONS)
    domain = number // len(REGIONS) % DOMAINS[region]
    name = REGIONS[region]
    return name, f"{name}-{domain}"


def _member(number: int, state: MemberState = MemberState.SERVING) -> MemberRecord:
    return member_record(
        f"owner-{number}",
        *_location_of(number),
        host=f"owner-{number // 3}-host",
        ip_number=f"10.0.{number // 250}.{number % 250}",
        incarnation=1_790_000_000_000 + number,
        state=state,
    )


def _target(number: int) -> TargetPlace:
    return target_place(
        f"index-{number}", *_location_of(number), address="10.1.0.1:8000"
    )


if __name__ == "__main__":
    sys.exit(main())
