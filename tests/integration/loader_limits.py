"""Callers that keep to no limit, against the two servers of bp-loader: the chunk service and the metrics port.

Each test checks what does not depend on the speed of the machine: the process lives, its peak memory and its open
descriptors stay under a bound, and one ordinary request is answered afterwards."""

import gzip
import http.client
import json
import os
import threading
import time
import unittest

from crowd_support import ORDINARY_S, Caller, peak_memory
from platform_support import Handler, PlatformCase, Server, free_port

# Memory of the smallest VM that is in service. Together the callers send twice that memory.
MEMORY_BYTES = 112_000_000
CALLERS = 10
ENDLESS_BYTES = 24 << 20
BLOCK = 64 << 10
IDLE_CALLERS = 400
# The chunk service has two threads for each of its 48 connections, and as many connections may wait; 64 for the rest.
MAX_DESCRIPTORS = 4 * 48 + 64
SETTINGS = """
[limits]
memory = 112
request_time = 1000
"""
CHUNKED = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


class EngineHandler(Handler):
    """Answers the reports that a loader asks for; without one it opens no chunk service."""

    def do_GET(self):
        self.answer(json.dumps({"born": 5, "active": 0, "queued": 0}).encode())


class LoaderLimits(PlatformCase):
    def start_loader(self):
        engine = Server(("127.0.0.1", 0), EngineHandler)
        threading.Thread(target=engine.serve_forever, daemon=True).start()
        self.store.rows["boragepitch-weights"] = {
            "setup/s": {"model": "m", "origin": f"127.0.0.1:{free_port()}", "originZone": "z"}}
        self.ports = {"weights": free_port(), "metrics": free_port()}
        return self.start("bp-loader", f"""
[node]
id = a1
zone = z
region = r
[listen]
weights = 127.0.0.1:{self.ports["weights"]}
metrics = 127.0.0.1:{self.ports["metrics"]}
[engine]
address = 127.0.0.1:{engine.server_address[1]}
service = s
[store]
address = {self.store.address}
[zones]
z = r
{SETTINGS}""")

    def wait_ordinary(self, port):
        """Sends an ordinary request until it is answered; no port has this path."""
        deadline = time.monotonic() + ORDINARY_S
        last = None
        while time.monotonic() < deadline:
            try:
                last = self.get(self.ports[port], "/no/such/path")[0]
                if last == 404:
                    return
            except (OSError, http.client.HTTPException) as error:
                last = error
            time.sleep(0.1)
        self.fail(f"no ordinary request was answered: {last}")

    def play(self, beginning, block=b"", callers=CALLERS, total=ENDLESS_BYTES, answered=False):
        """Has callers send this together to each server in turn, and checks the process during and after it."""
        loader = self.start_loader()
        for port in self.ports:
            self.wait_ordinary(port)
            crowd = [Caller(f"127.0.0.1:{self.ports[port]}", beginning, block, total, 0, answered)
                     for _ in range(callers)]
            for caller in crowd:
                caller.start()
            for caller in crowd:
                caller.join()
            self.assertIsNone(loader.poll(), "the loader ended by itself")
            descriptors = len(os.listdir(f"/proc/{loader.pid}/fd"))
            for caller in crowd:
                caller.leave()
            self.wait_ordinary(port)
            self.assertIsNone(loader.poll(), "the loader ended by itself")
            peak = peak_memory(loader.pid)
            print(f"{self.id()}, {port}: peak {peak / 1e6:.0f} MB, {descriptors} descriptors")
            self.assertLess(peak, MEMORY_BYTES)
            self.assertLess(descriptors, MAX_DESCRIPTORS)

    def test_request_line_without_end(self):
        """Guards against an unfinished request line that is kept until the process has no memory."""
        self.play(b"GET /", b"x" * BLOCK)

    def test_header_line_without_end(self):
        """Guards against an unfinished header line that is kept until the process has no memory."""
        self.play(b"GET /x HTTP/1.1\r\nHost: a\r\nX: ", b"x" * BLOCK)

    def test_headers_without_end(self):
        """Guards against header lines without end."""
        self.play(b"GET /x HTTP/1.1\r\nHost: a\r\n", b"X: x\r\n" * (BLOCK // 6))

    def test_chunk_size_without_end(self):
        """Guards against leading zeros of a chunk size that are kept until the process has no memory."""
        self.play(CHUNKED, b"0" * BLOCK)

    def test_chunk_extension_without_end(self):
        """Guards against an unfinished chunk extension that is kept until the process has no memory."""
        self.play(CHUNKED + b"1;e=", b"e" * BLOCK)

    def test_trailers_without_end(self):
        """Guards against trailer lines that are kept until the process has no memory."""
        self.play(CHUNKED + b"1\r\na\r\n0\r\n", b"T: t\r\n" * (BLOCK // 6))

    def test_trailer_line_without_end(self):
        """Guards against an unfinished trailer line that is kept until the process has no memory."""
        self.play(CHUNKED + b"1\r\na\r\n0\r\nT: ", b"t" * BLOCK)

    def test_chunked_body_without_end(self):
        """Guards against chunked bodies that are bounded by no limit as a whole."""
        self.play(CHUNKED, b"%x\r\n%s\r\n" % (BLOCK, b"b" * BLOCK))

    def test_compressed_body_that_expands(self):
        """Guards against a body within the limit that takes a thousand times its size once it is decompressed."""
        body = gzip.compress(bytes(256 << 20))
        head = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.play(head, body, callers=2, total=1, answered=True)

    def test_connections_without_a_request(self):
        """Guards against connections that wait for a thread in any number and use up the descriptors."""
        self.play(b"", callers=IDLE_CALLERS, total=0)


if __name__ == "__main__":
    unittest.main()
