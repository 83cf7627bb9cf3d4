"""Process tests of searches and orders from end to end."""

import time
import unittest

from lavendertide.caller_client import CallerClient
from standins.deployment import ASSOCIATION, KOINOPRAXIA, scaled_down
from standins.launcher import Launcher

OWNERS = (scaled_down(ASSOCIATION, 4, 2), scaled_down(KOINOPRAXIA, 4, 1))


class EndToEndTest(unittest.TestCase):
    """Daemons that share the targets serve a caller's searches and orders."""

    launcher: Launcher

    @classmethod
    def setUpClass(cls) -> None:
        cls.launcher = Launcher(OWNERS)
        cls.addClassCleanup(cls.launcher.stop)
        cls.launcher.start()

    def client(self, key: str) -> CallerClient:
        """Returns a client that knows the addresses of all hosts."""
        return CallerClient(list(self.launcher.callers.values()), key)

    def test_a_search_covers_every_shard_of_one_version(self) -> None:
        clerk = self.client("stall-clerk")
        result = clerk.search("venue-desk", "order", 1_000, 5, time.monotonic())
        document = result.unwrap()
        self.assertEqual(document["covered"], [0, 1, 2, 3])
        self.assertEqual(document["matches"], 12)
        self.assertEqual(len(document["rows"]), 5)
        versions = {key.split("/")[1] for key, _, _ in document["rows"]}
        self.assertEqual(versions, {"1"})

    def test_a_plan_cannot_use_a_neighbours_index(self) -> None:
        clerk = self.client("stall-clerk")
        result = clerk.search("voucher-finder", "v", 1_000, 5, time.monotonic())
        self.assertEqual(result.failure().kind.value, "not_entitled")

    def test_a_redemption_sent_to_every_host_runs_once(self) -> None:
        now_s = time.monotonic()
        ticket = self.client("apprentice").request_ticket(now_s).unwrap()
        for host in self.launcher.callers.values():
            client = CallerClient([host], "apprentice")
            client._addresses, client._addresses_expire_at_s = [host], now_s + 60
            result = client.execute(
                ticket, "apprentice-app", "redeem", "voucher-1", 1_000, now_s
            )
            self.assertEqual(result.unwrap()["outcome"], "ran", result)
        runs = [
            counts["executions"].get("voucher-1", 0)
            for counts in self.launcher.target_counts().values()
        ]
        self.assertEqual(sum(runs), 1)
