"""Rules between the keys of the settings.

`lavendertide.options` validates each key separately; this module detects keys that
contradict each other although each has a valid value.
"""

import itertools
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from lavendertide.options import BudgetedHedge, Options

HEARTBEATS_PER_LEASE: Final = 2
ANY_ADDRESS: Final = "0.0.0.0:"
LOOPBACK_NET: Final = "127."

KeyPath = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Contradiction:
    """A conflict between keys that each have a valid value.

    Attributes:
        path: The key to change.
        message: The conflict, in one sentence.
        remedy: The change that resolves it, in one sentence.
    """

    path: KeyPath
    message: str
    remedy: str


def contradictions(options: Options) -> Iterator[Contradiction]:
    """Yields the contradictions between keys of the settings."""
    yield from _check_addresses(options)
    yield from _check_seeds(options)
    yield from _check_lease(options)
    yield from _check_query_bounds(options)
    yield from _check_ticket_bounds(options)
    yield from _check_administration(options)


def _check_addresses(options: Options) -> Iterator[Contradiction]:
    own = options.addresses
    listeners = {"callers": own.callers, "peers": own.peers, "admin": own.admin}
    used_by: dict[str, str] = {}
    for name, address in listeners.items():
        if address in used_by:
            yield Contradiction(
                ("addresses", name),
                f"'{address}' is also the address of '{used_by[address]}'.",
                "Give each listener a port of its own.",
            )
        used_by[address] = name
        if name != "admin" and address.startswith(ANY_ADDRESS):
            yield Contradiction(
                ("addresses", name),
                f"'{address}' is sent to other processes, which cannot connect to it.",
                "Write the host's own IP number.",
            )
    for name, address in (
        ("configuration", options.platform.configuration),
        ("membership", options.platform.membership),
    ):
        if address in used_by:
            yield Contradiction(
                ("platform", name),
                f"'{address}' is this daemon's own address for '{used_by[address]}'.",
                "Write the address of the platform's service.",
            )


def _check_seeds(options: Options) -> Iterator[Contradiction]:
    counts = Counter(options.fleet.seeds)
    for number, seed in enumerate(options.fleet.seeds):
        if seed == options.addresses.peers:
            yield Contradiction(
                ("fleet", "seeds", number),
                f"'{seed}' is this daemon's own address.",
                "Name only other daemons; three are enough.",
            )
        elif counts[seed] > 1:
            yield Contradiction(
                ("fleet", "seeds", number),
                f"'{seed}' appears {counts[seed]} times.",
                "Name each seed once.",
            )


def _check_lease(options: Options) -> Iterator[Contradiction]:
    fleet = options.fleet
    if fleet.lease_s < HEARTBEATS_PER_LEASE * fleet.heartbeat_s:
        yield Contradiction(
            ("fleet", "lease_s"),
            f"A lease of {fleet.lease_s:g} s is shorter than two heartbeats of "
            f"{fleet.heartbeat_s:g} s; one lost heartbeat would end it.",
            "Raise lease_s or lower heartbeat_s.",
        )


def _check_query_bounds(options: Options) -> Iterator[Contradiction]:
    queries = options.queries
    ordered = (
        ("reply_max_bytes", queries.reply_max_bytes),
        ("query_max_bytes", queries.query_max_bytes),
        ("results_max_bytes", queries.results_max_bytes),
    )
    for (lower, low), (upper, high) in itertools.pairwise(ordered):
        if low > high:
            yield Contradiction(
                ("queries", upper),
                f"{upper} is {high}, less than the {low} of {lower}.",
                f"Raise {upper} or lower {lower}.",
            )
    hedging = options.policies.hedging
    if not isinstance(hedging, BudgetedHedge):
        return
    if hedging.delay_min_ms >= queries.deadline_max_ms:
        yield Contradiction(
            ("policies", "hedging", "delay_min_ms"),
            f"Hedges start after {hedging.delay_min_ms:g} ms at the earliest, but the "
            f"longest deadline is {queries.deadline_max_ms} ms.",
            "Lower delay_min_ms, or choose the policy 'never'.",
        )


def _check_ticket_bounds(options: Options) -> Iterator[Contradiction]:
    tickets = options.tickets
    if tickets.kept_per_plan_max > tickets.kept_max:
        yield Contradiction(
            ("tickets", "kept_per_plan_max"),
            f"One plan may have {tickets.kept_per_plan_max} tickets, more than the "
            f"{tickets.kept_max} of the process.",
            "Lower kept_per_plan_max or raise kept_max.",
        )
    if tickets.lifetime_s * 1000 < options.queries.deadline_max_ms:
        yield Contradiction(
            ("tickets", "lifetime_s"),
            f"A ticket is valid for {tickets.lifetime_s:g} s, less than the longest "
            f"deadline of {options.queries.deadline_max_ms} ms.",
            "Raise lifetime_s or lower queries.deadline_max_ms.",
        )


def _check_administration(options: Options) -> Iterator[Contradiction]:
    is_local = options.addresses.admin.startswith(LOOPBACK_NET)
    if not is_local and not options.admin.operator_keys:
        yield Contradiction(
            ("addresses", "admin"),
            f"Without operator keys, '{options.addresses.admin}' is open to everybody.",
            "Name a key in admin.operator_keys, or put addresses.admin on 127.0.0.1.",
        )
