"""The calls of this host to one target that have no reply yet.

The load: targets whose queue is long reply late, and so do targets that have stopped
replying. A reported load distinguishes them: a call in a reported queue is no
sign of a stall before the queue should be done.
"""

from dataclasses import dataclass

from lavendertide.overload.target_capacity import TargetCapacity


@dataclass(frozen=True, slots=True)
class OpenCall:
    """A call without a reply yet.

    Attributes:
        sent_at_s: Time at which it was sent; none while it waits for a connection.
        late_after_s: Seconds after which it is late.
        wait_factor: By how much the reported queue prolongs it.
    """

    sent_at_s: float | None
    late_after_s: float
    wait_factor: float


class OpenCalls:
    """The open calls to one target. All times are monotonic."""

    __slots__ = ("_by_number",)

    def __init__(self) -> None:
        self._by_number: dict[int, OpenCall] = {}

    def __len__(self) -> int:
        return len(self._by_number)

    def __contains__(self, number: int) -> bool:
        return number in self._by_number

    def add(
        self,
        number: int,
        now_s: float,
        late_after_s: float,
        wait_factor: float,
        is_waiting: bool = False,
    ) -> None:
        """Adds a call that is sent now, or that waits for a connection."""
        sent_at_s = None if is_waiting else now_s
        self._by_number[number] = OpenCall(sent_at_s, late_after_s, wait_factor)

    def mark_sent(self, number: int, now_s: float, wait_factor: float) -> bool:
        """Records that a call is sent now; returns whether it has waited."""
        call = self._by_number.get(number)
        if call is None or call.sent_at_s is not None:
            return False
        self._by_number[number] = OpenCall(now_s, call.late_after_s, wait_factor)
        return True

    def remove(self, number: int) -> None:
        """Removes a call, if it is open."""
        self._by_number.pop(number, None)

    def duration_s(self, number: int, now_s: float) -> float:
        """Returns the seconds since a call was sent; zero if it waits or has ended."""
        call = self._by_number.get(number)
        if call is None or call.sent_at_s is None:
            return 0.0
        return now_s - call.sent_at_s

    def work_s(self, number: int, now_s: float) -> float:
        """Returns the same without the wait in a reported queue."""
        call = self._by_number.get(number)
        if call is None or call.sent_at_s is None:
            return 0.0
        return (now_s - call.sent_at_s) / call.wait_factor

    def has_stalled(self, capacity: TargetCapacity, now_s: float) -> bool:
        """Returns whether a late call shows that the target has stopped replying.

        A call that waits for a connection says nothing of the target.
        """
        return any(
            call.sent_at_s is not None
            and now_s >= call.sent_at_s + call.late_after_s
            and _is_stalled(call, now_s - call.sent_at_s, capacity, now_s)
            for call in self._by_number.values()
        )


def _is_stalled(
    call: OpenCall, took_s: float, capacity: TargetCapacity, now_s: float
) -> bool:
    load = capacity.fresh_load(now_s)
    if load is None or not load.is_long_queue:
        return True
    factor = 1.0 + (load.running + load.waiting) / load.slots
    return took_s >= factor * call.late_after_s
