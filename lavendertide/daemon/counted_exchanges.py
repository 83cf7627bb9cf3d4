"""Counts what becomes of sub-requests to targets whose slots this daemon holds."""

from lavendertide.messages import SubReply, SubRequest
from lavendertide.metrics.metrics import Metrics
from lavendertide.targets.exchange import (
    ExchangeFactory,
    TargetControl,
    TargetExchange,
)
from lavendertide.targets.place import TargetPlace


class CountedExchange:
    """A working connection whose sub-requests are counted.

    Args:
        inner: The connection itself.
        metrics: Where to count.
        attempt_s: The longest time that an attempt may run.
    """

    def __init__(
        self, inner: TargetExchange, metrics: Metrics, attempt_s: float
    ) -> None:
        self._inner = inner
        self._metrics = metrics
        self._attempt_s = attempt_s

    @property
    def is_open(self) -> bool:
        """Whether the connection can be used now."""
        return self._inner.is_open

    def open(self) -> bool:
        """Opens the connection anew; returns whether it can be used."""
        return self._inner.open()

    def run(self, request: SubRequest, timeout_s: float) -> SubReply:
        """Sends one sub-request and returns what became of it.

        What is missing of the time that it came with was spent waiting for a slot.
        """
        came_with_s = min(request.remaining_ms / 1000, self._attempt_s)
        waited_s = max(0.0, came_with_s - timeout_s)
        owner = request.owner
        self._metrics.observe_queueing(owner, request.plan_class, waited_s)
        reply = self._inner.run(request, timeout_s)
        self._metrics.count_sub_request(owner, reply)
        return reply

    def close(self) -> None:
        """Closes the connection."""
        self._inner.close()


class CountedExchangeFactory:
    """Makes working connections that are counted."""

    def __init__(
        self, inner: ExchangeFactory, metrics: Metrics, attempt_s: float
    ) -> None:
        self._inner = inner
        self._metrics = metrics
        self._attempt_s = attempt_s

    def exchange(self, place: TargetPlace) -> TargetExchange:
        """Returns a working connection."""
        inner = self._inner.exchange(place)
        return CountedExchange(inner, self._metrics, self._attempt_s)

    def control(self, place: TargetPlace) -> TargetControl:
        """Returns a connection for control."""
        return self._inner.control(place)
