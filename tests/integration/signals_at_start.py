"""Signals that come before a program has read its settings."""

import os
import pathlib
import signal
import subprocess
import time
import unittest

from platform_support import BIN, PlatformCase, free_port


class SignalsAtStart(PlatformCase):
    def start_before_its_settings(self):
        """Starts a router that waits for its settings."""
        self.callers, self.readiness = free_port(), free_port()
        self.path = pathlib.Path(self.folder.name) / "router.ini"
        os.mkfifo(self.path)
        router = subprocess.Popen([BIN / "bp-router"], stdout=subprocess.DEVNULL,
                                  env={**os.environ, "BORAGEPITCH_BOOT": str(self.path)})
        self.addCleanup(router.wait)
        self.addCleanup(router.kill)
        time.sleep(0.5)
        return router

    def write_settings(self, router):
        self.assertIsNone(router.poll(), "the router has ended")
        self.path.write_text(f"""
[node]
id = e1
zone = z
region = r
[listen]
callers = 127.0.0.1:{self.callers}
readiness = 127.0.0.1:{self.readiness}
peers = 127.0.0.1:{free_port()}
metrics = 127.0.0.1:{free_port()}
[store]
address = {self.store.address}
[zones]
z = r
""")

    def test_reload_before_the_settings_are_read(self):
        """Guards against a router that SIGHUP ends as it starts."""
        router = self.start_before_its_settings()
        router.send_signal(signal.SIGHUP)
        time.sleep(0.1)
        self.write_settings(router)
        self.wait_status(self.readiness, "/boragepitch/readyz", 200)

    def test_stop_before_the_settings_are_read(self):
        """Guards against a router that does not end in order as it is stopped while it starts."""
        router = self.start_before_its_settings()
        router.send_signal(signal.SIGTERM)
        time.sleep(0.1)
        self.write_settings(router)
        self.assertEqual(router.wait(timeout=20), 0)


if __name__ == "__main__":
    unittest.main()
