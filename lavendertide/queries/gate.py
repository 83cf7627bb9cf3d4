"""Refuses requests that this process could not answer in time, before they run."""

from returns.result import Failure, Result, Success

from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.queries.results_memory import ResultsMemory
from lavendertide.queries.timing import LatencyEstimate


class AdmissionGate:
    """Admits requests within bounds on their number, memory and expected latency."""

    def __init__(self, in_flight_max: int, memory: ResultsMemory) -> None:
        self._in_flight_max = in_flight_max
        self._memory = memory
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Number of admitted requests that have not ended."""
        return self._in_flight

    def admit(
        self, remaining_s: float, estimate: LatencyEstimate | None
    ) -> Result[None, Refusal]:
        """Admits a request, or refuses it.

        Args:
            remaining_s: Time left until its deadline.
            estimate: Estimated reply times of the index, None if unknown.
        """
        if self._in_flight >= self._in_flight_max:
            return Failure(_overloaded("has reached its limit of queries in flight"))
        if self._memory.is_full:
            return Failure(_overloaded("has reached its memory limit for results"))
        if estimate is not None and estimate.quickest_s > remaining_s:
            return Failure(_too_slow(estimate.quickest_s))
        self._in_flight += 1
        return Success(None)

    def release(self) -> None:
        """Ends an admitted request; must be called once for each."""
        self._in_flight -= 1


def _overloaded(problem: str) -> Refusal:
    return Refusal(
        RefusalKind.OVERLOADED,
        f"This host {problem}.",
        "Use another address, or retry a little later.",
        Fault.SYSTEM,
    )


def _too_slow(quickest_s: float) -> Refusal:
    return Refusal(
        RefusalKind.OVERLOADED,
        f"Nine in ten replies of this index take over {quickest_s * 1000:.0f} ms.",
        "Retry a little later, or with a longer deadline_ms.",
        Fault.TARGET,
    )
