"""Processes that are paused (SIGSTOP) and resumed: an expired lease or a stale configuration must not take effect."""

import concurrent.futures
import http.client
import unittest

from support import OPERATOR_KEY, IntegrationTest, http_call, wait_until

MODEL_BYTES = 4 << 20
ZONES = ["fraser", "okanagan", "island"]
HEADERS = {"Authorization": "Bearer " + OPERATOR_KEY}


class Pauses(IntegrationTest):
    def start(self, **options):
        blobs = [f"drafter/v{i}:{MODEL_BYTES}:{i}" for i in (1, 2)]
        deployment = self.deploy(ZONES, models=6, blobs=blobs, **options)
        deployment.declare()
        deployment.declare_version("drafter/v1")
        deployment.wait_serving("v1")
        deployment.wait_ready()
        return deployment

    @staticmethod
    def fencing(entry):
        return entry.dump()["plannerFencing"]

    def wait_lease_holder(self, entries, above=0):
        """Returns the entry that holds the planner lease, and the lease's fencing number."""

        def find():
            return next(((entry, number) for entry in entries if (number := self.fencing(entry)) > above), None)

        return wait_until(find, 60, "an entry holds the planner lease", 0.1)

    def rollout_fencing(self, entry):
        rows = http_call("GET", entry.url("/api/v1/Rollout"), headers=HEADERS).json()["items"]
        return max((row["spec"]["fencing"] for row in rows), default=0)

    def test_paused_planner_does_not_act_after_its_lease(self):
        """Guards against orders of a lease holder that was paused past its lease (F8): the fencing number rises, and
        never falls in the Rollout resources or at the engines."""
        deployment = self.start(entry_ini={"planner": {"lease": 3000}})
        holder, old = self.wait_lease_holder(self.fleet.entries())
        others = [entry for entry in self.fleet.entries() if entry is not holder]
        load = self.start_load(deployment, ["v1", "v2"], entries=others)
        holder.process.stop()
        successor, new = self.wait_lease_holder(others, old)
        digest = deployment.declare_version("drafter/v2", entry=successor)
        holder.process.cont()
        seen = []

        def converged():
            seen.append(self.rollout_fencing(successor))
            return deployment.serving_count("v2") == 6

        wait_until(converged, 120, "v2 is served everywhere", 0.05)
        wait_until(lambda: self.fencing(holder) != old, 30, "the paused entry has given up its old lease")
        self.assertGreater(new, old)
        self.assertEqual(seen, sorted(seen), "an older fencing number took effect")
        self.assertGreaterEqual(self.rollout_fencing(successor), new)
        self.check_load(load.stop())
        deployment.wait_ready()
        self.check_answers("drafter", digest)

    def test_resumed_entry_does_not_use_its_old_configuration(self):
        """Guards against new work that a resumed entry sends by its stale configuration (P3, P9), for
        requests that reached it during the pause and after it."""
        deployment = self.start()
        entry, others = self.fleet.entries()[2], self.fleet.entries()[:2]
        inside = [agent for agent in self.fleet.agents() if agent.zone == entry.zone]
        entry.process.stop()
        with concurrent.futures.ThreadPoolExecutor(12) as pool:

            def ask(number):
                try:
                    return self.fleet.generate(entry, "drafter", f"late {number}", 8)
                except (OSError, http.client.HTTPException) as error:
                    return error

            early = [pool.submit(ask, i) for i in range(12)]
            deployment.set_zone(entry.zone, False, others[0])
            revision = others[0].dump()["fleet"]["revision"]
            wait_until(lambda: all(node.dump()["fleet"]["revision"] >= revision for node in
                                   [*others, *self.fleet.agents()]), 30, "the others know the declaration")
            started = self.metric(inside, "bp_agent_started_total")
            entry.process.cont()
            answers = [one.result() for one in [*early, *[pool.submit(ask, i) for i in range(12, 60)]]]
        self.assertEqual(self.metric(inside, "bp_agent_started_total"), started, "the zone got new work")
        for answer in answers:
            self.assertIsInstance(answer, tuple)
            response, events = answer
            if response.status == 200:
                self.assertEqual(events[-1]["event"], "done")
            else:
                self.assertEqual(response.headers["X-Ran"], "no", response)
        wait_until(entry.ready, 30, "the entry is back")

    def test_paused_agent_is_left_alone_and_returns(self):
        """Guards against streams that hang with a paused agent (F2, F11) and against an agent that
        stays out after it resumes."""
        deployment = self.start()
        agent = self.fleet.agents()[0]
        load = self.start_load(deployment, ["v1"], rate=30)
        for _ in range(2):
            wait_until(lambda: self.metric([agent], "bp_agent_started_total") > 0, 30, "the agent has work")
            agent.process.stop()
            rounds = len(load.rounds)
            wait_until(lambda: len(load.rounds) >= rounds + 2, 60, "the load has run without the agent")
            agent.process.cont()
            wait_until(agent.ready, 60, "the agent is back")
        self.check_load(load.stop(), refused_percent=1)


if __name__ == "__main__":
    unittest.main()
