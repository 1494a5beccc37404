"""Runs bp-router and bp-loader as real processes against a store that comes back from an older copy of itself."""

import http.client
import itertools
import threading
import time
import unittest

from platform_support import Handler, PlatformCase, RestorableStore, Server, free_port

CONFIGURATION_S = 2.0  # A configuration is in force so long after its acknowledgement at the latest.
ROWS_S = 3.0  # The programs' own rows are there again so long after the return of the store at the latest.
AWAY_S = 0.4
LATE_S = 1.5  # The operator and the endpoints write their rows again so long after the return of the store.


def deployment(version, paths):
    return {
        "version": version,
        "route_list": [{"name": path, "host": "a.example", "path_prefix": path, "route_type": "idempotent",
                        "timeout_ms": 2000, "target_latency_ms": 200, "max_attempts": 2, "backend": "s"} for path in paths],
        "backends": [{"name": "s"},
                     {"name": "m", "runtime": {"slots": 16, "model_list": [{"name": "m0"}], "chunk_count": 4,
                                               "block_bytes": 1024}},
                     {"name": "origin", "upstream": "127.0.0.1:1", "zone": "z", "max_connections": 4}],
        "limits": {},
    }


class Endpoint:
    """Serves every request and records when each arrived."""

    def __init__(self, zone):
        self.zone, self.seen = zone, []
        endpoint = self

        class EndpointHandler(Handler):
            def do_GET(self):
                endpoint.seen.append(time.monotonic())
                self.answer(b"body", [("X-Attempt-Id", self.headers["X-Attempt-Id"]), ("X-Upstream-Signature", "s")])

        server = Server(("127.0.0.1", 0), EndpointHandler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.address = "127.0.0.1:%d" % server.server_address[1]

    def row(self, state="healthy"):
        return {"backend": "s", "address": self.address, "zone": self.zone, "slots": 16, "state": state,
                "warmup_left_ms": 0, "born": 5}

    def seen_after(self, moment):
        return [round(at - moment, 2) for at in self.seen if at > moment]


class Caller(threading.Thread):
    """Asks one entry for one path again and again, and records the status of each answer."""

    numbers = itertools.count()

    def __init__(self, entry, port, path):
        super().__init__(daemon=True)
        self.entry, self.port, self.path = entry, port, path
        self.number = next(self.numbers)
        self.answers = []  # (sent at, status)
        self.ending = False

    def run(self):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=5)
        for count in itertools.count():
            if self.ending:
                connection.close()
                return
            sent_at = time.monotonic()
            try:
                connection.request("GET", self.path + "y",
                                   headers={"Host": "a.example", "X-Attempt-Id": f"{self.number:x}-{count}"})
                response = connection.getresponse()
                response.read()
                status = response.status
            except (http.client.HTTPException, OSError):
                connection.close()
                status = 0
            self.answers.append((sent_at, status))
            time.sleep(0.04)

    def others_since(self, moment, statuses):
        return [f"{self.entry} {self.path}: {status} at {sent_at - moment:.2f} s"
                for sent_at, status in list(self.answers) if sent_at > moment and status not in statuses]


class RestoredStore(PlatformCase):
    make_store = RestorableStore

    def start_entries(self, endpoints, paths, count=3):
        self.store.set("op", "config", deployment(1, paths))
        for name, endpoint in endpoints.items():
            self.store.set("servers", name, endpoint.row())
        self.entries = {}
        ready = []
        for number in range(1, count + 1):
            self.start_router("y = r\n", node=f"e{number}", file=f"e{number}.ini")
            self.entries[f"e{number}"] = self.callers
            ready.append(self.readiness)
        for port in ready:
            self.wait_status(port, "/boragepitch/readyz", 200)

    def start_callers(self, path):
        callers = [Caller(entry, port, path) for entry, port in self.entries.items()]

        def end():
            for caller in callers:
                caller.ending = True
            for caller in callers:
                caller.join()

        for caller in callers:
            caller.start()
        self.addCleanup(end)
        return callers

    def wait_until(self, condition, deadline, text):
        while not condition():
            self.assertLess(time.monotonic(), deadline, text() if callable(text) else text)
            time.sleep(0.02)

    def wait_in_force(self, callers, statuses, acknowledged_at):
        """Waits until all entries answer with one of the statuses; returns the time."""
        def others():
            return [(caller.entry, caller.path, caller.answers[-1:]) for caller in callers
                    if not caller.answers or caller.answers[-1][1] not in statuses]

        self.wait_until(lambda: not others(), acknowledged_at + CONFIGURATION_S + 0.1,
                        lambda: f"not in force {CONFIGURATION_S} s after the acknowledgement: {others()}")
        return time.monotonic()

    def assert_no_others(self, callers, statuses, since, text):
        others = [answer for caller in callers for answer in caller.others_since(since, statuses)]
        self.assertEqual(others, [], f"{text}; times since it was in force")

    def check_routes(self, is_passed):
        """`is_passed`: the operator writes again before the entries reach the store, which then is past the versions
        that they know, with the operator's rows below them."""
        self.start_entries({"i-1": Endpoint("z")}, ["/x/", "/removed/"])
        copy = self.store.copy()
        kept, removed, added, later = [self.start_callers(path) for path in ("/x/", "/removed/", "/added/", "/later/")]
        confirmed_at = self.store.set("op", "config", deployment(7, ["/x/", "/added/"]))
        self.wait_in_force(kept + added, [200], confirmed_at)
        in_force_at = self.wait_in_force(removed, [404], confirmed_at)
        for count in range(30):
            self.store.set("status", "other", count)
        self.store.set("op", "other", {})  # Its news carry the present version to the entries.
        time.sleep(0.7)
        known_version = self.store.version
        acknowledged_at = []

        def write_again():
            self.store.set("op", "config", deployment(7, ["/x/", "/added/"]))
            acknowledged_at.append(self.store.set("op", "config", deployment(9, ["/x/", "/added/", "/later/"])))

        def write_again_and_pass():
            write_again()
            while self.store.version < known_version + 10:
                self.store.set("status", "other", 0)

        if is_passed:
            self.store.restore(copy, AWAY_S, write_again_and_pass)
        else:
            self.store.restore(copy, AWAY_S)
            time.sleep(LATE_S)
            write_again()
        self.wait_in_force(kept + added, [200], acknowledged_at[0])
        later_at = self.wait_in_force(later, [200], acknowledged_at[0])
        time.sleep(0.5)
        self.assert_no_others(kept + added, [200], in_force_at, "a route was not served")
        self.assert_no_others(removed, [404], in_force_at, "a removed route was served")
        self.assert_no_others(later, [200], later_at, "a route was not served")
        self.assertEqual(self.store.gone_answers == 0, is_passed, "the case did not come about")

    def test_configuration_is_in_force_when_versions_went_back(self):
        """Guards against entries that take the older configuration of the copy, or miss the next one."""
        self.check_routes(is_passed=False)

    def test_configuration_is_in_force_when_versions_were_passed_again(self):
        """Guards against entries that never read what was written below the version that they know (no answer 410)."""
        self.check_routes(is_passed=True)

    def test_first_restore_of_a_store_that_counts_from_zero(self):
        """Guards against entries that take the era 0 for an answer without an era, and miss the first restore."""
        self.store.era = 0
        self.check_routes(is_passed=True)

    def start_loader(self, node):
        self.start("bp-loader", f"""
[node]
id = {node}
zone = z
region = r
[listen]
weights = 127.0.0.1:{free_port()}
metrics = 127.0.0.1:{free_port()}
[engine]
address = 127.0.0.1:{free_port()}
service = m
[store]
address = {self.store.address}
[zones]
z = r
y = r
""", file=node + ".ini")

    def own_rows(self):
        return {f"{table} {key}" for table in ("boragepitch", "boragepitch-weights") for key in self.store.keys(table)}

    def test_own_rows_are_written_again(self):
        """Guards against programs, setups and declared versions that others never hear of, since their rows were written
        once only; also when the store is restored again before they have been written."""
        empty = self.store.copy()
        expected = {"boragepitch entry/e1", "boragepitch entry/e2", "boragepitch agent/a1", "boragepitch agent/a2",
                    "boragepitch-weights setup/m", "boragepitch-weights declared/m0/2"}
        self.start_entries({"i-1": Endpoint("z")}, ["/x/"], count=2)
        for node in ("a1", "a2"):
            self.start_loader(node)
        version = {"model_id": "m0", "version": 2}
        self.store.set("op", "version/m0", version)
        self.wait_until(lambda: expected <= self.own_rows(), time.monotonic() + 5,
                        lambda: f"not written: {expected - self.own_rows()}")

        def check_rows(returned_at):
            time.sleep(max(0, returned_at + LATE_S - time.monotonic()))
            self.store.set("op", "config", deployment(1, ["/x/"]))
            self.store.set("op", "version/m0", version)
            self.wait_until(lambda: expected <= self.own_rows(), returned_at + ROWS_S,
                            lambda: f"not written again {ROWS_S} s after the return: {expected - self.own_rows()}")

        check_rows(self.store.restore(empty, AWAY_S))
        time.sleep(1)
        self.store.restore(empty, AWAY_S)
        time.sleep(1 - AWAY_S)
        check_rows(self.store.restore(empty, AWAY_S))

    def wait_quiet(self, endpoints, deadline):
        """Waits until no request has reached the endpoints for 0.5 s; returns the time."""
        self.wait_until(lambda: all(time.monotonic() - endpoint.seen[-1] > 0.5 for endpoint in endpoints), deadline,
                        "requests do not cease")
        return time.monotonic()

    def test_lost_evacuation_holds(self):
        """Guards against requests to a zone whose evacuation the store has lost, until the operator writes it again."""
        evacuated, other = Endpoint("z"), Endpoint("y")
        self.start_entries({"i-1": evacuated, "i-2": other}, ["/x/"])
        copy = self.store.copy()
        self.start_callers("/x/")
        self.wait_until(lambda: evacuated.seen, time.monotonic() + 3, "the endpoint is not used")
        quiet_at = self.wait_quiet([evacuated], self.store.set("op", "evacuate/z", {}) + CONFIGURATION_S + 0.5)
        self.store.restore(copy, AWAY_S)
        time.sleep(LATE_S)
        self.store.set("op", "evacuate/z", {})
        time.sleep(1)
        self.assertEqual(evacuated.seen_after(quiet_at), [], "requests after the evacuation")
        ended_at = self.store.set("op", "evacuate/z", None)
        self.wait_until(lambda: evacuated.seen_after(ended_at), ended_at + CONFIGURATION_S + 0.5,
                        "the endpoint is not used after the end of the evacuation")
        self.assertTrue(other.seen_after(quiet_at))

    def test_endpoints_that_left_get_no_requests(self):
        """Guards against requests to endpoints that drained or were removed and that the copy lists as healthy (DRAIN)."""
        draining, removed, other = Endpoint("z"), Endpoint("z"), Endpoint("z")
        self.start_entries({"i-1": draining, "i-2": removed, "i-3": other}, ["/x/"])
        copy = self.store.copy()
        callers = self.start_callers("/x/")
        self.wait_until(lambda: draining.seen and removed.seen, time.monotonic() + 5, "the endpoints are not used")
        self.store.set("servers", "i-1", draining.row("draining"))
        left_at = self.store.set("servers", "i-2", None)
        quiet_at = self.wait_quiet([draining, removed], left_at + CONFIGURATION_S + 0.5)
        self.store.restore(copy, AWAY_S)
        time.sleep(LATE_S)
        self.store.set("servers", "i-3", other.row())
        time.sleep(LATE_S)
        for name in ("i-1", "i-2"):  # Nobody has written them: they lapse.
            self.store.set("servers", name, None)
        time.sleep(0.7)
        self.assertEqual((draining.seen_after(quiet_at), removed.seen_after(quiet_at)), ([], []),
                         "requests to the endpoint that drained, to the one that was removed")
        self.assert_no_others(callers, [200], quiet_at, "a request was not served")


if __name__ == "__main__":
    unittest.main()
