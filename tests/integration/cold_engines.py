"""Cold engines: after a restart, on return to service, or without notice while busy."""

import unittest

from support import IntegrationTest, wait_until

MODEL_BYTES = 1 << 20


class ColdEngines(IntegrationTest):
    def start(self, **engines):
        deployment = self.deploy(["fraser", "okanagan", "island"], models=6, engines=engines,
                                 blobs=[f"drafter/v1:{MODEL_BYTES}:1"])
        deployment.declare()
        deployment.declare_version("drafter/v1")
        deployment.wait_serving("v1")
        deployment.wait_ready()
        self.wait_warm(deployment)
        return deployment

    @staticmethod
    def wait_warm(deployment):
        wait_until(lambda: not any(state["cold"] for state in deployment.engine_states()), 60, "all engines are warm")

    @staticmethod
    def instances(deployment):
        return wait_until(lambda: [state["instance"] for state in deployment.engine_states()], 60, "all engines run")

    @staticmethod
    def wait_running(deployment, count):
        wait_until(lambda: sum(state["running"] for state in deployment.engine_states()) >= count, 60,
                   f"{count} streams run")

    def test_engines_that_return_cold_are_not_overloaded(self):
        """Guards against overload of endpoints that return cold (P2, F5): engines that restart, and a whole zone
        that turned cold while it was out of service."""
        deployment = self.start(cold_ms=4000)
        load = self.start_load(deployment, ["v1"], rate=60, min_tokens=60)
        self.fleet.fault(deployment.engine_addresses[0], die=True)
        wait_until(lambda: deployment.serving_count("v1") < 6, 30, "the engine lost its memory")
        deployment.wait_serving("v1")
        self.wait_warm(deployment)
        before = self.instances(deployment)
        deployment.set_zone("island", False)
        island = [a for a, agent in zip(deployment.engine_addresses, self.fleet.agents()) if agent.zone == "island"]
        wait_until(lambda: sum(s["running"] for a, s in zip(deployment.engine_addresses, deployment.engine_states())
                               if a in island) == 0, 30, "the zone is idle")
        for address in island:
            self.fleet.fault(address, turnCold=True)
        deployment.set_zone("island", True)
        self.wait_warm(deployment)
        self.assertEqual(self.instances(deployment), before, "an engine died of overload")
        self.check_load(load.stop(), refused_percent=1)

    def test_busy_engine_that_turns_cold_is_not_overloaded(self):
        """Guards against new work for a busy engine that turned cold without notice (P2, F5)."""
        deployment = self.start(cold_ms=3000)
        load = self.start_load(deployment, ["v1"], rate=60, min_tokens=60)
        before = self.instances(deployment)
        for address in deployment.engine_addresses[:3]:
            self.wait_running(deployment, 10)
            self.fleet.fault(address, turnCold=True)
            self.wait_warm(deployment)
        self.assertEqual(self.instances(deployment), before, "an engine died of overload")
        self.check_load(load.stop(), refused_percent=1)


if __name__ == "__main__":
    unittest.main()
