"""Model workers in trouble: to the question for their report they send bytes that are no answer, in the head of an answer.

Checks how often bp-loader, which asks for the report, ends by itself beside them."""

import json
import pathlib
import signal
import socket
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit-2"))
import fleet as kit

PLAY_S = 20
RESTART_S = 0.5  # "a short delay" after which the platform starts a process again
ENDS, MACHINES = 3, 2  # Fault: "on a tenth of the machines in use (two at least) [..] three times"
LINE = 62000  # bytes of a line; the caller closes after 64 KiB at the latest
REPORT = {"phase": "mixed", "model_list": [{"name": "m0", "version": 1, "lora_list": []}], "busy": False, "sequence": 0,
          "queued": 0, "active": 0, "kv_usage": 0, "kv_size": 90000, "kv_handles": 0, "pace": 1,
          "layers": [{"source": 0, "target": 16, "version": 1}], "born": 1000000000000}


class Worker:
    """Answers GET /boragepitch/report; other calls get 404. In trouble it sends a head without end."""

    def __init__(self, record, host):
        self.record, self.is_in_trouble, self.reports = record, False, 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, kit.free_ports(host)))
        self.listener.listen(64)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            channel, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(channel,), daemon=True).start()

    def serve(self, channel):
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    piece = channel.recv(65536)
                    if not piece:
                        return
                    data += piece
                head, _, data = data.partition(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                if self.is_in_trouble:
                    self.record.write(f"worker: asked for {target}, sends bytes that are no answer until the caller closes")
                    sent = channel.send(b"HTTP/1.1 200 ")
                    while True:
                        channel.sendall(b"x" * LINE + b"\r\n")
                        sent += LINE + 2
                is_report = target.startswith("/boragepitch/report")
                body = json.dumps(REPORT).encode() if is_report else b"{}"
                self.reports += is_report
                channel.sendall(b"HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                                % (b"200 OK" if is_report else b"404 Not Found", len(body)) + body)
        except OSError:
            pass  # The caller has closed.
        finally:
            channel.close()


class Machine:
    """A side machine: a worker, and bp-loader, which is started again when it ends."""

    def __init__(self, record, fleet, number, zones):
        self.record, self.fleet, self.ends = record, fleet, 0
        host = f"127.0.0.{30 + number}"
        self.worker = Worker(record, host)
        self.side = fleet.fields(f"side-{number}", "side", host, zones, list(zones)[number], 128, 2048,
                                 app=self.worker.address, backend="drafter")
        self.loader = fleet.start("loader", self.side)
        self.start_at = None

    def look(self):
        if self.start_at is not None:
            if time.monotonic() >= self.start_at:
                self.loader, self.start_at = self.fleet.start("loader", self.side), None
        elif self.loader.poll() is not None:
            self.ends += 1
            code = self.loader.returncode
            self.record.write(f"bp-loader of {self.side['node_name']} ended by itself: "
                              + (signal.Signals(-code).name if code < 0 else str(code)))
            self.start_at = time.monotonic() + RESTART_S


def body(record, fleet, store):
    zones = {"fraser-a": "fraser", "okanagan-k": "okanagan"}
    machines = [Machine(record, fleet, number, zones) for number in range(MACHINES)]
    until = time.monotonic() + 5
    while any(machine.worker.reports < 3 for machine in machines) and time.monotonic() < until:
        time.sleep(0.1)
    for machine in machines:
        if machine.worker.reports < 3 or machine.loader.poll() is not None:
            raise kit.CannotRun("bp-loader does not ask its worker: " + fleet.log_of(machine.side["node_name"]))
        record.write(f"bp-loader of {machine.side['node_name']} has read {machine.worker.reports} reports")
    for machine in machines:
        machine.worker.is_in_trouble = kit.TROUBLE
    until = time.monotonic() + PLAY_S
    while time.monotonic() < until and any(machine.ends < ENDS for machine in machines):
        time.sleep(0.05)
        for machine in machines:
            machine.look()
    record.write("; ".join(f"bp-loader of {machine.side['node_name']} ended by itself {machine.ends} times, its worker answered "
                           f"{machine.worker.reports} reports" for machine in machines))
    return sum(machine.ends >= ENDS for machine in machines) < MACHINES


if __name__ == "__main__":
    kit.play(HERE, body)
