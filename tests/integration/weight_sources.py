"""Faults of what the weights come from: origin, its link, chunks held by peers. Callers must never see their effect."""

import unittest

from support import CHUNK_BYTES, Deployment, IntegrationTest, check_ok, http_call, resource, wait_until

MODEL_BYTES = 8 << 20
SLOW = 4 << 20
BLOBS = [f"drafter/v{i}:{MODEL_BYTES}:{i}" for i in (1, 2, 3)]
ZONES = ["fraser", "okanagan", "island"]


class WeightSources(IntegrationTest):
    def start(self, models=6, proxied=False, agent_ini=None):
        """A fleet that serves v1; with proxied, its processes reach the platform through self.proxy."""
        self.fleet.start_platform(blobs=BLOBS)
        self.proxy = self.fleet.proxy_platform() if proxied else None
        deployment = Deployment(self.fleet, ZONES, models=models, agent_ini=agent_ini)
        self.fleet.wait_live()
        deployment.declare()
        deployment.declare_version("drafter/v1")
        deployment.wait_serving("v1")
        deployment.wait_ready()
        return deployment

    def wait_origin_bytes(self, beyond):
        wait_until(lambda: self.origin_bytes() >= beyond, 60, f"the origin sent {beyond} bytes")

    def test_corrupt_chunks_of_the_origin_reach_no_caller(self):
        """Guards against loading or passing on a chunk that arrived corrupted (F3, P1)."""
        deployment = self.start()
        self.fleet.fault("objects", corruptPercent=30)
        load = self.start_load(deployment, ["v1", "v2"])
        digest = deployment.declare_version("drafter/v2")
        deployment.wait_serving("v2")
        self.check_load(load.stop())
        self.assertGreater(self.fleet.stats("objects")["corrupted"], 0)
        self.assertGreater(self.metric(self.fleet.agents(), "bp_weights_corrupt_chunks_total"), 0)
        self.check_answers("drafter", digest)

    def test_chunks_that_changed_in_a_peers_memory_are_not_passed_on(self):
        """Guards against a peer that spreads chunks whose bytes changed after it had verified them (F3, P1)."""
        self.fleet.start_platform(blobs=BLOBS)
        cache = {"weights": {"cache_bytes": 1 << 20}}
        deployment = Deployment(self.fleet, ZONES[:1], models=4, agent_ini=cache)
        self.fleet.wait_live()
        deployment.declare()
        digest = deployment.declare_version("drafter/v1", endpoints=["drafter-1", "drafter-2"])
        deployment.wait_serving("v1", count=2)
        spec, _ = self.fleet.put_manifest("drafter/v1", CHUNK_BYTES)
        engine = deployment.engine_addresses[0]
        for chunk in range(MODEL_BYTES // CHUNK_BYTES):
            url = f"http://{engine}/staging/{spec['manifest']}/chunks/{chunk}"
            check_ok(http_call("PUT", url, b"x" * CHUNK_BYTES))
        self.fleet.apply([resource("Serving", "drafter", model="drafter", version="v1", minAvailable=50)])
        deployment.wait_serving("v1")
        deployment.wait_ready()
        self.check_answers("drafter", digest)
        corrupt = self.metric(self.fleet.agents(), "bp_weights_corrupt_chunks_total")
        found = self.metric(self.fleet.agents(), "bp_weights_host_mismatches_total")
        self.assertEqual(corrupt, 0, "a peer passed on a chunk that it had not verified")
        self.assertGreater(found, 0, "no chunk was read back from the changed memory")

    def test_version_changed_at_the_origin_is_not_activated(self):
        """Guards against a mixture of two contents after the origin's bytes change during a transfer (F4, P1)."""
        deployment = self.start()
        self.fleet.fault("objects", rate=SLOW)
        load = self.start_load(deployment, ["v1", "v3"])
        before = self.origin_bytes()
        deployment.declare_version("drafter/v2")
        self.wait_origin_bytes(before + MODEL_BYTES // 8)
        self.fleet.fault("objects", changeVersion={"blob": "drafter/v2", "seed": 99})

        def found():
            return any(row["state"] == "originChanged" for agent in self.fleet.agents()
                       for row in http_call("GET", agent.url("/progress")).json())

        wait_until(found, 60, "an agent reports that the origin changed")
        self.assertEqual(deployment.serving_count("v2"), 0)
        self.fleet.fault("objects", rate=0)
        digest = deployment.declare_version("drafter/v3")
        deployment.wait_serving("v3")
        self.check_load(load.stop())
        self.check_answers("drafter", digest)

    def test_outage_and_silent_links_of_the_origin_only_delay_a_transfer(self):
        """Guards against a transfer that never ends after an origin outage or on links that went silent (F2, F11)."""
        deployment = self.start(proxied=True)
        self.fleet.fault("objects", rate=SLOW)
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
