"""Streams whose endpoint writes nothing for a while and then goes on, beside refused continuations and planned work."""

import collections
import http.client
import pathlib
import random
import re
import select
import signal
import threading
import time
import unittest

from platform_support import Handler, PlatformCase, Server

EVENTS = 50
INTERVAL_S = 0.06
TIMEOUT_S = 9.0
GRACE_S = 10.0
MAX_ATTEMPTS = 2
# Silence for longer than this has a stream continued elsewhere (four times target_gap_ms).
GAP_TIMEOUT_S = 1.2
# An endpoint whose work is no longer needed must be able to stop within this time.
RELEASE_S = 0.5
RETRY_RATIO = 0.2
RETRY_SLACK = 100
DEPLOYMENT = {
    "version": 1,
    "route_list": [{"name": "r", "host": "a.example", "path_prefix": "/x/", "route_type": "streaming",
                    "timeout_ms": int(TIMEOUT_S * 1000), "target_latency_ms": 400, "target_gap_ms": 300,
                    "max_attempts": MAX_ATTEMPTS, "backend": "s", "stream_resume": True}],
    "backends": [{"name": "s"}],
    "limits": {},
}


class Run:
    """One run of a request at an endpoint."""

    def __init__(self, attempt, endpoint, first):
        self.attempt, self.endpoint, self.first = attempt, endpoint, first
        self.ended_at = None
        self.is_refused = False


class Endpoint:
    """Answers with streams of equal events. Writes nothing while it is silent, and refuses continuations as told."""

    def __init__(self, number, plan):
        self.silent_until = 0
        endpoint = self

        class EndpointHandler(Handler):
            def do_POST(self):
                attempt = self.headers["X-Attempt-Id"]
                self.rfile.read(int(self.headers["Content-Length"]))
                last = self.headers["Last-Event-Id"]
                run = Run(attempt, number, int(last or 0) + 1)
                plan.runs.append(run)
                refusal = plan.refusal() if last else None
                if refusal:
                    run.is_refused = True
                    run.ended_at = time.monotonic()
                    self.answer(b"", [("X-Attempt-Id", attempt), ("X-Upstream-Signature", "s")], refusal)
                    return
                try:
                    self.write_stream(run, attempt)
                except OSError:
                    self.close_connection = True
                finally:
                    run.ended_at = time.monotonic()

            def write_stream(self, run, attempt):
                self.send_response(200)
                for name, value in (("X-Attempt-Id", attempt), ("X-Upstream-Signature", "s"),
                                    ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")):
                    self.send_header(name, value)
                self.end_headers()
                for number in range(run.first, EVENTS + 1):
                    self.pause(time.monotonic() + INTERVAL_S)
                    self.pause(endpoint.silent_until)
                    event = b"id: %d\ndata: %d\n\n" % (number, number)
                    self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                self.wfile.write(b"0\r\n\r\n")

            def pause(self, until):
                """Waits; raises if the router closes the connection meanwhile."""
                while (left := until - time.monotonic()) > 0:
                    if select.select([self.connection], [], [], min(left, 0.02))[0]:
                        raise ConnectionError("closed")

        server = Server(("127.0.0.1", 0), EndpointHandler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.address = "127.0.0.1:%d" % server.server_address[1]


class Plan:
    def __init__(self, refused_share, statuses, seed):
        self.refused_share, self.statuses = refused_share, statuses
        self.rng = random.Random(seed)
        self.runs = []

    def refusal(self):
        return self.rng.choice(self.statuses) if self.rng.random() < self.refused_share else None


class Result:
    """What one attempt of a caller came to."""

    def __init__(self, attempt):
        self.attempt, self.sent_at = attempt, time.monotonic()
        self.ended_at, self.outcome, self.events = None, None, []


class Caller(threading.Thread):
    """Sends one request after another on a kept connection until the router is gone."""

    def __init__(self, number, port):
        super().__init__(daemon=True)
        self.number, self.port = number, port
        self.results = []
        self.ending = False

    def run(self):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=20)
        while not self.ending:
            result = Result(f"{self.number:x}-{len(self.results)}")
            body = b""
            try:
                connection.request("POST", "/x/y", b"ab", {"Host": "a.example", "X-Attempt-Id": result.attempt,
                                                           "X-Deadline-Ms": str(int(TIMEOUT_S * 1000))})
                response = connection.getresponse()
                body = response.read()
                result.outcome = str(response.status)
            except ConnectionRefusedError:
                return  # The router is gone.
            except http.client.IncompleteRead as error:
                body, result.outcome = error.partial, "cut"
                connection.close()
            except (http.client.HTTPException, OSError) as error:
                result.outcome = type(error).__name__
                connection.close()
            result.ended_at = time.monotonic()
            result.events = [int(number) for number in re.findall(rb"^data: (\d+)$", body, re.M)]
            self.results.append(result)
            if result.outcome != "200":
                time.sleep(0.2)


class SilentStreams(PlatformCase):
    def play(self, silent, silence_s, refused_share, statuses, signal_after_s=None, seed=1, callers=24):
        plan = Plan(refused_share, statuses, seed)
        endpoints = [Endpoint(number, plan) for number in range(4)]
        self.store.rows["op"]["config"] = DEPLOYMENT
        for number, endpoint in enumerate(endpoints):
            self.store.rows["servers"][f"i-{number}"] = {
                "backend": "s", "address": endpoint.address, "zone": "z", "slots": callers, "state": "healthy",
                "warmup_left_ms": 0, "born": 5 + number}
        self.log = pathlib.Path(self.folder.name) / "router.log"
        with open(self.log, "wb") as output:
            router = self.start_router(f"[leave]\ngrace_period = {GRACE_S}\n"
                                       f"[retries]\nratio = {RETRY_RATIO}\nslack = {RETRY_SLACK}\n", output)
        self.wait_status(self.readiness, "/boragepitch/readyz", 200)
        crowd = [Caller(number, self.callers) for number in range(callers)]
        for caller in crowd:
            caller.start()
            time.sleep(EVENTS * INTERVAL_S / callers)
        for endpoint in endpoints[:silent]:
            endpoint.silent_until = time.monotonic() + silence_s
        if signal_after_s is not None:
            time.sleep(signal_after_s)
            router.send_signal(signal.SIGTERM)
            self.assertEqual(router.wait(timeout=GRACE_S), 0)
        else:
            time.sleep(silence_s + 1)
        for caller in crowd:
            caller.ending = True
        for caller in crowd:
            caller.join()
        time.sleep(RELEASE_S)
        self.check([result for caller in crowd for result in caller.results], plan)

    def check(self, results, plan):
        """A stream that an endpoint began is delivered whole and in order, unless its caller's own time was over."""
        runs = collections.defaultdict(list)
        for run in plan.runs:
            runs[run.attempt].append(run)
        begun = [result for result in results if result.attempt in runs]
        lost = [result for result in begun if result.outcome != "200" and result.ended_at - result.sent_at < TIMEOUT_S - 0.1]
        repeats = sum(len(more) - 1 for more in runs.values())
        continued = sum(1 for run in plan.runs if run.first > 1)
        refused = sum(1 for run in plan.runs if run.is_refused)
        print(f"{self.id()}: {len(begun)} begun, {len(lost)} lost; {repeats} repeats, {continued} of them continue a "
              f"stream, {refused} refused")
        self.assertGreater(continued, 0, "no endpoint was silent for long enough")
        if lost:
            self.print_log(lost)
        self.assertEqual([f"{result.attempt}: {result.outcome} after {len(result.events)} events and "
                          f"{result.ended_at - result.sent_at:.2f} s" for result in lost], [])
        for result in begun:
            expected = list(range(1, len(result.events) + 1))
            self.assertEqual(result.events, expected, f"{result.attempt}: events are missing, repeated or out of order")
            if result.outcome == "200":
                self.assertEqual(len(expected), EVENTS, f"{result.attempt} ended as complete before its last event")
            self.assertLessEqual(len(runs[result.attempt]), MAX_ATTEMPTS, f"{result.attempt} ran too often")
            for run in runs[result.attempt]:
                self.assertIsNotNone(run.ended_at, f"{result.attempt} still runs at endpoint {run.endpoint}")
                self.assertLess(run.ended_at - result.ended_at, RELEASE_S,
                                f"{result.attempt} went on at endpoint {run.endpoint} after its answer")
        self.assertLessEqual(repeats, RETRY_RATIO * len(begun) + RETRY_SLACK)

    def print_log(self, lost):
        names = {f"id={result.attempt}" for result in lost}
        for line in self.log.read_text().splitlines():
            if names & set(line.split()):
                print(line)

    def test_half_of_the_continuations_are_refused_during_a_stop(self):
        """Guards against streams that are taken from a silent endpoint before another one delivers, and cut when that one
        refuses (LOST)."""
        self.play(2, 2.0, 0.5, [500, 503, 504], 0.5)

    def test_half_of_the_continuations_are_refused(self):
        """The same without planned work: callers feel it the same."""
        self.play(2, 2.0, 0.5, [500, 503, 504], seed=2)

    def test_all_continuations_are_refused_after_a_short_silence(self):
        """Guards against a stream that is cut although its endpoint goes on just after it was taken for silent."""
        self.play(1, GAP_TIMEOUT_S + 0.3, 1, [500, 503, 504])

    def test_all_continuations_are_refused_during_a_stop(self):
        """Guards against streams that no other endpoint takes and that are cut while their own would go on (LOST)."""
        self.play(1, 3.0, 1, [500], 2.5)

    def test_silent_streams_are_continued(self):
        """Guards against a stream that waits for a silent endpoint although another one would continue it at once."""
        self.play(1, 5.0, 0, [500])


if __name__ == "__main__":
    unittest.main()
