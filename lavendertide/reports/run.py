"""The file format of a measurement run: JSON lines, one record per line.

The first line is the header. The others, in any order, are one line for each second of
each variant, one for the latency distribution of each variant and one for each fault.
Benchmarks write the format with `dump_run`; `docs/PROTOCOLS.md` describes it.
"""

from collections.abc import Iterable
from typing import Annotated, Final, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.validation import first_problem

Ratio = Annotated[float, Field(ge=0, le=1)]


class _Record(BaseModel):
    """Base class of all records; unknown keys are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class RunHeader(_Record):
    """Describes what was run; exactly one for each run.

    Attributes:
        title: Heading of the report.
        commit: Commit of the code that ran.
        seed: Seed of the run's random choices.
        started_at: Time of the start, as text.
        latency_bound_ms: Stated upper bound on the 99th percentile, if there is one.
        notes: Sizes of the system that was measured and what was scaled down.
    """

    record: Literal["run"] = "run"
    title: str
    commit: str
    seed: int
    started_at: str
    latency_bound_ms: Annotated[float, Field(gt=0)] | None = None
    notes: tuple[str, ...] = ()


class SecondRecord(_Record):
    """Measurements of one variant within one second.

    Attributes:
        variant: Name of a policy or a baseline.
        at_s: Seconds since the variant's start.
        queries: Number of queries.
        failed: Number of queries that were refused or not answered.
        p50_ms: Median latency of this second's responses, none without responses.
        p99_ms: 99th percentile of the same latencies.
        coverage: Mean part of the shards that the responses cover, 0 to 1.
        extra_load: Sub-requests beyond one for each shard, divided by the shards.
    """

    record: Literal["second"] = "second"
    variant: str
    at_s: Annotated[float, Field(ge=0)]
    queries: Annotated[int, Field(ge=0)]
    failed: Annotated[int, Field(ge=0)] = 0
    p50_ms: float | None = None
    p99_ms: float | None = None
    coverage: Ratio | None = None
    extra_load: Annotated[float, Field(ge=0)] | None = None


class LatencyBucket(_Record):
    """A bucket of a latency histogram.

    Attributes:
        upper_ms: Upper bound, inclusive; the bound of the bucket before is exclusive.
        count: Number of responses in this bucket alone.
    """

    upper_ms: Annotated[float, Field(gt=0)]
    count: Annotated[int, Field(ge=0)]


class LatencyRecord(_Record):
    """The latency distribution of one variant over the whole run."""

    record: Literal["latency"] = "latency"
    variant: str
    buckets: tuple[LatencyBucket, ...]


class FaultRecord(_Record):
    """A fault that was injected.

    Attributes:
        name: Label in the plots.
        starts_at_s: Start in seconds since the variant's start, as in `SecondRecord`.
        ends_at_s: End on the same clock, none if the fault lasted to the end.
        variant: The variant with the fault, none for all.
    """

    record: Literal["fault"] = "fault"
    name: str
    starts_at_s: Annotated[float, Field(ge=0)]
    ends_at_s: float | None = None
    variant: str | None = None


Record = Annotated[
    RunHeader | SecondRecord | LatencyRecord | FaultRecord,
    Field(discriminator="record"),
]
_RECORDS: Final[TypeAdapter[Record]] = TypeAdapter(Record)


class Run(_Record):
    """The records of one run, by kind."""

    header: RunHeader
    seconds: tuple[SecondRecord, ...]
    latencies: tuple[LatencyRecord, ...]
    faults: tuple[FaultRecord, ...]

    @property
    def variants(self) -> list[str]:
        """Names of the variants in the order of their first records."""
        names = [second.variant for second in self.seconds]
        names += [latency.variant for latency in self.latencies]
        return list(dict.fromkeys(names))

    def seconds_of(self, variant: str) -> list[SecondRecord]:
        """Returns a variant's seconds in the order of time."""
        matching = [second for second in self.seconds if second.variant == variant]
        return sorted(matching, key=lambda second: second.at_s)

    def latency_of(self, variant: str) -> LatencyRecord | None:
        """Returns a variant's latency distribution, the last if there are several."""
        matching = [latency for latency in self.latencies if latency.variant == variant]
        return matching[-1] if matching else None

    def faults_of(self, variant: str) -> list[FaultRecord]:
        """Returns the faults of a variant, with those of all variants."""
        return [fault for fault in self.faults if fault.variant in (None, variant)]


def dump_run(run: Run) -> str:
    """Encodes a run as JSON lines."""
    records: Iterable[BaseModel] = (
        run.header,
        *run.faults,
        *run.seconds,
        *run.latencies,
    )
    return "".join(f"{record.model_dump_json()}\n" for record in records)


def parse_run(text: str) -> Result[Run, Refusal]:
    """Decodes a run; the refusal of a malformed one names the line and the problem."""
    records: list[Record] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            continue
        try:
            records.append(_RECORDS.validate_json(line))
        except ValidationError as error:
            problem = first_problem(error).describe("the record")
            return Failure(_refusal(f"line {number}: {problem}"))
    return _build_run(records)


def _build_run(records: list[Record]) -> Result[Run, Refusal]:
    headers = [record for record in records if isinstance(record, RunHeader)]
    if len(headers) != 1:
        return Failure(
            _refusal(f"there are {len(headers)} lines with record 'run', not one")
        )
    return Success(
        Run(
            header=headers[0],
            seconds=tuple(r for r in records if isinstance(r, SecondRecord)),
            latencies=tuple(r for r in records if isinstance(r, LatencyRecord)),
            faults=tuple(r for r in records if isinstance(r, FaultRecord)),
        )
    )


def _refusal(problem: str) -> Refusal:
    return Refusal(
        RefusalKind.BAD_RUN,
        f"The run cannot be read: {problem}.",
        "docs/PROTOCOLS.md describes the format of a measurement run.",
        Fault.CALLER,
    )
