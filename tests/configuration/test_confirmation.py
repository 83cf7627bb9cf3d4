"""Tests of `lavendertide.configuration.confirmation`."""

import unittest

from lavendertide.configuration.confirmation import CONFIRM_WAIT_MAX_S, Confirmation
from lavendertide.ids import ConfigurationDigest, ConfigurationVersion, DaemonId
from lavendertide.messages import ConfigurationOffer, ConfigurationStamp

SEEDS = 2
FIRST, SECOND = DaemonId("a"), DaemonId("b")


def stamp(version: int) -> ConfigurationStamp:
    """Returns a stamp of a version."""
    return ConfigurationStamp(ConfigurationVersion(version), ConfigurationDigest(b"d"))


def make_reply(
    round_number: int, version: int, is_confirmed: bool
) -> ConfigurationOffer:
    """Returns a peer's reply to a pull."""
    return ConfigurationOffer(round_number, stamp(version), is_confirmed, None)


class ConfirmationTest(unittest.TestCase):
    """Guards against serving with an old configuration after a start or a pause.

    The configuration service may be stale, so the peers must confirm the publication.
    """

    def test_a_publication_of_the_service_alone_does_not_suffice(self) -> None:
        confirmation = Confirmation(SEEDS, 0.0)
        self.assertFalse(confirmation.is_confirmed(stamp(5), 1.0))

    def test_a_confirmed_peer_without_a_higher_version_suffices(self) -> None:
        confirmation = Confirmation(SEEDS, 0.0)
        confirmation.record_reply(FIRST, make_reply(1, 5, True))
        self.assertTrue(confirmation.is_confirmed(stamp(5), 1.0))

    def test_a_peer_with_a_higher_version_delays_the_confirmation(self) -> None:
        confirmation = Confirmation(SEEDS, 0.0)
        confirmation.record_reply(FIRST, make_reply(1, 6, True))
        self.assertFalse(confirmation.is_confirmed(stamp(5), 1.0))
        self.assertTrue(confirmation.is_confirmed(stamp(6), 1.1))

    def test_peers_that_have_just_started_count_only_together(self) -> None:
        confirmation = Confirmation(SEEDS, 0.0)
        confirmation.record_reply(FIRST, make_reply(1, 0, False))
        self.assertFalse(confirmation.is_confirmed(stamp(1), 1.0))
        confirmation.record_reply(SECOND, make_reply(1, 0, False))
        self.assertTrue(confirmation.is_confirmed(stamp(1), 1.0))

    def test_without_peers_the_wait_is_bounded(self) -> None:
        confirmation = Confirmation(SEEDS, 0.0)
        self.assertFalse(confirmation.is_confirmed(stamp(1), CONFIRM_WAIT_MAX_S - 0.1))
        self.assertTrue(confirmation.is_confirmed(stamp(1), CONFIRM_WAIT_MAX_S))

    def test_nothing_in_force_is_never_confirmed(self) -> None:
        confirmation = Confirmation(0, 0.0)
        self.assertFalse(confirmation.is_confirmed(stamp(0), 1.0))

    def test_a_reply_from_before_a_pause_does_not_count(self) -> None:
        confirmation = Confirmation(SEEDS, 0.0)
        confirmation.restart(60.0)
        confirmation.record_reply(FIRST, make_reply(1, 1, True))
        self.assertFalse(confirmation.is_confirmed(stamp(1), 60.1))
        confirmation.record_reply(FIRST, make_reply(confirmation.round_number, 1, True))
        self.assertTrue(confirmation.is_confirmed(stamp(1), 60.2))

    def test_a_new_round_revokes_the_confirmation(self) -> None:
        confirmation = Confirmation(SEEDS, 0.0)
        confirmation.record_reply(FIRST, make_reply(1, 1, True))
        self.assertTrue(confirmation.is_confirmed(stamp(1), 0.1))
        confirmation.restart(60.0)
        self.assertFalse(confirmation.is_confirmed(stamp(1), 60.1))

    def test_peers_have_priority_over_the_service(self) -> None:
        confirmation = Confirmation(SEEDS, 0.0)
        self.assertFalse(confirmation.has_awaited_peers(0.1))
        self.assertTrue(confirmation.has_awaited_peers(0.6))
