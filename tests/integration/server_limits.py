"""Callers that keep to no limit, against the servers of bp-entry and bp-agent: endless lines, framing and bodies, and
requests that are sent a byte now and then.

Each test checks what does not depend on the speed of the machine: the process lives, its peak memory and its open
descriptors stay under a bound, and one ordinary request is answered afterwards."""

import gzip
import os
import time
import unittest
import zlib

from crowd_support import ORDINARY_S, Caller, peak_memory
from support import IntegrationTest, http_call

# Memory of the smallest entry VM that is in service.
MEMORY_BYTES = 112_000_000
# Together they send twice that memory.
FEW_CALLERS = 10
ENDLESS_BYTES = 24 << 20
BLOCK = 64 << 10
CONNECTIONS = 16
# More than the connection threads, which are twice the connections.
SLOW_CALLERS = 3 * CONNECTIONS
MAX_DESCRIPTORS = 200
LIMITS = {"limits": {"body_bytes": 1 << 20, "connections": CONNECTIONS, "request_time": 1000}}
# Bodies that are each within their limit, and of which the callers together send twice that memory.
LARGE_BODY_BYTES = 8 << 20
LARGE_BODY_CALLERS = 24
LARGE_BODY_LIMITS = {"limits": {**LIMITS["limits"], "body_bytes": LARGE_BODY_BYTES, "request_time": 5000, "memory": 112}}
CHUNKED = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


class ServerLimits(IntegrationTest):
    def start_node(self, port, limits):
        self.fleet.start_platform()
        if port in ("public", "control"):
            node = self.fleet.add_entry("atl", ini=limits)
        else:
            engine = self.fleet.add_engine("atl-1", "atl")
            node = self.fleet.add_agent("atl", engine, "atl-1", ini=limits)
        self.fleet.wait_live()
        return node

    def wait_ordinary(self, node, port):
        """Sends an ordinary request until it is answered; no port has this path."""
        deadline = time.monotonic() + ORDINARY_S
        last = None
        while time.monotonic() < deadline:
            try:
                last = http_call("GET", node.url("/no/such/path", port), timeout=5).status
                if last == 404:
                    return
            except OSError as error:
                last = error
            time.sleep(0.1)
        self.fail(f"no ordinary request was answered: {last}")

    def play(self, port, beginning, block, callers=FEW_CALLERS, total=ENDLESS_BYTES, pause_s=0,
             answered=False, limits=None):
        """Has callers send this together, and checks the process during and after it.
        pause_s: callers pause for so long between two blocks; an ordinary request must be answered meanwhile.
        answered: each caller waits for its answer."""
        node = self.start_node(port, limits or LIMITS)
        self.wait_ordinary(node, port)
        crowd = [Caller(node.address(port), beginning, block, total, pause_s, answered) for _ in range(callers)]
        for caller in crowd:
            caller.start()
        if pause_s:
            time.sleep(1)
            self.wait_ordinary(node, port)
        else:
            for caller in crowd:
                caller.join()
        self.assertTrue(node.process.alive(), "the process ended by itself")
        descriptors = len(os.listdir(f"/proc/{node.process.pid}/fd"))
        for caller in crowd:
            caller.leave()
        self.wait_ordinary(node, port)
        peak = peak_memory(node.process.pid)
        print(f"{self.id()}: peak {peak / 1e6:.0f} MB, {descriptors} descriptors")
        self.assertLess(peak, MEMORY_BYTES)
        self.assertLess(descriptors, MAX_DESCRIPTORS)

    def test_request_line_without_end(self):
        """Guards against an unfinished request line that is kept until the process has no memory."""
        self.play("public", b"GET /", b"x" * BLOCK)

    def test_header_line_without_end(self):
        """Guards against an unfinished header line that is kept until the process has no memory."""
        self.play("public", b"GET /x HTTP/1.1\r\nHost: a\r\nX: ", b"x" * BLOCK)

    def test_headers_without_end(self):
        """Guards against header lines without end."""
        self.play("public", b"GET /x HTTP/1.1\r\nHost: a\r\n", b"X: x\r\n" * (BLOCK // 6))

    def test_chunk_size_without_end(self):
        """Guards against leading zeros of a chunk size that are kept until the process has no memory."""
        self.play("public", CHUNKED, b"0" * BLOCK)

    def test_chunk_extension_without_end(self):
        """Guards against an unfinished chunk extension that is kept until the process has no memory."""
        self.play("public", CHUNKED + b"1;e=", b"e" * BLOCK)

    def test_trailer_line_without_end(self):
        """Guards against an unfinished trailer line that is kept until the process has no memory."""
        self.play("public", CHUNKED + b"1\r\na\r\n0\r\nT: ", b"t" * BLOCK)

    def test_chunked_body_without_end(self):
        """Guards against chunked bodies that are bounded by no limit as a whole."""
        self.play("public", CHUNKED, b"%x\r\n%s\r\n" % (BLOCK, b"b" * BLOCK))

    def test_compressed_body_that_expands(self):
        """Guards against a body within the limit that takes a thousand times its size once it is decompressed."""
        body = gzip.compress(bytes(256 << 20))
        head = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.play("public", head, body, callers=2, total=1, answered=True)

    def play_compressed(self, port):
        compressor = zlib.compressobj(wbits=31)
        body = compressor.compress(bytes(LARGE_BODY_BYTES - 1)) + compressor.flush(zlib.Z_SYNC_FLUSH)
        head = (b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n"
                % (len(body) + 1))
        self.play(port, head, body, callers=LARGE_BODY_CALLERS, total=1, answered=True, limits=LARGE_BODY_LIMITS)

    def test_compressed_bodies_that_never_end(self):
        """Guards against compressed bodies that are each within the limit and together exceed the VM's memory once they
        are decompressed."""
        self.play_compressed("public")

    def test_compressed_bodies_that_never_end_at_the_agent(self):
        """Guards against the same at the port for entries."""
        self.play_compressed("data")

    def test_chunked_body_without_end_at_the_agent(self):
        """Guards against chunked bodies that are bounded by no limit at the port for entries."""
        self.play("data", CHUNKED, b"%x\r\n%s\r\n" % (BLOCK, b"b" * BLOCK))

    def test_header_line_without_end_at_the_control_port(self):
        """Guards against unfinished header lines at the control port of bp-entry."""
        self.play("control", b"GET /livez HTTP/1.1\r\nX: ", b"x" * BLOCK)

    def test_header_line_without_end_at_the_agent(self):
        """Guards against unfinished header lines at the port for entries."""
        self.play("data", b"GET /livez HTTP/1.1\r\nX: ", b"x" * BLOCK)

    def test_header_line_without_end_at_the_chunk_service(self):
        """Guards against unfinished header lines at the port for chunks."""
        self.play("weights", b"GET /x HTTP/1.1\r\nX: ", b"x" * BLOCK)

    def test_connections_without_a_request(self):
        """Guards against connections that wait for a thread in any number and use up the descriptors."""
        self.play("public", b"", b"", callers=2 * MAX_DESCRIPTORS, total=0)

    def test_heads_sent_slowly(self):
        """Guards against callers that hold every connection thread with a byte now and then."""
        self.play("public", b"GET /x HTTP/1.1\r\nX: ", b"x", callers=SLOW_CALLERS, pause_s=0.2)

    def test_bodies_sent_slowly(self):
        """Guards against callers that hold every connection thread with a body that never ends."""
        self.play("public", b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n", b"x",
                  callers=SLOW_CALLERS, pause_s=0.2)


if __name__ == "__main__":
    unittest.main()
