"""Tests of `lavendertide.platform.store_client`, over a socket within the process."""

import json
import time
import unittest
from dataclasses import replace

from returns.result import Failure, Success

from lavendertide.encodings.http_replies import BODY_MAX_BYTES
from lavendertide.evacuation.evacuated_domains import Evacuation
from lavendertide.gateway.publications import (
    EvacuationPublished,
    HistoryLost,
    PublicationBatch,
)
from lavendertide.gateway.reading_times import ReadingTimes
from lavendertide.ids import Address, FailureDomain, StoreEra, StoreRevision
from lavendertide.platform.store_client import StoreClient
from standins.forwarding_records import at
from standins.platform_store import PlatformStore
from tests.encodings.fixed_peer import Peer


class OversizedChangesTest(unittest.TestCase):
    """Guards against a gateway that asks for the same oversized changes for ever.

    It would follow neither routes nor targets until the store forgets the changes.
    """

    def test_they_are_read_anew_by_pages(self) -> None:
        size = 2 * BODY_MAX_BYTES
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
        peer = Peer([head + b"x" * size])
        self.addCleanup(peer.close)
        client = StoreClient(peer.address, ReadingTimes(3.0))
        result = client.read_changes(at(1, 0))
        assert isinstance(result, Success)
        self.assertIsInstance(result.unwrap(), HistoryLost)


class InvalidStatusLineTest(unittest.TestCase):
    """Guards against routes and targets that are read from data that is no response.

    A watch that skips a status below 100 would also wait for another response until its
    end, and follow nothing meanwhile.
    """

    ITEMS = b'{"items": [], "events": [], "has-more": false, "current-rev": 7}'
    WATCH_S = 3.0

    def client(self, line: bytes, is_framed: bool) -> StoreClient:
        """Returns a client of a store that responds with a status line.

        A store whose response has a length keeps the connection open.
        """
        length = b"Content-Length: %d\r\n" % len(self.ITEMS) if is_framed else b""
        sent = line + b"\r\n" + length + b"\r\n" + self.ITEMS
        peer = Peer([sent, b""] if is_framed else [sent])
        self.addCleanup(peer.close)
        client = StoreClient(peer.address, ReadingTimes(self.WATCH_S))
        self.addCleanup(client._connection.close)
        return client

    def test_a_valid_one_is_read(self) -> None:
        for is_framed in (True, False):
            with self.subTest(is_framed=is_framed):
                line = b"HTTP/1.1 200 OK"
                self.assertEqual(
                    self.client(line, is_framed).read_all().unwrap().position, at(7, 0)
                )
                changes = self.client(line, is_framed).read_changes(at(6, 0)).unwrap()
                assert isinstance(changes, PublicationBatch)
                self.assertEqual(changes.position, at(7, 0))

    def test_another_one_is_a_failure_at_once(self) -> None:
        for line in (
            *(b"HTTP/1.1 %03d Any" % status for status in (0, 99, 101, 600, 999)),
            *(b"HTTP/%b 200 OK" % version for version in (b"0.9", b"1.2", b"2.0")),
            b"HTTP/2.0 410 Gone",
            b"RTSP/1.0 200 OK",
        ):
            for is_framed in (True, False):
                with self.subTest(line=line, is_framed=is_framed):
                    began_s = time.monotonic()
                    listed = self.client(line, is_framed).read_all()
                    changes = self.client(line, is_framed).read_changes(at(6, 0))
                    self.assertIsInstance(listed, Failure)
                    self.assertIsInstance(changes, Failure)
                    self.assertLess(time.monotonic() - began_s, 0.2 * self.WATCH_S)


class EvacuationsTest(unittest.TestCase):
    """Orders to evacuate a failure domain are read from the key alone."""

    def setUp(self) -> None:
        self.store = PlatformStore()
        self.addCleanup(self.store.close)
        self.client = StoreClient(Address(self.store.address), ReadingTimes(3.0))

    def read_all(self) -> PublicationBatch:
        """Returns everything that the store publishes."""
        return self.client.read_all().unwrap()

    def test_a_full_read_lists_all_of_them(self) -> None:
        self.store.put("op/evacuate/north-a", {})
        self.store.put_raw("op/evacuate/north-b", "no base64")
        states = self.read_all().evacuations
        assert states is not None
        self.assertEqual([s.domain for s in states], ["north-a", "north-b"])
        self.assertTrue(all(state.is_evacuated for state in states))

    def test_a_removal_has_a_greater_revision(self) -> None:
        self.store.put("op/evacuate/north-a", {})
        position = self.read_all().position
        self.store.remove("op/evacuate/north-a")
        changes = self.client.read_changes(position).unwrap()
        assert isinstance(changes, PublicationBatch)
        removed_at = replace(position, revision=StoreRevision(position.revision + 1))
        state = Evacuation(FailureDomain("north-a"), removed_at, False)
        self.assertEqual(changes.publications, (EvacuationPublished(state),))
        self.assertIsNone(changes.evacuations)

    def test_odd_names_are_refused_by_themselves(self) -> None:
        """Guards against one odd key that ends the reading of all others."""
        for name in ("", "\n", "x" * 201):
            self.store.put(f"op/evacuate/{name}", {})
        self.store.put("op/evacuate/north-a", {})
        with self.assertLogs("lavendertide.platform.store_client", "WARNING"):
            states = self.read_all().evacuations
        assert states is not None
        self.assertEqual([state.domain for state in states], ["north-a"])


class EraTest(unittest.TestCase):
    """Each answer is placed in the era of the store that it names."""

    BODY = b'{"items": [], "events": [], "has-more": false, "current-rev": 7}'

    def respond(self, *heads: bytes) -> StoreClient:
        """Returns a client of a store that responds with these status lines."""
        length = b"Content-Length: %d\r\n\r\n" % len(self.BODY)
        peer = Peer([head + length + self.BODY for head in heads])
        self.addCleanup(peer.close)
        client = StoreClient(peer.address, ReadingTimes(3.0))
        self.addCleanup(client._connection.close)
        return client

    def test_it_is_read_from_any_answer(self) -> None:
        for status in (b"200 OK", b"410 Gone", b"429 Slow Down", b"503 Unavailable"):
            with self.subTest(status=status):
                head = b"HTTP/1.1 %b\r\nStore-Era: 12\r\n" % status
                client = self.respond(head)
                lost = client.read_changes(at(6, 11)).unwrap()
                self.assertEqual(lost, HistoryLost(StoreEra(12)))

    def test_changes_of_the_known_era_continue(self) -> None:
        client = self.respond(b"HTTP/1.1 200 OK\r\nStore-Era: 12\r\n")
        batch = client.read_changes(at(6, 12)).unwrap()
        assert isinstance(batch, PublicationBatch)
        self.assertEqual(batch.position, at(7, 12))

    def test_an_answer_without_one_is_of_the_known_era(self) -> None:
        for status, expected in (
            (b"200 OK", PublicationBatch((), at(7, 12))),
            (b"410 Gone", HistoryLost(StoreEra(12))),
        ):
            with self.subTest(status=status):
                client = self.respond(b"HTTP/1.1 %b\r\n" % status)
                result = client.read_changes(at(6, 12))
                self.assertEqual(result.unwrap(), expected)

    def test_an_error_without_one_is_no_answer(self) -> None:
        client = self.respond(b"HTTP/1.1 503 Unavailable\r\n")
        self.assertIsInstance(client.read_changes(at(6, 12)), Failure)

    def test_malformed_ones_are_logged_and_change_nothing(self) -> None:
        """Guards against a zero in place of an era that can't be read."""
        huge = b"%d" % 2**63
        for value in (b"", b"-1", b"+13", b"1_3", b"13.0", b"x", b"\xb2", huge):
            with self.subTest(value=value):
                head = b"HTTP/1.1 200 OK\r\nStore-Era: %b\r\n" % value
                client = self.respond(head)
                with self.assertLogs("lavendertide.platform.store_client") as logs:
                    batch = client.read_changes(at(6, 12)).unwrap()
                assert isinstance(batch, PublicationBatch)
                self.assertEqual(batch.position, at(7, 12))
                self.assertIn("Check what responds", vars(logs.records[0])["problem"])

    def test_the_least_and_the_greatest_era_are_read(self) -> None:
        for era in (0, 2**63 - 1):
            with self.subTest(era=era):
                client = self.respond(b"HTTP/1.1 200 OK\r\nStore-Era: %d\r\n" % era)
                self.assertEqual(client.read_all().unwrap().position, at(7, era))

    def test_the_connection_to_an_earlier_era_is_closed(self) -> None:
        client = self.respond(b"HTTP/1.1 200 OK\r\nStore-Era: 11\r\n")
        lost = client.read_changes(at(6, 12)).unwrap()
        self.assertEqual(lost, HistoryLost(StoreEra(11)))
        self.assertFalse(client._connection.is_open)


class RestoredBetweenPagesTest(unittest.TestCase):
    """Guards against one list that is made of the pages of two eras."""

    def page(self, era: str, revision: int, key: str, has_more: bool) -> bytes:
        """Returns a response with one page, which holds one evacuation."""
        item = {"key": f"op/evacuate/{key}", "value": "", "rev": revision}
        document = {"items": [item], "has-more": has_more, "current-rev": revision}
        body = json.dumps(document).encode()
        head = f"HTTP/1.1 200 OK\r\n{era}Content-Length: {len(body)}\r\n\r\n"
        return head.encode() + body

    def test_everything_is_read_from_the_start(self) -> None:
        for first, second in (("Store-Era: 1\r\n", "Store-Era: 2\r\n"), ("", "")):
            with self.subTest(first=first):
                peer = Peer(
                    [
                        self.page(first, 9, "a", True),
                        self.page(second, 6, "b", False),
                        self.page(second, 6, "a", True),
                        self.page(second, 6, "c", False),
                    ]
                )
                self.addCleanup(peer.close)
                client = StoreClient(peer.address, ReadingTimes(3.0))
                self.addCleanup(client._connection.close)
                batch = client.read_all().unwrap()
                self.assertEqual(batch.position.revision, 6)
                domains = [state.domain for state in batch.evacuations or ()]
                self.assertEqual(domains, ["a", "c"])
