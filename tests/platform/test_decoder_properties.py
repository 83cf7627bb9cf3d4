"""Properties of all decoders of outside data: a valid value or one kind of refusal.

Another exception would end the task that reads, and with it the updates of this host.
"""

import json
import math
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from hypothesis import given, settings, strategies as st

from lavendertide.encodings.http_messages import BadRequest, HttpRequest, HttpResponse
from lavendertide.encodings.http_replies import MalformedReply, ReplyReader
from lavendertide.encodings.peer_frames import LENGTH, decode_frame, encode_frame
from lavendertide.encodings.routes_json import decode_table, encode_table
from lavendertide.forwarding.messages import CallerRequest
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.ids import ConfigurationVersion, ExchangeId
from lavendertide.messages import RegistryPush
from lavendertide.platform.caller_codec import PlatformCallerCodec
from lavendertide.platform.operator_routes import decode_routes
from lavendertide.platform.settings import SettingsError, read_settings
from lavendertide.platform.target_channel import PAUSE_MAX_S, decode_reply
from lavendertide.platform.target_entries import decode_target
from lavendertide.registry.record import check_record
from lavendertide.routes.route import Route
from standins.forwarding_records import at, request, target
from tests.platform.test_decoding import CONFIGURATION, ENTRY, ROUTE, SETTINGS

EXAMPLES = 150
ODD_NUMBERS = st.sampled_from(
    [-1, 0, 2**31, 2**63, 10**400, 1e308, math.inf, math.nan, 65_536, True]
)
ODD_TEXTS = st.sampled_from(["", "\ud800", "a\r\nb", "\x00", "x" * 5_000, "10.0.0.1:0"])
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9)
VALUES = st.recursive(
    SCALARS | ODD_NUMBERS | ODD_TEXTS,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner)
    ),
    max_leaves=6,
)
LINES = st.text(st.characters(codec="utf-8", exclude_characters="\r\n"), max_size=30)


def changed(document: dict[str, Any]) -> st.SearchStrategy[dict[str, Any]]:
    """Returns documents with some fields replaced by odd values."""
    changes = st.dictionaries(st.sampled_from(sorted(document)), VALUES, max_size=2)
    return changes.map(lambda change: document | change)


class StorePropertiesTest(unittest.TestCase):
    """What others write to the store is refused with `ValueError` or can be used."""

    @settings(max_examples=EXAMPLES)
    @given(st.just("t1") | st.text(max_size=9) | ODD_TEXTS, changed(ENTRY) | VALUES)
    def test_a_target_that_is_accepted_can_be_sent_to_peers(
        self, name: str, document: Any
    ) -> None:
        try:
            record = decode_target(name, document)
        except ValueError:
            return
        check_record(record)
        push = RegistryPush(
            ExchangeId("e"), at(1), (record,), (), False, True, ConfigurationVersion(1)
        )
        sent = encode_frame(push)[LENGTH.size :]
        self.assertEqual(decode_frame(sent).unwrap(), push)

    @settings(max_examples=EXAMPLES)
    @given(
        changed(CONFIGURATION)
        | changed(ROUTE).map(lambda route: CONFIGURATION | {"routes": [route]})
        | VALUES
    )
    def test_a_configuration_that_is_accepted_has_finite_numbers(
        self, document: Any
    ) -> None:
        try:
            table = decode_routes(document)
        except ValueError:
            return
        for entry in table.routes:
            self.check_route(entry)
        self.assertTrue(math.isfinite(table.limits.idle_timeout_s))

    def check_route(self, entry: Route) -> None:
        """Checks the numbers of a route."""
        self.assertTrue(math.isfinite(entry.wait_max_s + entry.objective_s))
        self.assertGreaterEqual(entry.attempts_max, 0)


class PeerPropertiesTest(unittest.TestCase):
    """A route table of a peer is refused with `ValueError` or can be used."""

    @settings(max_examples=EXAMPLES)
    @given(st.data())
    def test_an_odd_table_never_raises_anything_else(self, data: st.DataObject) -> None:
        document = json.loads(encode_table(decode_routes(CONFIGURATION)))
        name = data.draw(st.sampled_from(sorted(document)))
        document[name] = data.draw(VALUES)
        try:
            decode_table(json.dumps(document).encode())
        except ValueError:
            return

    def test_a_table_that_is_nested_too_deeply(self) -> None:
        with self.assertRaises(ValueError):
            decode_table(b"[" * 100_000)


class HttpPropertiesTest(unittest.TestCase):
    """Replies and requests are refused by their own kinds of refusal, or decoded."""

    @settings(max_examples=EXAMPLES)
    @given(
        st.lists(
            st.sampled_from(
                [
                    b"HTTP/1.1 200 OK\r\n",
                    b"HTTP/1.1 103 Early\r\n",
                    b"Content-Length: 3\r\n",
                    b"Transfer-Encoding: chunked\r\n",
                    b"\r\n",
                    b"3\r\nabc\r\n",
                    b"0\r\n\r\n",
                    b"99999999999999999999\r\n",
                    b"abc",
                ]
            )
            | st.binary(max_size=20),
            max_size=12,
        )
    )
    def test_a_reply_is_malformed_or_incomplete_or_complete(
        self, pieces: list[bytes]
    ) -> None:
        reader = ReplyReader("GET")
        try:
            for piece in [*pieces, b""]:
                reader.feed(piece)
                if reader.is_complete:
                    break
        except MalformedReply:
            return
        self.assertGreaterEqual(reader.status, 200)

    @settings(max_examples=EXAMPLES)
    @given(
        st.integers(100, 999),
        st.lists(
            st.tuples(
                st.sampled_from(
                    [
                        b"retry-after",
                        b"server-leaving",
                        b"lavendertide-not-executed",
                        b"lavendertide-request-id",
                        b"lavendertide-server-stamp",
                        b"content-encoding",
                    ]
                ),
                st.binary(max_size=30),
            )
        ),
    )
    def test_any_header_gives_a_bounded_notice(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        call = TargetCall(1, 0, request(), target("t"), 0.5, 1.0, lambda *_: None)
        notice = decode_reply(call, HttpResponse(status, tuple(headers), b"")).notice
        self.assertLessEqual(notice.pause_s or 0.0, PAUSE_MAX_S)
        self.assertGreaterEqual(notice.pause_s or 0.0, 0.0)

    @settings(max_examples=EXAMPLES)
    @given(st.text(max_size=20), st.binary(max_size=20))
    def test_a_caller_is_refused_or_has_a_finite_time(
        self, path: str, remaining: bytes
    ) -> None:
        headers = (
            (b"host", b"shop.example"),
            (b"lavendertide-deadline-ms", remaining),
        )
        target_path = "/" + path.encode("utf-8", "replace").decode("latin-1")
        decoded = PlatformCallerCodec().decode(
            HttpRequest("GET", target_path, headers, b""), 5.0
        )
        if isinstance(decoded, BadRequest):
            return
        assert isinstance(decoded, CallerRequest)
        self.assertTrue(math.isfinite(decoded.gives_up_at_s or 0.0))


class SettingsPropertiesTest(unittest.TestCase):
    """A settings file is refused with an error that names the remedy, or is used."""

    @settings(max_examples=EXAMPLES)
    @given(st.data())
    def test_an_odd_value_is_refused_or_used(self, data: st.DataObject) -> None:
        lines = SETTINGS.splitlines()
        number = data.draw(st.integers(0, len(lines) - 1))
        name = lines[number].partition("=")[0]
        odd = st.sampled_from(["nan", "inf", "-1", "1e400", "10.0.0.1:99999", ""])
        lines[number] = f"{name}={data.draw(odd | LINES)}"
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "boot.conf"
            path.write_text("\n".join(lines), encoding="utf-8")
            with mock.patch.dict("os.environ", {"FLEET_KEY": "k"}):
                try:
                    options = read_settings(path)
                except SettingsError as error:
                    self.assertRegex(str(error), "Add|Correct|Make")
                    return
        self.assertTrue(math.isfinite(options.grace_s + options.retries.fixed))
