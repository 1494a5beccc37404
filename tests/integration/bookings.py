"""Calls of plain services that must run at most once, under crashes, lost answers and store outages."""

import concurrent.futures
import http.client
import unittest

from support import IntegrationTest, http_call, wait_until

KEY_COUNT = 40
MAX_ATTEMPTS = 8


class Bookings(IntegrationTest):
    def start(self, agents=3, **entry_limits):
        deployment = self.deploy(["atl", "sav", "mcn"], services={"orders-app": agents})
        deployment.declare()
        self.wait_service("orders-app")
        return deployment

    def counts(self, deployment):
        return self.fleet.stats(deployment.service_addresses["orders-app"][0])["counts"]

    def book(self, number):
        """Sends one booking and retries it at the next entry until the status is 200, MAX_ATTEMPTS times at most.
        Returns the number, the last status and the last report of whether the call ran."""
        entries = self.fleet.entries()
        last = ("unreachable", None)
        for attempt in range(MAX_ATTEMPTS):
            entry = entries[(number + attempt) % len(entries)]
            try:
                response = self.call_service(entry, "orders-app", "book", b"seat %d" % number, key=f"seat-{number}")
            except (OSError, http.client.HTTPException):
                last = ("lost", None)
                continue
            last = (response.status, response.headers.get("X-Ran"))
            if response.status == 200:
                break
        return number, last

    def book_all(self, pool):
        return [pool.submit(self.book, number) for number in range(KEY_COUNT)]

    def check_executions(self, deployment, results):
        """Asserts that each key ran at most once, ran if its last answer was 200, and did not run if its last answer
        said so. Returns the number of keys answered with 200."""
        counts = self.counts(deployment)
        for number, (status, ran) in results:
            ran_times = counts.get(f"seat-{number}", 0)
            self.assertLessEqual(ran_times, 1, (number, status, ran))
            if status == 200:
                self.assertEqual(ran_times, 1, (number, status, ran))
            if ran == "no":
                self.assertEqual(ran_times, 0, (number, status, ran))
        return sum(status == 200 for _, (status, _) in results)

    def test_entry_killed_during_bookings(self):
        """Guards against a booking that runs twice when its entry dies and the caller repeats it at another (P6, F1),
        twice in a row (F12)."""
        deployment = self.start()
        for address in deployment.service_addresses["orders-app"]:
            self.fleet.fault(address, delayMs=300)
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            futures = self.book_all(pool)
            for round_number in (1, 2):
                wait_until(lambda done=round_number * 8: sum(f.done() for f in futures) >= done, 60, "some are booked")
                victim = self.fleet.entries()[0]
                victim.process.kill()
                victim.start()
                wait_until(victim.ready, 60, "the entry is back")
            results = [future.result() for future in futures]
        booked = self.check_executions(deployment, results)
        self.assertGreater(booked, KEY_COUNT // 2, results)

    def test_agent_killed_during_bookings(self):
        """Guards against a booking that the system itself retries at another agent after the first one died
        (P5, P6, F1)."""
        deployment = self.start()
        for address in deployment.service_addresses["orders-app"]:
            self.fleet.fault(address, delayMs=300)
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            futures = self.book_all(pool)
            wait_until(lambda: sum(f.done() for f in futures) >= 8, 60, "some are booked")
            victim = self.fleet.agents()[0]
            victim.process.kill()
            victim.start()
            results = [future.result() for future in futures]
        self.check_executions(deployment, results)

    def test_lost_answers_of_service_and_table(self):
        """Guards against a booking that runs twice, or is reported as not run although it ran, when the service or the
        table loses answers after the effect (P5, P6, F7)."""
        deployment = self.start()
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            for address in deployment.service_addresses["orders-app"]:
                self.fleet.fault(address, loseAnswers=3)
            self.fleet.fault("table", loseAnswers=10)
            results = [future.result() for future in self.book_all(pool)]
        booked = self.check_executions(deployment, results)
        self.assertGreaterEqual(booked, KEY_COUNT - 9, results)
        unknown = [result for result in results if result[1][0] != 200]
        for _, (status, ran) in unknown:
            self.assertIn((status, ran), [(409, "unknown"), (504, "unknown")], unknown)

    def test_repeats_through_other_entries_get_the_first_answer(self):
        """Guards against a second execution when callers send the same idempotency key to all entries at once (P6)."""
        deployment = self.start()
        entries = self.fleet.entries()

        def repeat(number):
            key = f"cart-{number // 6}"
            return key, self.call_service(entries[number % 3], "orders-app", "pay", key.encode(), key=key)

        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            responses = list(pool.map(repeat, range(60)))
        for key, response in responses:
            self.assertIn(response.status, (200, 409), (key, response))
        answers = {(key, response.body) for key, response in responses if response.status == 200}
        self.assertEqual(len(answers), 10, answers)
        counts = self.counts(deployment)
        self.assertEqual({counts[f"cart-{i}"] for i in range(10)}, {1})

    def test_store_outage_refuses_bookings_and_serves_repeatable_calls(self):
        """Guards against a booking that runs without a claim while the store is down (P6, F6), and against failures of
        repeatable calls during the outage."""
        deployment = self.start()
        self.fleet.fault("table", outageMs=600_000)
        for i, entry in enumerate(self.fleet.entries()):
            response = self.call_service(entry, "orders-app", "book", b"x", key=f"down-{i}")
            self.assertEqual((response.status, response.headers["X-Ran"]), (503, "no"), response)
            self.assertIn("Retry-After", response.headers)
            response = self.call_service(entry, "orders-app", "status", None, method="GET")
            self.assertEqual(response.status, 200, response)
        self.assertFalse([key for key in self.counts(deployment) if key.startswith("down-")])
        self.fleet.fault("table", outageMs=0)
        for i, entry in enumerate(self.fleet.entries()):
            wait_until(lambda e=entry, k=f"down-{i}": self.call_service(e, "orders-app", "book", b"x", key=k).status
                       == 200, 30, "bookings are accepted again", 0.2)
            outcome = http_call("GET", entry.url(f"/v1/outcomes/shop-1/down-{i}"), headers={"X-Workspace": "shop-1"})
            self.assertEqual(outcome.json()["state"], "done", outcome)
        self.assertEqual([self.counts(deployment)[f"down-{i}"] for i in range(3)], [1, 1, 1])


if __name__ == "__main__":
    unittest.main()
