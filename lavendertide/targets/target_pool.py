"""The lanes of all targets whose slots this daemon holds."""

from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Success

from lavendertide.configuration.catalog import TargetPlace
from lavendertide.ids import AttemptId, TargetId
from lavendertide.messages import Declined, SubReply, SubRequest
from lavendertide.queries.deadline import Deadline
from lavendertide.runtime import clock, tasks
from lavendertide.targets.connection import TargetExchange, serve_connection
from lavendertide.targets.lane import Job, Lane


@dataclass(frozen=True, slots=True)
class _OpenLane:
    lane: Lane
    wake_ups: tasks.Mailbox[None]
    connections: tuple[tasks.Task, ...]


class TargetPool:
    """Opens a lane with its connections when a target is first used."""

    def __init__(self, make_exchange: Callable[[TargetPlace], TargetExchange]) -> None:
        self._make_exchange = make_exchange
        self._lanes: dict[TargetId, _OpenLane] = {}

    @property
    def lanes(self) -> list[Lane]:
        """The lanes that are open."""
        return [opened.lane for opened in self._lanes.values()]

    def submit(
        self,
        place: TargetPlace,
        request: SubRequest,
        inbox: tasks.Mailbox[SubReply],
    ) -> None:
        """Queues a sub-request; its one reply comes to the inbox."""
        opened = self._lane(place)
        ends_at_s = clock.monotonic_s() + request.remaining_ms / 1000
        match opened.lane.put(Job(request, Deadline(ends_at_s), inbox)):
            case Success(_):
                opened.wake_ups.send(None)
            case Failure(reason):
                inbox.send(Declined(request.attempt, reason))

    def cancel(self, attempts: list[AttemptId]) -> None:
        """Drops attempts that still wait for a slot."""
        for opened in self._lanes.values():
            for attempt in attempts:
                opened.lane.cancel(attempt)

    def _lane(self, place: TargetPlace) -> _OpenLane:
        opened = self._lanes.get(place.target)
        if opened is None:
            opened = self._open(place)
            self._lanes[place.target] = opened
        return opened

    def _open(self, place: TargetPlace) -> _OpenLane:
        lane = Lane(place)
        wake_ups: tasks.Mailbox[None] = tasks.Mailbox()
        connections = tuple(
            tasks.spawn(serve_connection, lane, wake_ups, self._make_exchange(place))
            for _ in range(place.slots)
        )
        return _OpenLane(lane, wake_ups, connections)
