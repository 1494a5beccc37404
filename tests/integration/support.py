"""Base of the integration tests: real processes on loopback, one fleet for each test."""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import threading
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

import localfleet  # noqa: E402
from deployment import CHUNK_BYTES, Deployment, Load, resource  # noqa: E402, F401
from localfleet import OPERATOR_KEY, check_ok, http_call, wait_until  # noqa: E402, F401

BIN = os.environ.get("BP_BIN", str(ROOT / "build/bin"))


def expected_tokens(fleet, digest, prompt, count):
    """Returns the answer of a stand-in engine that has exactly the weights with this SHA-256 loaded."""
    command = [fleet.program("bp-load"), "token", digest, prompt]
    return [subprocess.run([*command, str(i)], check=True, capture_output=True, text=True).stdout.strip()
            for i in range(count)]


class ChainedLoad:
    """Runs bp-load repeatedly, each time with the next seed, until stop(), which returns the summed counts."""

    ROUND_SECONDS = 2
    COUNTS = ("answered", "refused", "failed", "unreachable", "lost", "cut", "doubled", "mixed", "wrong", "sent",
              "dropped", "answeredInTime")

    def __init__(self, fleet, model, entries, **options):
        self._fleet = fleet
        self._model = model
        self._entries = entries
        self._options = {"rate": 15, "deadline_ms": 20000, "retries": 3, "min_tokens": 4, "max_tokens": 60, **options}
        self._stop = threading.Event()
        self.rounds = []
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self):
        seed = 1
        while not self._stop.is_set():
            load = Load(self._fleet, self._model, self._entries, f"load-{seed}", seed=seed,
                        seconds=self.ROUND_SECONDS, **self._options)
            self.rounds.append(load.result())
            seed += 1

    def stop(self):
        self._stop.set()
        self._thread.join()
        return {name: sum(one[name] for one in self.rounds) for name in self.COUNTS}


class IntegrationTest(unittest.TestCase):
    def setUp(self):
        self._logs = tempfile.TemporaryDirectory(prefix="bp-test-")
        self.fleet = localfleet.Fleet(BIN, self._logs.name)
        self._loads = []

    def tearDown(self):
        for load in self._loads:
            load.stop()
        unexpected = self.fleet.unexpected_exits()
        self.fleet.close()
        if self._has_failed() or unexpected:
            self._print_logs()
        self._logs.cleanup()
        self.assertEqual(unexpected, [], "processes ended unexpectedly")

    def _has_failed(self):
        if hasattr(self._outcome, "errors"):  # Up to Python 3.10.
            return any(error for _, error in self._outcome.errors if error)
        result = self._outcome.result
        return any(test is self for test, _ in result.failures + result.errors)

    def _print_logs(self):
        for path in sorted(pathlib.Path(self._logs.name).glob("*.log")):
            lines = path.read_text(errors="replace").splitlines()[-15:]
            if lines:
                print(f"--- {path.name}", *lines, sep="\n", file=sys.stderr)

    def deploy(self, zones, blobs=(), rate=0, **options):
        self.fleet.start_platform(blobs=blobs, rate=rate)
        deployment = Deployment(self.fleet, zones, **options)
        self.fleet.wait_live()
        return deployment

    def start_load(self, deployment, versions, entries=None, **options):
        """Starts load on the entries; every token must come from one of these versions of the model."""
        expected = [f"{version}={self.fleet.digests(f'{deployment.model}/{version}', CHUNK_BYTES)['sha256']}"
                    for version in versions]
        load = ChainedLoad(self.fleet, deployment.model, entries or self.fleet.entries(), expect=expected, **options)
        self._loads.append(load)
        return load

    def check_load(self, counts, refused_percent=0):
        """Asserts no lost, cut, duplicated, mixed or wrong answers, and at most this share refused."""
        for outcome in ("mixed", "wrong", "doubled", "cut", "lost", "failed", "dropped"):
            self.assertEqual(counts[outcome], 0, counts)
        self.assertGreater(counts["answered"], 0, counts)
        self.assertLessEqual(counts["refused"] + counts["unreachable"], counts["sent"] * refused_percent / 100, counts)

    def check_answers(self, model, digest, prompt="hoop spec", count=20):
        """Asserts that every entry answers with the tokens of exactly the weights with this SHA-256."""
        expected = expected_tokens(self.fleet, digest, prompt, count)
        for entry in self.fleet.entries():
            response, events = self.fleet.generate(entry, model, prompt, count)
            self.assertEqual(response.status, 200, response)
            self.assertEqual(self.tokens(events), expected, entry.name)
            self.assertEqual(events[-1]["event"], "done")

    def origin_bytes(self):
        return self.fleet.stats("objects")["bytesSent"]

    def revisions(self):
        return [node.dump()["fleet"]["revision"] for node in self.fleet.nodes if node.process.alive()]

    def wait_same_revision(self, at_least=1, timeout=30):
        """Waits until every process has the same configuration; returns its revision."""

        def same():
            revisions = self.revisions()
            return revisions[0] if len(set(revisions)) == 1 and revisions[0] >= at_least else None

        return wait_until(same, timeout, "all processes have the same revision", 0.1)

    @staticmethod
    def metric(nodes, name):
        """Returns the sum of one metric over all running processes."""
        return sum(node.metrics().get(name, 0) for node in nodes if node.process.alive())

    @staticmethod
    def tokens(events):
        return [str(json.loads(event["data"])["token"]) for event in events if event["event"] == "message"]

    def wait_service(self, service, path="warm-up"):
        """Waits until every entry routes calls to a service."""
        for i, entry in enumerate(self.fleet.entries()):
            key = f"warm-up-{i}"
            wait_until(lambda e=entry, k=key: self.call_service(e, service, path, b"", key=k).status == 200,
                                  60, f"{entry.name} routes to {service}", 0.1)

    def call_service(self, entry, service, path, body, key=None, method="POST", headers=None):
        headers = {"X-Workspace": "shop-1", **(headers or {})}
        if key:
            headers["Idempotency-Key"] = key
        return http_call(method, entry.url(f"/v1/services/{service}/{path}"), body, headers)
