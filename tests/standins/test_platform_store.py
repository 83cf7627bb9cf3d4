"""Tests of `standins.platform_store`."""

import http.client
import json
import threading
import time
import unittest
from typing import Any

from standins.platform_store import Absence, PlatformStore

WAIT_MS = 500
SETTLED_S = 0.1


def ask(store: PlatformStore, path: str) -> tuple[int, str | None, dict[str, Any]]:
    """Returns the status, the era and the document of one response."""
    connection = http.client.HTTPConnection(store.address, timeout=5.0)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        document = json.loads(response.read())
        return response.status, response.headers["Store-Era"], document
    finally:
        connection.close()


def watch(after: int) -> str:
    """Returns the path of a watch."""
    return f"/api/kv-watch?prefix=&after={after}&wait-ms={WAIT_MS}"


class ReturnFromCopyTest(unittest.TestCase):
    """A store that returns from a copy gives its later revisions out again."""

    def setUp(self) -> None:
        self.store = PlatformStore()
        self.addCleanup(self.store.close)
        self.store.put("a", 1)
        self.copy = self.store.copy()
        self.store.put("b", 1)
        self.lost = self.store.revision

    def return_from_copy(self, absence: Absence) -> None:
        """Has the store return from the copy after an absence."""
        self.store.go_away(absence)
        self.store.come_back(self.copy)

    def test_later_writes_are_gone_and_the_era_rises(self) -> None:
        for era, absence in enumerate(Absence, 2):
            with self.subTest(absence=absence):
                self.return_from_copy(absence)
                status, named, document = ask(self.store, "/api/kv-range?prefix=")
                self.assertEqual((status, named), (200, str(era)))
                self.assertEqual([item["key"] for item in document["items"]], ["a"])
                self.assertEqual(document["current-rev"], self.lost - 1)

    def test_a_watch_from_a_revision_that_it_lacks_gets_410(self) -> None:
        self.return_from_copy(Absence.STOPPED)
        for after in (self.lost, self.copy.revision - 1):
            with self.subTest(after=after):
                self.assertEqual(ask(self.store, watch(after))[:2], (410, "2"))

    def test_a_watch_that_waits_gets_410_too(self) -> None:
        replies: list[tuple[int, str | None, dict[str, Any]]] = []
        waiting = threading.Thread(
            target=lambda: replies.append(ask(self.store, watch(self.lost)))
        )
        waiting.start()
        time.sleep(SETTLED_S)
        self.return_from_copy(Absence.SILENT)
        waiting.join()
        self.assertEqual(replies[0][:2], (410, "2"))

    def test_a_revision_that_is_given_out_again_hides_what_has_it(self) -> None:
        self.return_from_copy(Absence.STOPPED)
        self.store.put("c", 1)
        self.store.put("b", 1)
        status, era, document = ask(self.store, watch(self.lost))
        self.assertEqual((status, era), (200, "2"))
        self.assertEqual([event["key"] for event in document["events"]], ["b"])

    def test_writes_fail_while_it_is_away(self) -> None:
        self.store.go_away(Absence.REFUSING)
        with self.assertRaises(ConnectionError):
            self.store.put("c", 1)
        self.assertEqual(ask(self.store, "/api/kv-range?prefix=")[:2], (503, "1"))
        self.store.come_back()
        self.store.put("c", 1)
        self.assertEqual(self.store.revision, self.lost + 1)


class EarlierReleaseTest(unittest.TestCase):
    """A store of an earlier release names no era."""

    def test_its_responses_lack_the_header(self) -> None:
        store = PlatformStore(era=None)
        self.addCleanup(store.close)
        self.assertIsNone(ask(store, "/api/kv-range?prefix=")[1])
