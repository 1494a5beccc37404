"""A model worker in trouble: to the question for its report it sends bytes that are no answer, in the head of an answer.

Checks that bp-loader, which asks for the report, does not end by itself."""

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


def body(record, fleet, store):
    worker = Worker(record, "127.0.0.30")
    side = fleet.fields("side-1", "side", "127.0.0.30", {"fraser-a": "fraser"}, "fraser-a", 128, 2048,
                        app=worker.address, backend="drafter")
    loader = fleet.start("loader", side)
    until = time.monotonic() + 5
    while worker.reports < 3 and time.monotonic() < until:
        time.sleep(0.1)
    if worker.reports < 3 or loader.poll() is not None:
        raise kit.CannotRun("bp-loader does not ask the worker for its report: " + fleet.log_of("side-1"))
    record.write(f"bp-loader has read {worker.reports} reports")
    worker.is_in_trouble = kit.TROUBLE
    ends = 0
    until = time.monotonic() + PLAY_S
    while time.monotonic() < until:
        time.sleep(0.1)
        if loader.poll() is not None:
            ends += 1
            how = signal.Signals(-loader.returncode).name if loader.returncode < 0 else str(loader.returncode)
            record.write(f"bp-loader ended by itself: {how}")
            if ends == 3:
                break
            time.sleep(RESTART_S)
            loader = fleet.start("loader", side)
    record.write(f"bp-loader ended by itself {ends} times; the worker answered {worker.reports} reports")
    return ends == 0


if __name__ == "__main__":
    kit.play(HERE, body)
