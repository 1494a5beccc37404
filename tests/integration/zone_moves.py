"""Planned moves under load: zones that leave and return, agents and entries that stop gracefully."""

import threading
import time
import unittest

from support import IntegrationTest, wait_until

MODEL_BYTES = 2 << 20
STARTED = "bp_agent_started_total"
# P3 and P7: new work ends this long after the declaration, or after the endpoint starts leaving.
NO_NEW_WORK_SECONDS = 3


class ZoneMoves(IntegrationTest):
    def start(self, **options):
        deployment = self.deploy(["fraser", "okanagan", "island"], models=6, blobs=[f"drafter/v1:{MODEL_BYTES}:1"],
                                 **options)
        deployment.declare()
        deployment.declare_version("drafter/v1")
        deployment.wait_serving("v1")
        deployment.wait_ready()
        # A cold endpoint admits little work; the tests compare warm fleets.
        wait_until(lambda: not any(state["cold"] for state in deployment.engine_states()), 30, "all engines are warm")
        return deployment

    def wait_new_requests(self, agents, more=1):
        """Waits until these agents have started this many further requests."""
        before = self.metric(agents, STARTED)
        wait_until(lambda: self.metric(agents, STARTED) >= before + more, 30, "the agents get new work", 0.1)

    def test_zone_leaves_and_returns_under_load(self):
        """Guards against new work for a zone 3 s after it was taken out, and against requests lost, duplicated or cut
        by the move (P3, P8), twice in a row (F12)."""
        deployment = self.start()
        inside = [agent for agent in self.fleet.agents() if agent.zone == "island"]
        outside = [agent for agent in self.fleet.agents() if agent.zone != "island"]
        load = self.start_load(deployment, ["v1"], rate=30)
        for _ in range(2):
            self.wait_new_requests(inside)
            deployment.set_zone("island", False)
            time.sleep(NO_NEW_WORK_SECONDS)
            started = self.metric(inside, STARTED)
            self.wait_new_requests(outside, 60)
            self.assertEqual(self.metric(inside, STARTED), started, "the zone got new work")
            deployment.set_zone("island", True)
        self.wait_new_requests(inside)
        self.check_load(load.stop())

    def test_graceful_stops_of_agents_and_entries_cut_nothing(self):
        """Guards against a planned stop that cuts requests in flight (P8) or a process that never ends."""
        deployment = self.start()
        load = self.start_load(deployment, ["v1"], rate=30)
        for node in [*self.fleet.agents()[:2], self.fleet.entries()[0], self.fleet.entries()[1]]:
            process = node.process
            process.term()
            self.assertEqual(process.wait(60), 0, node.name)
            node.start()
            wait_until(node.ready, 60, f"{node.name} ready")
        self.check_load(load.stop())

    def test_leaving_endpoint_gets_no_new_work_and_finishes_its_streams(self):
        """Guards against new work for an endpoint 3 s after it starts leaving (P7), and against cut streams (P8)."""
        deployment = self.start(engines={"token_ms": 10})
        results = []

        def long_stream(number):
            entry = self.fleet.entries()[number % 3]
            results.append(self.fleet.generate(entry, "drafter", f"long {number}", 600))

        threads = [threading.Thread(target=long_stream, args=(i,)) for i in range(12)]
        for thread in threads:
            thread.start()
        wait_until(lambda: self.metric(self.fleet.agents(), STARTED) >= 12, 30, "all streams run")
        leaving = max(self.fleet.agents(), key=lambda agent: agent.metrics()[STARTED])
        load = self.start_load(deployment, ["v1"], rate=30)
        self.wait_new_requests(self.fleet.agents(), 10)
        leaving.process.term()
        time.sleep(NO_NEW_WORK_SECONDS)
        started = leaving.metrics()[STARTED]
        others = [agent for agent in self.fleet.agents() if agent is not leaving]
        self.wait_new_requests(others, 30)
        try:
            self.assertEqual(leaving.metrics()[STARTED], started, "the leaving endpoint got new work")
        except OSError:
            pass  # The process has exited, so it got no further requests.
        for thread in threads:
            thread.join()
        self.assertEqual(leaving.process.wait(60), 0)
        self.check_load(load.stop())
        for response, events in results:
            self.assertEqual(response.status, 200, response)
            self.assertEqual([event["event"] for event in events], ["message"] * 600 + ["done"])


if __name__ == "__main__":
    unittest.main()
