"""Chunks corrupted in transit or in a peer's memory. Callers must never get output of corrupted weights."""

import unittest

from support import CHUNK_BYTES, IntegrationTest, check_ok, http_call, resource

MODEL_BYTES = 8 << 20
BLOBS = [f"drafter/v{i}:{MODEL_BYTES}:{i}" for i in (1, 2)]


class CorruptChunks(IntegrationTest):
    def test_corrupt_chunks_of_the_origin_reach_no_caller(self):
        """Guards against loading or passing on a chunk that arrived corrupted (F3, P1)."""
        deployment = self.deploy(["fraser", "okanagan", "island"], models=6, blobs=BLOBS)
        deployment.declare()
        deployment.declare_version("drafter/v1")
        deployment.wait_serving("v1")
        deployment.wait_ready()
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
        cache = {"weights": {"cache_bytes": 1 << 20}}
        deployment = self.deploy(["fraser"], models=4, blobs=BLOBS, agent_ini=cache)
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


if __name__ == "__main__":
    unittest.main()
