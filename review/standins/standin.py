"""Small stand-ins for the users' platform on loopback: store, workers, origin of weights, clients.

They speak what the users' page PROTOCOL says, and no more than the scripts beside this folder need. Each process of
the system is started with the command of deploy/system.toml and settings filled in from its template.
"""

import base64
import hashlib
import http.client
import http.server
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READY = "/boragepitch/readyz"
BOUNDS = {"stability_window_ms": 3000, "drain_timeout_ms": 2000, "grace_period_s": 8, "config_apply_ms": 2000,
          "retry_budget_ratio": 0.2, "retry_window_s": 10, "budget_slack": 102, "warmup_overshoot": 1.5,
          "warmup_tolerance": 5, "version_ms": 8000}
_used_ports = set()


def free_port(host="127.0.0.1"):
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            port = probe.getsockname()[1]
        if port not in _used_ports:
            _used_ports.add(port)
            return port


class Record:
    """What was sent, answered and run, in the order of time; written to record.txt at the end."""

    def __init__(self, path):
        self.path = path
        self.start = time.monotonic()
        self.lines = []
        self.lock = threading.Lock()

    def add(self, text):
        with self.lock:
            self.lines.append(f"{time.monotonic() - self.start:9.3f} {text}")

    def write(self):
        with self.lock:
            self.path.write_text("\n".join(self.lines) + "\n")


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignores connections that stopped processes close in the middle of an answer."""


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *arguments):
        pass

    def answer(self, status, body=b"", headers=()):
        if isinstance(body, (dict, list)):
            body = json.dumps(body).encode()
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, str(value))
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def body(self):
        if self.headers.get("Transfer-Encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = int(self.rfile.readline().split(b";")[0], 16)
                parts.append(self.rfile.read(size))
                self.rfile.readline()
                if size == 0:
                    return b"".join(parts)
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def query(self):
        return {key: values[-1] for key, values in
                urllib.parse.parse_qs(urllib.parse.urlparse(self.path).query, keep_blank_values=True).items()}


class Store:
    """The platform's metadata store: rows with one counter of versions, transactions, and a feed of changes."""

    def __init__(self):
        self.rows = {}
        self.history = []
        self.version = 1
        self.changed = threading.Condition()
        self.start = time.monotonic()
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                query = self.query()
                if "rows-feed" in self.path:
                    self.answer(200, store.feed(query))
                elif "rows-get" in self.path:
                    self.answer(200, store.get(query))
                else:
                    self.answer(404)

            def do_POST(self):
                status, answer = store.transact(json.loads(self.body()))
                self.answer(status, answer)

        self.server = Server(("127.0.0.1", 0), StoreHandler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def _now(self):
        return int((time.monotonic() - self.start) * 1000) + 50000

    def _row(self, table, key, version, data):
        row = {"table_name": table, "part": "", "key": key, "row_version": version}
        if data is None:
            row["deleted"] = True
        else:
            row["data"] = data
        return row

    def _put(self, table, key, data):
        self.rows.setdefault(table, {})
        if data is None:
            self.rows[table].pop(key, None)
        else:
            self.rows[table][key] = (self.version, data)
        self.history.append((self.version, table, key, data))

    def set(self, table, key, value):
        """Writes a row as the operator or a worker does; None removes it. Returns when it is acknowledged."""
        with self.changed:
            self.version += 1
            data = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
            self._put(table, key, data)
            self.changed.notify_all()
        return time.monotonic()

    def get(self, query):
        with self.changed:
            rows = sorted(self.rows.get(query["table_name"], {}).items())
            rows = [self._row(query["table_name"], key, version, data) for key, (version, data) in rows
                    if key >= query.get("source", "") and ("target" not in query or key < query["target"])]
            limit = min(500, int(query.get("max_items", 500)))
            return {"rows": rows[:limit], "has_more": len(rows) > limit, "row_version": self.version,
                    "current_time_ms": self._now()}

    def feed(self, query):
        since, table = int(query["start_revision"]), query["table_name"]
        deadline = time.monotonic() + int(query["wait_time_ms"]) / 1000
        with self.changed:
            while True:
                rows = [self._row(t, key, version, data) for version, t, key, data in self.history
                        if version > since and t == table]
                left = deadline - time.monotonic()
                if rows or left <= 0:
                    return {"rows": rows, "row_version": self.version, "current_time_ms": self._now()}
                self.changed.wait(left)

    def transact(self, call):
        with self.changed:
            for row in call.get("expected_revision", []):
                held = self.rows.get(row["table_name"], {}).get(row["key"])
                if (held[0] if held else 0) != row["row_version"]:
                    return 412, {"rows": [], "row_version": self.version, "current_time_ms": self._now()}
            self.version += 1
            for row in call.get("write", []):
                self._put(row["table_name"], row["key"], row["data"])
            for row in call.get("remove", []):
                self._put(row["table_name"], row["key"], None)
            self.changed.notify_all()
            return 200, {"row_version": self.version, "current_time_ms": self._now()}


PIECES, PIECE_BYTES = 64, 32768


def piece(version, number):
    seed = hashlib.sha256(f"weights {version} {number}".encode()).digest()
    return (seed * (PIECE_BYTES // len(seed)))


class Origin:
    """The service that names and hands out the pieces of a model's weights."""

    def __init__(self, model):
        class OriginHandler(Handler):
            def do_GET(self):
                query = self.query()
                version = int(query.get("version", 1))
                if "/manifest/" in self.path:
                    hashes = [hashlib.sha256(piece(version, n)).hexdigest() for n in range(PIECES)]
                    self.answer(200, {"model_id": model, "version": version, "block_bytes": PIECE_BYTES, "layers": 16,
                                      "hashes": hashes}, [("Content-Type", "application/json")])
                else:
                    self.answer(200, piece(version, int(query["num"])))

        self.server = Server(("127.0.0.1", 0), OriginHandler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()


class Worker:
    """A model worker or a plain worker with an entry in the store.

    Its behaviour towards requests is set by `serve`, a function (worker, handler, body) that answers.
    """

    def __init__(self, record, store, worker_id, service, zone="z1", slots=16, model=None, serve=None, host="127.0.0.1",
                 port=None):
        self.record, self.store, self.id, self.service, self.zone = record, store, worker_id, service, zone
        self.slots, self.model, self.serve_request = slots, model, serve
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.version = 1 if model else 0
        self.busy = False
        self.active = 0
        self.state = "healthy"
        self.lock = threading.Lock()
        self.staged = {n: [piece(1, n), None] for n in range(PIECES)} if model else {}
        self.spoilt_layers = []
        self.on_put = self.on_order = None
        self.load_s = 0.3
        worker = self

        class WorkerHandler(Handler):
            def do_GET(self):
                if self.path == "/boragepitch/report":
                    self.answer(200, worker.report(), [("Content-Type", "application/json")])
                elif self.path.startswith("/boragepitch/stage-get/"):
                    worker.stage_get(self)
                else:
                    worker.handle(self, b"")

            def do_PUT(self):
                worker.stage_put(self, self.body())

            def do_POST(self):
                body = self.body()
                if self.path == "/boragepitch/order":
                    status, answer = worker.order(json.loads(body))
                    self.answer(status, answer)
                else:
                    worker.handle(self, body)

        self.server = Server((host, port or free_port(host)), WorkerHandler)
        self.address = "%s:%d" % (host, self.server.server_address[1])
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def _weights(self):
        models = [{"name": self.model, "version": self.version, "lora_list": []}] if self.version else []
        layers = [{"source": 0, "target": 16, "version": self.version}] if self.version else []
        return {"model_list": models, "layers": layers} if self.model else {}

    def report(self):
        with self.lock:
            return {"phase": "mixed", "busy": self.busy, "sequence": self.sequence, "queued": 0, "active": self.active,
                    "kv_usage": 0, "kv_size": 90000, "kv_handles": 0, "pace": 1, "born": self.born, **self._weights()}

    def register(self):
        self.store.set("servers", self.id, {
            "backend": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "warmup_left_ms": 0, "phase": "mixed", "sequence": self.sequence, "born": self.born,
            **self._weights()})

    def stage_get(self, handler):
        number = handler.query().get("num")
        with self.lock:
            held = self.staged.get(int(number)) if number is not None else None
        handler.answer(200 if held else 404, held[0] if held else b"")

    def stage_put(self, handler, body):
        number = int(handler.query()["num"])
        with self.lock:
            self.staged[number] = [body, None]
        if self.on_put:
            self.on_put(self, number)
        handler.answer(200)

    def rot(self, number):
        """Spoils a staged piece, as storage may."""
        with self.lock:
            old = self.staged[number][0]
            self.staged[number] = [bytes([old[0] ^ 0xff]) + old[1:], time.monotonic()]
        self.record.add(f"worker {self.id}: staged piece {number} turns bad")

    def order(self, order):
        """Loads the staged pieces as they are now."""
        with self.lock:
            if order.get("expected_revision", self.sequence) != self.sequence or self.busy:
                return 409, {}
            version = order["version"]
            if self.version == version:
                return 200, {}
            self.sequence += 1
            self.busy = True
            self.version = 0
            now = time.monotonic()
            bad = [(n, held[1]) for n, held in sorted(self.staged.items()) if held[0] != piece(version, n)]
            missing = [n for n in range(PIECES) if n not in self.staged]
        self.spoilt_layers = [(n, now - at if at else None) for n, at in bad] + [(n, None) for n in missing]
        text = ", ".join(f"piece {n} bad for {age:.2f} s" if age else f"piece {n} missing or of another version"
                         for n, age in self.spoilt_layers)
        self.record.add(f"worker {self.id}: order accepted, version {version}; takes {text or 'all pieces sound'}")

        def finish():
            time.sleep(self.load_s)
            with self.lock:
                self.busy = False
                self.version = version
            self.register()
        threading.Thread(target=finish, daemon=True).start()
        return 202, {}

    def handle(self, handler, body):
        expected = handler.headers.get("X-Expected-Instance")
        if expected and expected != self.id:
            handler.answer(421, b"", [("X-Instance-Id", self.id)])
            return
        wanted = handler.headers.get("X-Expected-Version")
        if wanted and self.model and int(wanted) != self.version:
            handler.answer(421, b"", [("X-Instance-Id", self.id)])
            return
        with self.lock:
            self.active += 1
        try:
            self.serve_request(self, handler, body)
        finally:
            with self.lock:
                self.active -= 1

    def start_stream(self, handler):
        handler.send_response_only(200)
        for name, value in (("X-Attempt-Id", handler.headers.get("X-Attempt-Id", "")), ("X-Upstream-Signature", "s." + self.id),
                            ("Content-Type", "text/event-stream"), ("X-Weight-Versions", str(self.version)),
                            ("Transfer-Encoding", "chunked")):
            handler.send_header(name, value)
        handler.end_headers()
        handler.wfile.flush()

    def send_event(self, handler, number, text):
        data = f"id: {number}\ndata: {text}\n\n".encode()
        handler.wfile.write(b"%x\r\n" % len(data) + data + b"\r\n")
        handler.wfile.flush()

    def end_stream(self, handler):
        handler.wfile.write(b"0\r\n\r\n")
        handler.wfile.flush()

    def reset(self, handler):
        """Ends the channel as a process that dies does."""
        handler.close_connection = True
        try:
            handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            handler.connection.shutdown(socket.SHUT_RDWR)
            os.close(handler.connection.detach())
        except OSError:
            pass


def render(text, fields):
    """Fills in a template of settings, as the page DEPLOY says (the forms that deploy/*.ini use)."""
    def value(name, inner, key):
        if name == ".":
            return inner
        if name == "@":
            return key
        held = fields
        for step in name.split("."):
            held = held[int(step)] if isinstance(held, list) else held.get(step, "")
        return held

    def section(match):
        held = value(match.group(1), None, None)
        parts = held.items() if isinstance(held, dict) else enumerate(held)
        return "".join(re.sub(r"\{\{([.@])\}\}", lambda m: str(value(m.group(1), inner, key)), match.group(2))
                       for key, inner in parts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value(m.group(1), None, None)), text)


def read_roles(text):
    """The roles of the deploy file, with the values that are plain text."""
    roles = {}
    for section in re.split(r"^\[", text, flags=re.M)[1:]:
        name = re.match(r"roles\.(\w+)\]", section)
        if name:
            roles[name.group(1)] = dict(re.findall(r'^(\w+) = "([^"]*)"', section, flags=re.M))
    return roles


class Fleet:
    """The system's own processes, as the deploy file starts them."""

    def __init__(self, record, store, zones=None):
        self.record, self.store = record, store
        self.zones = zones or {"z1": "r1"}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = []
        self.roles = read_roles((ROOT / "deploy/system.toml").read_text())
        if not all((ROOT / role["run"].split()[0]).exists() for role in self.roles.values()):
            raise RuntimeError("target/bin has no programs: run the build line of deploy/system.toml")

    def _start(self, role, name, fields):
        path = self.folder / (name + ".ini")
        path.write_text(render((ROOT / self.roles[role]["template"]).read_text(), fields))
        log = open(self.folder / (name + ".log"), "ab")
        process = subprocess.Popen(self.roles[role]["run"].split(), cwd=ROOT, stdout=log, stderr=log,
                                   env={"PATH": os.environ["PATH"], "BORAGEPITCH_BOOT": str(path)})
        process.name, process.log_path, process.started_at = name, self.folder / (name + ".log"), time.monotonic()
        self.processes.append(process)
        self.record.add(f"{name} started")
        return process

    def _fields(self, name, zone):
        return {"node_name": name, "zone": zone, "region": self.zones[zone], "ip": "127.0.0.1",
                "internal_port_range": [free_port(), free_port()], "zones": self.zones, "bounds": BOUNDS,
                "platform": {"address": self.store.address}, "limits": {"bandwidth_mbps": 1000.0}}

    def router(self, name="edge-1", zone="z1", fields=None):
        fields = fields or {**self._fields(name, zone), "listen": {"frontend": "127.0.0.1:%d" % free_port(),
                                                                   "readiness": "127.0.0.1:%d" % free_port()}}
        process = self._start("router", name, fields)
        process.fields = fields
        process.callers = fields["listen"]["frontend"]
        process.readiness = fields["listen"]["readiness"]
        return process

    def restart_router(self, process):
        return self.router(process.name, fields=process.fields)

    def loader(self, name, worker, zone="z1"):
        fields = {**self._fields(name, zone), "app": worker.address, "backend": worker.service,
                  "limits": {"bandwidth_mbps": 7.6}}
        process = self._start("loader", name, fields)
        worker.loader = process
        return process

    def wait_ready(self, router, timeout=15):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            try:
                connection = http.client.HTTPConnection(router.readiness, timeout=1)
                connection.request("GET", READY)
                if connection.getresponse().status == 200:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError(f"{router.name} isn't ready")

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(folder, main):
    """Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run."""
    def give_up(number, frame):
        raise RuntimeError(f"signal {number}")

    signal.signal(signal.SIGTERM, give_up)
    record = Record(pathlib.Path(folder) / "record.txt")
    record.add("trouble is played" if TROUBLE else "no trouble")
    store, fleet, code = Store(), None, 2
    try:
        fleet = Fleet(record, store)
        broken = main(record, store, fleet)
        if broken is None:
            record.add("the case couldn't run")
        else:
            code = 1 if broken else 0
            record.add(f"BROKEN: {broken}" if broken else "the rule held")
    except Exception as error:  # pylint: disable=broad-except
        record.add(f"the case couldn't run: {error!r}")
    finally:
        if fleet:
            fleet.stop()
        record.write()
    print(record.lines[-1])
    sys.stdout.flush()
    os._exit(code)
