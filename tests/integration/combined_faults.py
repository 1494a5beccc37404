"""Two faults at the same time (F12)."""

import time
import unittest

from support import IntegrationTest, wait_until

MODEL_BYTES = 4 << 20
ZONES = ["fraser", "okanagan", "island"]
LONG_OUTAGE_MS = 600_000
STARTED = "bp_agent_started_total"


class CombinedFaults(IntegrationTest):
    def start(self):
        blobs = [f"drafter/v{i}:{MODEL_BYTES}:{i}" for i in (1, 2)]
        deployment = self.deploy(ZONES, models=6, blobs=blobs)
        deployment.declare()
        deployment.declare_version("drafter/v1")
        deployment.wait_serving("v1")
        deployment.wait_ready()
        return deployment

    def test_zone_leaves_while_the_store_goes_down(self):
        """Guards against a zone that keeps getting work because the store went down right after the declaration was
        accepted (P3, F6)."""
        deployment = self.start()
        inside = [agent for agent in self.fleet.agents() if agent.zone == "island"]
        outside = [agent for agent in self.fleet.agents() if agent.zone != "island"]
        load = self.start_load(deployment, ["v1"], rate=30)
        wait_until(lambda: self.metric(inside, STARTED) > 0, 30, "the zone has work")
        deployment.set_zone("island", False)
        self.fleet.fault("table", outageMs=LONG_OUTAGE_MS)
        time.sleep(3)  # The bound of P3.
        started = self.metric(inside, STARTED)
        started_outside = self.metric(outside, STARTED)
        wait_until(lambda: self.metric(outside, STARTED) >= started_outside + 100, 60, "the others get new work")
        self.assertEqual(self.metric(inside, STARTED), started, "the zone got new work")
        self.fleet.fault("table", outageMs=0)
        wait_until(lambda: deployment.set_zone("island", True) is None, 30, "the zone returns")
        wait_until(lambda: self.metric(inside, STARTED) > started, 30, "the zone has work again")
        self.check_load(load.stop())

    def test_engines_die_while_a_version_rolls_out(self):
        """Guards against a rollout that stops, or callers harmed, when engines of the old and the new version die in
        the middle of it (F1, P1)."""
        deployment = self.start()
        load = self.start_load(deployment, ["v1", "v2"])
        digest = deployment.declare_version("drafter/v2")
        wait_until(lambda: deployment.serving_count("v2") >= 1, 60, "the rollout has begun", 0.05)
        states = deployment.engine_states()
        for version in ("v1", "v2"):
            victims = [address for address, state in zip(deployment.engine_addresses, states)
                       if any(loaded["version"] == version for loaded in state["loaded"])]
            if victims:
                self.fleet.fault(victims[0], die=True)
        deployment.wait_serving("v2")
        deployment.wait_ready()
        self.check_load(load.stop(), refused_percent=2)
        self.check_answers("drafter", digest)

    def test_corrupt_origin_and_killed_agents_and_store_outage(self):
        """Guards against partial or mixed weights when chunks arrive corrupted while agents die and the store is
        down (F1, F3, F6)."""
        deployment = self.start()
        self.fleet.fault("objects", corruptPercent=20, rate=4 << 20)
        load = self.start_load(deployment, ["v1", "v2"])
        digest = deployment.declare_version("drafter/v2")
        before = self.origin_bytes()
        wait_until(lambda: self.origin_bytes() > before + MODEL_BYTES // 4, 60, "the transfer has begun")
        self.fleet.fault("table", outageMs=3000)
        for agent in self.fleet.agents()[:2]:
            agent.process.kill()
            agent.start()
        deployment.wait_serving("v2")
        deployment.wait_ready()
        self.check_load(load.stop(), refused_percent=2)
        self.check_answers("drafter", digest)


if __name__ == "__main__":
    unittest.main()
