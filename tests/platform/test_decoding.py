"""Tests of the decoders in `lavendertide.platform`.

They decode target entries, routes, settings, targets' replies and callers' requests.
"""

import json
import math
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from lavendertide.encodings.http_messages import BadRequest, HttpRequest, HttpResponse
from lavendertide.encodings.routes_json import decode_table, encode_table
from lavendertide.forwarding.messages import (
    NO_NOTICE,
    CallerRequest,
    Failed,
    Gathered,
    NotRun,
    NotRunReason,
    Passed,
    RefusalCause,
    Refused,
    Replied,
    TargetNotice,
    Unknown,
    UnknownReason,
    Unroutable,
)
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.ids import ServiceName
from lavendertide.overload.response_memory import ResponseMemory
from lavendertide.platform.caller_codec import PlatformCallerCodec
from lavendertide.platform.operator_routes import decode_routes
from lavendertide.platform.settings import SettingsError, read_settings
from lavendertide.platform.target_channel import (
    COLD_MAX_S,
    PAUSE_MAX_S,
    UNREADABLE_PAUSE_S,
    decode_reply,
)
from lavendertide.platform.target_entries import decode_target
from lavendertide.registry.record import COLD_MAX_MS, TargetState
from lavendertide.routes.route import GatheredShards, OneService, RequestKind
from lavendertide.warmup.allowance import ColdBounds
from standins.forwarding_records import request, target

ENTRY: dict[str, Any] = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold-left-ms": 0,
    "call-seq": 4,
    "born": 17,
}
ROUTE: dict[str, Any] = {
    "name": "r",
    "host": "Shop.example",
    "prefix": "/a/",
    "route-type": "idempotent",
    "timeout-ms": 600,
    "target-latency-ms": 100,
    "max-attempts": 2,
    "priority": 1,
    "service": "desk",
}
CONFIGURATION: dict[str, Any] = {
    "version": 3,
    "routes": [ROUTE],
    "services": [{"name": "desk", "health-path": "/h", "max-conns": 26}],
    "limits": {"idle-timeout-ms": 9_000},
}
SETTINGS = """\
node=m1
ip=10.0.0.1
zone=a
region=north
listen.front=10.0.0.1:1
listen.ready=10.0.0.1:2
listen.control=10.0.0.1:3
listen.directory=10.0.0.1:4
seeds=10.0.0.2:3,10.0.0.3:3
platform.address=10.9.9.9:5
bounds.drain-ms=3000
bounds.grace-s=6
bounds.retry-budget-ratio=0.2
bounds.retry-slack=56
bounds.budget-window-s=10
bounds.ttl_max_s=5
limits.cpu-share=0.5
limits.cores=2
something.new=1
"""


class TargetEntryTest(unittest.TestCase):
    """Entries in the platform's store become target records, or are refused.

    An invalid entry must raise `ValueError`, upon which the store client refuses this
    entry alone. With another exception, the read of all entries would fail.
    """

    def test_a_valid_entry(self) -> None:
        record = decode_target("i-1", ENTRY)
        self.assertEqual((record.target, record.started_at_ms), ("i-1", 17))
        self.assertIs(record.state, TargetState.READY)

    def test_invalid_entries_are_refused(self) -> None:
        for change in (
            {"slots": "2"},
            {"slots": True},
            {"state": "gone"},
            {"address": 7},
            {"address": "nowhere"},
            {"service": None},
            {"born": 1.5},
            {"born": -1},
            {"born": 2**63},
            {"slots": 2**31},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:65536"},
            {"address": "10.0.0.1:-1"},
            {"address": "10.0.0.1:\u0661"},
            {"address": "10.0.0.1:8_0"},
            {"zone": "\ud800"},
            {"service": "a\r\nb"},
            {"service": "x" * 201},
        ):
            with self.subTest(change), self.assertRaises(ValueError):
                decode_target("i-1", ENTRY | change)
        for name in ("", "a b", "a\r\nX: y", "\u00e9", "x" * 201):
            with self.subTest(name), self.assertRaises(ValueError):
                decode_target(name, ENTRY)
        documents: tuple[Any, ...] = ([], "text", None, {})
        for document in documents:
            with self.subTest(document), self.assertRaises(ValueError):
                decode_target("i-1", document)


class ColdEntryTest(unittest.TestCase):
    """A cold time that can't be read must not cost its target all requests."""

    def cold_left_ms(self, value: Any) -> int | None:
        """Returns the cold time of an entry with this value."""
        return decode_target("t", {**ENTRY, "cold-left-ms": value}).cold_left_ms

    def test_it_is_read_or_counts_as_not_said(self) -> None:
        self.assertEqual(self.cold_left_ms(1_500), 1_500)
        self.assertEqual(self.cold_left_ms(10**30), COLD_MAX_MS)
        unreadable: tuple[Any, ...] = (None, -1, "9", True, 1.5, [], math.nan)
        for value in unreadable:
            with self.subTest(value=value):
                self.assertIsNone(self.cold_left_ms(value))


class OperatorRoutesTest(unittest.TestCase):
    """The operator's configuration becomes a route table, or is refused."""

    def test_a_plain_route(self) -> None:
        table = decode_routes(CONFIGURATION)
        found = table.find("shop.example", "/a/x")
        assert found is not None
        self.assertEqual(found.destination, OneService(found.services[0]))
        self.assertIs(found.kind, RequestKind.IDEMPOTENT)
        self.assertEqual((found.wait_max_s, found.objective_s), (0.6, 0.1))
        self.assertEqual(table.limits.idle_timeout_s, 9.0)
        self.assertEqual(table.limits.body_max_bytes, 262_144)

    def test_a_route_over_shards(self) -> None:
        entry = {k: v for k, v in ROUTE.items() if k != "service"}
        entry |= {"gather": ["s1", "s2"], "top-k": 5, "min-coverage": 0.75}
        table = decode_routes(CONFIGURATION | {"routes": [entry]})
        destination = table.routes[0].destination
        assert isinstance(destination, GatheredShards)
        self.assertEqual((destination.records_max, destination.coverage_min), (5, 0.75))

    def test_the_cold_fields_of_a_service_reach_other_hosts(self) -> None:
        entry = {"name": "desk", "max-conns": 26}
        for fields, expected in (
            ({}, (0.0, 0.0)),
            ({"cold-start-s": None, "cold-per-s": 0}, (0.0, 0.0)),
            ({"cold-start-s": 6, "cold-per-s": 20}, (6.0, 20.0)),
        ):
            table = decode_routes({**CONFIGURATION, "services": [{**entry, **fields}]})
            for known in (table, decode_table(encode_table(table))):
                service = known.services[ServiceName("desk")]
                self.assertEqual((service.cold_start_s, service.cold_per_s), expected)

    def test_a_table_without_cold_fields_is_read_from_and_by_a_release_before(
        self,
    ) -> None:
        service = {"name": "desk", "max-conns": 26, "cold-per-s": 20}
        table = decode_routes({**CONFIGURATION, "services": [service]})
        document = json.loads(encode_table(table))
        # That release reads pairs.
        self.assertEqual(document["services"], [["desk", 26]])
        del document["cold"]
        decoded = decode_table(json.dumps(document).encode())
        self.assertEqual(decoded.services[ServiceName("desk")].cold_per_s, 0.0)

    def test_cold_fields_out_of_range_are_refused(self) -> None:
        service = {"name": "desk", "max-conns": 26}
        for value in (-1, "6", True, math.nan, math.inf):
            for name in ("cold-start-s", "cold-per-s"):
                entry = {**service, name: value}
                with self.subTest(value=value), self.assertRaises(ValueError):
                    decode_routes({**CONFIGURATION, "services": [entry]})
        document = json.loads(encode_table(decode_routes(CONFIGURATION)))
        for pair in ([math.nan, 1], [1, math.inf], [-1, 1], [1, 1, 1]):
            document["cold"] = {"desk": pair}
            with self.subTest(pair=pair), self.assertRaises(ValueError):
                decode_table(json.dumps(document).encode())

    def test_invalid_configurations_are_refused(self) -> None:
        documents: tuple[Any, ...] = (
            {},
            [],
            None,
            CONFIGURATION | {"version": "3"},
            CONFIGURATION | {"routes": [ROUTE | {"route-type": "other"}]},
            CONFIGURATION | {"routes": [ROUTE | {"timeout-ms": "x"}]},
            CONFIGURATION | {"routes": [ROUTE | {"timeout-ms": float("inf")}]},
            CONFIGURATION | {"routes": [ROUTE | {"timeout-ms": float("nan")}]},
            CONFIGURATION | {"routes": [ROUTE | {"max-attempts": 10**30}]},
            CONFIGURATION | {"routes": [ROUTE | {"gather": "desk", "top-k": 1}]},
            CONFIGURATION | {"routes": {"r": ROUTE}},
            CONFIGURATION | {"limits": {"idle-timeout-ms": 1e999}},
        )
        for document in documents:
            with self.subTest(document), self.assertRaises(ValueError):
                decode_routes(document)


class SettingsTest(unittest.TestCase):
    """The platform's settings file is read; errors name the value to change."""

    def read(self, text: str) -> Any:
        """Returns the options read from a settings file with this text."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "boot.conf"
            path.write_text(text)
            with mock.patch.dict("os.environ", {"FLEET_KEY": "k"}):
                return read_settings(path)

    def test_known_values_are_read_and_unknown_ones_skipped(self) -> None:
        options = self.read(SETTINGS)
        self.assertEqual(options.failure_domain, "a")
        self.assertEqual(options.seeds, ("10.0.0.2:3", "10.0.0.3:3"))
        self.assertEqual(options.retries.fixed, 56.0)
        self.assertEqual(options.processor_share, 1.0)

    def test_the_bounds_of_cold_targets_are_optional(self) -> None:
        self.assertEqual(self.read(SETTINGS).cold, ColdBounds(1.5, 5.0))
        changed = SETTINGS + "bounds.cold-overshoot=1.2\nbounds.cold-slack=2\n"
        self.assertEqual(self.read(changed).cold, ColdBounds(1.2, 2.0))
        with self.assertRaisesRegex(SettingsError, "cold-slack"):
            self.read(SETTINGS + "bounds.cold-slack=-1\n")

    def test_the_limits_of_a_host_are_optional(self) -> None:
        """Guards against bounds on callers where the platform sets no limits."""
        options = self.read(SETTINGS)
        self.assertEqual((options.memory_bytes, options.files_max), (None, None))
        limits = "\nlimits.memory-mb=160\nlimits.max-fds=4100\n"
        options = self.read(SETTINGS + limits)
        self.assertEqual(options.memory_bytes, 160_000_000)
        self.assertEqual(options.files_max, 4_100)
        for odd in ("limits.memory-mb=0", "limits.max-fds=nan", "limits.max-fds="):
            with (
                self.subTest(odd),
                self.assertRaisesRegex(SettingsError, "Correct"),
            ):
                self.read(f"{SETTINGS}\n{odd}\n")

    def test_hosts_share_capacities_only_where_a_contract_asks_for_it(self) -> None:
        for contracts, is_shared in (
            ("", False),
            ("contracts=", False),
            ("contracts=cold,evacuation", False),
            ("contracts=cold, pressure", True),
            ("contracts=places", True),
            ("contracts=pressures", False),
        ):
            with self.subTest(contracts):
                options = self.read(f"{SETTINGS}\n{contracts}\n")
                self.assertEqual(options.shares_capacities, is_shared)

    def test_a_contract_enables_admission_by_priority(self) -> None:
        """Deployments without it are served as before."""
        for contracts, is_enabled in (
            ("", False),
            ("contracts=base,drain", False),
            ("contracts=base,no-pressure", False),
            ("contracts=base, pressure,drain", True),
        ):
            with self.subTest(contracts):
                options = self.read(SETTINGS + contracts)
                self.assertIs(options.admits_by_priority, is_enabled)

    def test_overloads_are_shared_only_where_the_settings_say_so(self) -> None:
        """Hosts short of processor time would refuse requests at usual load."""
        for lines, is_enabled in (
            ("", False),
            ("contracts=base,pressure", False),
            ("overload.shared=true", False),
            ("contracts=base,pressure\noverload.shared=true", True),
        ):
            with self.subTest(lines):
                options = self.read(f"{SETTINGS}\n{lines}\n")
                self.assertIs(options.shares_overloads, is_enabled)

    def test_contracts_enable_the_avoidance_of_losses(self) -> None:
        """Deployments without them are served as before."""
        for contracts, is_enabled in (
            ("", False),
            ("contracts=base,pressure", False),
            ("contracts=base,pools", False),
            ("contracts=base, health", True),
            ("contracts=pool,drain", True),
        ):
            with self.subTest(contracts):
                options = self.read(SETTINGS + contracts)
                self.assertIs(options.avoids_losses, is_enabled)

    def test_values_out_of_range_are_refused(self) -> None:
        for valid, invalid in (
            ("listen.front=10.0.0.1:1", "listen.front=10.0.0.1:70000"),
            ("listen.front=10.0.0.1:1", "listen.front=front:80"),
            ("seeds=10.0.0.2:3", "seeds=10.0.0.2:0"),
            ("bounds.grace-s=6", "bounds.grace-s=nan"),
            ("bounds.retry-slack=56", "bounds.retry-slack=inf"),
            ("bounds.retry-slack=56", "bounds.retry-slack=-1"),
            ("bounds.budget-window-s=10", "bounds.budget-window-s=0"),
        ):
            with (
                self.subTest(invalid),
                self.assertRaisesRegex(SettingsError, "Correct"),
            ):
                self.read(SETTINGS.replace(valid, invalid))

    def test_a_file_that_is_no_text_is_refused(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "boot.conf"
            path.write_bytes(b"node=\xff\xfe")
            with self.assertRaises(SettingsError):
                read_settings(path)

    def test_a_missing_value_is_named(self) -> None:
        with self.assertRaisesRegex(SettingsError, "Add platform.address"):
            self.read(SETTINGS.replace("platform.address", "platform.other"))

    def test_a_malformed_value_is_named(self) -> None:
        with self.assertRaisesRegex(SettingsError, "six"):
            self.read(SETTINGS.replace("grace-s=6", "grace-s=six"))


class TargetReplyTest(unittest.TestCase):
    """A target's response is classified by whether the request has run.

    A response that is wrongly classified as "not run" can lead to a second execution.
    """

    def decode(self, status: int, **headers: str) -> Any:
        """Returns the reply decoded from a response with this status and headers."""
        call = TargetCall(1, 0, request(), target("t"), 0.5, 1.0, lambda *_: None)
        pairs = tuple(
            (name.replace("_", "-").encode(), value.encode())
            for name, value in headers.items()
        )
        return decode_reply(call, HttpResponse(status, pairs, b"x"))

    def test_a_signed_reply_is_accepted(self) -> None:
        reply = self.decode(200, lavendertide_server_stamp="s")
        assert isinstance(reply, Replied)
        self.assertTrue(reply.is_success)

    def test_only_the_header_says_that_it_has_not_run(self) -> None:
        refused = self.decode(503, lavendertide_not_executed="1")
        self.assertEqual(refused, NotRun(target("t").target, NotRunReason.REFUSED))
        for status in (408, 429, 503):
            self.assertIsInstance(self.decode(status), Unknown)

    def test_another_target_at_the_address_is_not_a_refusal(self) -> None:
        reply = self.decode(421, lavendertide_not_executed="1")
        assert isinstance(reply, NotRun)
        self.assertIs(reply.reason, NotRunReason.OTHER_TARGET)

    def test_a_late_reply_to_another_request_is_unknown(self) -> None:
        reply = self.decode(
            200, lavendertide_server_stamp="s", lavendertide_request_id="other"
        )
        assert isinstance(reply, Unknown)
        self.assertIs(reply.reason, UnknownReason.OTHER_REQUEST)

    def test_an_unsigned_success_or_an_encoded_body_is_unknown(self) -> None:
        self.assertIsInstance(self.decode(200), Unknown)
        encoded = self.decode(
            200, lavendertide_server_stamp="s", content_encoding="gzip"
        )
        self.assertIsInstance(encoded, Unknown)


class TargetNoticeTest(unittest.TestCase):
    """Any response may say that its target is leaving, and a 503 for how long to wait.

    A value that can't be read must neither fail the exchange nor cause an endless
    pause.
    """

    def decode(self, status: int, *headers: tuple[str, str]) -> TargetNotice:
        """Returns the notice of a response to a call."""
        call = TargetCall(1, 0, request(), target("t"), 0.5, 1.0, lambda *_: None)
        pairs = tuple((name.encode(), value.encode()) for name, value in headers)
        return decode_reply(call, HttpResponse(status, pairs, b"x")).notice

    def pause_s(self, value: str) -> float | None:
        """Returns the pause that a 503 with a value of `Retry-After` demands."""
        headers = (("lavendertide-not-executed", "1"), ("retry-after", value))
        return self.decode(503, *headers).pause_s

    def test_success_refusal_and_failure_may_say_that_the_target_leaves(self) -> None:
        signed = ("lavendertide-server-stamp", "s")
        refused = ("lavendertide-not-executed", "1")
        cases = ((200, signed), (500, signed), (503, refused), (200, ("a", "b")))
        for status, extra in cases:
            for name in ("server-leaving", "lavendertide-server-leaving"):
                with self.subTest(status=status, name=name):
                    self.assertTrue(self.decode(status, extra, (name, "1")).is_leaving)
                    self.assertFalse(self.decode(status, extra, (name, "0")).is_leaving)
                    self.assertFalse(self.decode(status, extra).is_leaving)

    def test_another_target_at_the_address_says_nothing_about_this_one(self) -> None:
        headers = (("server-leaving", "1"), ("lavendertide-not-executed", "1"))
        self.assertEqual(self.decode(421, *headers), NO_NOTICE)

    def test_seconds_may_have_a_fraction(self) -> None:
        for value, pause_s in (("2", 2.0), ("0.25", 0.25), ("007.50", 7.5), ("0", 0.0)):
            with self.subTest(value=value):
                self.assertEqual(self.pause_s(value), pause_s)

    def test_a_huge_value_is_bounded(self) -> None:
        for value in ("301", "9" * 9, "9" * 10_000):
            with self.subTest(digits=len(value)):
                self.assertEqual(self.pause_s(value), PAUSE_MAX_S)
        self.assertEqual(self.pause_s("1." + "3" * 10_000), 1.333333333)

    def test_a_value_that_is_no_number_causes_a_short_pause(self) -> None:
        date = "Wed, 21 Oct 2026 07:28:00 GMT"
        for value in ("", "-5", "1e3", "nan", "inf", "soon", "1,5", date, "\u0661"):
            with self.subTest(value=value):
                self.assertEqual(self.pause_s(value), UNREADABLE_PAUSE_S)

    def test_any_reply_may_say_that_its_target_is_cold(self) -> None:
        for value, cold_s in (
            ("1500", 1.5),
            ("0", 0.0),
            ("-5", 0.0),
            ("soon", 0.0),
            ("9" * 10_000, COLD_MAX_S),
        ):
            for status in (200, 500, 503):
                with self.subTest(value=value[:9], status=status):
                    notice = self.decode(status, ("lavendertide-cold-ms", value))
                    self.assertEqual(notice.cold_s, cold_s)
        other = self.decode(421, ("lavendertide-cold-ms", "1500"))
        self.assertEqual(other, NO_NOTICE)

    def test_only_a_503_demands_a_pause(self) -> None:
        for status in (200, 429, 500):
            with self.subTest(status=status):
                self.assertIsNone(self.decode(status, ("retry-after", "2")).pause_s)
        self.assertIsNone(self.decode(503).pause_s)
        # It may have run, but the target wants a pause all the same.
        self.assertEqual(self.decode(503, ("retry-after", "2")).pause_s, 2.0)


class CallerCodecTest(unittest.TestCase):
    """Callers' requests are decoded and the responses to them encoded."""

    def setUp(self) -> None:
        self.codec = PlatformCallerCodec()

    def decode(self, **headers: str) -> CallerRequest | BadRequest:
        """Returns the request decoded from a message with these headers."""
        pairs = [(b"host", b"shop.example")]
        pairs += [
            (n.replace("_", "-").encode(), v.encode()) for n, v in headers.items()
        ]
        return self.codec.decode(HttpRequest("GET", "/x", tuple(pairs), b""), 5.0)

    def test_the_deadline_header_is_a_remaining_time(self) -> None:
        decoded = self.decode(lavendertide_deadline_ms="300")
        assert isinstance(decoded, CallerRequest)
        self.assertEqual(decoded.gives_up_at_s, 5.3)
        self.assertNotIn(b"lavendertide-deadline-ms", decoded.head)

    def test_an_unreadable_deadline_is_ignored(self) -> None:
        for value in ("", "soon", "nan", "inf"):
            decoded = self.decode(lavendertide_deadline_ms=value)
            assert isinstance(decoded, CallerRequest)
            self.assertIsNone(decoded.gives_up_at_s)

    def test_the_request_id_is_forwarded_unchanged(self) -> None:
        decoded = self.decode(lavendertide_request_id="9c41")
        assert isinstance(decoded, CallerRequest)
        self.assertEqual(decoded.request, "9c41")
        self.assertIn(b"\r\nlavendertide-request-id: 9c41\r\n", decoded.head)

    def test_only_a_refusal_has_the_status_for_not_run(self) -> None:
        refused = self.codec.encode(request(), Refused(RefusalCause.TARGETS_FULL, 0.25))
        self.assertEqual(refused.status, 503)
        self.assertEqual(refused.header(b"retry-after"), b"0.250")
        failed = Failed(RefusalCause.TIMED_OUT, True)
        self.assertEqual(self.codec.encode(request(), failed).status, 504)
        failed = Failed(RefusalCause.TARGETS_FAILED, False)
        self.assertEqual(self.codec.encode(request(), failed).status, 502)
        self.assertEqual(self.codec.encode(request(), Unroutable()).status, 404)

    def test_a_reply_is_forwarded_without_hop_by_hop_headers(self) -> None:
        headers = ((b"x-kept", b"1"), (b"keep-alive", b"timeout=5"))
        passed = Passed(Replied(target("t").target, 200, headers, b"x", "s"))
        response = self.codec.encode(request(), passed)
        self.assertEqual(response.headers, ((b"x-kept", b"1"),))

    def test_the_account_of_a_body_goes_with_it(self) -> None:
        """Guards against responses that count nowhere until they are written."""
        memory = ResponseMemory(1_000, is_bounding_writes=True)
        held = memory.open()
        held.try_resize(100, 0.0)
        reply = Replied(target("t").target, 200, (), b"x" * 100, "s", held=held)
        del held
        response = self.codec.encode(request(), Passed(reply))
        del reply
        self.assertEqual(memory.held, 100)
        del response
        self.assertEqual(memory.held, 0)

    def test_a_request_without_memory_is_refused_as_not_run(self) -> None:
        response = self.codec.encode_bad_request(BadRequest(503))
        self.assertEqual((response.status, response.body), (503, b"out_of_memory\n"))

    def test_a_gathered_response_has_signatures_and_missing_count(self) -> None:
        response = self.codec.encode(request(), Gathered(("a", "b"), 1, b"r" * 16))
        self.assertEqual(response.header(b"lavendertide-part-stamps"), b"a, b")
        self.assertEqual(response.header(b"lavendertide-missing-parts"), b"1")
