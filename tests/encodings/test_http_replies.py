"""Tests of `lavendertide.encodings.http_replies`."""

import contextlib
import gc
import unittest
import weakref

from lavendertide.encodings.http_client_connection import (
    ClientConnection,
    ExchangeError,
)
from lavendertide.encodings.http_messages import render_body, render_head
from lavendertide.encodings.http_replies import (
    BODY_MAX_BYTES,
    MalformedReply,
    OversizedReply,
    ReplyReader,
)
from lavendertide.overload.response_memory import SHARE_BYTES, ResponseMemory
from tests.encodings.fixed_peer import TIMEOUT_S, Peer

OK = b"HTTP/1.1 200 OK\r\n"
STAMP = b"Lavendertide-Server-Stamp: s\r\n"
GET = render_head("GET", "/x", [(b"Host", b"shop.example")]) + render_body("GET", b"")


class ReplyMemoryTest(unittest.TestCase):
    """Guards against memory that grows by each response that was given up.

    A reader that is in a reference cycle with its parser stays in memory, with all that
    it has read, until a full garbage collection, and these are rare.
    """

    def setUp(self) -> None:
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

    def count_readers(self) -> int:
        """Returns the number of readers in memory."""
        return sum(isinstance(each, ReplyReader) for each in gc.get_objects())

    def exchange(self, reply: bytes) -> None:
        """Sends a request to a target that sends fixed bytes and closes."""
        peer = Peer([reply])
        self.addCleanup(peer.close)
        connection = ClientConnection(peer.address)
        self.addCleanup(connection.close)
        self.assertTrue(connection.open(TIMEOUT_S))
        connection.exchange("GET", [GET], TIMEOUT_S)

    def test_a_complete_response_leaves_nothing_behind(self) -> None:
        self.exchange(OK + b"Content-Length: 4\r\n\r\nbody")
        self.assertEqual(self.count_readers(), 0)

    def test_a_response_that_was_given_up_leaves_nothing_behind(self) -> None:
        for reply in (
            OK + b"Content-Length: 9\r\n\r\nbody",
            b"no answer",
            OK + b"\r\n" + b"x" * (BODY_MAX_BYTES + 1),
            OK + b"X-Long: " + b"x" * 100_000,
        ):
            with self.subTest(reply=reply[:40]):
                with self.assertRaises(ExchangeError):
                    self.exchange(reply)
                self.assertEqual(self.count_readers(), 0)

    def test_a_closed_reader_is_freed_without_a_collection(self) -> None:
        reader = ReplyReader("GET")
        reader.feed(OK + b"\r\n" + b"x" * 100_000)
        freed = weakref.ref(reader)
        reader.close()
        del reader
        self.assertIsNone(freed())


class SharedMemoryTest(unittest.TestCase):
    """Guards against bodies without end that each stay below the limit of one.

    Many of them at once would still drive the process over its memory.
    """

    PIECE = b"x" * 65_536
    BYTES_MAX = 4 * SHARE_BYTES

    def setUp(self) -> None:
        self.memory = ResponseMemory(self.BYTES_MAX)

    def start(self) -> ReplyReader:
        """Returns a reader that has read the head of a response without a length."""
        reader = ReplyReader("GET", memory=self.memory)
        reader.feed(OK + b"\r\n")
        return reader

    def read_endlessly(self, reader: ReplyReader) -> bool:
        """Reads one more piece; returns whether the response goes on."""
        try:
            reader.feed(self.PIECE)
        except OversizedReply:
            reader.close()
            return False
        return True

    def test_bodies_without_end_hold_a_bounded_number_of_bytes(self) -> None:
        readers = [self.start() for _ in range(20)]
        held_max = 0
        while readers:
            readers = [reader for reader in readers if self.read_endlessly(reader)]
            held_max = max(held_max, self.memory.held)
        shares = 20 * (SHARE_BYTES + len(self.PIECE))
        self.assertLessEqual(held_max, self.BYTES_MAX + shares)
        self.assertEqual(self.memory.held, 0)

    def test_a_usual_response_is_read_while_others_hold_all(self) -> None:
        hogs = [self.start() for _ in range(8)]
        while self.memory.held < self.BYTES_MAX:
            hogs = [hog for hog in hogs if self.read_endlessly(hog)]
        reader = ReplyReader("GET", memory=self.memory)
        reader.feed(OK + b"Content-Length: 65536\r\n\r\n" + self.PIECE)
        self.assertTrue(reader.is_complete)
        self.assertEqual(reader.body, self.PIECE)

    def test_all_is_released_however_a_response_ends(self) -> None:
        for sent in (
            b"Content-Length: 4\r\n\r\nbody",
            b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\nno chunk\r\n",
            b"Content-Length: 9\r\n\r\nbody",
        ):
            with self.subTest(sent=sent):
                reader = ReplyReader("GET", memory=self.memory)
                with contextlib.suppress(MalformedReply):
                    reader.feed(OK + sent)
                    reader.feed(b"")
                reader.close()
                self.assertEqual(self.memory.held, 0)


class BrokenOffReplyTest(unittest.TestCase):
    """Guards against a response that broke off and looks complete to the caller.

    A response without a length ends with its connection, but only after its head.
    """

    def test_a_head_that_breaks_off_anywhere_is_no_response(self) -> None:
        for framing in (b"", b"Content-Length: 4\r\n", b"Connection: close\r\n"):
            head = OK + STAMP + framing + b"\r\n"
            for end in range(len(head)):
                reader = ReplyReader("GET")
                if end:
                    reader.feed(head[:end])
                with self.subTest(end=head[:end]), self.assertRaises(MalformedReply):
                    reader.feed(b"")

    def test_the_head_after_interim_and_skipped_responses_counts(self) -> None:
        """Neither lets the end of the connection pass for the end of a response."""
        skipped = OK + b"X-Id: other\r\nContent-Length: 1\r\n\r\nx"
        interim = b"HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n"
        head = OK + STAMP + b"X-Id: own\r\n\r\n"
        for before in (interim, skipped, interim + skipped):
            for end in range(len(head)):
                reader = ReplyReader("GET", lambda h: (b"x-id", b"other") not in h)
                reader.feed(before + head[:end])
                with self.subTest(end=head[:end]), self.assertRaises(MalformedReply):
                    reader.feed(b"")

    def test_a_framed_body_that_breaks_off_anywhere_is_no_response(self) -> None:
        chunked = b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
        for sent in (
            OK + STAMP + b"Content-Length: 4\r\n\r\nbody",
            OK + STAMP + chunked,
        ):
            for end in range(1, len(sent)):
                reader = ReplyReader("GET")
                reader.feed(sent[:end])
                with self.subTest(end=sent[:end]), self.assertRaises(MalformedReply):
                    reader.feed(b"")

    def test_a_response_that_is_too_large_says_so(self) -> None:
        reader = ReplyReader("GET")
        with self.assertRaises(OversizedReply):
            reader.feed(OK + b"\r\n" + b"x" * (BODY_MAX_BYTES + 1))


class StatusLineTest(unittest.TestCase):
    """Guards against data that is no response of HTTP/1 and reaches the caller.

    A target in trouble may send any status and any version. A status below 100 must not
    pass for an interim response either, since the request would wait for another one
    until its deadline.
    """

    FRAMINGS = (
        b"Content-Length: 4\r\n\r\nbody",
        b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        b"\r\nbody",
    )
    VALID = (
        b"HTTP/1.1 200 OK",
        b"HTTP/1.0 200 OK",
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 ",
        b"HTTP/1.1 599 Any",
        b"HTTP/1.1 205 Any",
    )
    INVALID = (
        *(b"HTTP/1.1 %03d Any" % status for status in (0, 1, 99, 600, 700, 999)),
        *(b"HTTP/1.1 %b Any" % s for s in (b"", b"20", b"2000", b"0200", b"+200")),
        *(b"HTTP/1.1 %b Any" % s for s in (b" 200", b"-20", b"2_00", b"2x0")),
        *(
            b"HTTP/%b 200 OK" % v
            for v in (b"0.0", b"0.9", b"1.2", b"1.10", b"2", b"2.0")
        ),
        *(b"HTTP/%b 200 OK" % v for v in (b"3.0", b"11", b"01.1", b"1.x")),
        b"HTTP/1.1\t200 OK",
        b"HTTP/1.1 200OK",
        b"HTTP 200 OK",
        b"200 OK",
        b"http/1.1 200 OK",
        b"RTSP/1.0 200 OK",
        b"ICE/1.1 200 OK",
        b" HTTP/1.1 200 OK",
        b"\x00HTTP/1.1 200 OK",
        b"xHTTP/1.1 200 OK",
        b"HTTP/1.1 101 Switching Protocols",
    )

    def read(self, sent: bytes, piece_bytes: int) -> ReplyReader:
        """Reads a response in pieces, up to the end of its connection if need be."""
        reader = ReplyReader("GET")
        self.addCleanup(reader.close)
        for start in range(0, len(sent), piece_bytes):
            reader.feed(sent[start : start + piece_bytes])
        if not reader.is_complete:
            reader.feed(b"")
        return reader

    def test_valid_status_lines_are_read(self) -> None:
        for line in self.VALID:
            for framing in self.FRAMINGS:
                for piece_bytes in (1, 1_000):
                    with self.subTest(line=line, framing=framing, piece=piece_bytes):
                        reader = self.read(line + b"\r\n" + framing, piece_bytes)
                        self.assertEqual(reader.status, int(line[9:12]))
                        self.assertEqual(reader.body, b"body")

    def test_other_status_lines_are_malformed(self) -> None:
        for line in self.INVALID:
            for framing in self.FRAMINGS:
                for piece_bytes in (1, 1_000):
                    sent = line + b"\r\n" + framing
                    with (
                        self.subTest(line=line, framing=framing, piece=piece_bytes),
                        self.assertRaises(MalformedReply),
                    ):
                        self.read(sent, piece_bytes)

    def test_an_invalid_status_is_not_skipped_as_an_interim_one(self) -> None:
        """The connection stays open, so that only the head tells."""
        for status in (b"000", b"001", b"099"):
            reader = ReplyReader("GET")
            self.addCleanup(reader.close)
            with self.subTest(status=status), self.assertRaises(MalformedReply):
                reader.feed(b"HTTP/1.1 %b Any\r\nContent-Length: 0\r\n\r\n" % status)

    def test_status_lines_after_skipped_responses_are_checked(self) -> None:
        skipped = OK + b"X-Id: other\r\nContent-Length: 1\r\n\r\nx"
        interim = b"HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n"
        for before in (interim, skipped, interim + skipped):
            for line in (b"HTTP/1.1 600 Any", b"HTTP/1.1 000 Any", b"HTTP/2.0 200 OK"):
                reader = ReplyReader("GET", lambda h: (b"x-id", b"other") not in h)
                self.addCleanup(reader.close)
                sent = before + line + b"\r\n" + self.FRAMINGS[0]
                with self.subTest(sent=sent), self.assertRaises(MalformedReply):
                    reader.feed(sent)
                    reader.feed(b"")

    def test_another_protocol_after_an_interim_response_is_malformed(self) -> None:
        reader = ReplyReader("GET")
        self.addCleanup(reader.close)
        reader.feed(b"HTTP/1.1 103 Early Hints\r\n\r\n")
        with self.assertRaises(MalformedReply):
            reader.feed(b"RTSP/1.1 200 OK\r\n" + self.FRAMINGS[0])

    def test_a_skipped_response_is_checked(self) -> None:
        reader = ReplyReader("GET", lambda h: (b"x-id", b"other") not in h)
        self.addCleanup(reader.close)
        skipped = b"HTTP/1.1 600 Any\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n"
        with self.assertRaises(MalformedReply):
            reader.feed(skipped + OK + self.FRAMINGS[0])

    def test_interim_responses_are_skipped_in_any_pieces(self) -> None:
        interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 150 Any\r\nX-A: 1\r\n\r\n"
        for piece_bytes in range(1, 100):
            with self.subTest(piece_bytes=piece_bytes):
                reader = self.read(interim + OK + self.FRAMINGS[0], piece_bytes)
                self.assertEqual((reader.status, reader.body), (200, b"body"))
                self.assertTrue(reader.is_reusable)

    def test_an_interim_response_takes_no_bytes_of_the_next(self) -> None:
        """The body of the first response must not pass for the response itself."""
        inner = OK + b"Content-Length: 5\r\n\r\ninner"
        outer = OK + b"Content-Length: %d\r\n\r\n" % len(inner)
        for status in (100, 102, 103, 104, 150, 199):
            head = b"HTTP/1.1 %d Any\r\nContent-Length: %d\r\n\r\n"
            sent = head % (status, len(outer)) + outer + inner
            with self.subTest(status=status):
                try:
                    body = self.read(sent, len(sent)).body
                except MalformedReply:
                    continue
                self.assertEqual(body, inner)

    def test_a_body_in_an_unknown_coding_is_malformed(self) -> None:
        """Guards against coded bytes that are passed on as the target's body."""
        chunks = b"\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
        for coding in (b"gzip, chunked", b"gzip,chunked", b"x, chunked", b"identity"):
            for piece_bytes in (1, 1_000):
                sent = OK + b"Transfer-Encoding: " + coding + chunks
                with (
                    self.subTest(coding=coding, piece_bytes=piece_bytes),
                    self.assertRaises(MalformedReply),
                ):
                    self.read(sent, piece_bytes)
        sent = OK + b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked" + chunks
        with self.assertRaises(MalformedReply):
            self.read(sent, len(sent))
        for coding in (b"chunked", b"Chunked", b" chunked "):
            with self.subTest(coding=coding):
                sent = OK + b"Transfer-Encoding: " + coding + chunks
                self.assertEqual(self.read(sent, len(sent)).body, b"body")

    def test_responses_without_a_body_end_with_their_head(self) -> None:
        """What follows the head belongs to no request, so the connection is closed."""
        for status in (204, 304):
            for framing in self.FRAMINGS:
                with self.subTest(status=status, framing=framing):
                    sent = b"HTTP/1.1 %d Any\r\n" % status + framing
                    reader = self.read(sent, len(sent))
                    self.assertEqual((reader.status, reader.body), (status, b""))
                    self.assertFalse(reader.is_reusable)
