"""Callers of a service that must run each call at most once. They keep their connections open."""

import collections
import http.client
import threading

MAX_ATTEMPTS = 8
PAUSE_SECONDS = 0.05
TIMEOUT_SECONDS = 20


class BookingCaller(threading.Thread):
    """Books one key after the other until stop(). Repeats a booking at the next entry until the status is 200."""

    def __init__(self, name, addresses, service):
        super().__init__(name=name)
        self._addresses = addresses
        self._service = service
        self._connections = {}
        self._ended = threading.Event()
        self.results = {}  # By key: last status and last report of whether the call ran.
        self.statuses = collections.Counter()

    def stop(self):
        self._ended.set()
        self.join()

    def run(self):
        number = 0
        while not self._ended.is_set():
            key = f"{self.name}-{number}"
            self.results[key] = self._book(key, number)
            number += 1
            self._ended.wait(PAUSE_SECONDS)
        for connection in self._connections.values():
            connection.close()

    def _book(self, key, number):
        result = ("unreachable", None)
        for attempt in range(MAX_ATTEMPTS):
            address = self._addresses[(number + attempt) % len(self._addresses)]
            try:
                result = self._call(address, key)
            except (OSError, http.client.HTTPException) as error:
                self._connections.pop(address).close()
                result = ("unreachable" if isinstance(error, ConnectionRefusedError) else "lost", None)
            self.statuses[result[0]] += 1
            if result[0] == 200:
                break
            self._ended.wait(PAUSE_SECONDS)
        return result

    def _call(self, address, key):
        if address not in self._connections:
            self._connections[address] = http.client.HTTPConnection(address, timeout=TIMEOUT_SECONDS)
        headers = {"X-Workspace": "shop-1", "Idempotency-Key": key}
        connection = self._connections[address]
        connection.request("POST", f"/v1/services/{self._service}/book", body=key, headers=headers)
        response = connection.getresponse()
        response.read()
        return response.status, response.headers.get("X-Ran")


def broken_promises(results, counts):
    """Compares what callers were told with how often the service ran each key."""
    broken = []
    for key, (status, ran) in results.items():
        times = counts.get(key, 0)
        if times > 1:
            broken.append(f"booking {key} ran {times} times")
        if status == 200 and times == 0:
            broken.append(f"booking {key} was answered 200 and never ran")
        if ran == "no" and times > 0:
            broken.append(f"booking {key} was reported as not run and ran")
    return broken
