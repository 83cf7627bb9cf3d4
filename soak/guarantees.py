"""Checks the outcomes of requests against the guarantees that gateways give callers."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from soak.callers import DEADLINE_S, Outcome, RequestKind
from soak.gateways import FaultRecord
from standins.gateway_process import START_TIMEOUT_S
from standins.platform_store import PlainTarget

# Statuses that guarantee that the request has not run.
NOT_RUN_STATUSES: Final = frozenset({408, 429, 503})
# Tolerance on deadlines: a loaded machine may schedule a process this much later. The
# performance target demands no tighter one.
LATE_SLACK_S: Final = 1.0


def find_violations(
    outcomes: Sequence[Outcome],
    targets: Iterable[PlainTarget],
    record: FaultRecord,
) -> list[str]:
    """Returns one line for each violated guarantee.

    Args:
        outcomes: The outcomes of all requests of the callers.
        targets: All targets that ever ran, with the requests that they ran.
        record: The disturbances of gateways and the store, and the versions.
    """
    targets = list(targets)
    service_of = {target.name: target.service for target in targets}
    ran = Counter(
        (name, target.name) for target in targets for name in target.executed_requests
    )
    runs: Counter[str] = Counter()
    targets_of: defaultdict[str, list[str]] = defaultdict(list)
    for (name, target_name), count in ran.items():
        runs[name] += count
        targets_of[name].append(target_name)
    violations: list[str] = []
    for outcome in outcomes:
        violations += _check_runs(outcome, runs[outcome.name])
        violations += _check_content(outcome, ran)
        violations += _check_route(outcome, service_of, record)
        violations += _check_timing(outcome, record)
        for name in targets_of[outcome.name]:
            if record.is_left(name, outcome):
                violations.append(f"drain: {outcome.name} reached {name}, which drains")
    return violations


def _check_runs(outcome: Outcome, runs: int) -> Iterable[str]:
    if outcome.kind is RequestKind.ORDER and runs > 1:
        yield f"once: {outcome.name} ran {runs} times"
    if outcome.status in NOT_RUN_STATUSES and runs:
        yield f"not run: {outcome.name} got {outcome.status} and ran"
    if outcome.is_behind_last and runs:
        yield f"not run: {outcome.name} came after the last response and ran"


def _check_content(outcome: Outcome, ran: Counter[tuple[str, str]]) -> Iterable[str]:
    """Checks the content of a response.

    A response must belong to its request, name only targets that ran the request, and
    report every missing shard.
    """
    if outcome.status != 200:
        return
    if outcome.echoed not in ("", outcome.name):
        yield f"mixed: {outcome.name} got the response to {outcome.echoed}"
    for signature in outcome.signatures:
        if not ran[outcome.name, signature]:
            yield f"mixed: {outcome.name} names {signature}, which did not run it"
    is_search = outcome.kind is RequestKind.SEARCH
    if not is_search and not outcome.body.startswith(
        b"".join(s.encode() for s in outcome.signatures)
    ):
        yield f"mixed: {outcome.name} has the body {outcome.body!r}"


def _check_route(
    outcome: Outcome, service_of: Mapping[str, str], record: FaultRecord
) -> Iterable[str]:
    """Checks that a version allows the response that may have been in force.

    The shards of a search are those of one version, and those that its response lacks
    are reported. A version without the route allows only 404.
    """
    allowed = record.find_services(outcome)
    if outcome.status == 404 and () not in allowed:
        yield f"route: {outcome.name} got 404, but its route is there"
    if outcome.status != 200:
        return
    signatures = set(outcome.signatures)
    found = sorted(service_of[each] for each in signatures if each in service_of)
    if outcome.kind is RequestKind.SEARCH:
        count = len(signatures) + outcome.missing
        sets = [set(services) for services in allowed if len(services) == count]
        # Every shard replies for itself alone.
        is_set = len(set(found)) == len(signatures)
        if not is_set or not any(each.issuperset(found) for each in sets):
            yield f"whole: {outcome.name} has {found}, {outcome.missing}"
    elif any((service,) not in allowed for service in found):
        yield f"route: {outcome.name} ran at {found}, its services are {allowed}"


def _check_timing(outcome: Outcome, record: FaultRecord) -> Iterable[str]:
    """Checks that a request got its response by the deadline.

    Requests that overlap with the time in which their gateway was killed or paused are
    exempt. Only a request that was sent after its gateway began to stop may get no
    response at all, or one behind the response with which the gateway has announced
    this end. No other connection is closed while it is idle. A gateway that starts
    again refuses connections until it listens.
    """
    overlapping = record.find_overlapping(outcome)
    if outcome.is_dropped:
        if not overlapping:
            yield f"dropped: {outcome.name} found its connection closed"
        return
    if any(not each.is_graceful for each in overlapping):
        return
    if outcome.is_unsent:
        if not record.was_disturbed(outcome, START_TIMEOUT_S):
            yield f"cut off: {outcome.name} found gateway {outcome.gateway} closed"
        return
    elapsed_s = outcome.ended_at_s - outcome.sent_at_s
    if elapsed_s > DEADLINE_S + LATE_SLACK_S:
        yield f"late: {outcome.name} took {elapsed_s:.1f} s, status {outcome.status}"
    is_before_stop = all(each.from_s > outcome.sent_at_s for each in overlapping)
    is_announced = outcome.is_behind_last and bool(overlapping)
    if outcome.status == 0 and is_before_stop and not is_announced:
        yield f"cut off: {outcome.name} on gateway {outcome.gateway} got no response"
