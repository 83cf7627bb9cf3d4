"""Tests of `lavendertide.configuration.adoption`."""

import itertools
import unittest

from lavendertide.configuration.adoption import Adoption, Configuration, Source
from lavendertide.ids import CallerKey
from lavendertide.messages import ConfigurationDelta
from tests.configuration.published import (
    configured,
    deployment_lists,
    invalid_publication,
    published,
    text_of,
)

LOGGER = "lavendertide.configuration.adoption"
ADOPTED = "configuration adopted"


def rate_of(configuration: Configuration) -> float:
    """Returns the rate of the plan that `published` changes."""
    catalog = configuration.catalog.unwrap()
    return catalog.plan_of(CallerKey("stall-clerk")).unwrap().rate_per_s


def delta_between(before: bytes, after: bytes) -> ConfigurationDelta:
    """Returns the delta from one publication to the next, as a peer sends it."""
    peer = configured(before, after)
    delta = peer.delta_since(configured(before).stamp)
    assert delta is not None
    return delta


class OnlyHigherTest(unittest.TestCase):
    """Guards against a daemon that returns to an older publication."""

    def test_a_higher_version_is_adopted(self) -> None:
        configuration = configured(published(1, 10), published(2, 20))
        self.assertEqual((configuration.version, rate_of(configuration)), (2, 20))

    def test_a_lower_version_is_not_adopted(self) -> None:
        configuration = configured(published(2, 20))
        self.assertIs(
            configuration.adopt_text(published(1, 10), 1.0), Adoption.NOT_NEWER
        )
        self.assertEqual((configuration.version, rate_of(configuration)), (2, 20))

    def test_formatting_makes_no_difference(self) -> None:
        spaced = deployment_lists()
        spaced["plans"] = dict(reversed(spaced["plans"].items()))
        self.assertEqual(
            configured(text_of(spaced)).stamp,
            configured(text_of(deployment_lists())).stamp,
        )

    def test_the_text_in_force_is_the_same_publication(self) -> None:
        configuration = configured(published(3, 30))
        self.assertEqual(configured(configuration.text).stamp, configuration.stamp)

    def test_a_pinned_catalog_stays_as_it_was(self) -> None:
        configuration = configured(published(1, 10))
        pinned = configuration.catalog.unwrap()
        configuration.adopt_text(published(2, 20), 1.0)
        plan = pinned.plan_of(CallerKey("stall-clerk")).unwrap()
        self.assertEqual((pinned.version, plan.rate_per_s), (1, 10))


class RefusedPublicationTest(unittest.TestCase):
    """An invalid publication changes only the status that operators see."""

    def test_the_last_valid_publication_stays(self) -> None:
        configuration = configured(published(1, 10))
        self.assertIs(
            configuration.adopt_text(invalid_publication(2), 5.0), Adoption.REFUSED
        )
        self.assertEqual(rate_of(configuration), 10)
        refused = configuration.refused
        assert refused is not None
        self.assertEqual((refused.notice.stamp.version, refused.refused_at_s), (2, 5.0))
        self.assertIn("may not use index", str(refused.refusal))

    def test_a_peer_records_the_same_message(self) -> None:
        daemon = configured(published(1), invalid_publication(2))
        peer = configured(published(1))
        assert daemon.refused is not None
        peer.apply_peer_refusal(daemon.refused.notice, 6.0)
        assert peer.refused is not None
        self.assertEqual(peer.refused.notice, daemon.refused.notice)
        self.assertFalse(peer.refused.is_own)

    def test_a_valid_publication_clears_the_refusal(self) -> None:
        configuration = configured(published(1), invalid_publication(2), published(3))
        self.assertIsNone(configuration.refused)

    def test_an_old_refusal_of_a_peer_is_ignored(self) -> None:
        daemon = configured(published(1), invalid_publication(2))
        assert daemon.refused is not None
        ahead = configured(published(1), published(3))
        ahead.apply_peer_refusal(daemon.refused.notice, 6.0)
        self.assertIsNone(ahead.refused)

    def test_a_refused_older_version_is_not_shown(self) -> None:
        configuration = configured(published(3), invalid_publication(2))
        self.assertIsNone(configuration.refused)


class LogTest(unittest.TestCase):
    """Guards against missing or repeated log lines about adoption and refusal."""

    def test_an_adoption_is_one_line_with_its_version(self) -> None:
        configuration = configured(published(1))
        with self.assertLogs(LOGGER, "INFO") as logs:
            configuration.adopt_text(published(2), 1.0)
            configuration.adopt_text(published(2), 2.0)
        self.assertEqual([r.getMessage() for r in logs.records], [ADOPTED])
        self.assertEqual(vars(logs.records[0])["version"], 2)

    def test_a_refusal_is_one_line_with_its_reason_and_remedy(self) -> None:
        daemon = configured(published(1))
        with self.assertLogs(LOGGER, "INFO") as logs:
            daemon.adopt_text(invalid_publication(2), 1.0)
            daemon.adopt_text(invalid_publication(2), 2.0)
        self.assertEqual(len(logs.output), 1)
        self.assertIn("may not use index", logs.output[0])
        self.assertIn("under a higher version", logs.output[0])

    def test_a_refusal_received_from_a_peer_first_is_logged_once(self) -> None:
        peer, daemon = configured(published(1)), configured(published(1))
        peer.adopt_text(invalid_publication(2), 1.0)
        assert peer.refused is not None
        with self.assertLogs(LOGGER, "INFO") as logs:
            for now_s in (2.0, 3.0):
                daemon.apply_peer_refusal(peer.refused.notice, now_s)
            daemon.adopt_text(invalid_publication(2), 4.0)
        self.assertEqual(len(logs.output), 1)


class RacingOperatorsTest(unittest.TestCase):
    """Guards against daemons that disagree after two publications of one version.

    Two operators may publish different lists under the same version. Every daemon must
    end with the same one, whatever the order of arrival.
    """

    def test_the_order_makes_no_difference(self) -> None:
        one, other = published(2, 10), published(2, 20)
        results = {
            configured(published(1), *order).stamp
            for order in itertools.permutations((one, other))
        }
        self.assertEqual(len(results), 1)

    def test_the_conflict_is_shown_in_either_order(self) -> None:
        one, other = published(2, 10), published(2, 20)
        notices = set()
        for order in itertools.permutations((one, other)):
            refused = configured(published(1), *order).refused
            assert refused is not None
            notices.add(refused.notice)
        self.assertEqual(len(notices), 1)
        self.assertIn("was published twice", notices.pop().message)

    def test_the_next_version_ends_the_conflict(self) -> None:
        configuration = configured(published(2, 10), published(2, 20), published(3, 30))
        self.assertEqual(rate_of(configuration), 30)
        self.assertIsNone(configuration.refused)


class DeltaTest(unittest.TestCase):
    """A delta leads to the same publication as the full text."""

    def test_a_delta_changes_one_plan(self) -> None:
        delta = delta_between(published(1, 10), published(2, 20))
        configuration = configured(published(1, 10))
        self.assertIs(configuration.adopt_delta(delta, 1.0), Adoption.ADOPTED)
        self.assertEqual(configuration.stamp, configured(published(2, 20)).stamp)
        self.assertEqual(rate_of(configuration), 20)
        self.assertIs(configuration.source, Source.PEER)
        self.assertEqual(len(delta.changed), 1)

    def test_a_delta_removes_a_plan_and_its_keys(self) -> None:
        without = deployment_lists(2)
        removed = without["plans"]["plans"].pop(0)["plan"]
        uses = without["uses"]["uses"]
        without["uses"]["uses"] = [use for use in uses if use["plan"] != removed]
        delta = delta_between(published(1), text_of(without))
        configuration = configured(published(1))
        configuration.adopt_delta(delta, 1.0)
        catalog = configuration.catalog.unwrap()
        self.assertEqual(configuration.stamp, configured(text_of(without)).stamp)
        self.assertNotIn("stall-clerk", catalog.plans)
        self.assertNotIn("stall-clerk", catalog.plans_by_id)

    def test_a_delta_moves_a_key_to_another_plan(self) -> None:
        moved = deployment_lists(2)
        first, second = moved["plans"]["plans"][:2]
        first["keys"], second["keys"] = second["keys"], first["keys"]
        configuration = configured(published(1))
        configuration.adopt_delta(delta_between(published(1), text_of(moved)), 1.0)
        catalog = configuration.catalog.unwrap()
        self.assertEqual(
            catalog.plan_of(CallerKey("stall-clerk")).unwrap().plan, "promoter"
        )
        self.assertEqual(
            catalog.plan_of(CallerKey("promoter")).unwrap().plan, "stall-clerk"
        )

    def test_one_delta_spans_several_versions(self) -> None:
        texts = [published(version, 10 * version) for version in range(1, 6)]
        peer = configured(*texts)
        for text in texts[:-1]:
            behind = configured(text)
            delta = peer.delta_since(behind.stamp)
            assert delta is not None
            self.assertIs(behind.adopt_delta(delta, 1.0), Adoption.ADOPTED)
            self.assertEqual(behind.stamp, peer.stamp)

    def test_an_unknown_base_needs_the_full_text(self) -> None:
        peer = configured(published(4), published(5))
        self.assertIsNone(peer.delta_since(configured(published(1)).stamp))

    def test_another_base_is_a_mismatch(self) -> None:
        delta = delta_between(published(1, 10), published(3, 30))
        configuration = configured(published(2, 20))
        self.assertIs(configuration.adopt_delta(delta, 1.0), Adoption.MISMATCHED)
        self.assertEqual(rate_of(configuration), 20)

    def test_a_wrong_digest_is_a_mismatch(self) -> None:
        delta = delta_between(published(1, 10), published(2, 20))
        cut = ConfigurationDelta(delta.base, delta.stamp, (), ())
        configuration = configured(published(1, 10))
        self.assertIs(configuration.adopt_delta(cut, 1.0), Adoption.MISMATCHED)
        self.assertEqual(rate_of(configuration), 10)
