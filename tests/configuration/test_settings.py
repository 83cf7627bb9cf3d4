"""Tests of settings files, the settings reference and the example files."""

import copy
import unittest
from pathlib import Path
from typing import Any

import yaml
from click.testing import CliRunner
from hypothesis import given, settings, strategies as st
from returns.result import Failure, Result

from lavendertide.command_line.main import commands
from lavendertide.encodings.settings_yaml import parse_options, read_options
from lavendertide.settings_reference import REQUIRED, setting_rows
from standins.examples import ROOT, example_files

EXAMPLES = 150
VALID = """\
place:
  daemon: a-1
  host: a-host-1
  region: r
  failure_domain: d
addresses:
  callers: 10.0.0.1:7100
  peers: 10.0.0.1:7101
  admin: 10.0.0.1:7102
platform:
  configuration: 10.1.0.1:8000
  membership: 10.1.0.2:8000
fleet:
  key: a-secret-of-the-fleet
  seeds: [10.0.0.2:7101]
  heartbeat_s: 0.5
  lease_s: 2.0
admin:
  operator_keys: [a-key-of-the-operators]
"""

yaml_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


class SettingsTestCase(unittest.TestCase):
    """Base of tests that change one place of valid settings."""

    def assert_refused(self, old: str, new: str, *expected_texts: str) -> None:
        """Asserts that valid settings with one change are refused with these texts."""
        self.assertIn(old, VALID)
        result = parse_options(VALID.replace(old, new).encode(), "a.yaml")
        self.assertIsInstance(result, Failure)
        for expected_text in expected_texts:
            self.assertIn(expected_text, str(result.failure()))


class RefusedSettingsTest(SettingsTestCase):
    """A refusal names file, line, key and remedy."""

    def test_valid_settings_are_read(self) -> None:
        options = parse_options(VALID.encode(), "a.yaml").unwrap()
        self.assertEqual(options.fleet.lease_s, 2.0)

    def test_an_unknown_key(self) -> None:
        self.assert_refused(
            "  host: a-host-1\n",
            "  host: a-host-1\n  rack: 3\n",
            "a.yaml:4: place.rack: there is no such key. Remove the key",
        )

    def test_an_unknown_section(self) -> None:
        self.assert_refused(
            "fleet:", "fleets: {}\nfleet:", "a.yaml:13: fleets", "no such key"
        )

    def test_a_key_in_another_unit(self) -> None:
        self.assert_refused(
            "heartbeat_s: 0.5",
            "heartbeat_ms: 500",
            "a.yaml:16: fleet.heartbeat_ms",
            "Write 'heartbeat_s' (seconds) or remove the key.",
        )

    def test_a_value_with_a_unit(self) -> None:
        self.assert_refused(
            "heartbeat_s: 0.5",
            "heartbeat_s: 500ms",
            "a.yaml:16: fleet.heartbeat_s",
            "Write a plain number (seconds)",
        )

    def test_a_value_of_another_magnitude(self) -> None:
        self.assert_refused(
            "heartbeat_s: 0.5", "heartbeat_s: 500", "a.yaml:16", "less than or equal"
        )

    def test_a_missing_key(self) -> None:
        self.assert_refused("  host: a-host-1\n", "", "a.yaml:1: place.host", "Add it")

    def test_a_misspelt_section(self) -> None:
        self.assert_refused("place:", "plaice:", "a.yaml:1: plaice", "Write 'place'")

    def test_a_misspelt_key(self) -> None:
        self.assert_refused(
            "  host: a", "  hots: a", "a.yaml:3: place.hots", "Write 'host'"
        )

    def test_an_empty_file(self) -> None:
        refusal = parse_options(b"", "a.yaml").failure()
        self.assertIn("Write the sections", str(refusal))

    def test_an_unknown_key_inside_a_policy(self) -> None:
        self.assert_refused(
            "platform:",
            "policies:\n  hedging:\n    policy: budgeted\n    delay_s: 1\nplatform:",
            "a.yaml:13: policies.hedging.budgeted.delay_s: there is no such key",
        )

    def test_a_repeated_key(self) -> None:
        self.assert_refused(
            "  region: r\n",
            "  region: r\n  region: q\n",
            "a.yaml:5: 'region' appears 2 times",
        )

    def test_text_that_is_not_yaml(self) -> None:
        self.assert_refused("host: a-host-1", "host: [", "a.yaml:", "not YAML")

    def test_an_invalid_address(self) -> None:
        self.assert_refused(
            "callers: 10.0.0.1:7100", "callers: localhost:1", "a.yaml:7", "IP:port"
        )

    def test_a_file_that_does_not_exist(self) -> None:
        refusal = read_options(Path("nowhere.yaml")).failure()
        self.assertIn("nowhere.yaml: No such file", refusal.message)


class ContradictoryKeysTest(SettingsTestCase):
    """Guards against settings whose keys are valid only on their own."""

    def test_a_lease_shorter_than_two_heartbeats(self) -> None:
        self.assert_refused(
            "lease_s: 2.0", "lease_s: 0.9", "a.yaml:17: fleet.lease_s", "two heartbeats"
        )

    def test_an_open_administration_address_without_keys(self) -> None:
        self.assert_refused(
            "[a-key-of-the-operators]", "[]", "a.yaml:9: addresses.admin", "Name a key"
        )

    def test_a_seed_that_is_the_daemon_itself(self) -> None:
        self.assert_refused(
            "[10.0.0.2:7101]", "[10.0.0.1:7101]", "a.yaml:15", "own address"
        )

    def test_a_repeated_seed(self) -> None:
        self.assert_refused(
            "[10.0.0.2:7101]", "[10.0.0.2:7101, 10.0.0.2:7101]", "appears 2 times"
        )

    def test_equal_listen_addresses(self) -> None:
        self.assert_refused("7102", "7101", "a.yaml:9: addresses.admin", "of its own")

    def test_a_listen_address_that_peers_cannot_reach(self) -> None:
        self.assert_refused("10.0.0.1:7101", "0.0.0.0:7101", "a.yaml:8", "IP number")

    def test_a_platform_service_at_the_own_address(self) -> None:
        self.assert_refused("10.1.0.2:8000", "10.0.0.1:7100", "platform.membership")

    def test_bounds_that_exclude_each_other(self) -> None:
        self.assert_refused(
            "platform:",
            "queries:\n  reply_max_bytes: 4000\n  query_max_bytes: 2000\nplatform:",
            "a.yaml:12: queries.query_max_bytes",
        )

    def test_a_hedge_later_than_every_deadline(self) -> None:
        self.assert_refused(
            "platform:",
            "queries: {deadline_max_ms: 20}\n"
            "policies: {hedging: {policy: budgeted, delay_min_ms: 30}}\nplatform:",
            "a.yaml:11: policies.hedging.delay_min_ms",
        )

    def test_more_tickets_for_a_plan_than_for_all(self) -> None:
        self.assert_refused(
            "platform:",
            "tickets: {kept_max: 10, kept_per_plan_max: 20}\nplatform:",
            "tickets.kept_per_plan_max",
        )


class FuzzedSettingsTest(unittest.TestCase):
    """Guards against exceptions when a malformed settings file is read."""

    @settings(derandomize=True, max_examples=EXAMPLES, deadline=None)
    @given(st.binary(max_size=48) | st.text(max_size=48).map(str.encode))
    def test_bytes(self, data: bytes) -> None:
        self.assertIsInstance(parse_options(data, "a.yaml"), Failure)

    @settings(derandomize=True, max_examples=EXAMPLES, deadline=None)
    @given(st.data(), yaml_values)
    def test_a_changed_key(self, data: st.DataObject, value: Any) -> None:
        document = copy.deepcopy(yaml.safe_load(VALID))
        section = data.draw(st.sampled_from(sorted(document)))
        key = data.draw(st.sampled_from([*sorted(document[section]), "unknown"]))
        document[section][key] = value
        text = yaml.safe_dump(document, allow_unicode=True)
        result = parse_options(text.encode("utf-8", "surrogatepass"), "a.yaml")
        self.assertIsInstance(result, Result)

    def test_an_alias_to_itself(self) -> None:
        self.assertIsInstance(parse_options(b"&a [*a]", "a.yaml"), Failure)

    def test_deep_nesting(self) -> None:
        self.assertIsInstance(parse_options(b"[" * 20_000, "a.yaml"), Failure)


class ReferenceTest(unittest.TestCase):
    """Every key has a meaning, and the generated files are current."""

    def test_every_key_has_a_meaning(self) -> None:
        self.assertEqual([row.path for row in setting_rows() if not row.meaning], [])

    def test_examples_and_page_are_current(self) -> None:
        for path, text in example_files().items():
            with self.subTest(path=str(path)):
                current = (ROOT / path).read_text(encoding="utf-8")
                self.assertEqual(current, text, "run `make examples` and commit")

    def test_the_examples_hold_every_key(self) -> None:
        for name in ("association", "koinopraxia"):
            text = (ROOT / f"examples/{name}.yaml").read_text(encoding="utf-8")
            for row in setting_rows():
                self.assertIn(f"{row.path.rsplit('.', 1)[-1]}: ", text)

    def test_the_examples_give_the_defaults(self) -> None:
        for name in ("association", "koinopraxia"):
            options = read_options(ROOT / f"examples/{name}.yaml").unwrap()
            required = {row.path.split(".")[0] for row in setting_rows()}
            needed = {
                r.path.split(".")[0] for r in setting_rows() if r.default == REQUIRED
            }
            for section in required - needed:
                default = type(getattr(options, section))()
                self.assertEqual(getattr(options, section), default)


class CheckCommandTest(unittest.TestCase):
    """`lavendertide check` reports for every file whether it is valid, or why not."""

    def run_check(self, *files: str) -> tuple[int, str]:
        """Runs the command; returns its exit code and its output."""
        result = CliRunner().invoke(commands, ["check", *files])
        return result.exit_code, result.output

    def test_the_examples_are_valid(self) -> None:
        files = [
            str(ROOT / path) for path in example_files() if "examples" in str(path)
        ]
        code, printed = self.run_check(*files)
        self.assertEqual((code, printed.count(": good, ")), (0, 3), printed)

    def test_every_invalid_file_is_named(self) -> None:
        code, printed = self.run_check("nowhere.yaml", "nowhere.json")
        self.assertEqual(code, 1)
        self.assertIn("nowhere.yaml", printed)
        self.assertIn("nowhere.json", printed)

    def test_the_list_of_settings(self) -> None:
        result = CliRunner().invoke(commands, ["settings"])
        self.assertEqual(result.exit_code, 0)
        self.assertIn("fleet.lease_s: 2.0 s", result.output)
