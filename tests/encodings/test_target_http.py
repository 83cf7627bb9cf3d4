"""Tests of `lavendertide.encodings.target_http`."""

import contextlib
import json
import socket
import threading
import time
import unittest
from collections.abc import Callable, Iterator
from dataclasses import replace
from unittest import mock

from eventlet import patcher

from bench.codec import build_frame
from lavendertide.encodings.target_connection import HttpReply
from lavendertide.encodings.target_http import (
    HttpTargetControl,
    HttpTargetExchange,
    decode_reply,
    encode_run,
)
from lavendertide.ids import (
    Address,
    AttemptId,
    FailureDomain,
    IndexName,
    OwnerId,
    Region,
    TargetId,
)
from lavendertide.messages import (
    Answered,
    Declined,
    DeclineReason,
    LossReason,
    Lost,
    SubReply,
)
from lavendertide.targets.place import TargetPlace
from standins.target import expected_reply

TIMEOUT_S = 5.0
SHORT_TIMEOUT_S = 0.05
REQUEST = build_frame(1).items[0]
PLACE = TargetPlace(
    target=TargetId("t"),
    owner=OwnerId("o"),
    index=IndexName("i"),
    address=Address("127.0.0.1:1"),
    region=Region("r"),
    failure_domain=FailureDomain("d"),
    slots=1,
    connections=2,
)
Behaviour = Callable[[socket.socket], None]


def reply_once(connection: socket.socket) -> None:
    """Reads a request and sends a valid reply."""
    head, _, body = connection.recv(65_536).partition(b"\r\n\r\n")
    while len(body) < int(_content_length(head)):
        body += connection.recv(65_536)
    reply = json.dumps(expected_reply(json.loads(body))).encode()
    length = f"Content-Length: {len(reply)}".encode()
    connection.sendall(b"HTTP/1.1 200 OK\r\n" + length + b"\r\n\r\n" + reply)


def _content_length(head: bytes) -> bytes:
    lines = head.lower().split(b"\r\n")
    return next(line for line in lines if line.startswith(b"content-length"))[15:]


def read_and_close(connection: socket.socket) -> None:
    """Reads a request and closes the connection, as a crash does."""
    connection.recv(65_536)


def read_and_wait(connection: socket.socket) -> None:
    """Reads a request and sends nothing until the other side closes."""
    while connection.recv(65_536):
        pass


def send_part_and_close(connection: socket.socket) -> None:
    """Sends less than the announced length and closes, as a crash does."""
    connection.recv(65_536)
    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")


def read_and_send(sent: bytes) -> Behaviour:
    """Returns the behaviour of a target that sends some bytes and closes."""

    def behave(connection: socket.socket) -> None:
        connection.recv(65_536)
        # A reader that has read enough of a reply closes the connection.
        with contextlib.suppress(ConnectionError):
            connection.sendall(sent)

    return behave


def send_json(document: bytes) -> Behaviour:
    """Returns the behaviour of a target that replies with a JSON document."""

    def behave(connection: socket.socket) -> None:
        connection.recv(65_536)
        length = f"Content-Length: {len(document)}".encode()
        connection.sendall(b"HTTP/1.1 200 OK\r\n" + length + b"\r\n\r\n" + document)

    return behave


class OddReplyTest(unittest.TestCase):
    """A reply that can't be read is a lost one, whatever is wrong with it.

    Another exception would end the task of the connection and lose the target's slot.
    """

    def test_odd_documents_are_mismatched_replies(self) -> None:
        valid = {"attempt": REQUEST.attempt, "shard": REQUEST.shard}
        valid |= {"version": REQUEST.version, "rows": [], "matches": 0, "amount": 0}
        for odd in (
            b"[" * 100_000,
            b"[]",
            b"null",
            json.dumps(valid | {"matches": 1e999}).encode(),
            json.dumps(valid | {"rows": [["a", 1]]}).encode(),
            json.dumps(valid | {"amount": "9" * 5_000}).encode(),
        ):
            with self.subTest(odd[:40]):
                reply = decode_reply(REQUEST, HttpReply(200, odd))
                lost = Lost(REQUEST.attempt, LossReason.MISMATCHED_REPLY)
                self.assertEqual(reply, lost)

    def test_an_odd_health_document_does_not_mean_draining(self) -> None:
        for odd in (b"[" * 100_000, b"[]", b"null", b"7", b'{"state": ["draining"]}'):
            with self.subTest(odd[:40]):
                listener = socket.create_server(("127.0.0.1", 0))
                self.addCleanup(listener.close)

                def serve(listener: socket.socket, odd: bytes) -> None:
                    connection, _ = listener.accept()
                    with connection:
                        send_json(odd)(connection)

                threading.Thread(
                    target=serve, args=(listener, odd), daemon=True
                ).start()
                host, port = listener.getsockname()
                place = replace(PLACE, address=Address(f"{host}:{port}"))
                control = HttpTargetControl(place)
                self.addCleanup(control.close)
                self.assertFalse(control.is_draining(TIMEOUT_S))


def send_replies(*batches: list[tuple[int, object]]) -> Behaviour:
    """Returns the behaviour of a target that sends a batch of replies per request.

    Args:
        batches: For each request, the statuses and documents to send.
    """

    def behave(connection: socket.socket) -> None:
        for batch in batches:
            connection.recv(65_536)
            for status, document in batch:
                body = json.dumps(document).encode()
                head = f"HTTP/1.1 {status} Any\r\nContent-Length: {len(body)}\r\n\r\n"
                connection.sendall(head.encode() + body)
                time.sleep(0.05)
        with contextlib.suppress(ConnectionResetError):
            connection.recv(65_536)

    return behave


class TargetTestCase(unittest.TestCase):
    """Serves one target on a loopback address."""

    def setUp(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        host, port = self.listener.getsockname()
        self.place = replace(PLACE, address=Address(f"{host}:{port}"))
        self.exchange = HttpTargetExchange(self.place)
        self.addCleanup(self.exchange.close)

    def serve(self, *behaviours: Behaviour) -> threading.Thread:
        """Accepts one connection for each behaviour, one after the other."""

        def accept_all() -> None:
            for behaviour in behaviours:
                connection, _ = self.listener.accept()
                with connection:
                    behaviour(connection)

        server = threading.Thread(target=accept_all, daemon=True)
        server.start()
        return server


class HttpTargetExchangeTest(TargetTestCase):
    """An exchange reports whether a sub-request ran, did not run, or may have run.

    A request that may have run but is reported as not run could be executed twice.
    """

    def test_a_valid_reply_is_decoded(self) -> None:
        self.serve(reply_once)
        reply = self.exchange.run(REQUEST, TIMEOUT_S)
        self.assertIsInstance(reply, Answered)

    def test_a_refused_connection_means_not_run(self) -> None:
        self.listener.close()
        reply = self.exchange.run(REQUEST, TIMEOUT_S)
        self.assertEqual(reply, Declined(REQUEST.attempt, DeclineReason.UNREACHABLE))

    def test_a_crash_during_the_request_means_unknown(self) -> None:
        self.serve(read_and_close)
        reply = self.exchange.run(REQUEST, TIMEOUT_S)
        self.assertEqual(reply, Lost(REQUEST.attempt, LossReason.TARGET_CLOSED))

    def test_a_crash_during_the_reply_means_unknown(self) -> None:
        self.serve(send_part_and_close)
        reply = self.exchange.run(REQUEST, TIMEOUT_S)
        self.assertEqual(reply, Lost(REQUEST.attempt, LossReason.TARGET_CLOSED))

    def test_a_request_is_sent_in_one_write(self) -> None:
        self.serve(read_and_close)
        writes: list[bytes] = []
        system_socket = patcher.original("socket").socket
        write = system_socket.send

        def count_write(connection: socket.socket, data: bytes, flags: int = 0) -> int:
            writes.append(data)
            return int(write(connection, data, flags))

        with mock.patch.object(system_socket, "send", count_write):
            self.exchange.run(REQUEST, TIMEOUT_S)
        self.assertEqual(len(writes), 1)

    def test_silence_means_unknown(self) -> None:
        self.serve(read_and_wait)
        reply = self.exchange.run(REQUEST, SHORT_TIMEOUT_S)
        self.assertEqual(reply, Lost(REQUEST.attempt, LossReason.TIMED_OUT))

    def test_a_connection_closed_while_idle_is_reopened(self) -> None:
        first = self.serve(reply_once)
        self.exchange.run(REQUEST, TIMEOUT_S)
        first.join(TIMEOUT_S)
        self.serve(reply_once)
        reply = self.exchange.run(REQUEST, TIMEOUT_S)
        self.assertIsInstance(reply, Answered)

    def test_a_late_copy_of_a_refusal_says_nothing_about_the_next_attempt(self) -> None:
        """Guards against a request that runs twice since it was reported as not run."""
        for status in (429, 503, 410, 409):
            with self.subTest(status=status):
                refusal = (status, {"attempt": REQUEST.attempt})
                other = replace(REQUEST, attempt=AttemptId("other"))
                ran = (200, expected_reply(json.loads(encode_run(other, 1.0))))
                self.serve(send_replies([refusal], [refusal, ran]), reply_once)
                reply = self.exchange.run(REQUEST, TIMEOUT_S)
                self.assertIsInstance(reply, Declined)
                reply = self.exchange.run(other, TIMEOUT_S)
                self.assertEqual(
                    reply, Lost(other.attempt, LossReason.MISMATCHED_REPLY)
                )
                # The reply that is still to be read belongs to no later attempt.
                self.assertIsInstance(self.exchange.run(REQUEST, TIMEOUT_S), Answered)
                self.exchange.close()

    def test_a_refusal_that_names_no_attempt_ends_its_connection(self) -> None:
        self.serve(send_replies([(429, {})]))
        self.assertIsInstance(self.exchange.run(REQUEST, TIMEOUT_S), Declined)
        self.assertFalse(self.exchange.is_open)

    def test_a_refusal_that_names_its_attempt_leaves_the_connection_open(self) -> None:
        self.serve(send_replies([(429, {"attempt": REQUEST.attempt})]))
        self.assertIsInstance(self.exchange.run(REQUEST, TIMEOUT_S), Declined)
        self.assertTrue(self.exchange.is_open)

    def test_a_copy_that_arrives_on_an_idle_connection_ends_it(self) -> None:
        valid = (200, expected_reply(json.loads(encode_run(REQUEST, 1.0))))
        self.serve(send_replies([valid, valid]))
        self.assertIsInstance(self.exchange.run(REQUEST, TIMEOUT_S), Answered)
        self.assertTrue(_becomes_true(lambda: not self.exchange.is_open))

    def test_a_late_copy_does_not_confirm_another_cancellation(self) -> None:
        first, second = AttemptId("a"), AttemptId("b")
        copy = (200, {"attempt": first})
        self.serve(send_replies([copy], [copy]))
        control = HttpTargetControl(self.place)
        self.addCleanup(control.close)
        self.assertTrue(control.cancel(first, TIMEOUT_S))
        self.assertFalse(control.cancel(second, TIMEOUT_S))

    def test_a_reply_that_breaks_off_in_its_head_means_unknown(self) -> None:
        """Guards against half a refusal that promises that nothing has run."""
        for status in (200, 409, 429, 503):
            head = f"HTTP/1.1 {status} Any\r\nContent-Type: application/json\r\n"
            for sent in (head, head[:-10], head + "Content-Length: 7\r\n"):
                with self.subTest(sent=sent):
                    self.serve(read_and_send(sent.encode()))
                    reply = self.exchange.run(REQUEST, TIMEOUT_S)
                    self.assertIsInstance(reply, Lost)

    def test_a_confirmation_that_breaks_off_in_its_head_confirms_nothing(self) -> None:
        self.serve(read_and_send(b"HTTP/1.1 200 OK\r\nContent-Type: a"))
        control = HttpTargetControl(self.place)
        self.addCleanup(control.close)
        self.assertFalse(control.cancel(AttemptId("a"), TIMEOUT_S))


class InvalidStatusLineTest(TargetTestCase):
    """Guards against data that is no reply of HTTP/1 and is taken for one.

    A refusal of this kind would promise that nothing has run, and a success would be a
    part of a search.
    """

    INVALID = (
        *(b"HTTP/1.1 %03d Any" % status for status in (0, 1, 99, 600, 999)),
        *(b"HTTP/1.1 %b Any" % s for s in (b"", b"20", b"2000", b"2x0", b"-20")),
        b"HTTP/1.1 101 Any",
    )
    # Formats of lines that the standard library reads like `HTTP/1.1 STATUS Any`.
    INVALID_FORMATS = (
        b"HTTP/1.1 0%b Any",
        b"HTTP/1.1 +%b Any",
        b"HTTP/1.1  %b Any",
        b"HTTP/1.1\t%b Any",
        b"HTTP/1.1 %b\tAny",
        b" HTTP/1.1 %b Any",
        b"HTTP/0.9 %b Any",
        b"HTTP/1.2 %b Any",
        b"HTTP/1.10 %b Any",
        b"HTTP/1.x %b Any",
        b"HTTP/2.0 %b Any",
        b"HTTP/2 %b Any",
        b"http/1.1 %b Any",
        b"RTSP/1.0 %b Any",
        b"%b Any",
        b"\r\nHTTP/1.1 %b Any",
        b"xHTTP/1.1 %b Any",
    )

    @staticmethod
    def framed(body: bytes) -> list[bytes]:
        """Returns the rest of a reply from its last headers on, in each framing."""
        size = len(body)
        return [
            b"Content-Length: %d\r\n\r\n%b" % (size, body),
            b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (size, body),
            b"\r\n" + body,
        ]

    def lines(self, *statuses: bytes) -> Iterator[bytes]:
        """Yields the invalid status lines, those of some format with each status."""
        yield from self.INVALID
        for status in statuses:
            yield b"HTTP/1.1 %b_%b Any" % (status[:1], status[1:])
            yield from (line % status for line in self.INVALID_FORMATS)

    def sub_reply(self, sent: bytes) -> SubReply:
        """Returns the outcome of a sub-request whose target sends some bytes."""
        self.exchange.close()
        self.serve(read_and_send(sent))
        return self.exchange.run(REQUEST, TIMEOUT_S)

    def control(self) -> HttpTargetControl:
        """Returns a new connection for controls."""
        control = HttpTargetControl(self.place)
        self.addCleanup(control.close)
        return control

    def test_a_valid_status_line_is_read(self) -> None:
        document = json.dumps(expected_reply(json.loads(encode_run(REQUEST, 1.0))))
        for line in (b"HTTP/1.1 200 OK", b"HTTP/1.0 200 OK", b"HTTP/1.1 200"):
            for rest in self.framed(document.encode()):
                with self.subTest(line=line, rest=rest[:20]):
                    outcome = self.sub_reply(line + b"\r\n" + rest)
                    self.assertIsInstance(outcome, Answered)

    def test_a_success_with_another_line_is_lost(self) -> None:
        document = json.dumps(expected_reply(json.loads(encode_run(REQUEST, 1.0))))
        for line in self.lines(b"200"):
            for rest in self.framed(document.encode()):
                with self.subTest(line=line, rest=rest[:20]):
                    outcome = self.sub_reply(line + b"\r\n" + rest)
                    lost = Lost(REQUEST.attempt, LossReason.MALFORMED_REPLY)
                    self.assertEqual(outcome, lost)
                    self.assertFalse(self.exchange.is_open)

    def test_a_status_line_that_breaks_off_is_a_crash(self) -> None:
        """Guards against sending a request that crashes its target to another one."""
        line = b"HTTP/1.1 200 OK\r\n"
        for end in range(len(line)):
            with self.subTest(sent=line[:end]):
                lost = Lost(REQUEST.attempt, LossReason.TARGET_CLOSED)
                self.assertEqual(self.sub_reply(line[:end]), lost)

    def test_a_refusal_with_another_line_promises_nothing(self) -> None:
        document = json.dumps({"attempt": REQUEST.attempt}).encode()
        for line in self.lines(b"409", b"410", b"429", b"503"):
            for rest in self.framed(document)[:2]:
                with self.subTest(line=line, rest=rest[:20]):
                    outcome = self.sub_reply(line + b"\r\n" + rest)
                    lost = Lost(REQUEST.attempt, LossReason.MALFORMED_REPLY)
                    self.assertEqual(outcome, lost)
                    self.assertFalse(self.exchange.is_open)

    def test_controls_heed_no_other_line(self) -> None:
        attempt = AttemptId("a")
        document = json.dumps({"attempt": attempt, "state": "draining"}).encode()
        for line in self.lines(b"200"):
            with self.subTest(line=line):
                sent = line + b"\r\n" + self.framed(document)[0]
                self.serve(read_and_send(sent), read_and_send(sent))
                is_confirmed = self.control().cancel(attempt, TIMEOUT_S)
                is_draining = self.control().is_draining(TIMEOUT_S)
                self.assertEqual((is_confirmed, is_draining), (False, False))

    def test_a_connection_that_warms_up_with_another_line_is_not_used(self) -> None:
        for line in self.lines(b"200"):
            with self.subTest(line=line):
                sent = line + b"\r\n" + self.framed(b"{}")[0]
                self.serve(read_and_send(sent))
                self.assertFalse(self.exchange.open())

    def test_interim_responses_are_skipped(self) -> None:
        document = json.dumps(expected_reply(json.loads(encode_run(REQUEST, 1.0))))
        reply = b"HTTP/1.1 200 OK\r\n" + self.framed(document.encode())[0]
        for status in (100, 102, 103, 199):
            for headers in (b"", b"X-A: 1\r\n", b"Content-Length: 9\r\n"):
                with self.subTest(status=status, headers=headers):
                    interim = b"HTTP/1.1 %d Any\r\n%b\r\n" % (status, headers)
                    outcome = self.sub_reply(2 * interim + reply)
                    self.assertIsInstance(outcome, Answered)

    def test_interim_responses_without_end_are_a_lost_reply(self) -> None:
        """They leave no time to other tasks while they arrive fast enough."""
        for status in (100, 103):
            with self.subTest(status=status):
                interim = b"HTTP/1.1 %d Any\r\n\r\n" % status
                began_s = time.monotonic()
                outcome = self.sub_reply(200_000 * interim)
                lost = Lost(REQUEST.attempt, LossReason.MALFORMED_REPLY)
                self.assertEqual(outcome, lost)
                self.assertLess(time.monotonic() - began_s, 0.2 * TIMEOUT_S)


def _becomes_true(condition: Callable[[], bool]) -> bool:
    ends_at_s = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() >= ends_at_s:
            return False
        time.sleep(0.01)
    return True
