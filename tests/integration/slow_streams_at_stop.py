"""Stops bp-router while endpoints answer with streams that take most of the time that callers wait."""

import collections
import http.client
import random
import signal
import threading
import time
import unittest

from platform_support import Handler, PlatformCase, Server


def deployment(timeout_s):
    return {
        "version": 1,
        "route_list": [{"name": "r", "host": "a.example", "path_prefix": "/x/", "route_type": "streaming",
                        "timeout_ms": int(timeout_s * 1000), "target_latency_ms": 400, "target_gap_ms": 300,
                        "max_attempts": 2, "backend": "s", "stream_resume": True}],
        "backends": [{"name": "s"}],
        "limits": {},
    }


class SlowEndpoint:
    """Answers with streams of equal events at random intervals, and ends a stream when its time is over."""

    def __init__(self, events, interval_s):
        self.told_ms = {}  # X-Deadline-Ms by attempt
        self.ended_at = {}  # by attempt; the stream may be broken off
        endpoint = self

        class EndpointHandler(Handler):
            def do_POST(self):
                attempt = self.headers["X-Attempt-Id"]
                self.rfile.read(int(self.headers["Content-Length"]))
                told = int(self.headers["X-Deadline-Ms"])
                endpoint.told_ms[attempt] = (time.monotonic(), told)
                until = time.monotonic() + told / 1000
                first = int(self.headers["Last-Event-Id"] or 0) + 1
                self.send_response(200)
                for name, value in (("X-Attempt-Id", attempt), ("X-Upstream-Signature", "s"),
                                    ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")):
                    self.send_header(name, value)
                self.end_headers()
                try:
                    for number in range(first, events + 1):
                        time.sleep(interval_s * random.uniform(0.7, 1.3))
                        if time.monotonic() >= until:
                            self.close_connection = True
                            return
                        event = b"id: %d\ndata: token\n\n" % number
                        self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                    self.wfile.write(b"0\r\n\r\n")
                finally:
                    endpoint.ended_at[attempt] = time.monotonic()

        server = Server(("127.0.0.1", 0), EndpointHandler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.address = "127.0.0.1:%d" % server.server_address[1]


class Caller(threading.Thread):
    """Sends one request after another on a kept connection until the entry is gone."""

    def __init__(self, number, port, timeout_s):
        super().__init__(daemon=True)
        self.number, self.port, self.timeout_s = number, port, timeout_s
        self.results = []  # (attempt, sent at, ended at, outcome)
        self.ending = False

    def run(self):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=20)
        count = 0
        while not self.ending:
            count += 1
            attempt = f"{self.number:x}-{count}"
            sent_at = time.monotonic()
            try:
                # Every second body comes in chunks.
                body, chunked = (iter([b"a", b"b"]), True) if count % 2 else (b"ab", False)
                headers = {"Host": "a.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": str(int(self.timeout_s * 1000))}
                if chunked:
                    headers["Transfer-Encoding"] = "chunked"
                connection.request("POST", "/x/y", body, headers, encode_chunked=chunked)
                response = connection.getresponse()
                response.read()
                outcome = "whole" if response.status == 200 else str(response.status)
            except ConnectionRefusedError:
                return  # The entry is gone.
            except (http.client.HTTPException, OSError) as error:
                outcome = type(error).__name__
                connection.close()
            self.results.append((attempt, sent_at, time.monotonic(), outcome))
            if outcome != "whole":
                time.sleep(0.2)


class SlowStreamsAtStop(PlatformCase):
    def play(self, events, interval_s, timeout_s, grace_s, callers, signals=1):
        random.seed(events)
        endpoint = SlowEndpoint(events, interval_s)
        self.store.rows["op"]["config"] = deployment(timeout_s)
        for number in range(2):
            self.store.rows["servers"][f"i-{number}"] = {
                "backend": "s", "address": endpoint.address, "zone": "z", "slots": callers, "state": "healthy",
                "warmup_left_ms": 0, "born": 5 + number}
        router = self.start_router(f"[leave]\ngrace_period = {grace_s}\n")
        self.wait_status(self.readiness, "/boragepitch/readyz", 200)
        threads = [Caller(number, self.callers, timeout_s) for number in range(callers)]
        for thread in threads:
            thread.start()
            time.sleep(events * interval_s / callers)
        time.sleep(1.5 * events * interval_s)
        stopped_at = time.monotonic()
        for _ in range(signals):
            router.send_signal(signal.SIGTERM)
            time.sleep(0.2)
        self.assertEqual(router.wait(timeout=grace_s), 0)
        for thread in threads:
            thread.ending = True
        for thread in threads:
            thread.join()
        results = [result for thread in threads for result in thread.results]
        return endpoint, stopped_at, results

    def check(self, *parameters, **more):
        """A request that an endpoint began is answered whole, unless its caller's own time was over."""
        timeout_s, grace_s = parameters[2:4]
        endpoint, stopped_at, results = self.play(*parameters, **more)
        begun = {attempt for attempt, _, _, _ in results if attempt in endpoint.told_ms}
        late = [sent_at for attempt, sent_at, _, _ in results if attempt in begun and sent_at > stopped_at]
        lost = [f"{attempt}: {outcome}, sent {sent_at - stopped_at:.2f} s after the signal, closed after "
                f"{ended_at - sent_at:.2f} s, told {endpoint.told_ms[attempt][1]} ms"
                for attempt, sent_at, ended_at, outcome in results
                if attempt in begun and outcome != "whole" and ended_at - sent_at < timeout_s - 0.1]
        print(f"{len(begun)} begun, {len(late)} of them after the signal, {len(lost)} lost; all:",
              dict(collections.Counter(outcome for _, _, _, outcome in results)))
        self.assertEqual(lost, [], "\n" + "\n".join(lost))
        self.assertGreater(len(begun), len(late))
        refused = [attempt for attempt, _, _, outcome in results if outcome == "503" and attempt in begun]
        self.assertEqual(refused, [], "refused as not run, though they ran")
        return endpoint, stopped_at, results

    def test_streams_of_five_sixths_of_their_time(self):
        """Guards against streams that are admitted during a stop and cut at its end (LOST)."""
        self.check(50, 0.1, 6.0, 8.0, 40)

    def test_short_grace(self):
        """Guards against streams that are admitted during a stop and cut at its end (LOST)."""
        self.check(20, 0.1, 2.6, 3.0, 30, signals=3)

    def test_short_streams_are_served_during_a_stop(self):
        """Guards against requests that are refused or dropped during a stop though they end well before the process: the
        next requests on kept connections, whose last answers did not announce the close."""
        _, stopped_at, results = self.check(10, 0.05, 6.0, 8.0, 20)
        early = [outcome for _, sent_at, _, outcome in results if 0 < sent_at - stopped_at < 2.0]
        self.assertGreater(len(early), 20)
        self.assertEqual(early.count("whole"), len(early), collections.Counter(early))


if __name__ == "__main__":
    unittest.main()
