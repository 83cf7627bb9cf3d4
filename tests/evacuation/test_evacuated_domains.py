"""Tests of `lavendertide.evacuation.evacuated_domains`."""

import unittest
from dataclasses import dataclass

from hypothesis import given, settings, strategies as st

from lavendertide.evacuation.evacuated_domains import (
    DOMAINS_MAX,
    EvacuatedDomains,
    Evacuation,
)
from lavendertide.ids import FailureDomain
from lavendertide.restoration.restorations import REWRITE_S
from standins.forwarding_records import at

A, B = FailureDomain("a"), FailureDomain("b")


class ConflictTest(unittest.TestCase):
    """Guards against copies that arrive late and undo a newer order."""

    def setUp(self) -> None:
        self.domains = EvacuatedDomains()

    def test_an_order_counts_until_it_is_taken_back(self) -> None:
        self.domains.apply((Evacuation(A, at(5), True),), 1.0)
        self.assertTrue(self.domains.is_evacuated(A))
        self.assertFalse(self.domains.is_evacuated(B))
        self.domains.apply((Evacuation(A, at(9), False),), 2.0)
        self.assertFalse(self.domains.has_any)

    def test_an_older_copy_changes_nothing(self) -> None:
        self.domains.apply(
            (Evacuation(A, at(9), False), Evacuation(A, at(5), True)), 1.0
        )
        self.assertFalse(self.domains.is_evacuated(A))

    def test_of_two_copies_of_one_revision_evacuated_counts(self) -> None:
        self.domains.apply(
            (Evacuation(A, at(5), True), Evacuation(A, at(5), False)), 1.0
        )
        self.assertTrue(self.domains.is_evacuated(A))

    def test_an_order_that_is_repeated_is_no_change(self) -> None:
        changes: list[Evacuation] = []
        self.domains.on_change(lambda state, _: changes.append(state))
        self.domains.apply(
            (Evacuation(A, at(5), True), Evacuation(A, at(6), True)), 1.0
        )
        self.assertEqual(changes, [Evacuation(A, at(5), True)])
        self.assertEqual([d.since_s for d in self.domains.evacuated], [1.0])

    def test_the_state_does_not_end_by_time(self) -> None:
        self.domains.apply((Evacuation(A, at(5), True),), 0.0)
        self.domains.apply_complete((Evacuation(A, at(5), True),), at(7), 1e9)
        self.assertTrue(self.domains.is_evacuated(A))


class CompleteListTest(unittest.TestCase):
    """Guards against a domain that stays evacuated since its removal was missed."""

    def setUp(self) -> None:
        self.domains = EvacuatedDomains()
        self.domains.apply((Evacuation(A, at(5), True),), 0.0)

    def test_what_it_does_not_list_has_ended(self) -> None:
        self.domains.apply_complete((), at(8), 1.0)
        self.assertFalse(self.domains.is_evacuated(A))

    def test_it_says_nothing_about_later_orders(self) -> None:
        self.domains.apply_complete((), at(4), 1.0)
        self.assertTrue(self.domains.is_evacuated(A))

    def test_a_stale_copy_does_not_evacuate_the_domain_again(self) -> None:
        self.domains.apply_complete((), at(8), 1.0)
        self.domains.apply((Evacuation(A, at(5), True),), 2.0)
        self.assertFalse(self.domains.is_evacuated(A))


class LateNoticeTest(unittest.TestCase):
    """Guards against a domain that stays evacuated by a notice from before a start.

    A host that starts after an evacuation has ended knows nothing of it. A peer that is
    cut off from the platform still sends the order, and a host that reads changes
    directly gets no further complete list.
    """

    def setUp(self) -> None:
        self.domains = EvacuatedDomains()
        self.domains.apply_complete((), at(8), 1.0)

    def test_an_order_that_the_complete_list_no_longer_has_is_ignored(self) -> None:
        self.domains.apply_notices((Evacuation(A, at(5), True),), 2.0)
        self.assertFalse(self.domains.is_evacuated(A))

    def test_a_later_order_counts(self) -> None:
        self.domains.apply_notices((Evacuation(A, at(9), True),), 2.0)
        self.assertTrue(self.domains.is_evacuated(A))

    def test_a_host_without_a_complete_list_follows_its_peers(self) -> None:
        domains = EvacuatedDomains()
        domains.apply_notices((Evacuation(A, at(5), True),), 0.0)
        self.assertTrue(domains.is_evacuated(A))

    def test_an_order_in_a_later_complete_list_counts(self) -> None:
        """Guards against a store that was set up anew and counts from the start."""
        self.domains.apply_complete((Evacuation(A, at(2), True),), at(3), 2.0)
        self.assertTrue(self.domains.is_evacuated(A))


class RestoredStoreTest(unittest.TestCase):
    """Guards against orders that are lost, or last, after a restored store's copy.

    Revisions of two eras say nothing about each other. What the operator has written
    since the copy was made is written again within `REWRITE_S`.
    """

    def setUp(self) -> None:
        self.domains = EvacuatedDomains()
        self.domains.apply_complete((), at(90), 0.0)

    def is_evacuated(self, now_s: float) -> bool:
        """Returns whether the domain is evacuated at a time."""
        self.domains.expire(now_s)
        return self.domains.is_evacuated(A)

    def test_an_order_that_the_copy_lacks_is_kept_for_a_while(self) -> None:
        self.domains.apply((Evacuation(A, at(100), True),), 1.0)
        self.domains.apply_complete((), at(95, 2), 2.0)
        self.domains.apply_complete((), at(96, 2), 3.0)
        self.assertTrue(self.is_evacuated(1.9 + REWRITE_S))
        self.assertFalse(self.is_evacuated(2.0 + REWRITE_S))

    def test_an_order_that_is_written_again_stays(self) -> None:
        self.domains.apply((Evacuation(A, at(100), True),), 1.0)
        self.domains.apply_complete((), at(95, 2), 2.0)
        self.domains.apply((Evacuation(A, at(97, 2), True),), 3.0)
        self.assertTrue(self.is_evacuated(2.0 + REWRITE_S))

    def test_a_removal_under_a_lower_revision_ends_the_order(self) -> None:
        self.domains.apply((Evacuation(A, at(100), True),), 1.0)
        self.domains.apply_complete((Evacuation(A, at(94, 2), True),), at(95, 2), 2.0)
        self.domains.apply((Evacuation(A, at(97, 2), False),), 3.0)
        self.assertFalse(self.is_evacuated(3.0))

    def test_an_order_under_a_lower_revision_counts(self) -> None:
        self.domains.apply((Evacuation(A, at(100), False),), 1.0)
        self.domains.apply_complete((), at(95, 2), 2.0)
        self.domains.apply((Evacuation(A, at(96, 2), True),), 3.0)
        self.assertTrue(self.is_evacuated(3.0 + REWRITE_S))

    def test_a_list_of_an_earlier_era_changes_nothing(self) -> None:
        order = Evacuation(A, at(96, 2), True)
        self.domains.apply_complete((order,), at(96, 2), 2.0)
        self.domains.apply_complete((), at(200, 1), 3.0)
        self.assertTrue(self.is_evacuated(3.0))

    def test_notices_of_an_earlier_era_count_for_a_while(self) -> None:
        """Guards against a host that starts before the order is written again.

        The copy lacks the order, and other hosts know it still.
        """
        host = EvacuatedDomains()
        host.apply_complete((), at(95, 2), 2.0)
        host.apply_notices((Evacuation(A, at(100), True),), 3.0)
        self.assertTrue(host.is_evacuated(A))
        host.expire(2.0 + REWRITE_S)
        self.assertFalse(host.is_evacuated(A))

    def test_later_notices_of_an_earlier_era_are_ignored(self) -> None:
        """Guards against a domain that a host evacuates which was cut off for long."""
        self.domains.apply((Evacuation(A, at(92), False),), 1.0)
        self.domains.apply_complete((), at(95, 2), 2.0)
        self.domains.expire(2.0 + REWRITE_S)
        order = Evacuation(A, at(100), True)
        self.domains.apply_notices((order,), 2.0 + REWRITE_S)
        self.assertFalse(self.domains.is_evacuated(A))


class BoundTest(unittest.TestCase):
    """Guards against memory without end by names that no domain has."""

    def test_ended_evacuations_are_dropped_first(self) -> None:
        domains = EvacuatedDomains()
        domains.apply((Evacuation(A, at(1), True),), 0.0)
        for number in range(2 * DOMAINS_MAX):
            name = FailureDomain(f"d{number}")
            states = (
                Evacuation(name, at(2 * number + 2), True),
                Evacuation(name, at(2 * number + 3), False),
            )
            domains.apply(states, 0.0)
        self.assertEqual(len(domains.known), DOMAINS_MAX)
        self.assertTrue(domains.is_evacuated(A))


@dataclass(frozen=True)
class Change:
    """A change of the store, at a revision that is its place in the history."""

    domain: FailureDomain
    is_evacuated: bool


CHANGES = st.lists(
    st.builds(Change, st.sampled_from((A, B)), st.booleans()), min_size=1, max_size=8
)


class DisagreementTest(unittest.TestCase):
    """All hosts end in the newest state, whatever reaches them and in which order."""

    @given(CHANGES, st.data())
    @settings(deadline=None, max_examples=300)
    def test_any_order_of_reads_and_notices_ends_in_the_newest_state(
        self, changes: list[Change], data: st.DataObject
    ) -> None:
        history = [
            Evacuation(change.domain, at(revision), change.is_evacuated)
            for revision, change in enumerate(changes, 1)
        ]
        newest = {state.domain: state for state in history}
        host = EvacuatedDomains()
        for state in data.draw(st.permutations(history * 2)):
            is_read = data.draw(st.booleans())
            if is_read:
                read_at = state.position.revision
                seen = {s.domain: s for s in history[:read_at] if s.is_evacuated}
                for ended in history[:read_at]:
                    if not ended.is_evacuated:
                        last = seen.get(ended.domain)
                        if last is not None and last.position < ended.position:
                            del seen[ended.domain]
                host.apply_complete(tuple(seen.values()), at(read_at), 0.0)
            else:
                host.apply((state,), 0.0)
        host.apply(tuple(newest.values()), 0.0)
        for domain, state in newest.items():
            self.assertEqual(host.is_evacuated(domain), state.is_evacuated)
