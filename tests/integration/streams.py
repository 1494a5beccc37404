"""Model streams under silent connections and stalled engines."""

import threading
import unittest

from support import Deployment, IntegrationTest, wait_until

MODEL_BYTES = 1 << 20
ZONES = ["fraser", "okanagan", "island"]
LONG_STALL_MS = 600_000


class Streams(IntegrationTest):
    def start(self, models=6, proxied=False, **engines):
        self.fleet.start_platform(blobs=[f"drafter/v1:{MODEL_BYTES}:1"])
        deployment = Deployment(self.fleet, ZONES, models=0 if proxied else models, engines=engines)
        if proxied:
            self._add_proxied_endpoints(deployment, models, engines)
        self.fleet.wait_live()
        deployment.declare()
        self.digest = deployment.declare_version("drafter/v1")
        deployment.wait_serving("v1")
        deployment.wait_ready()
        self.wait_warm(deployment)
        return deployment

    def _add_proxied_endpoints(self, deployment, count, engines):
        """Adds endpoints whose agents reach their engines through self.proxy."""
        zones = [ZONES[i % 3] for i in range(count)]
        deployment.engine_addresses = self.fleet.add_engines("engines", zones, **engines)
        self.proxy = self.fleet.start_proxy(deployment.engine_addresses)
        for i, (zone, address) in enumerate(zip(zones, deployment.engine_addresses)):
            ini = {"engine": {"address": self.proxy.links[i][0]}}
            deployment._add_agent(f"drafter-{i + 1}", zone, address, "model", ini)
        self.fleet.publish_vms()

    @staticmethod
    def wait_warm(deployment):
        wait_until(lambda: not any(state["cold"] for state in deployment.engine_states()), 60, "all engines are warm")

    def test_silent_connections_to_engines_are_found(self):
        """Guards against streams that hang on a connection that went silent while new ones work (F11, P4), twice in a
        row (F12)."""
        deployment = self.start(proxied=True, token_ms=10)
        results = []

        def ask(number):
            results.append(self.fleet.generate(self.fleet.entries()[number % 3], "drafter", f"long {number}", 300))

        threads = [threading.Thread(target=ask, args=(i,)) for i in range(9)]
        for thread in threads:
            thread.start()
        load = self.start_load(deployment, ["v1"], deadline_ms=40000)
        for _ in range(2):
            self.wait_running(deployment, 9)
            self.proxy.fault(silence="open")
        for thread in threads:
            thread.join()
        for response, events in results:
            self.assertEqual(response.status, 200, response)
            self.assertEqual([event["event"] for event in events], ["message"] * 300 + ["done"])
        self.check_load(load.stop(), refused_percent=1)
        self.check_answers("drafter", self.digest)

    @staticmethod
    def wait_running(deployment, count):
        wait_until(lambda: sum(state["running"] for state in deployment.engine_states()) >= count, 60,
                   f"{count} streams run")

    def test_stalled_engines_do_not_hold_their_streams(self):
        """Guards against streams that wait for an engine that neither answers nor breaks its connections (F2)."""
        deployment = self.start(proxied=False)
        load = self.start_load(deployment, ["v1"])
        for engine in deployment.engine_addresses[:2]:
            wait_until(lambda: sum(one["answered"] for one in load.rounds) > 0, 60, "the load has begun")
            rounds = len(load.rounds)
            self.fleet.fault(engine, stallMs=LONG_STALL_MS)
            wait_until(lambda: len(load.rounds) >= rounds + 2, 60, "the load has run beside the stalled engine")
            self.fleet.fault(engine, stallMs=0)
        deployment.wait_ready()
        self.check_load(load.stop(), refused_percent=1)
        self.check_answers("drafter", self.digest)


if __name__ == "__main__":
    unittest.main()
