"""A loader is suspended for 3.4 s between its check of the staged pieces and its order to load them; a piece that
turns bad meanwhile is loaded, and tokens are made with it."""

import http.client
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import standin  # noqa: E402

FREEZE_S = 3.4
EXCUSED_S = 3.0
WORKERS = 4
MODEL = "m0"


def config(origin):
    return {"version": 1, "route_list": [
        {"name": "r", "host": "a.example", "path_prefix": "/x/", "route_type": "streaming", "timeout_ms": 6000,
         "target_latency_ms": 400, "target_gap_ms": 300, "priority": 1, "max_attempts": 2, "backend": "drafter",
         "public": True, "session_affinity": True, "stream_resume": True, "allowed_regions": []}],
        "backends": [
            {"name": "drafter", "health_check": "/healthz", "max_connections": 424, "warmup_s": 0.0, "warmup_per_s": 0.0,
             "runtime": {"slots": 16, "kv_capacity": 685000, "kv_token_bytes": 327680, "steps_per_pass": 6,
                         "model_list": [{"name": MODEL, "pace": 1.0, "load_time_s": 4.0, "warm_time_s": 0.3}],
                         "size_mb": 297000.0, "step_ms": 7.4, "per_seq_ms": 0.0387, "context_per_k": 0.0203,
                         "read_per_s": 31900.0, "pairs_per_m": 0.733, "chunk": 2048, "report_lag_ms": 200.0,
                         "usual": {"prompt": 973, "answer": 106}, "layers": 16, "layer_mb": 4540.0,
                         "chunk_count": standin.PIECES, "block_bytes": standin.PIECE_BYTES}},
            {"name": "ledger", "upstream": origin, "zone": "z1", "bandwidth_mbps": 9.9, "max_connections": 48}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000}}


def serve(worker, handler, body):
    """A stream of 20 events in 1.4 s."""
    attempt = handler.headers.get("X-Attempt-Id")
    first = int(handler.headers.get("Last-Event-Id") or 0) + 1
    try:
        worker.start_stream(handler)
        for number in range(first, 21):
            if worker.version and worker.spoilt_layers and not worker.told:
                worker.told = True
                worker.record.add(f"worker {worker.id}: makes tokens of request {attempt} with version {worker.version}, "
                                  f"loaded from bad pieces {[n for n, _ in worker.spoilt_layers]}")
            worker.send_event(handler, number, "token")
            time.sleep(0.07)
        worker.end_stream(handler)
    except OSError:
        pass


def main(record, store, fleet):
    origin = standin.Origin(MODEL)
    workers = [standin.Worker(record, store, f"i-{n}", "drafter", model=MODEL, serve=serve) for n in range(WORKERS)]
    for worker in workers:
        worker.told = False
        worker.register()
    store.set("op", "config", config(origin.address))
    router = fleet.router()
    for n, worker in enumerate(workers):
        fleet.loader(f"side-{n}", worker)
    fleet.wait_ready(router)
    time.sleep(4)

    stop = threading.Event()
    answered = []

    def consumer(number):
        count = 0
        while not stop.is_set():
            count += 1
            attempt = f"{number:04x}{count:012x}"
            try:
                connection = http.client.HTTPConnection(router.callers, timeout=10)
                connection.request("POST", "/x/1", b"{}", {
                    "Host": "a.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "6000", "X-Model-Id": MODEL,
                    "X-Token-Usage": "300,100", "X-Prompt-Prefix": f"a{number:x}:260,b{count:x}{number:x}:40"})
                response = connection.getresponse()
                response.read()
                answered.append(response.status)
                if response.status != 200:
                    time.sleep(0.3)
            except (OSError, http.client.HTTPException):
                time.sleep(0.3)

    for number in range(36):
        threading.Thread(target=consumer, args=(number,), daemon=True).start()
    time.sleep(2)
    record.add(f"running at the workers: {[worker.active for worker in workers]}")

    frozen = []
    lock = threading.Lock()

    def on_put(worker, number):
        """The last staged piece has been written: the machine stands still, and one piece turns bad."""
        if number != standin.PIECES - 1:
            return
        with lock:
            if frozen or worker.active <= 4 or not standin.TROUBLE:
                return
            frozen.append(worker)

        def freeze():
            time.sleep(0.05)
            worker.loader.send_signal(signal.SIGSTOP)
            record.add(f"{worker.loader.name} stands still, {worker.active} streams run at worker {worker.id}")
            worker.rot(5)
            time.sleep(FREEZE_S)
            worker.loader.send_signal(signal.SIGCONT)
            record.add(f"{worker.loader.name} goes on")
        threading.Thread(target=freeze, daemon=True).start()

    for worker in workers:
        worker.on_put = on_put
    store.set("op", f"version/{MODEL}", {"model_id": MODEL, "version": 2})
    record.add("version 2 is declared")
    until = time.monotonic() + 40
    while time.monotonic() < until and any(worker.version != 2 for worker in workers):
        time.sleep(0.1)
    time.sleep(4)
    stop.set()
    record.add(f"versions of the workers: {[worker.version for worker in workers]}")
    record.add("answers: " + ", ".join(f"{status}: {answered.count(status)}" for status in sorted(set(answered))))
    if any(worker.version != 2 for worker in workers) or (standin.TROUBLE and not frozen):
        return None
    broken = [worker.id for worker in workers
              if worker.told and any(age is None or age > EXCUSED_S for _, age in worker.spoilt_layers)]
    return f"WHOLE: worker {broken[0]} made tokens with a piece that had been bad for over 3 s when it took it" if broken else ""


standin.run(pathlib.Path(__file__).resolve().parent, main)
