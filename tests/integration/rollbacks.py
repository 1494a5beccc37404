"""Rollbacks under load."""

import unittest

from support import IntegrationTest, resource, wait_until

MODEL_BYTES = 8 << 20
LONG_OUTAGE_MS = 600_000
BLOBS = [f"drafter/v{i}:{MODEL_BYTES}:{i}" for i in (1, 2)]


class Rollbacks(IntegrationTest):
    def start(self):
        deployment = self.deploy(["fraser", "okanagan", "island"], models=6, blobs=BLOBS)
        deployment.declare()
        digest = deployment.declare_version("drafter/v1")
        deployment.wait_serving("v1")
        deployment.wait_ready()
        return deployment, digest

    def test_rollback_draws_nothing(self):
        """Guards against a rollback that waits for the origin, here during its outage, or serves a mixture (P1)."""
        deployment, first = self.start()
        load = self.start_load(deployment, ["v1", "v2"])
        deployment.declare_version("drafter/v2")
        deployment.wait_serving("v2")
        before = self.origin_bytes()
        self.fleet.fault("objects", outageMs=LONG_OUTAGE_MS)
        self.fleet.apply([resource("Serving", "drafter", model="drafter", version="v1", minAvailable=50)])
        deployment.wait_serving("v1")
        deployment.wait_ready()
        self.check_load(load.stop())
        self.assertEqual(self.origin_bytes(), before)
        self.check_answers("drafter", first)

    def test_rollback_in_the_middle_of_a_rollout(self):
        """Guards against a fleet that stays split, or callers harmed, when a rollout is reversed halfway, twice in a
        row (P1, F12)."""
        deployment, first = self.start()
        load = self.start_load(deployment, ["v1", "v2"])
        deployment.declare_version("drafter/v2")
        for _ in range(2):
            self.fleet.apply([resource("Serving", "drafter", model="drafter", version="v2", minAvailable=50)])
            wait_until(lambda: 1 <= deployment.serving_count("v2"), 60, "some endpoints serve v2", 0.05)
            self.fleet.apply([resource("Serving", "drafter", model="drafter", version="v1", minAvailable=50)])
            deployment.wait_serving("v1")
        deployment.wait_ready()
        self.check_load(load.stop())
        self.check_answers("drafter", first)


if __name__ == "__main__":
    unittest.main()
