"""Refuses queries that this process could not answer in time, before they run."""

from returns.result import Failure, Result, Success

from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.queries.results_memory import ResultsMemory
from lavendertide.queries.timing import LatencyEstimate


class AdmissionGate:
    """Counts what is in flight and lets in what can still be answered."""

    def __init__(self, in_flight_max: int, memory: ResultsMemory) -> None:
        self._in_flight_max = in_flight_max
        self._memory = memory
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Requests that were let in and have not ended."""
        return self._in_flight

    def admit(
        self, remaining_s: float, estimate: LatencyEstimate | None
    ) -> Result[None, Refusal]:
        """Lets a request in, or says why not.

        Args:
            remaining_s: What is left of its deadline.
            estimate: What is known of the index's reply times.
        """
        if self._in_flight >= self._in_flight_max:
            return Failure(_overloaded("has as many queries in flight as it may"))
        if self._memory.is_full:
            return Failure(_overloaded("holds as many results as it may"))
        if estimate is not None and estimate.quickest_s > remaining_s:
            return Failure(_too_slow(estimate.quickest_s))
        self._in_flight += 1
        return Success(None)

    def release(self) -> None:
        """Says that a request let in earlier has ended."""
        self._in_flight -= 1


def _overloaded(problem: str) -> Refusal:
    return Refusal(
        RefusalKind.OVERLOADED,
        f"This host {problem}.",
        "Use another address, or send again a little later.",
        Fault.SYSTEM,
    )


def _too_slow(quickest_s: float) -> Refusal:
    return Refusal(
        RefusalKind.OVERLOADED,
        f"Nine in ten replies of this index now take over {quickest_s * 1000:.0f} ms.",
        "Send again a little later, or with a longer deadline_ms.",
        Fault.TARGET,
    )
