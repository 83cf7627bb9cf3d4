"""What a process of callers is told, and what it notes.

The process itself, `bench.load`, patches its sockets; this module does not, so that
figures can be read anywhere.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class LoadSpec:
    """What one process of callers does.

    Attributes:
        hosts: Addresses of the entry hosts, used in turn.
        starts_at_s: Monotonic time of the first arrival.
        burst: How many searches arrive at once at the start.
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
    """What one caller saw.

    Attributes:
        at_s: Arrival, in seconds since the start.
        status: HTTP status, zero if the connection broke.
        covered: Shards that the answer covers.
        shards: Shards of the version.
        attempts: Sub-requests that the tier sent.
        version: The version that the answer names.
        mixed: Whether a row came from another version.
        refusal: Kind of the refusal, empty if there was none.
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
