"""Process tests of the administration API and the metrics."""

import time
import unittest
from typing import Any

import urllib3

from lavendertide.caller_client import CallerClient
from standins.deployment import ASSOCIATION, KOINOPRAXIA, scaled_down
from standins.launcher import Launcher

OWNERS = (scaled_down(ASSOCIATION, 2, 1), scaled_down(KOINOPRAXIA, 2, 1))
OPERATOR_KEY = "operator-key-0001"
OWNER_KEYS = {
    "association": "association-key-1",
    "koinopraxia": "koinopraxia-key-1",
}
ADMIN = {
    "operator_keys": [],
    "owner_keys": {owner: [key] for owner, key in OWNER_KEYS.items()},
}


class AdministrationTest(unittest.TestCase):
    """Operators read everything, an owner only what belongs to it.

    An owner's key must not reach the failure log, plans or targets of a neighbour.
    """

    launcher: Launcher
    admin: str

    @classmethod
    def setUpClass(cls) -> None:
        cls.launcher = Launcher(OWNERS, overrides={"admin": ADMIN})
        cls.addClassCleanup(cls.launcher.stop)
        cls.launcher.start()
        cls.admin = cls.launcher.admins["association-0"]
        host = cls.launcher.callers["association-0"]
        for key, index in (
            ("stall-clerk", "venue-desk"),
            ("employer", "voucher-finder"),
            ("stall-clerk", "voucher-finder"),
            ("employer", "venue-desk"),
        ):
            client = CallerClient([host], key)
            client._addresses = [host]
            client._addresses_expire_at_s = time.monotonic() + 60.0
            client.search(index, "order", 1_000, 5, time.monotonic())

    def get(self, path: str, key: str = "", method: str = "GET") -> tuple[int, Any]:
        """Calls the administration API; returns the status and the decoded body."""
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        url = f"http://{self.admin}{path}"
        response = urllib3.request(method, url, headers=headers)
        is_json = response.headers["Content-Type"] == "application/json"
        return response.status, response.json() if is_json else response.data.decode()

    def test_metrics_show_both_owners_apart(self) -> None:
        status, text = self.get("/metrics")
        self.assertEqual(status, 200)
        for owner in OWNER_KEYS:
            line = (
                "lavendertide_query_latency_seconds_count"
                f'{{owner="{owner}",plan_class="counter"}} 1.0'
            )
            self.assertIn(line, text)
            refusal = (
                'lavendertide_refusals_total{fault="plan",kind="not_entitled",'
                f'owner="{owner}"}} 1.0'
            )
            self.assertIn(refusal, text)

    def test_sub_requests_and_queueing_are_counted_for_each_owner(self) -> None:
        text = ""
        for admin in self.launcher.admins.values():
            text += urllib3.request("GET", f"http://{admin}/metrics").data.decode()
        for owner in OWNER_KEYS:
            answered = (
                f'lavendertide_sub_requests_total{{owner="{owner}",result="answered"}}'
            )
            self.assertIn(answered, text)
            queueing = (
                f'lavendertide_queueing_seconds_count{{owner="{owner}",'
                'plan_class="counter"}'
            )
            self.assertIn(queueing, text)

    def test_an_owner_reads_its_own_failure_log(self) -> None:
        for owner, key in OWNER_KEYS.items():
            status, failure_log = self.get("/v1/books", key)
            self.assertEqual((status, failure_log["owner"]), (200, owner))
            plans = {entry["plan"] for entry in failure_log["entries"]}
            self.assertEqual(len(plans), 1)
            self.assertEqual(failure_log["entries"][0]["fault"], "plan")

    def test_an_owner_cannot_read_the_neighbours_failure_log(self) -> None:
        status, body = self.get("/v1/books?owner=koinopraxia", "association-key-1")
        self.assertEqual((status, body["kind"]), (403, "not_entitled"))

    def test_an_owner_cannot_see_the_neighbours_plans_and_targets(self) -> None:
        key = OWNER_KEYS["association"]
        self.assertEqual(self.get("/v1/plans/employer", key)[0], 404)
        self.assertNotIn("employer", self.get("/v1/plans", key)[1]["plans"])
        owners = {t["owner"] for t in self.get("/v1/targets", key)[1]["targets"]}
        self.assertLessEqual(owners, {"association"})

    def test_an_owner_cannot_drain_or_see_the_fleet(self) -> None:
        key = OWNER_KEYS["association"]
        self.assertEqual(self.get("/v1/drain", key, "POST")[0], 403)
        for path in ("/v1/status", "/v1/configuration", "/metrics"):
            self.assertEqual(self.get(path, key)[0], 403, path)

    def test_an_unknown_key_is_refused(self) -> None:
        status, body = self.get("/v1/status", "wrong")
        self.assertEqual((status, body["kind"]), (401, "unknown_key"))
        self.assertIn("Authorization: Bearer", body["remedy"])

    def test_a_plan_is_explained(self) -> None:
        status, plan = self.get("/v1/plans/stall-clerk", OWNER_KEYS["association"])
        self.assertEqual(status, 200)
        self.assertEqual(
            plan["uses"], [{"index": "venue-desk", "operations": ["search"]}]
        )
        self.assertGreater(plan["here"]["share"], 0.0)

    def test_an_unknown_path_is_named(self) -> None:
        status, body = self.get("/v1/nothing")
        self.assertEqual((status, body["kind"]), (404, "not_found"))
