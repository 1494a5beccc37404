"""Engines that die one after the other, for reasons of their own, under the same stream."""

import threading
import time
import unittest

from support import IntegrationTest, expected_tokens, wait_until

MODEL_BYTES = 1 << 20
TOKEN_MS = 25
TOKENS = 160
# The stream makes progress at each engine before it dies.
PROGRESS_SECONDS = 0.5


class TwoCrashes(IntegrationTest):
    def test_stream_in_flight_at_two_crashes_is_completed(self):
        """Guards against a sound stream that is cut, and its caller told not to repeat it, because two engines died
        while they ran it (P4, F1, F10)."""
        deployment = self.deploy(["fraser", "okanagan", "island"], models=6, blobs=[f"drafter/v1:{MODEL_BYTES}:1"],
                                 engines={"token_ms": TOKEN_MS})
        deployment.declare()
        digest = deployment.declare_version("drafter/v1")
        deployment.wait_serving("v1")
        deployment.wait_ready()
        answers = []
        caller = threading.Thread(target=lambda: answers.append(
            self.fleet.generate(self.fleet.entries()[0], "drafter", "hoop spec", TOKENS)))
        caller.start()
        for _ in range(2):
            self.kill_running_engine(deployment)
        caller.join()
        response, events = answers[0]
        self.assertEqual(response.status, 200, response)
        self.assertEqual(events[-1]["event"], "done", events[-1])
        self.assertEqual(self.tokens(events), expected_tokens(self.fleet, digest, "hoop spec", TOKENS))

    def kill_running_engine(self, deployment):
        def running():
            return next((address for address, state in zip(deployment.engine_addresses, deployment.engine_states())
                         if state["running"] > 0), None)

        first = wait_until(running, 20, "an engine runs the stream")
        time.sleep(PROGRESS_SECONDS)
        self.assertEqual(running(), first, "the stream has moved by itself")
        self.fleet.fault(first, die=True)


if __name__ == "__main__":
    unittest.main()
