"""Metrics of sub-requests to targets whose slots this daemon holds."""

from lavendertide.bookkeeping import Isolated
from lavendertide.messages import SubReply, SubRequest
from lavendertide.metrics.metrics import Metrics
from lavendertide.targets.exchange import (
    ExchangeFactory,
    TargetControl,
    TargetExchange,
)
from lavendertide.targets.place import TargetPlace


class CountedExchange:
    """A working connection that records the outcome of each sub-request.

    Args:
        inner: The connection that sends the sub-requests.
        metrics: Receives the queueing times and outcomes.
        attempt_s: Upper bound on the duration of an attempt.
    """

    def __init__(
        self, inner: TargetExchange, metrics: Metrics, attempt_s: float
    ) -> None:
        self._inner = inner
        self._metrics = metrics
        self._attempt_s = attempt_s

    @property
    def is_open(self) -> bool:
        """Whether a sub-request can be sent without reconnecting."""
        return self._inner.is_open

    def open(self) -> bool:
        """Reconnects; returns whether the connection is usable."""
        return self._inner.open()

    def run(self, request: SubRequest, timeout_s: float) -> SubReply:
        """Sends one sub-request, waits for its outcome and returns it.

        The request carries the time that remained when it was submitted. Its difference
        from the timeout was spent waiting for a slot.
        """
        remaining_s = min(request.remaining_ms / 1000, self._attempt_s)
        waited_s = max(0.0, remaining_s - timeout_s)
        owner = request.owner
        with Isolated("queueing", request.attempt):
            self._metrics.observe_queueing(owner, request.plan_class, waited_s)
        reply = self._inner.run(request, timeout_s)
        with Isolated("sub-requests", request.attempt):
            self._metrics.count_sub_request(owner, reply)
        return reply

    def close(self) -> None:
        """Closes the underlying connection."""
        self._inner.close()


class CountedExchangeFactory:
    """Creates working connections that record metrics."""

    def __init__(
        self, inner: ExchangeFactory, metrics: Metrics, attempt_s: float
    ) -> None:
        self._inner = inner
        self._metrics = metrics
        self._attempt_s = attempt_s

    def exchange(self, place: TargetPlace) -> TargetExchange:
        """Creates a working connection that records metrics."""
        inner = self._inner.exchange(place)
        return CountedExchange(inner, self._metrics, self._attempt_s)

    def control(self, place: TargetPlace) -> TargetControl:
        """Creates a control connection, whose messages are not counted."""
        return self._inner.control(place)
