"""Origin faults during a transfer: changed content, outages, connections that stop delivering data."""

import unittest

from support import Deployment, IntegrationTest, http_call, wait_until

MODEL_BYTES = 8 << 20
SLOW_ORIGIN_BYTES_PER_S = 4 << 20
BLOBS = [f"drafter/v{i}:{MODEL_BYTES}:{i}" for i in (1, 2, 3)]
ZONES = ["fraser", "okanagan", "island"]


class OriginFaults(IntegrationTest):
    def start(self, proxied=False):
        """Starts a fleet that serves v1; if proxied, its processes reach the platform through self.proxy."""
        self.fleet.start_platform(blobs=BLOBS)
        self.proxy = self.fleet.proxy_platform() if proxied else None
        deployment = Deployment(self.fleet, ZONES, models=6)
        self.fleet.wait_live()
        deployment.declare()
        deployment.declare_version("drafter/v1")
        deployment.wait_serving("v1")
        deployment.wait_ready()
        return deployment

    def wait_origin_bytes(self, threshold):
        wait_until(lambda: self.origin_bytes() >= threshold, 60, f"the origin sent {threshold} bytes")

    def test_version_changed_at_the_origin_is_not_activated(self):
        """Guards against a mixture of two contents after the origin's bytes change during a transfer (F4, P1)."""
        deployment = self.start()
        self.fleet.fault("objects", rate=SLOW_ORIGIN_BYTES_PER_S)
        load = self.start_load(deployment, ["v1", "v3"])
        before = self.origin_bytes()
        deployment.declare_version("drafter/v2")
        self.wait_origin_bytes(before + MODEL_BYTES // 8)
        self.fleet.fault("objects", changeVersion={"blob": "drafter/v2", "seed": 99})

        def origin_change_reported():
            return any(row["state"] == "originChanged" for agent in self.fleet.agents()
                       for row in http_call("GET", agent.url("/progress")).json())

        wait_until(origin_change_reported, 60, "an agent reports that the origin changed")
        self.assertEqual(deployment.serving_count("v2"), 0)
        self.fleet.fault("objects", rate=0)
        digest = deployment.declare_version("drafter/v3")
        deployment.wait_serving("v3")
        self.check_load(load.stop())
        self.check_answers("drafter", digest)

    def test_outage_and_silent_links_of_the_origin_only_delay_a_transfer(self):
        """Guards against a transfer that hangs after an origin outage or on silent connections (F2, F11)."""
        deployment = self.start(proxied=True)
        self.fleet.fault("objects", rate=SLOW_ORIGIN_BYTES_PER_S)
        load = self.start_load(deployment, ["v1", "v2"])
        before = self.origin_bytes()
        digest = deployment.declare_version("drafter/v2")
        self.wait_origin_bytes(before + MODEL_BYTES // 8)
        self.fleet.fault("objects", outageMs=2000)
        self.wait_origin_bytes(before + MODEL_BYTES // 4)
        self.proxy.fault(silence="open")
        self.wait_origin_bytes(before + MODEL_BYTES // 2)
        self.proxy.fault(silence="open")
        deployment.wait_serving("v2")
        self.check_load(load.stop())
        self.check_answers("drafter", digest)


if __name__ == "__main__":
    unittest.main()
