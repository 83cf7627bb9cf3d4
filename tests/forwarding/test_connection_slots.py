"""Tests of `lavendertide.forwarding.connection_slots`."""

from lavendertide.forwarding.connection_slots import ConnectionSlots
from lavendertide.runtime import clock, tasks
from tests.virtual_time import VirtualTimeTestCase


class Connection:
    """A connection that records its end."""

    def __init__(self) -> None:
        self.is_released = False

    def release(self) -> None:
        """Records the end."""
        self.is_released = True


class ConnectionSlotsTest(VirtualTimeTestCase):
    """Guards against connections to many targets that take all descriptors."""

    def setUp(self) -> None:
        super().setUp()
        self.bound = 2
        self.slots = ConnectionSlots(lambda: self.bound)
        self.first, self.second, self.third = (Connection() for _ in range(3))
        for each in (self.first, self.second):
            self.assertTrue(self.slots.acquire(each, clock.monotonic_s()))

    def acquire_later(self, connection: Connection) -> tasks.Mailbox[bool]:
        """Starts a task that waits for a slot for a second."""
        results: tasks.Mailbox[bool] = tasks.Mailbox()
        until_s = clock.monotonic_s() + 1.0
        tasks.spawn(lambda: results.send(self.slots.acquire(connection, until_s)))
        tasks.sleep(0.01)
        return results

    def test_a_connection_keeps_its_slot(self) -> None:
        self.assertTrue(self.slots.acquire(self.first, clock.monotonic_s()))
        self.assertEqual(len(self.slots), 2)

    def test_the_connection_idle_for_longest_is_closed_for_another(self) -> None:
        self.slots.mark_idle(self.second)
        self.slots.mark_idle(self.first)
        self.assertTrue(self.slots.acquire(self.third, clock.monotonic_s()))
        self.assertTrue(self.second.is_released)
        self.assertFalse(self.first.is_released)
        self.assertEqual(len(self.slots), 2)

    def test_a_busy_connection_is_never_closed(self) -> None:
        self.slots.mark_idle(self.first)
        self.slots.mark_busy(self.first)
        self.assertFalse(self.slots.acquire(self.third, clock.monotonic_s()))
        self.assertFalse(self.first.is_released)

    def test_a_call_waits_until_a_connection_is_idle_or_closed(self) -> None:
        for free in (self.slots.mark_idle, self.slots.remove):
            with self.subTest(free=free.__name__):
                self.slots.acquire(self.first, clock.monotonic_s())
                waiting = Connection()
                results = self.acquire_later(waiting)
                self.assertEqual((len(results), self.slots.waiting), (0, 1))
                free(self.first)
                self.assertIs(results.receive(0.1), True)
                self.slots.remove(waiting)
        self.assertEqual(len(self.slots), 1)

    def test_calls_get_slots_in_order_of_arrival(self) -> None:
        earlier, later = Connection(), Connection()
        first, second = self.acquire_later(earlier), self.acquire_later(later)
        self.slots.remove(self.first)
        self.assertIs(first.receive(0.1), True)
        self.assertIsNone(second.receive(0.1))

    def test_a_wait_ends_in_time(self) -> None:
        results = self.acquire_later(self.third)
        self.assertIs(results.receive(2.0), False)
        self.assertEqual((len(self.slots), self.slots.waiting), (2, 0))

    def test_a_bound_that_shrinks_closes_idle_connections(self) -> None:
        self.slots.mark_idle(self.first)
        self.slots.mark_idle(self.second)
        self.bound = 1
        self.assertTrue(self.slots.acquire(self.third, clock.monotonic_s()))
        self.assertTrue(self.first.is_released and self.second.is_released)
        self.assertEqual(len(self.slots), 1)
