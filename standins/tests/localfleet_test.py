"""Tests of scripts/localfleet.py and of the stand-ins as processes."""

import http.client
import os
import tempfile
import threading
import unittest

from localfleet import Fleet
from localprocess import check_ok, http_call, wait_until

BIN = os.environ["BP_BIN"]
BROKEN = (OSError, http.client.HTTPException)


class LocalFleetTest(unittest.TestCase):
    def setUp(self):
        logs = tempfile.TemporaryDirectory()
        self.addCleanup(logs.cleanup)
        self.fleet = Fleet(BIN, logs.name)
        self.addCleanup(self.fleet.close)

    def test_exception_ends_every_process(self):
        """Guards against processes that outlive a failed test."""
        with self.assertRaises(KeyError):
            with self.fleet as fleet:
                fleet.start_platform()
                fleet.processes[0].stop()
                raise KeyError("a failing test")
        self.assertEqual([0, 0, 0], [process.exit_code for process in self.fleet.processes])
        self.assertEqual([], self.fleet.unexpected_exits())

    def test_lost_answer_takes_effect(self):
        """Guards against a lost response whose write was not applied, which would void the tests of F7."""
        self.fleet.start_platform()
        url = "http://" + self.fleet.platform_address("table")
        self.fleet.fault("table", loseAnswers=1)
        put = {"id": "t", "puts": [{"key": "a", "value": "1"}]}
        with self.assertRaises(BROKEN):
            http_call("POST", url + "/txn", put)
        rows = http_call("POST", url + "/read", {"keys": ["a"]}).json()["rows"]
        self.assertEqual([{"key": "a", "value": "1", "version": 1}], rows)

    def test_outage_and_rate_limit_run_nothing(self):
        """Guards against a rejected write that took effect."""
        self.fleet.start_platform(writes_per_s=2)
        url = "http://" + self.fleet.platform_address("table") + "/txn"
        put = {"puts": [{"key": "a", "value": "1"}]}
        statuses = [http_call("POST", url, put).status for _ in range(20)]
        self.assertIn(429, statuses)
        self.fleet.fault("table", outageMs=60000)
        self.assertEqual(503, http_call("POST", url, put).status)
        self.assertEqual(statuses.count(200), self.fleet.stats("table")["commits"])

    def test_changed_and_corrupted_weights(self):
        """Guards against tests of F3 and F4 whose origin sends the true bytes."""
        self.fleet.start_platform(blobs=["m/v1:1000:7"])
        url = "http://" + self.fleet.platform_address("objects") + "/weights/m/v1"
        first = check_ok(http_call("GET", url, headers={"Range": "bytes=10-19"}))
        self.assertEqual((206, 10), (first.status, len(first.body)))
        whole = http_call("GET", url)
        self.assertEqual(whole.body[10:20], first.body)
        self.fleet.fault("objects", corruptPercent=100)
        self.assertNotEqual(whole.body, http_call("GET", url).body)
        self.fleet.fault("objects", corruptPercent=0, changeVersion={"blob": "m/v1", "seed": 8})
        changed = http_call("GET", url)
        self.assertNotEqual(whole.body, changed.body)
        self.assertNotEqual(whole.headers["ETag"], changed.headers["ETag"])

    def test_silence_of_open_connections(self):
        """Guards against tests of F11 in which a silent connection recovers or is reset."""
        self.fleet.start_platform(blobs=["m/v1:3000000:7"])
        proxy = self.fleet.proxy_platform()
        url = f"http://{self.fleet.platform['objects']}/weights/m/v1"
        proxy.fault(rate=100000)
        errors = []

        def read_whole():
            try:
                http_call("GET", url, timeout=2)
            except BROKEN as error:
                errors.append(error)

        reader = threading.Thread(target=read_whole)
        reader.start()
        wait_until(lambda: any(link["bytesToClient"] > 0 for link in proxy.stats()))
        proxy.fault(silence="open", rate=0)
        proxy.fault(silence="none")
        self.assertEqual(3000000, len(http_call("GET", url).body))
        reader.join()
        self.assertIsInstance(errors[0], TimeoutError)

    def test_silence_of_one_direction(self):
        """Guards against a one-way link that stops the request as well as its answer, or neither."""
        self.fleet.start_platform()
        proxy = self.fleet.proxy_platform()
        url = f"http://{self.fleet.platform['table']}"

        def rows():
            direct = "http://" + self.fleet.platform_address("table")
            return http_call("POST", direct + "/read", {"keys": ["toClient", "toTarget"]}).json()["rows"]

        for direction in ("toClient", "toTarget"):
            proxy.fault(silence=direction)
            with self.assertRaises(TimeoutError):
                put = {"id": direction, "puts": [{"key": direction, "value": "1"}]}
                http_call("POST", url + "/txn", put, timeout=0.5)
            self.assertEqual(["toClient"], [row["key"] for row in rows()])
        proxy.fault(silence="none")
        self.assertEqual(200, http_call("POST", url + "/read", {"keys": ["a"]}).status)


if __name__ == "__main__":
    unittest.main()
