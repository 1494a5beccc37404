"""Runs bp-router and bp-loader as real processes against a fake of the platform's store."""

import pathlib
import signal
import socket
import threading
import time
import unittest

from platform_support import Handler, PlatformCase, Server, free_port


class Endpoint:
    """Gives every request the same answer and records the ids of the requests received."""

    def __init__(self, status=200, headers=()):
        self.seen = []
        endpoint = self

        class EndpointHandler(Handler):
            def do_GET(self):
                attempt = self.headers["X-Attempt-Id"]
                endpoint.seen.append(attempt)
                self.answer(b"body", [("X-Attempt-Id", attempt), ("X-Upstream-Signature", "s"), *headers], status)

        server = Server(("127.0.0.1", 0), EndpointHandler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.address = "127.0.0.1:%d" % server.server_address[1]


def start_endless_endpoint(head, block):
    """Returns the address of an endpoint that sends a response head, then the same bytes until the caller closes."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve(connection):
        try:
            connection.recv(65536)
            connection.sendall(head)
            while True:
                connection.sendall(block)
        except OSError:
            connection.close()

    def accept():
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=serve, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return "127.0.0.1:%d" % listener.getsockname()[1]


class PlatformPrograms(PlatformCase):
    def test_router_serves_from_the_stores_rows_and_ends_after_a_stop(self):
        """Guards against a broken request path, and a process that does not exit when stopped."""
        self.store.rows["servers"]["i-1"] = {
            "backend": "s", "address": Endpoint().address, "zone": "z", "slots": 4, "state": "healthy",
            "warmup_left_ms": 0, "born": 5}
        self.store.rows["servers"]["i-2"] = {"backend": 7}
        router = self.start_router()
        self.wait_status(self.readiness, "/boragepitch/readyz", 200)
        status, body = self.get(self.callers, "/x/y", {"Host": "a.example", "X-Attempt-Id": "q1"})
        self.assertEqual((status, body), (200, b"body"))
        router.send_signal(signal.SIGTERM)
        self.wait_status(self.readiness, "/boragepitch/readyz", 503)
        # Requests are served until the load balancer notices the shutdown.
        status, body = self.get(self.callers, "/x/y", {"Host": "a.example", "X-Attempt-Id": "q2"})
        self.assertEqual((status, body), (200, b"body"))
        self.assertEqual(router.wait(timeout=6), 0)

    def start_router_for(self, address):
        self.store.rows["servers"]["i-1"] = {
            "backend": "s", "address": address, "zone": "z", "slots": 4, "state": "healthy",
            "warmup_left_ms": 0, "born": 5}
        router = self.start_router()
        self.wait_status(self.readiness, "/boragepitch/readyz", 200)
        return router

    def ask(self, attempt):
        return self.get(self.callers, "/x/y", {"Host": "a.example", "X-Attempt-Id": attempt})

    def test_router_sends_nothing_more_to_an_endpoint_that_said_it_leaves(self):
        """Guards against requests to an endpoint whose answers announce its leave while the list shows it as ready."""
        endpoint = Endpoint(headers=[("Server-Leaving", "1")])
        self.start_router_for(endpoint.address)
        self.assertEqual(self.ask("q1"), (200, b"body"))
        for number in range(20):
            self.assertEqual(self.ask(f"later{number}")[0], 503)
            time.sleep(0.1)
        self.assertEqual(endpoint.seen, ["q1"])

    def test_router_leaves_an_endpoint_alone_for_its_retry_after(self):
        """Guards against requests to an endpoint before the Retry-After of its 503 has passed."""
        endpoint = Endpoint(503, [("X-Not-Executed", "1"), ("Retry-After", "1.5")])
        self.start_router_for(endpoint.address)
        start = time.monotonic()
        self.assertEqual(self.ask("q1")[0], 503)
        while time.monotonic() - start < 1.3:
            self.assertEqual(self.ask("early")[0], 503)
            time.sleep(0.1)
        self.assertEqual(endpoint.seen, ["q1"])
        time.sleep(0.4)
        self.ask("q2")
        self.assertEqual(endpoint.seen, ["q1", "q2"])

    def test_router_survives_answers_without_end(self):
        """Guards against an answer that crashes the process or blocks its request: a content length that exceeds
        memory, and an endless response head."""
        for head, block in ((b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 99999999999\r\n\r\n", b"a" * 65536),
                            (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 8192)):
            with self.subTest(head=head):
                router = self.start_router_for(start_endless_endpoint(head, block))
                start = time.monotonic()
                self.assertEqual(self.ask("q1")[0], 502)
                self.assertLess(time.monotonic() - start, 1.5)
                self.assertIsNone(router.poll())
                router.send_signal(signal.SIGTERM)
                self.assertEqual(router.wait(timeout=6), 0)

    def test_router_keeps_its_settings_when_a_reload_is_broken(self):
        """Guards against a reload that ends or changes a process because its file is broken."""
        router = self.start_router()
        self.wait_status(self.readiness, "/boragepitch/readyz", 200)
        (pathlib.Path(self.folder.name) / "bp-router.ini").write_text("[node]\nid = \n")
        router.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        self.assertEqual(self.get(self.readiness, "/boragepitch/readyz")[0], 200)

    def test_loader_ends_after_a_stop(self):
        """Guards against a loader that does not exit when stopped."""
        loader = self.start("bp-loader", f"""
[node]
id = a1
zone = z
region = r
[listen]
weights = 127.0.0.1:{free_port()}
metrics = 127.0.0.1:{free_port()}
[engine]
address = 127.0.0.1:{free_port()}
service = s
[store]
address = {self.store.address}
[zones]
z = r
""")
        time.sleep(1)
        self.assertIsNone(loader.poll())
        loader.send_signal(signal.SIGTERM)
        self.assertEqual(loader.wait(timeout=4), 0)


if __name__ == "__main__":
    unittest.main()
