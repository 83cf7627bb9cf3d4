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
        sent_at_s: Time at which it was sent.
        late_at_s: Time from which it is late.
        wait_factor: By how much the reported queue prolongs it.
    """

    sent_at_s: float
    late_at_s: float
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
        self, number: int, now_s: float, late_after_s: float, wait_factor: float
    ) -> None:
        """Adds a call that is sent now."""
        late_at_s = now_s + late_after_s
        self._by_number[number] = OpenCall(now_s, late_at_s, wait_factor)

    def remove(self, number: int) -> None:
        """Removes a call, if it is open."""
        self._by_number.pop(number, None)

    def duration_s(self, number: int, now_s: float) -> float:
        """Returns the seconds since a call was sent; zero if it is not open."""
        call = self._by_number.get(number)
        return 0.0 if call is None else now_s - call.sent_at_s

    def work_s(self, number: int, now_s: float) -> float:
        """Returns the same without the wait in a reported queue."""
        call = self._by_number.get(number)
        return 0.0 if call is None else (now_s - call.sent_at_s) / call.wait_factor

    def has_stalled(self, capacity: TargetCapacity, now_s: float) -> bool:
        """Returns whether a late call shows that the target has stopped replying."""
        return any(
            now_s >= call.late_at_s and _is_stalled(call, capacity, now_s)
            for call in self._by_number.values()
        )


def _is_stalled(call: OpenCall, capacity: TargetCapacity, now_s: float) -> bool:
    load = capacity.fresh_load(now_s)
    if load is None or not load.is_long_queue:
        return True
    factor = 1.0 + (load.running + load.waiting) / load.slots
    return now_s - call.sent_at_s >= factor * (call.late_at_s - call.sent_at_s)
