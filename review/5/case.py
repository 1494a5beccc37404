"""The part of a prompt that crashes workers is the 13th: the routers never find it, and workers crash one after the other."""

import http.client
import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import standin  # noqa: E402
from crashing import CrashingWorker, config  # noqa: E402

WINDOW_S = standin.BOUNDS["stability_window_ms"] / 1000
SHARED_PARTS = int(os.environ.get("SHARED_PARTS", "12"))  # parts that all requests share, before the deadly or sound one
TRAFFIC_S = 40
CONSUMERS = 8
DEADLY_GAP_S = 3.0


def main(record, store, fleet):
    crashes, arrivals, answers = [], [], []
    lock = threading.Lock()

    def serve(worker, handler, body):
        attempt = handler.headers.get("X-Attempt-Id")
        if ",dead:" in handler.headers.get("X-Prompt-Prefix", ""):
            with lock:
                arrivals.append((time.monotonic(), attempt))
                record.add(f"request {attempt} with the deadly part reaches worker {worker.id}")
                crashes.append(time.monotonic())
            worker.start_stream(handler)
            worker.crash()
            return
        try:
            worker.start_stream(handler)
            for number in range(int(handler.headers.get("Last-Event-Id") or 0) + 1, 9):
                worker.send_event(handler, number, "token")
                time.sleep(0.03)
            worker.end_stream(handler)
        except OSError:
            pass

    for n in range(6):
        CrashingWorker(record, store, f"i-{n}", "drafter", serve=serve).register()
    store.set("op", "config", config())
    routers = [fleet.router(f"edge-{n + 1}") for n in range(2)]
    for router in routers:
        fleet.wait_ready(router)
    time.sleep(6)  # The routers learn of each other, and are in touch from here on.
    shared = ",".join(f"5a{number:x}:20" for number in range(SHARED_PARTS))

    def ask(attempt, part, router):
        try:
            connection = http.client.HTTPConnection(router.callers, timeout=10)
            connection.request("POST", "/x/1", attempt.encode(), {
                "Host": "a.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "6000", "X-Model-Id": "m0",
                "X-Token-Usage": "400,100", "X-Prompt-Prefix": f"{shared},{part}:100,{abs(hash(attempt)):x}:60"})
            response = connection.getresponse()
            response.read()
            return response.status
        except (OSError, http.client.HTTPException) as error:
            return type(error).__name__

    stop = threading.Event()

    def consumer(number):
        count = 0
        while not stop.is_set():
            count += 1
            answers.append(ask(f"sound-{number}-{count}", f"b0{number}", routers[number % 2]))
            time.sleep(0.75)

    record.add(f"prompts have {SHARED_PARTS + 2} parts, the deadly one is number {SHARED_PARTS + 1}")
    for number in range(CONSUMERS):
        threading.Thread(target=consumer, args=(number,), daemon=True).start()
    start = time.monotonic()
    count = 0
    while time.monotonic() < start + TRAFFIC_S:
        time.sleep(DEADLY_GAP_S)
        attempt = f"deadly-{count}"
        status = ask(attempt, "dead" if standin.TROUBLE else "beef", routers[count % 2])
        record.add(f"request {attempt}: consumer got {status}")
        count += 1
    stop.set()
    record.add(f"{count} requests with the deadly part, {len(crashes)} crashes; sound requests: " +
               ", ".join(f"{status}: {answers.count(status)}" for status in sorted(set(answers), key=str)))
    if len(answers) < 50 or (standin.TROUBLE and not crashes):
        return None
    late = [attempt for at, attempt in arrivals if len(crashes) >= 5 and at > sorted(crashes)[4] + WINDOW_S]
    record.add(f"arrivals at workers later than {WINDOW_S} s after the fifth crash: {len(late)}")
    return f"BUDGET: {len(late)} requests with the deadly part reached workers" if len(late) > 3 else ""


standin.run(pathlib.Path(__file__).resolve().parent, main)
