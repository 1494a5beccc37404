"""Outages of large parts of the fleet: all entries, all processes during a store outage, two of three regions."""

import unittest

from support import IntegrationTest, wait_until

MODEL_BYTES = 1 << 20
ZONES = ["fraser", "okanagan", "island"]
LONG_OUTAGE_MS = 600_000


class Outages(IntegrationTest):
    def start(self):
        deployment = self.deploy(ZONES, models=3, blobs=[f"drafter/v1:{MODEL_BYTES}:1"])
        deployment.declare()
        self.digest = deployment.declare_version("drafter/v1")
        deployment.wait_serving("v1")
        deployment.wait_ready()
        return deployment

    def test_all_entries_are_replaced_at_once(self):
        """Guards against dependence on one entry or its address (F1): all die and new ones start at other addresses."""
        deployment = self.start()
        before = self.wait_same_revision()
        old = self.fleet.entries()
        for entry in old:
            entry.process.kill()
        for entry in old:
            self.fleet.nodes.remove(entry)
        for zone in ZONES:
            self.fleet.add_entry(zone, name=f"new-{zone}")
        self.fleet.publish_vms()
        self.fleet.wait_ready(timeout=60)
        self.assertGreaterEqual(self.wait_same_revision(before), before)
        self.check_answers("drafter", self.digest)
        deployment.set_zone("island", False)
        deployment.set_zone("island", True)
        self.assertGreaterEqual(self.wait_same_revision(before + 2), before + 2)

    def test_whole_fleet_restarts_while_the_store_is_down(self):
        """Guards against a fleet that needs an operator after all of it restarted during a store outage (F1, F6, F12),
        and against answers without a configuration."""
        self.start()
        before = self.wait_same_revision()
        self.fleet.fault("table", outageMs=LONG_OUTAGE_MS)
        for node in self.fleet.nodes:
            node.process.kill()
        for node in self.fleet.nodes:
            node.start()
        self.fleet.wait_live()
        for entry in self.fleet.entries():
            self.assertFalse(entry.ready())
            response, _ = self.fleet.generate(entry, "drafter", "x", 4)
            self.assertEqual((response.status, response.headers["X-Ran"]), (503, "no"), response)
        self.fleet.fault("table", outageMs=0)
        self.fleet.wait_ready(timeout=60)
        self.assertGreaterEqual(self.wait_same_revision(before), before)
        self.check_answers("drafter", self.digest)

    def test_region_that_hears_neither_store_nor_majority_starts_no_new_work(self):
        """Guards against an isolated entry that keeps serving by a possibly stale configuration (P3, P9),
        and against an entry that does not recover from isolation."""
        self.start()
        entry = self.fleet.entries()[2]
        local = [agent for agent in self.fleet.agents() if agent.zone == entry.zone]
        others = [node for node in self.fleet.nodes if node.zone != entry.zone]
        self.fleet.fault("table", outageMs=LONG_OUTAGE_MS)
        for node in others:
            node.process.stop()
        wait_until(lambda: not entry.ready(), 10, "the isolated entry refuses new work")
        wait_until(lambda: not any(agent.ready() for agent in local), 10, "the isolated agents refuse new work")
        started = self.metric(local, "bp_agent_started_total")
        for _ in range(5):
            response, _ = self.fleet.generate(entry, "drafter", "isolated", 4)
            self.assertEqual((response.status, response.headers["X-Ran"]), (503, "no"), response)
            self.assertIn("Retry-After", response.headers)
        self.assertEqual(self.metric(local, "bp_agent_started_total"), started)
        for node in others:
            node.process.cont()
        self.fleet.wait_ready(timeout=60)
        self.check_answers("drafter", self.digest)
        self.fleet.fault("table", outageMs=0)


if __name__ == "__main__":
    unittest.main()
