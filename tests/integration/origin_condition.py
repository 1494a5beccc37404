"""Conditions that operators see when the origin fails to deliver a version."""

import unittest

from support import OPERATOR_KEY, IntegrationTest, http_call, wait_until

MODEL_BYTES = 4 << 20


class OriginCondition(IntegrationTest):
    def test_changed_origin_is_a_condition_of_the_model_version(self):
        """Guards against operators who cannot see why a rollout does not proceed when the origin's bytes changed
        (F4; docs/design.md, section 7)."""
        deployment = self.deploy(["fraser"], models=2, blobs=[f"drafter/v{i}:{MODEL_BYTES}:{i}" for i in (1, 2)])
        deployment.declare()
        self.fleet.fault("objects", rate=1 << 20)
        before = self.origin_bytes()
        deployment.declare_version("drafter/v2")
        wait_until(lambda: self.origin_bytes() > before + MODEL_BYTES // 8, 60, "the transfer has begun")
        self.fleet.fault("objects", rate=0, changeVersion={"blob": "drafter/v2", "seed": 99})
        url = self.fleet.entries()[0].url("/api/v1/ModelVersion/drafter-v2")
        headers = {"Authorization": "Bearer " + OPERATOR_KEY}

        def changed():
            conditions = http_call("GET", url, headers=headers).json()["status"]["conditions"]
            return any(one["type"] == "OriginChanged" and one["status"] for one in conditions)

        wait_until(changed, 30, "the condition OriginChanged holds", 0.2)
        self.assertEqual(deployment.serving_count("v2"), 0)


if __name__ == "__main__":
    unittest.main()
