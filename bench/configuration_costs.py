"""Measures the cost of adopting lists of the target size, within this process."""

import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from bench.configuration_lists import (
    SEED,
    Lists,
    change_index,
    change_plan,
    encode,
    large_lists,
)
from lavendertide.configuration.adoption import Adoption, Configuration
from lavendertide.encodings.peer_frames import LENGTH, decode_frame, encode_frame
from lavendertide.messages import ConfigurationDelta, ConfigurationPush

ROUNDS: Final = 20

Change = Callable[[Lists, int], None]
Prepared = tuple[Callable[[], Adoption], int]


@dataclass(frozen=True, slots=True)
class Cost:
    """The cost of one kind of adoption.

    Attributes:
        kind: What is adopted and where it comes from.
        median_ms: Median processor time from the received bytes until look-ups use
            them.
        max_ms: Longest processor time of the same.
        wire_bytes: Size of the frame or response that carries the lists.
    """

    kind: str
    median_ms: float
    max_ms: float
    wire_bytes: int


def measure_costs() -> list[Cost]:
    """Measures each kind of adoption `ROUNDS` times."""
    return [
        _measure("first whole, joining", _first_full),
        _measure("whole after a plan changed, watcher", _full_after_plan),
        _measure("whole after an index changed, watcher", _full_after_index),
        _measure("delta of a plan", _delta_of_plan),
        _measure("delta of an index", _delta_of_index),
    ]


def catalog_mb() -> float:
    """Returns the memory that one adopted configuration takes, in MB."""
    text = encode(large_lists(SEED))
    tracemalloc.start()
    configuration = Configuration()
    configuration.adopt_text(text, 0.0)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / 1e6


def _measure(kind: str, prepare: Callable[[int], Prepared]) -> Cost:
    times_ms = []
    wire_bytes = 0
    for number in range(ROUNDS):
        adopt, wire_bytes = prepare(number)
        started_s = time.process_time()
        adoption = adopt()
        times_ms.append((time.process_time() - started_s) * 1000)
        if adoption is not Adoption.ADOPTED:
            raise RuntimeError(f"{kind}: {adoption}")
    return Cost(kind, statistics.median(times_ms), max(times_ms), wire_bytes)


def _first_full(number: int) -> Prepared:
    source = Configuration()
    source.adopt_text(encode(large_lists(SEED + number)), 0.0)
    data = encode_frame(ConfigurationPush(source.stamp, source.text))
    return lambda: _adopt_frame(Configuration(), data), len(data)


def _full_after_plan(number: int) -> Prepared:
    return _full_after(change_plan, number)


def _full_after_index(number: int) -> Prepared:
    return _full_after(change_index, number)


def _delta_of_plan(number: int) -> Prepared:
    return _delta_after(change_plan, number)


def _delta_of_index(number: int) -> Prepared:
    return _delta_after(change_index, number)


def _full_after(change: Change, number: int) -> Prepared:
    lists = large_lists(SEED)
    watcher = Configuration()
    watcher.adopt_text(encode(lists), 0.0)
    change(lists, number)
    text = encode(lists)
    return lambda: watcher.adopt_text(text, 1.0), len(text)


def _delta_after(change: Change, number: int) -> Prepared:
    lists = large_lists(SEED)
    source, receiver = Configuration(), Configuration()
    for configuration in (source, receiver):
        configuration.adopt_text(encode(lists), 0.0)
    change(lists, number)
    source.adopt_text(encode(lists), 1.0)
    delta = source.delta_since(receiver.stamp)
    assert delta is not None
    data = encode_frame(delta)
    return lambda: _adopt_frame(receiver, data), len(data)


def _adopt_frame(configuration: Configuration, data: bytes) -> Adoption:
    match decode_frame(data[LENGTH.size :]).unwrap():
        case ConfigurationPush(lists=lists):
            return configuration.adopt_text(lists, 1.0)
        case ConfigurationDelta() as delta:
            return configuration.adopt_delta(delta, 1.0)
    raise RuntimeError("the frame is neither a full configuration nor a delta")
