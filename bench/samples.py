"""Defines the specification and the samples of a process of callers.

The process itself, `bench.load`, patches its sockets. This module does not, so that
samples can be read in processes without patched sockets.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class LoadSpec:
    """The load that one process of callers generates.

    Attributes:
        hosts: Addresses of the entry hosts, used in turn.
        key: Caller key that the searches carry.
        rate_per_s: Mean rate of the arrivals.
        duration_s: Time in which searches arrive.
        starts_at_s: Monotonic time of the first arrival.
        output: Path of the file to which samples are written.
        burst: Number of searches that arrive together at the start.
    """

    hosts: tuple[str, ...]
    key: str
    index: str
    rate_per_s: float
    duration_s: float
    deadline_ms: int
    seed: int
    starts_at_s: float
    output: str
    burst: int = 0


@dataclass(frozen=True)
class Sample:
    """The result of one search.

    Attributes:
        at_s: Time of the arrival, from the start of the load.
        latency_ms: Time from the arrival to the response.
        status: HTTP status, or 0 if the connection broke.
        covered: Number of shards that the response covers.
        shards: Number of shards of the index version.
        attempts: Sub-requests that the tier sent.
        version: The index version that the response names.
        mixed: Whether a row came from another version.
        refusal: Kind of the refusal, or empty.
    """

    at_s: float
    latency_ms: float
    status: int
    covered: int
    shards: int
    attempts: int
    version: int
    mixed: bool
    refusal: str
