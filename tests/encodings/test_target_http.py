"""Tests of `lavendertide.encodings.target_http`."""

import contextlib
import json
import socket
import threading
import time
import unittest
from collections.abc import Callable
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
from lavendertide.messages import Answered, Declined, DeclineReason, LossReason, Lost
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


class HttpTargetExchangeTest(unittest.TestCase):
    """An exchange reports whether a sub-request ran, did not run, or may have run.

    A request that may have run but is reported as not run could be executed twice.
    """

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


def _becomes_true(condition: Callable[[], bool]) -> bool:
    ends_at_s = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() >= ends_at_s:
            return False
        time.sleep(0.01)
    return True
