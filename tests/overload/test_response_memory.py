"""Tests of the account of responses that are held for callers."""

import random
import unittest

from lavendertide.overload.response_memory import (
    LONGEST_RESPONSE_BYTES,
    SHARE_BYTES,
    SHARES_FACTOR,
    HeldResponse,
    ResponseMemory,
    bytes_max_of,
)

BYTES_MAX = 100 * SHARE_BYTES


class EvictionTest(unittest.TestCase):
    """Guards against callers that hold the memory of a host by not reading."""

    def setUp(self) -> None:
        self.memory = ResponseMemory(BYTES_MAX, is_bounding_writes=True)
        self.closed: list[str] = []

    def write(self, name: str, size: int, now_s: float) -> HeldResponse:
        """Starts to write a response whose caller accepts nothing."""
        response = self.memory.open()
        self.assertTrue(response.try_resize(size, now_s))
        response.start_writing(size, lambda: self.closed.append(name), now_s)
        return response

    def test_the_one_that_holds_most_for_longest_is_closed(self) -> None:
        responses = [
            self.write("long ago, but little", 20 * SHARE_BYTES, 0.0),
            self.write("much and long ago", 40 * SHARE_BYTES, 1.0),
            self.write("much, but just now", 40 * SHARE_BYTES, 9.0),
        ]
        newest = self.write("newest", 10 * SHARE_BYTES, 10.0)
        self.assertEqual(self.closed, ["much and long ago"])
        self.assertTrue(responses[1].is_evicted)
        self.assertFalse(newest.is_evicted)

    def test_no_more_are_closed_than_necessary(self) -> None:
        """A closed caller's bytes are free once its task has seen it."""
        responses = [self.write(str(n), 10 * SHARE_BYTES, n) for n in range(10)]
        responses.append(self.write("next", 5 * SHARE_BYTES, 20.0))
        responses.append(self.write("last", 5 * SHARE_BYTES, 20.0))
        self.assertEqual(self.closed, ["0"])
        for response in responses:
            response.release()
        self.assertEqual(self.memory.held, 0)

    def test_a_new_response_alone_is_written(self) -> None:
        response = self.write("only", LONGEST_RESPONSE_BYTES, 0.0)
        self.assertFalse(response.is_evicted)
        self.assertEqual(self.closed, [])

    def test_a_response_that_is_read_has_writers_closed_for_it(self) -> None:
        writers = [self.write(str(n), 25 * SHARE_BYTES, 0.0) for n in range(4)]
        reading = self.memory.open()
        self.assertTrue(reading.try_resize(30 * SHARE_BYTES, 1.0))
        self.assertEqual(len(self.closed), 2)
        self.assertEqual(sum(each.is_evicted for each in writers), 2)

    def test_a_response_beyond_the_bound_ends_while_it_is_read(self) -> None:
        readers = [self.memory.open() for _ in range(2)]
        self.assertTrue(readers[0].try_resize(99 * SHARE_BYTES, 0.0))
        self.assertFalse(readers[1].try_resize(2 * SHARE_BYTES, 0.0))
        self.assertEqual(self.memory.refused, 1)
        readers[1].release()
        self.assertTrue(readers[0].try_resize(100 * SHARE_BYTES, 0.0))

    def test_shares_beyond_the_bound_are_bounded_too(self) -> None:
        readers = [self.memory.open() for _ in range(1_000)]
        admitted = sum(each.try_resize(SHARE_BYTES, 0.0) for each in readers)
        self.assertEqual(admitted, SHARES_FACTOR * 100)

    def test_a_dropped_response_is_released(self) -> None:
        """Guards against an account that only grows, as readers fail anywhere."""
        response = self.memory.open()
        response.try_resize(SHARE_BYTES, 0.0)
        del response
        self.assertEqual(self.memory.held, 0)

    def test_any_order_of_events_keeps_the_account_exact(self) -> None:
        for seed in range(50):
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def play(self, draw: random.Random) -> None:
        """Plays random events and checks that the bound holds after each."""
        memory = ResponseMemory(BYTES_MAX, is_bounding_writes=True)
        reading: list[HeldResponse] = []
        writing: list[HeldResponse] = []
        for now_s in range(300):
            event = draw.randrange(4)
            if event == 0 or not reading:
                reading.append(memory.open())
            response = draw.choice(reading)
            if event == 1:
                size = response.size + draw.randrange(20 * SHARE_BYTES)
                if not response.try_resize(size, now_s):
                    reading.remove(response)
                    response.release()
            elif event == 2:
                reading.remove(response)
                response.start_writing(response.size, lambda: None, now_s)
                writing.append(response)
            for each in [each for each in writing if each.is_evicted]:
                writing.remove(each)
                each.release()
            if event == 3 and writing:
                writing.pop(draw.randrange(len(writing))).release()
            held = sum(each.size for each in reading + writing)
            self.assertEqual(memory.held, held)
            small = sum(each.size for each in reading if each.size <= SHARE_BYTES)
            self.assertLessEqual(held - small, BYTES_MAX)


class WithoutSettingTest(unittest.TestCase):
    """Guards against a bound on callers where the host's memory isn't set."""

    def test_responses_that_are_written_do_not_count(self) -> None:
        memory = ResponseMemory(BYTES_MAX)
        for _ in range(10):
            response = memory.open()
            self.assertTrue(response.try_resize(50 * SHARE_BYTES, 0.0))
            response.start_writing(50 * SHARE_BYTES, self.fail, 0.0)
        self.assertEqual(memory.held, 0)


class BoundTest(unittest.TestCase):
    """Guards against a bound that a single response within the limits exceeds."""

    def test_the_smallest_host_holds_several_of_the_longest_responses(self) -> None:
        self.assertGreater(bytes_max_of(160_000_000), 5 * LONGEST_RESPONSE_BYTES)
        self.assertGreater(bytes_max_of(1), LONGEST_RESPONSE_BYTES)
