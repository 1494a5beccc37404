"""A part of a prompt crashes each worker that begins an answer on it. All routers are killed at the same time, twice: each
time they forget the part, and further workers are crashed."""

import http.client
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import standin  # noqa: E402

WINDOW_S = standin.BOUNDS["stability_window_ms"] / 1000
DOWN_S = 2.5
POISON_AT = [5, 11, 17, 23, 29, 35]  # seconds from the start of traffic
KILL_AT = [13, 25]
END_S = 42


def config():
    return {"version": 1, "route_list": [
        {"name": "r", "host": "a.example", "path_prefix": "/x/", "route_type": "streaming", "timeout_ms": 6000,
         "target_latency_ms": 400, "target_gap_ms": 300, "priority": 1, "max_attempts": 2, "backend": "drafter",
         "public": True, "session_affinity": True, "stream_resume": True, "allowed_regions": []}],
        "backends": [{"name": "drafter", "health_check": "/healthz", "max_connections": 424, "warmup_s": 0.0,
                      "warmup_per_s": 0.0}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000}}


class CrashingWorker(standin.Worker):
    """Dies as it begins the answer to a request with the deadly part, and is back after DOWN_S, without its entry's change
    before that."""

    def crash(self):
        self.down = True
        self.record.add(f"worker {self.id}: crashes")
        for connection in list(self.open):
            self.reset(connection)
        time.sleep(DOWN_S)
        self.born = int(time.time() * 1000)
        self.down = False
        self.register()
        self.record.add(f"worker {self.id}: is back")

    def handle(self, handler, body):
        if self.down:
            self.reset(handler)
            return
        self.open.add(handler)
        try:
            super().handle(handler, body)
        finally:
            self.open.discard(handler)


def main(record, store, fleet):
    crashes, arrivals = [], []
    routers = []
    started = {}

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

    workers = []
    for n in range(5):
        worker = CrashingWorker(record, store, f"i-{n}", "drafter", serve=serve)
        worker.down, worker.open = False, set()
        worker.register()
        workers.append(worker)
    store.set("op", "config", config())
    for n in range(2):
        routers.append(fleet.router(f"edge-{n + 1}"))
    for router in routers:
        fleet.wait_ready(router)
        started[router.name] = time.monotonic()
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
            started[router.name] = time.monotonic()
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
        starts = [moment for moment in restarts(record, fleet, name) if moment <= at]
        if at > crashes[4] + WINDOW_S and at > max(starts) + WINDOW_S:
            counted.append(attempt)
    record.add(f"reached workers, sent by routers in touch later than {WINDOW_S} s after the fifth crash: {counted}")
    return f"BUDGET: {len(counted)} requests with the deadly part" if len(counted) > 3 else ""


def restarts(record, fleet, name):
    return [process.started_at for process in fleet.processes if process.name == name]


standin.run(pathlib.Path(__file__).resolve().parent, main)
