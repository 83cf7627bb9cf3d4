"""Tests of `lavendertide.fleet.ranking`."""

import random
import unittest

from lavendertide.fleet.ranking import KEPT_MIN, TargetRanks, rank_for_target
from lavendertide.messages import MemberState
from tests.fleet.members import later_run, member, place, roster_of


class RankForTargetTest(unittest.TestCase):
    """Members of the target's failure domain rank first, leaving ones last."""

    def test_a_leaving_member_ranks_behind_all_others(self) -> None:
        roster = roster_of(9)
        primary = rank_for_target(place(0), roster.members)[0]
        number = int(primary.daemon.split("-")[1])
        roster.apply_records((member(number, MemberState.LEAVING),), 1.0)
        ranked = rank_for_target(place(0), roster.members)
        self.assertEqual(ranked[-1].daemon, primary.daemon)
        self.assertEqual(ranked[0].failure_domain, place(0).failure_domain)


class TargetRanksTest(unittest.TestCase):
    """Guards against cached ranks that differ from newly computed ones."""

    def test_cached_ranks_follow_every_change(self) -> None:
        rng = random.Random(1)
        roster = roster_of(30)
        ranks = TargetRanks(roster)
        for step in range(300):
            number = rng.randrange(1, 40)
            record = roster.find(member(number).daemon) or member(number)
            match rng.randrange(4):
                case 0:
                    roster.apply_records((later_run(record),), step)
                case 1 if roster.find(record.daemon):
                    roster.remove(record.daemon, step)
                case 2 if roster.find(record.daemon):
                    roster.suspect(record.daemon, step)
                case _:
                    roster.apply_records((member(number, MemberState.LEAVING),), step)
            for target in range(6):
                fresh = rank_for_target(place(target), roster.members)
                kept = ranks.ranked_members(place(target))
                self.assertEqual(kept, fresh[: len(kept)], f"step {step}")
                self.assertGreaterEqual(len(kept), min(KEPT_MIN, len(fresh)))
