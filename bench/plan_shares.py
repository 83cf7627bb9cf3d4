"""Measures the bytes, memory and processor time of dividing plans among daemons.

`python -m bench.plan_shares` prints one table as Markdown. It runs no separate
processes, so the results are slopes for docs/CAPACITY.md and not total costs.
"""

import time
import tracemalloc
from collections.abc import Callable
from typing import Final

from bench.revision import revision
from lavendertide.encodings.peer_frames import encode_frame
from lavendertide.ids import DaemonId, ExchangeId, Incarnation, PlanId
from lavendertide.messages import (
    MemberRecord,
    PlanClaim,
    PlanClaims,
    PlanGrant,
    PlanGrants,
)
from lavendertide.plans.allocation import Presence
from lavendertide.plans.allocator import PlanAllocator
from lavendertide.plans.allocators import Allocators
from standins.records import member_record

MEMBERS: Final = 1_530
HOLDERS: Final = (4, 28, 112, 400)
PLANS: Final = (1, 10, 50)
ROUNDS: Final = 20
RATE_PER_S: Final = 400.0


def main() -> None:
    """Measures and prints the rows of the table."""
    print(f"commit {revision()}, {MEMBERS} members\n")
    print("| what | size | figure |")
    print("| --- | --- | --- |")
    for count in PLANS:
        sent, received = _frame_bytes(count)
        print(
            f"| claim, grant of an allocator | {count} plans | {sent}, {received} B |"
        )
    for count in HOLDERS:
        cost_us = _claim_cost_us(count)
        print(f"| allocator, one claim | {count} holders | {cost_us:.1f} us |")
        print(
            f"| allocator, memory a plan | {count} holders | {_memory_bytes(count)} B |"
        )
    print(
        f"| ranking a plan's allocators | {MEMBERS} members "
        f"| {_ranking_cost_us():.0f} us |"
    )


def _frame_bytes(plans: int) -> tuple[int, int]:
    names = [PlanId(f"plan-of-owner-{number}") for number in range(plans)]
    claims = tuple(PlanClaim(name, 12.5, 0.25, 6, 6) for name in names)
    grants = tuple(PlanGrant(name, 0.25, True) for name in names)
    sent = PlanClaims(
        ExchangeId("12345"), DaemonId("association-123"), Incarnation(1), claims
    )
    return (
        len(encode_frame(sent)),
        len(encode_frame(PlanGrants(ExchangeId("12345"), grants))),
    )


def _allocator() -> PlanAllocator:
    return PlanAllocator(lambda _: RATE_PER_S, lambda _: Presence.PRESENT, -10.0)


def _claim_all(allocator: PlanAllocator, holders: int, now_s: float) -> None:
    for number in range(holders):
        claim = PlanClaim(PlanId("p"), 5.0 + number % 7, 1.0 / holders, 6, 6)
        allocator.handle(
            PlanClaims(
                ExchangeId("1"), DaemonId(f"d-{number}"), Incarnation(1), (claim,)
            ),
            now_s + number / holders,
        )


def _claim_cost_us(holders: int) -> float:
    allocator = _allocator()
    _claim_all(allocator, holders, 0.0)
    return _time_us(lambda: _claim_all(allocator, holders, 1.0)) / holders


def _memory_bytes(holders: int) -> int:
    tracemalloc.start()
    allocator = _allocator()
    _claim_all(allocator, holders, 0.0)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


def _ranking_cost_us() -> float:
    members = [_member(number) for number in range(MEMBERS)]
    allocators = Allocators()
    allocators.update_members(members)
    numbers = iter(range(ROUNDS + 1))
    return _time_us(lambda: allocators.allocators_of(PlanId(f"p-{next(numbers)}")))


def _time_us(action: Callable[[], object]) -> float:
    action()
    started_s = time.process_time()
    for _ in range(ROUNDS):
        action()
    return (time.process_time() - started_s) / ROUNDS * 1e6


def _member(number: int) -> MemberRecord:
    return member_record(
        f"daemon-{number}",
        f"region-{number % 2}",
        f"domain-{number % 7}",
        host=f"host-{number // 3}",
    )


if __name__ == "__main__":
    main()
