"""Prompts that crash each engine that runs them."""

import time
import unittest

from support import IntegrationTest, wait_until

MODEL_BYTES = 1 << 20
# Limit for a final answer that needs no engine, with a margin for a busy machine.
FINAL_ANSWER_SECONDS = 3


class Poison(IntegrationTest):
    def start(self):
        deployment = self.deploy(["fraser", "okanagan", "island"], models=6, blobs=[f"drafter/v1:{MODEL_BYTES}:1"])
        deployment.declare()
        deployment.declare_version("drafter/v1")
        deployment.wait_serving("v1")
        deployment.wait_ready()
        wait_until(lambda: not any(state["cold"] for state in deployment.engine_states()), 60, "all engines are warm")
        return deployment

    @staticmethod
    def instances(deployment):
        return wait_until(lambda: [state["instance"] for state in deployment.engine_states()], 60, "all engines run")

    def test_poison_prompt_crashes_at_most_two_endpoints(self):
        """Guards against a prompt that crashes every endpoint as its caller retries it at every entry (F10), against a
        late final answer, and against harm to the other requests at the crashed engines."""
        deployment = self.start()
        before = self.instances(deployment)
        load = self.start_load(deployment, ["v1"])
        first, _ = self.fleet.generate(self.fleet.entries()[0], "drafter", "please CRASH", 10)
        self.assertEqual((first.status, first.headers["X-Ran"]), (422, "yes"), first)
        for entry in self.fleet.entries() * 2:
            started = time.monotonic()
            response, _ = self.fleet.generate(entry, "drafter", "please CRASH", 10)
            self.assertEqual((response.status, response.headers["X-Ran"]), (422, "yes"), (entry.name, response))
            self.assertLess(time.monotonic() - started, FINAL_ANSWER_SECONDS)
        deployment.wait_serving("v1")
        after = self.instances(deployment)
        self.assertLessEqual(sum(a != b for a, b in zip(before, after)), 2)
        self.check_load(load.stop(), refused_percent=1)


if __name__ == "__main__":
    unittest.main()
