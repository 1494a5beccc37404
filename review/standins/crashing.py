"""Workers that die as they begin the answer to a request with a deadly part, and are back after some seconds."""

import time

import standin

DOWN_S = 2.5


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
    def __init__(self, *arguments, **options):
        self.down, self.open = False, set()
        super().__init__(*arguments, **options)

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
