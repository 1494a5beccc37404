"""A part of a prompt crashes each worker that begins an answer on it. All routers are killed at the same time, twice: each
time they forget the part, and further workers are crashed."""

import http.client
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import standin  # noqa: E402
from crashing import CrashingWorker, config  # noqa: E402

WINDOW_S = standin.BOUNDS["stability_window_ms"] / 1000
POISON_AT = [5, 11, 17, 23, 29, 35]  # seconds from the start of traffic
KILL_AT = [13, 25]
END_S = 42


def main(record, store, fleet):
    crashes, arrivals = [], []
    routers = []

    def serve(worker, handler, body):
        attempt = handler.headers.get("X-Attempt-Id")
        if "dead:" in handler.headers.get("X-Prompt-Prefix", ""):
            arrivals.append((time.monotonic(), attempt, handler.headers.get("X-Via-Test")))
            record.add(f"request {attempt} with the deadly part reaches worker {worker.id}")
            worker.start_stream(handler)
            crashes.append(time.monotonic())
            worker.crash()
            return
        try:
            worker.start_stream(handler)
            for number in range(int(handler.headers.get("Last-Event-Id") or 0) + 1, 9):
                worker.send_event(handler, number, "token")
                time.sleep(0.05)
            worker.end_stream(handler)
        except OSError:
            pass

    for n in range(5):
        CrashingWorker(record, store, f"i-{n}", "drafter", serve=serve).register()
    store.set("op", "config", config())
    for n in range(2):
        routers.append(fleet.router(f"edge-{n + 1}"))
    for router in routers:
        fleet.wait_ready(router)
    time.sleep(6)  # The routers learn of each other.
    start = time.monotonic()
    record.add("traffic starts")
    answers = []

    def ask(attempt, parts, router):
        try:
            connection = http.client.HTTPConnection(router.callers, timeout=10)
            connection.request("POST", "/x/1", attempt.encode(), {
                "Host": "a.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "6000", "X-Model-Id": "m0",
                "X-Token-Usage": "300,100", "X-Prompt-Prefix": parts, "X-Via-Test": router.name})
            response = connection.getresponse()
            response.read()
            return response.status
        except (OSError, http.client.HTTPException) as error:
            return type(error).__name__

    stop = threading.Event()

    def consumer(number):
        """Sound requests, which share their first part with the others."""
        count = 0
        while not stop.is_set():
            count += 1
            answers.append(ask(f"sound-{number}-{count}", f"aa:40,bb{number}:200,cc{number}{count}:60",
                               routers[number % len(routers)]))
            time.sleep(0.15)

    for number in range(6):
        threading.Thread(target=consumer, args=(number,), daemon=True).start()

    def poison():
        for count, at in enumerate(POISON_AT):
            time.sleep(max(0, start + at - time.monotonic()))
            attempt = f"deadly-{count}"
            status = ask(attempt, f"aa:40,dead:200,dd{count}:60", routers[count % len(routers)])
            record.add(f"request {attempt}: consumer got {status}")

    threading.Thread(target=poison, daemon=True).start()
    for at in KILL_AT:
        time.sleep(max(0, start + at - time.monotonic()))
        if not standin.TROUBLE:
            continue
        for router in routers:
            router.kill()
        record.add("all routers are killed")
        for router in routers:
            router.wait()
        routers[:] = [fleet.restart_router(router) for router in routers]
        for router in routers:
            fleet.wait_ready(router)
        record.add("all routers are ready again")
    time.sleep(max(0, start + END_S - time.monotonic()))
    stop.set()
    record.add(f"{len(crashes)} crashes; sound requests: " +
               ", ".join(f"{status}: {answers.count(status)}" for status in sorted(set(answers), key=str)))
    if not crashes:
        return None
    if len(crashes) < 5:
        return ""
    counted = []
    for at, attempt, name in arrivals:
        starts = [moment for moment in starts_of(fleet, name) if moment <= at]
        if at > crashes[4] + WINDOW_S and at > max(starts) + WINDOW_S:
            counted.append(attempt)
    record.add(f"reached workers, sent by routers in touch later than {WINDOW_S} s after the fifth crash: {counted}")
    return f"BUDGET: {len(counted)} requests with the deadly part" if len(counted) > 3 else ""


def starts_of(fleet, name):
    return [process.started_at for process in fleet.processes if process.name == name]


standin.run(pathlib.Path(__file__).resolve().parent, main)
