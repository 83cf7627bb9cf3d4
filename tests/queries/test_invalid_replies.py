"""Tests of searches whose targets reply with an invalid status line, over sockets."""

import json
import socket
import threading
from dataclasses import replace
from functools import partial
from typing import Final

from lavendertide.encodings.target_http import HttpTargetExchange
from lavendertide.ids import Address, TargetId
from lavendertide.messages import SubReply, SubRequest
from lavendertide.queries.coverage import GapReason
from tests.encodings.test_target_http import PLACE, TIMEOUT_S, read_and_send
from tests.queries.fakes import answered, index_of, tier
from tests.runtime.loop_thread import LoopThread
from tests.virtual_time import VirtualTimeTestCase

NEAR, FAR = TargetId("t0-0"), TargetId("t0-1")
INVALID: Final = (
    b"HTTP/1.1 000 Any",
    b"HTTP/1.1 600 Any",
    b"HTTP/1.1 999 Any",
    b"HTTP/1.1 101 Any",
    b"HTTP/1.1 +200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/1.2 200 OK",
    b"HTTP/2.0 200 OK",
)
ODD_KEY: Final = "odd"


def success_to(request: SubRequest) -> bytes:
    """Returns the document of a success with one row of the key `odd`."""
    document = {
        "attempt": request.attempt,
        "shard": request.shard,
        "version": request.version,
        "rows": [[ODD_KEY, 1_000.0, "document"]],
        "matches": 1,
        "amount": 10,
    }
    return json.dumps(document).encode()


class InvalidReplyTest(VirtualTimeTestCase):
    """Guards against an invalid reply that counts as a part of a search."""

    def reply_over_socket(self, line: bytes, request: SubRequest) -> SubReply:
        """Returns the outcome of a sub-request to which a target replies by a line."""
        body = success_to(request)
        framing = b"" if self.is_unframed else b"Content-Length: %d\r\n" % len(body)
        behave = read_and_send(line + b"\r\n" + framing + b"\r\n" + body)
        with socket.create_server(("127.0.0.1", 0)) as listener:

            def serve() -> None:
                connection, _ = listener.accept()
                with connection:
                    behave(connection)

            threading.Thread(target=serve, daemon=True).start()
            host, port = listener.getsockname()
            place = replace(PLACE, address=Address(f"{host}:{port}"))
            exchange = HttpTargetExchange(place)
            # On the virtual clock, the time limit would pass before the reply arrives.
            with LoopThread() as loop:
                reply = loop.call(lambda: exchange.run(request, TIMEOUT_S))
                loop.call(exchange.close)
            return reply

    def check(self, replicas: int, expected: list[str], gaps: list[GapReason]) -> None:
        """Checks the rows and the gaps of a search over two shards.

        The near target of the first shard replies with each invalid line.
        """
        for line in INVALID:
            for self.is_unframed in (False, True):
                with self.subTest(line=line, is_unframed=self.is_unframed):
                    fake_tier = tier(index_of(2, replicas))
                    fake_tier.dispatch.reactions = {
                        NEAR: partial(self.reply_over_socket, line),
                        FAR: answered,
                    }
                    response = fake_tier.search()
                    keys = sorted(row.key for row in response.page.rows)
                    self.assertEqual(keys, expected)
                    self.assertEqual([gap.reason for gap in response.gaps], gaps)

    def test_another_target_answers_for_the_shard(self) -> None:
        self.check(2, ["1/0", "1/1"], [])

    def test_a_shard_without_another_target_is_a_gap(self) -> None:
        self.check(1, ["1/1"], [GapReason.TARGET_FAILED])
