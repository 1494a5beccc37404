"""Endpoints answer before they have read long bodies, while bp-router holds requests of other callers."""

import collections
import http.client
import random
import signal
import socket
import struct
import threading
import time
import unittest

from platform_support import Handler, PlatformCase, Server

ROUTES = {"idempotent": "/x/", "mutating": "/y/", "streaming": "/z/"}
DEPLOYMENT = {
    "version": 1,
    "route_list": [{"name": kind, "host": "a.example", "path_prefix": prefix, "route_type": kind, "timeout_ms": 6000,
                    "target_latency_ms": 2000, "target_gap_ms": 300, "max_attempts": 2, "backend": "s",
                    "stream_resume": kind == "streaming"} for kind, prefix in ROUTES.items()],
    "backends": [{"name": "s"}],
    "limits": {"max_body_bytes": 4 << 20},
}
BODY_BYTES = [10, 100_000, 150_000, 300_000, 600_000, 1_500_000, 4_000_000]


class EarlyEndpoint:
    """Answers requests with a long body before it has read it, and reads it afterwards; others after a while."""

    def __init__(self):
        class EndpointHandler(Handler):
            def do_POST(self):
                length = int(self.headers["Content-Length"])
                if length < 100_000:
                    self.rfile.read(length)
                    time.sleep(random.uniform(0, 0.3))
                else:
                    time.sleep(random.choice([0, 0.001, 0.01]))
                attempt = ("X-Attempt-Id", self.headers["X-Attempt-Id"])
                try:
                    way = random.randrange(8) if length >= 100_000 else 7
                    if way == 0:  # Rejected.
                        self.answer(b"full", [attempt, ("X-Not-Executed", "1")], 503)
                    elif way == 1:  # Cut.
                        self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nearly")
                        self.close_connection = True
                        return
                    elif way == 2:  # No answer.
                        self.close_connection = True
                        return
                    elif self.path.startswith("/z/"):
                        self.stream(attempt, first=int(self.headers["Last-Event-Id"] or 0) + 1)
                    else:
                        self.answer(b"early", [attempt, ("X-Upstream-Signature", "s")])
                    if length >= 100_000:
                        time.sleep(random.choice([0, 0.001, 0.05]))
                        self.rfile.read(length)
                except OSError:
                    self.close_connection = True

            def stream(self, attempt, first):
                self.send_response(200)
                for name, value in (attempt, ("X-Upstream-Signature", "s"), ("Content-Type", "text/event-stream"),
                                    ("Transfer-Encoding", "chunked")):
                    self.send_header(name, value)
                self.end_headers()
                for number in range(first, 4):
                    event = b"id: %d\ndata: token\n\n" % number
                    self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                self.wfile.write(b"0\r\n\r\n")

        server = Server(("127.0.0.1", 0), EndpointHandler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.address = "127.0.0.1:%d" % server.server_address[1]


class ResettingEndpoint:
    """Answers without a length before it has read the body, sends a part and resets the connection."""

    PART = b"p" * 1000

    def __init__(self):
        self.answered = 0
        endpoint = self

        class EndpointHandler(Handler):
            def do_POST(self):
                head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Upstream-Signature: s\r\n" % (
                    self.headers["X-Attempt-Id"].encode())
                part = endpoint.PART
                if self.path.startswith("/z/"):
                    head += b"Content-Type: text/event-stream\r\n"
                    part = b"id: 1\ndata: token\n\n"
                self.wfile.write(head + b"\r\n" + part)
                endpoint.answered += 1
                if endpoint.answered % 2:  # Otherwise the unread bytes reset it.
                    self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                self.close_connection = True

        class EndpointServer(Server):
            def shutdown_request(self, request):
                request.close()  # The base class would end the output in order before.

        server = EndpointServer(("127.0.0.1", 0), EndpointHandler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.address = "127.0.0.1:%d" % server.server_address[1]


class Caller(threading.Thread):
    """Sends requests of all kinds and sizes on kept connections until told to end."""

    def __init__(self, number, port):
        super().__init__(daemon=True)
        self.number, self.port = number, port
        self.random = random.Random(number)
        self.outcomes = collections.Counter()
        self.lost = []
        self.ending = False

    def run(self):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=20)
        count = 0
        while not self.ending:
            count += 1
            kind = self.random.choice(list(ROUTES))
            size = self.random.choice(BODY_BYTES)
            attempt = f"{self.number:x}-{count}"
            try:
                connection.request("POST", ROUTES[kind] + "a", b"b" * size, {
                    "Host": "a.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "6000"})
                response = connection.getresponse()
                body = response.read()
                self.outcomes[response.status] += 1
                if response.status == 200 and kind != "streaming" and body != b"early":
                    self.lost.append(f"{attempt}: {len(body)} bytes of {kind}")
            except (http.client.HTTPException, OSError) as error:
                self.outcomes[type(error).__name__] += 1
                self.lost.append(f"{attempt}: {kind} with {size} bytes: {error!r}")
                connection.close()
                time.sleep(0.05)


class EarlyAnswers(PlatformCase):
    def start_fleet(self, endpoints):
        self.store.rows["op"]["config"] = DEPLOYMENT
        for number, endpoint in enumerate(endpoints):
            self.store.rows["servers"][f"i-{number}"] = {
                "backend": "s", "address": endpoint.address, "zone": "z", "slots": 40, "state": "healthy",
                "warmup_left_ms": 0, "born": 5 + number}
        router = self.start_router()
        self.wait_status(self.readiness, "/boragepitch/readyz", 200)
        return router

    def test_long_bodies_answered_early(self):
        """Guards against a crash of the router, which loses every request that it holds (LOST)."""
        router = self.start_fleet([EarlyEndpoint() for _ in range(3)])
        callers = [Caller(number, self.callers) for number in range(12)]
        for caller in callers:
            caller.start()
        for _ in range(8):
            time.sleep(1)
            if router.poll() is not None:
                break
            router.send_signal(signal.SIGHUP)
        exit_code = router.poll()
        for caller in callers:
            caller.ending = True
        for caller in callers:
            caller.join(30)
        outcomes = sum((caller.outcomes for caller in callers), collections.Counter())
        print(dict(outcomes))
        self.assertIsNone(exit_code, "the router ended by itself")
        lost = [line for caller in callers for line in caller.lost]
        self.assertEqual(lost, [], "\n" + "\n".join(lost[:20]))
        self.assertGreater(outcomes[200], 100)

    def test_parts_before_a_reset(self):
        """Guards against a part of an answer that callers get as a whole one (MIXED)."""
        endpoint = ResettingEndpoint()
        self.start_fleet([endpoint])
        complete = collections.Counter()
        for kind, prefix in ROUTES.items():
            for number in range(12):
                # Bodies differ, as one that seems to crash endpoints is not sent again.
                body = b"%d" % number + b"b" * 3_000_000
                connection = http.client.HTTPConnection("127.0.0.1", self.callers, timeout=20)
                try:
                    connection.request("POST", prefix + "a", body, {
                        "Host": "a.example", "X-Attempt-Id": f"{kind}-{number}", "X-Deadline-Ms": "6000"})
                    response = connection.getresponse()
                    response.read()
                    complete[kind] += response.status == 200
                except (http.client.HTTPException, OSError):
                    pass  # The answer does not look complete.
                finally:
                    connection.close()
        print(dict(complete), endpoint.answered)
        self.assertEqual(sum(complete.values()), 0)
        self.assertGreaterEqual(endpoint.answered, 12)


if __name__ == "__main__":
    unittest.main()
