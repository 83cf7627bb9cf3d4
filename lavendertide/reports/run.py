"""The format of a measurement run: JSON lines, one record a line.

The first line is the header. Then come, in any order, one line for each second of each
variant, one for the latency distribution of each variant, and one for each fault.
`docs/PROTOCOLS.md` describes the format; a benchmark writes it with `dump_run`.
"""

from collections.abc import Iterable
from typing import Annotated, Final, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.validation import first_problem

Ratio = Annotated[float, Field(ge=0, le=1)]


class _Record(BaseModel):
    """One line of a run; unknown keys are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class RunHeader(_Record):
    """What was run.

    Attributes:
        commit: Commit of the code that ran.
        latency_bound_ms: The stated bound on the 99th percentile, if there is one.
        notes: Sizes and what was scaled down.
    """

    record: Literal["run"] = "run"
    title: str
    commit: str
    seed: int
    started_at: str
    latency_bound_ms: Annotated[float, Field(gt=0)] | None = None
    notes: tuple[str, ...] = ()


class SecondRecord(_Record):
    """One second of one variant.

    Attributes:
        variant: A policy or a baseline.
        at_s: Seconds since the variant's start.
        p50_ms: Median latency of the answers of this second, none without answers.
        p99_ms: Their 99th percentile.
        coverage: Mean part of the shards that the answers cover.
        failed: Queries that were refused or not answered.
        extra_load: Sub-requests beyond one for each shard, as a part of these.
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
    """How many answers took up to a time and more than the bucket before."""

    upper_ms: Annotated[float, Field(gt=0)]
    count: Annotated[int, Field(ge=0)]


class LatencyRecord(_Record):
    """The latency distribution of one variant over the whole run."""

    record: Literal["latency"] = "latency"
    variant: str
    buckets: tuple[LatencyBucket, ...]


class FaultRecord(_Record):
    """A fault that was induced, on the same clock as the seconds.

    Attributes:
        variant: Which variant suffered it, none for all.
        ends_at_s: When it ended, none if it lasted.
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
    """A whole run."""

    header: RunHeader
    seconds: tuple[SecondRecord, ...]
    latencies: tuple[LatencyRecord, ...]
    faults: tuple[FaultRecord, ...]

    @property
    def variants(self) -> list[str]:
        """The variants in the order in which they first appear."""
        names = [second.variant for second in self.seconds]
        names += [latency.variant for latency in self.latencies]
        return list(dict.fromkeys(names))

    def seconds_of(self, variant: str) -> list[SecondRecord]:
        """Returns a variant's seconds in order."""
        own = [second for second in self.seconds if second.variant == variant]
        return sorted(own, key=lambda second: second.at_s)

    def latency_of(self, variant: str) -> LatencyRecord | None:
        """Returns a variant's latency distribution."""
        own = [latency for latency in self.latencies if latency.variant == variant]
        return own[-1] if own else None

    def faults_of(self, variant: str) -> list[FaultRecord]:
        """Returns the faults that a variant suffered."""
        return [fault for fault in self.faults if fault.variant in (None, variant)]


def dump_run(run: Run) -> str:
    """Returns a run as JSON lines."""
    records: Iterable[BaseModel] = (
        run.header,
        *run.faults,
        *run.seconds,
        *run.latencies,
    )
    return "".join(f"{record.model_dump_json()}\n" for record in records)


def parse_run(text: str) -> Result[Run, Refusal]:
    """Reads a run, or says which line is wrong and how."""
    records: list[Record] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            continue
        try:
            records.append(_RECORDS.validate_json(line))
        except ValidationError as error:
            problem = first_problem(error).describe("the record")
            return Failure(_refusal(f"line {number}: {problem}"))
    return _to_run(records)


def _to_run(records: list[Record]) -> Result[Run, Refusal]:
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
