"""Base of the integration tests: real processes on loopback, one fleet for each test."""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

import localfleet  # noqa: E402
from deployment import Deployment  # noqa: E402

BIN = os.environ.get("BP_BIN", str(ROOT / "build/bin"))


def expected_tokens(fleet, digest, prompt, count):
    """What the stand-in engine must answer when exactly the weights with this SHA-256 are loaded."""
    command = [fleet.program("bp-load"), "token", digest, prompt]
    return [subprocess.run([*command, str(i)], check=True, capture_output=True, text=True).stdout.strip()
            for i in range(count)]


class IntegrationTest(unittest.TestCase):
    def setUp(self):
        self._logs = tempfile.TemporaryDirectory(prefix="bp-test-")
        self.fleet = localfleet.Fleet(BIN, self._logs.name)

    def tearDown(self):
        unexpected = self.fleet.unexpected_exits()
        self.fleet.close()
        failed = any(error for _, error in getattr(self._outcome, "errors", []) if error)
        if failed or unexpected:
            self._print_logs()
        self._logs.cleanup()
        self.assertEqual(unexpected, [], "processes ended unasked")

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

    @staticmethod
    def tokens(events):
        return [str(json.loads(event["data"])["token"]) for event in events if event["event"] == "message"]

    def wait_service(self, service, path="warm-up"):
        """Waits until every entry routes calls to a service."""
        for i, entry in enumerate(self.fleet.entries()):
            key = f"warm-up-{i}"
            localfleet.wait_until(lambda e=entry, k=key: self.call_service(e, service, path, b"", key=k).status == 200,
                                  60, f"{entry.name} routes to {service}", 0.1)

    def call_service(self, entry, service, path, body, key=None, method="POST", headers=None):
        headers = {"X-Workspace": "shop-1", **(headers or {})}
        if key:
            headers["Idempotency-Key"] = key
        return localfleet.http_call(method, entry.url(f"/v1/services/{service}/{path}"), body, headers)
