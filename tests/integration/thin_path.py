"""The path from a declaration to an answer with real processes: declare, distribute, activate, answer."""

import unittest

from support import IntegrationTest, expected_tokens

MODEL_BYTES = 8 << 20


class ThinPath(IntegrationTest):
    def test_declared_version_is_distributed_activated_and_answers(self):
        """Guards against a missing part on the path from a declaration to an answer."""
        deployment = self.deploy(["fraser", "okanagan", "island"], models=6, services={"millbook": 3},
                                 blobs=[f"drafter/v1:{MODEL_BYTES}:1"])
        # Before the first declaration the balancer must already reach the resource API.
        self.fleet.wait_ready(self.fleet.entries())
        deployment.declare()
        digest = deployment.declare_version("drafter/v1")
        deployment.wait_serving("v1")
        deployment.wait_ready()
        for entry in self.fleet.entries():
            response, events = self.fleet.generate(entry, "drafter", "hoop spec", 20)
            self.assertEqual(response.status, 200, response)
            self.assertEqual([event["event"] for event in events], ["message"] * 20 + ["done"])
            self.assertEqual(self.tokens(events), expected_tokens(self.fleet, digest, "hoop spec", 20))

    def test_service_call_runs_once_for_each_key(self):
        """Guards against a second execution of a call whose idempotency key is repeated at any entry."""
        deployment = self.deploy(["atl", "sav"], services={"orders-app": 2})
        deployment.declare()
        self.wait_service("orders-app")
        answers = set()
        for i in range(6):
            entry = self.fleet.entries()[i % 2]
            response = self.call_service(entry, "orders-app", "refill", b"2 boxes", key="order-1")
            self.assertEqual(response.status, 200, response)
            answers.add(response.body)
        self.assertEqual(len(answers), 1)
        stats = [self.fleet.stats(address) for address in deployment.service_addresses["orders-app"]]
        self.assertEqual(sum(one["duplicates"] for one in stats), 0, stats)


if __name__ == "__main__":
    unittest.main()
