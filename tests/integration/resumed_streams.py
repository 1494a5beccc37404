"""Model streams that engines cut short."""

import unittest

from support import Deployment, IntegrationTest, expected_tokens, wait_until

MODEL_BYTES = 1 << 20
ZONES = ["fraser", "okanagan", "island"]


class ResumedStreams(IntegrationTest):
    def start(self):
        self.fleet.start_platform(blobs=[f"drafter/v1:{MODEL_BYTES}:1"])
        deployment = Deployment(self.fleet, ZONES, models=6)
        self.fleet.wait_live()
        deployment.declare()
        self.digest = deployment.declare_version("drafter/v1")
        deployment.wait_serving("v1")
        deployment.wait_ready()
        wait_until(lambda: not any(state["cold"] for state in deployment.engine_states()), 60, "all engines are warm")
        return deployment

    def test_cut_streams_are_resumed_whole(self):
        """Guards against a caller that sees a cut, duplicated or skipped event when engines cut streams (P4)."""
        deployment = self.start()
        load = self.start_load(deployment, ["v1"])
        expected = expected_tokens(self.fleet, self.digest, "cut me", 40)
        for i in range(6):
            self.fleet.fault(deployment.engine_addresses[i % 6], cut=2)
            response, events = self.fleet.generate(self.fleet.entries()[i % 3], "drafter", "cut me", 40)
            self.assertEqual(response.status, 200, response)
            self.assertEqual(self.tokens(events), expected)
        self.check_load(load.stop())


if __name__ == "__main__":
    unittest.main()
