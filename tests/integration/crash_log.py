"""Crashes of programs and what they leave in the log."""

import contextlib
import os
import signal
import subprocess
import unittest

from platform_support import PlatformCase


class CrashLog(PlatformCase):
    def test_crash_leaves_a_line(self):
        """Guards against a router that crashes without a trace in its log."""
        for number in (signal.SIGSEGV, signal.SIGABRT):
            with self.subTest(number=number):
                router = self.start_router(output=subprocess.PIPE)
                self.wait_status(self.readiness, "/boragepitch/readyz", 200)
                router.send_signal(number)
                output = router.communicate(timeout=10)[0].decode()
                self.assertEqual(router.returncode, -number)
                crashes = [line for line in output.splitlines() if "event=crashed" in line]
                self.assertEqual(len(crashes), 1, output)
                self.assertRegex(crashes[0], rf"^t=\d+ node=e1 event=crashed signal={number} fault=0x[0-9a-f]+ stack=0x")

    def test_crash_beside_a_reader_that_does_not_read(self):
        """Guards against a program that hangs in its handler of a crash, as its log's pipe is full."""
        router = self.start_router(output=subprocess.PIPE)
        self.wait_status(self.readiness, "/boragepitch/readyz", 200)
        writer = os.open(f"/proc/{router.pid}/fd/1", os.O_WRONLY | os.O_NONBLOCK)
        with contextlib.suppress(BlockingIOError):
            while os.write(writer, b"x" * 512):
                pass
        os.close(writer)
        router.send_signal(signal.SIGSEGV)
        self.assertEqual(router.wait(timeout=10), -signal.SIGSEGV)
        router.stdout.close()


if __name__ == "__main__":
    unittest.main()
