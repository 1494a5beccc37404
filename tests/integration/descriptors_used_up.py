"""A router without a free descriptor."""

import http.client
import os
import resource
import time
import unittest

from platform_support import PlatformCase

WAIT_S = 0.5


def processor_seconds(process):
    fields = open(f"/proc/{process.pid}/stat").read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class DescriptorsUsedUp(PlatformCase):
    def test_accept_that_fails_is_not_repeated_at_once(self):
        """Guards against a router that takes all processor time from the requests which it holds, as it tries to accept again
        and again."""
        router = self.start_router()
        self.wait_status(self.readiness, "/boragepitch/readyz", 200)
        soft, hard = resource.prlimit(router.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(router.pid, resource.RLIMIT_NOFILE, (4, hard))
        waiting = http.client.HTTPConnection("127.0.0.1", self.callers, timeout=5)
        waiting.connect()
        before = processor_seconds(router)
        time.sleep(WAIT_S)
        used = processor_seconds(router) - before
        resource.prlimit(router.pid, resource.RLIMIT_NOFILE, (soft, hard))
        self.assertLess(used, WAIT_S / 5)
        waiting.request("GET", "/x/a", headers={"Host": "a.example", "X-Attempt-Id": "1"})
        self.assertEqual(waiting.getresponse().status, 503)  # No endpoint is listed.
        waiting.close()


if __name__ == "__main__":
    unittest.main()
