"""Drawn histories of a store that is restored, as several hosts follow it."""

import os
from dataclasses import dataclass
from typing import Final

from hypothesis import HealthCheck, given, settings, strategies as st

from lavendertide.evacuation.evacuated_domains import Evacuation
from lavendertide.ids import FailureDomain, TargetId
from lavendertide.registry.record import TargetRecord, TargetState
from lavendertide.registry.registry import REREGISTRATION_S
from lavendertide.restoration.restorations import REWRITE_S
from lavendertide.runtime import clock, tasks
from tests.restoration.model_fleet import (
    EvacuationKey,
    Key,
    ModelHost,
    ModelStore,
    RoutesKey,
    TargetKey,
    make_target,
)
from tests.virtual_time import VirtualTimeTestCase

# More of them by hand: LAVENDERTIDE_HISTORIES=5000.
HISTORIES: Final = int(os.environ.get("LAVENDERTIDE_HISTORIES", "500"))
HOSTS_MAX: Final = 8
# Without a least number most histories are of few steps.
STEPS_MIN: Final = 20
STEPS_MAX: Final = 60
NAMES: Final = ("t1", "t2", "t3")
DOMAINS: Final = (FailureDomain("x"), FailureDomain("y"))
# Reads after which each host has seen all that was written.
SETTLING_READS: Final = 8


@dataclass(frozen=True)
class HostReads:
    """A host reads once."""

    host: int


@dataclass(frozen=True)
class HostRestarts:
    """A host restarts and has forgotten everything."""

    host: int


@dataclass(frozen=True)
class CutChanges:
    """A host is cut off from the store or from its peers, or reaches them again."""

    host: int
    from_store: bool
    from_peers: bool


@dataclass(frozen=True)
class TargetWrites:
    """A target starts, drains or leaves, as its last write allows."""

    name: str


@dataclass(frozen=True)
class OperatorWrites:
    """The operator evacuates a domain, or ends its evacuation."""

    domain: FailureDomain


@dataclass(frozen=True)
class VersionPublished:
    """The operator publishes the next version of the configuration."""


@dataclass(frozen=True)
class CopyMade:
    """The copy is made from which the store is restored later."""


@dataclass(frozen=True)
class StoreRestored:
    """The store returns from the copy."""


@dataclass(frozen=True)
class HistoryDiscarded:
    """The store forgets its changes."""


@dataclass(frozen=True)
class LostWritten:
    """One of the lost writes is made again."""

    choice: int


@dataclass(frozen=True)
class NoticeSent:
    """A host sends a notice of what it knows of evacuations."""

    host: int


@dataclass(frozen=True)
class NoticeArrives:
    """A notice reaches a host, after any time."""

    choice: int
    host: int


@dataclass(frozen=True)
class TimePasses:
    """Nothing happens for a while."""

    seconds: float


Step = (
    HostReads
    | HostRestarts
    | CutChanges
    | TargetWrites
    | OperatorWrites
    | VersionPublished
    | CopyMade
    | StoreRestored
    | HistoryDiscarded
    | LostWritten
    | NoticeSent
    | NoticeArrives
    | TimePasses
)

HOST = st.integers(0, HOSTS_MAX - 1)
CHOICE = st.integers(0, 99)
READS = st.builds(HostReads, HOST)
STEP: st.SearchStrategy[Step] = st.one_of(
    READS,
    READS,
    READS,
    st.builds(HostRestarts, HOST),
    st.builds(CutChanges, HOST, st.booleans(), st.booleans()),
    st.builds(TargetWrites, st.sampled_from(NAMES)),
    st.builds(TargetWrites, st.sampled_from(NAMES)),
    st.builds(OperatorWrites, st.sampled_from(DOMAINS)),
    st.builds(VersionPublished),
    st.builds(CopyMade),
    st.builds(StoreRestored),
    st.builds(HistoryDiscarded),
    st.builds(LostWritten, CHOICE),
    st.builds(NoticeSent, HOST),
    st.builds(NoticeArrives, CHOICE, HOST),
    st.builds(TimePasses, st.sampled_from((0.5, 3.0, REWRITE_S))),
)


class History:
    """One history as it is played, with what each host must not forget.

    Args:
        size: Number of hosts.
    """

    def __init__(self, size: int) -> None:
        self.store = ModelStore()
        self.hosts: list[ModelHost] = []
        for number in range(size):
            self.hosts.append(ModelHost(self.store, self.hosts, number, size))
        self._runs = 0
        self._version = 0
        # What targets and the operator have written last, whatever the store has.
        self._targets: dict[str, TargetRecord | None] = dict.fromkeys(NAMES)
        self._evacuated: set[FailureDomain] = set()
        self._notices: list[tuple[Evacuation, ...]] = []
        # The runs of which each host has known that they want no more requests.
        self._ended: list[set[TargetRecord]] = [set() for _ in range(size)]

    def play(self, step: Step) -> None:
        """Plays one step and checks the host that took part in it."""
        match step:
            case HostReads() | HostRestarts() | CutChanges():
                self._change_host(step)
            case TargetWrites() | OperatorWrites() | VersionPublished():
                self._write(step)
            case CopyMade():
                self.store.make_copy()
            case StoreRestored():
                self.store.restore()
            case HistoryDiscarded():
                self.store.discard_history()
            case LostWritten(choice):
                self._write_again(choice)
            case NoticeSent() | NoticeArrives():
                self._exchange_notice(step)
            case TimePasses(seconds):
                tasks.sleep(seconds)

    def read(self, host: ModelHost) -> None:
        """Has a host read once, and checks what it holds then."""
        host.expire()
        era, before = host.position.era, set(host.registry.targets)
        ended = self._ended[host.number]
        # What the store has not confirmed for long enough counts again.
        ended -= {each for each in before if each.state is TargetState.READY}
        evacuated = _evacuated(host)
        host.step()
        after = set(host.registry.targets)
        age_s = clock.monotonic_s() - host.reached_era_at_s
        ready = {each for each in after if each.state is TargetState.READY}
        if age_s < REWRITE_S:
            assert not ready & ended, "a target that left is used again"
        ended -= ready
        ended |= {_as_ready(each) for each in before if each not in after}
        ended |= {_as_ready(each) for each in after - ready}
        ended -= ready
        if host.position.era != era and age_s < REREGISTRATION_S:
            lost = {each for each in before - after if self._is_live(each)}
            assert not lost, "a live target is lost"
        if host.position == self.store.position:
            self._check_current(host)
            if host.position.era != era:
                kept = {d for d in evacuated if EvacuationKey(d) in self.store.lost}
                kept &= self._evacuated
                assert kept <= _evacuated(host), "an order is lost with the store"

    def settle(self) -> None:
        """Heals everything, and has all that was lost written again and read."""
        for host in self.hosts:
            host.is_cut_from_store = host.is_cut_from_peers = False
        for key in self.store.lost:
            self.store.write_again(key)
        for _ in range(SETTLING_READS):
            for host in self.hosts:
                self.read(host)
        for host in self.hosts:
            self._check_current(host)
        tasks.sleep(REWRITE_S)
        for host in self.hosts:
            self.read(host)
            host.expire()

    def _check_current(self, host: ModelHost) -> None:
        """Checks a host that has read all that the store has."""
        assert self.store.evacuated <= _evacuated(host), "an evacuated domain is used"
        if self._version and self.store.version:
            assert host.routes.version >= self.store.version, "older routes are used"

    def _is_live(self, record: TargetRecord) -> bool:
        return self._targets[record.target] == record and (
            record.state is TargetState.READY
        )

    def _change_host(self, step: HostReads | HostRestarts | CutChanges) -> None:
        host = self.hosts[step.host % len(self.hosts)]
        match step:
            case HostReads():
                self.read(host)
            case HostRestarts():
                host.restart()
                self._ended[host.number].clear()
            case CutChanges(_, from_store, from_peers):
                host.is_cut_from_store = from_store
                host.is_cut_from_peers = from_peers

    def _write(self, step: TargetWrites | OperatorWrites | VersionPublished) -> None:
        match step:
            case TargetWrites(name):
                self._write_target(name)
            case OperatorWrites(domain):
                self._evacuated ^= {domain}
                ordered = True if domain in self._evacuated else None
                self.store.write(EvacuationKey(domain), ordered)
            case VersionPublished():
                self._version += 1
                self.store.write(RoutesKey(), self._version)

    def _write_target(self, name: str) -> None:
        written: TargetRecord | None
        match self._targets[name]:
            case None:
                self._runs += 1
                written = make_target(name, self._runs, False)
            case TargetRecord(state=TargetState.READY, started_at_ms=run):
                written = make_target(name, run, True)
            case _:
                written = None
        self._targets[name] = written
        self.store.write(TargetKey(TargetId(name)), written)

    def _write_again(self, choice: int) -> None:
        lost: list[Key] = self.store.lost
        if lost:
            self.store.write_again(lost[choice % len(lost)])

    def _exchange_notice(self, step: NoticeSent | NoticeArrives) -> None:
        host = self.hosts[step.host % len(self.hosts)]
        match step:
            case NoticeSent():
                self._notices.append(host.evacuated.known)
            case NoticeArrives(choice) if self._notices:
                states = self._notices[choice % len(self._notices)]
                host.evacuated.apply_notices(states, clock.monotonic_s())


def _evacuated(host: ModelHost) -> set[FailureDomain]:
    """Returns the domains that a host holds for evacuated."""
    return {domain for domain in DOMAINS if host.evacuated.is_evacuated(domain)}


def _as_ready(record: TargetRecord) -> TargetRecord:
    """Returns the entry by which a run was ready."""
    return make_target(record.target, record.started_at_ms, False)


class HistoriesTest(VirtualTimeTestCase):
    """All hosts end at the store's state, and none takes back what it knew before."""

    @given(
        st.integers(3, HOSTS_MAX),
        st.lists(STEP, min_size=STEPS_MIN, max_size=STEPS_MAX),
    )
    @settings(
        deadline=None,
        max_examples=HISTORIES,
        suppress_health_check=list(HealthCheck),
        database=None,
        derandomize="LAVENDERTIDE_HISTORIES" not in os.environ,
    )
    def test_any_history(self, size: int, steps: list[Step]) -> None:
        history = History(size)
        for step in steps:
            history.play(step)
        history.settle()
        store = history.store
        for host in history.hosts:
            records = {each.target: each for each in host.registry.targets}
            self.assertEqual(records, store.targets)
            self.assertEqual(_evacuated(host), store.evacuated)
            self.assertEqual(host.routes.version, store.version)
            self.assertEqual(host.position, store.position)
