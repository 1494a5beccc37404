"""Agents and engines that die during a weight transfer or after the load."""

import unittest

from support import IntegrationTest, http_call, wait_until

MODEL_BYTES = 8 << 20
LONG_OUTAGE_MS = 600_000
BLOBS = [f"drafter/v{i}:{MODEL_BYTES}:{i}" for i in (1, 2)]


class WeightCrashes(IntegrationTest):
    def start(self):
        deployment = self.deploy(["fraser", "okanagan", "island"], models=6, blobs=BLOBS)
        deployment.declare()
        deployment.declare_version("drafter/v1")
        deployment.wait_serving("v1")
        deployment.wait_ready()
        return deployment

    @staticmethod
    def is_fetching(agent):
        rows = http_call("GET", agent.url("/progress")).json()
        return any(0 < row["chunksHeld"] < row["chunks"] for row in rows)

    def test_agents_killed_during_a_transfer_are_replaced(self):
        """Guards against partial or missing weights when agents die during a transfer and are replaced (F1, P1),
        twice in a row (F12)."""
        deployment = self.start()
        self.fleet.fault("objects", rate=4 << 20)
        load = self.start_load(deployment, ["v1", "v2"])
        digest = deployment.declare_version("drafter/v2")
        agent = self.fleet.agents()[0]
        for _ in range(2):
            wait_until(lambda: self.is_fetching(agent), 60, "the agent holds a part of v2")
            agent.process.kill()
            agent.start()
        deployment.wait_serving("v2")
        deployment.wait_ready()
        self.check_load(load.stop(), refused_percent=1)
        self.check_answers("drafter", digest)

    def test_engine_that_dies_after_loading_gets_the_weights_from_neighbours(self):
        """Guards against serving from an engine that lost its memory, and against a recovery that needs the origin
        or the object store, both of which are down here (F1, F5, P1)."""
        deployment = self.start()
        load = self.start_load(deployment, ["v1"])
        before = self.origin_bytes()
        self.fleet.fault("objects", outageMs=LONG_OUTAGE_MS)
        engine = deployment.engine_addresses[0]
        for _ in range(2):
            self.fleet.fault(engine, die=True)
            wait_until(lambda: deployment.serving_count("v1") < 6, 30, "the engine lost its memory")
            deployment.wait_serving("v1")
        deployment.wait_ready()
        self.check_load(load.stop(), refused_percent=1)
        self.assertEqual(self.origin_bytes(), before)


if __name__ == "__main__":
    unittest.main()
