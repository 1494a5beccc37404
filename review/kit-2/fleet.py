"""Stand-ins for the users' platform, and the project's programs started with the commands of the deploy file.

The store keeps rows in memory and answers as PROTOCOL.md says: reads of tables, a feed of changes that waits, and
transactions. Servers and clients are up to each case. Every address is a loopback address; each machine has its own."""

import base64
import http.server
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_S = 15
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Figures of the sheet of hoopline; a case names others where it needs them.
BOUNDS = {
    "seed_staleness_s": 3, "address_reuse_s": 2, "stability_window_ms": 3000, "ack_timeout_ms": 4000, "catchup_s": 4,
    "drain_timeout_ms": 2000, "grace_period_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "downgrade_slack_ms": 250, "max_stretch_ms": 5000, "strict_revocation": False, "revocation_ms": 5000,
    "retry_budget_ratio": 0.2, "retry_window_s": 10, "budget_slack": 102, "warmup_overshoot": 1.5,
    "warmup_tolerance": 5, "evacuation_ms": 5000, "recovery_s": 12, "event_delay_ms": 120, "retry_after_s": 0,
    "version_ms": 8000, "version_all_ms": 0,
}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


class CannotRun(Exception):
    """The case could not be set up; nothing was judged."""


class Record:
    """What was sent, answered and run, one line each, with seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def write(self, text):
        with self.lock:
            line = f"{time.monotonic() - self.began:9.3f} {text}"
            self.file.write(line + "\n")
            self.file.flush()
            print(line, flush=True)


_reserved = []  # Held until this process ends, so that scripts that run at the same time take no port twice.


def free_ports(host, count=1):
    """The first of `count` ports in a row at the address that nothing uses, below those that the system assigns."""
    for _ in range(1000):
        port = random.SystemRandom().randrange(10000, 32000 - count)
        probes, guards = [], []
        try:
            for offset in range(count):
                guards.append(socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM))
                guards[-1].bind(f"\0boragepitch-review-{host}-{port + offset}")
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probes.append(socket.socket(socket.AF_INET, kind))
                    probes[-1].bind((host, port + offset))
            _reserved.extend(guards)
            return port
        except OSError:
            for guard in guards:
                guard.close()
        finally:
            for probe in probes:
                probe.close()
    raise CannotRun("no free port at " + host)


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if part == "":
            return value
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def plain(value):
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(plain(each) for each in value)
    if isinstance(value, bool) or isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def render(template, fields):
    """Fills in a template as DEPLOY.md says, as far as the project's templates use it."""

    def section(match):
        value = lookup(fields, match[1])
        if isinstance(value, dict):
            return "".join(match[2].replace("{{@}}", key).replace("{{.}}", plain(each)) for key, each in value.items())
        return match[2] if value else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: plain(lookup(fields, match[1])), text)


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """A program may close a connection in the middle of an answer."""


class Store:
    """The platform's store, with a feed of changes."""

    def __init__(self, host="127.0.0.2"):
        self.rows = {}  # table -> key -> (version, data)
        self.history = []  # (version, table, key, data); no data for a removal
        self.version = 1
        self.changed = threading.Condition()
        self.began = time.monotonic()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *arguments):
                pass

            def reply(self, status, body):
                body["current_time_ms"] = 50000 + int((time.monotonic() - store.began) * 1000)
                body.setdefault("row_version", store.version)
                text = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def do_GET(self):
                url = urllib.parse.urlparse(self.path)
                query = {key: values[0] for key, values in
                         urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
                if url.path == "/boragepitch/rows-get":
                    self.reply(200, store.read(query))
                elif url.path == "/boragepitch/rows-feed":
                    self.reply(200, store.feed(query))
                else:
                    self.reply(404, {})

            def do_POST(self):
                self.reply(*store.transact(json.loads(self.rfile.read(int(self.headers["Content-Length"])))))

        self.server = Server((host, free_ports(host)), Handler)
        self.address = "%s:%d" % self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, table, key, data):
        self.version += 1
        if data is None:
            self.rows.setdefault(table, {}).pop(key, None)
        else:
            self.rows.setdefault(table, {})[key] = (self.version, data)
        self.history.append((self.version, table, key, data))

    def set(self, table, key, value):
        """Writes a row as the operator or a server does; None removes it. Returns the time of the acknowledgement."""
        with self.changed:
            self.put(table, key, None if value is None else base64.b64encode(json.dumps(value).encode()).decode())
            self.changed.notify_all()
            return time.monotonic()

    def read(self, query):
        with self.changed:
            table = query["table_name"]
            rows = [{"table_name": table, "part": "", "key": key, "data": data, "row_version": version}
                    for key, (version, data) in sorted(self.rows.get(table, {}).items())
                    if key >= query.get("source", "") and ("target" not in query or key < query["target"])]
            most = min(500, int(query.get("max_items", 500)))
            return {"rows": rows[:most], "has_more": len(rows) > most, "row_version": self.version}

    def feed(self, query):
        since, table = int(query["start_revision"]), query["table_name"]
        until = time.monotonic() + min(30000, int(query["wait_time_ms"])) / 1000
        with self.changed:
            while True:
                rows = [{"table_name": table, "part": "", "key": key, "row_version": version,
                         **({"deleted": True} if data is None else {"data": data})}
                        for version, changed, key, data in self.history if version > since and changed == table]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return {"rows": rows, "row_version": self.version}
                self.changed.wait(left)

    def transact(self, call):
        with self.changed:
            for row in call.get("expected_revision") or []:
                if self.rows.get(row["table_name"], {}).get(row["key"], (0, ""))[0] != row["row_version"]:
                    return 412, {"rows": []}
            if any(row["table_name"] in ("op", "servers")
                   for row in (call.get("write") or []) + (call.get("remove") or [])):
                return 403, {}
            for row in call.get("write") or []:
                self.put(row["table_name"], row["key"], row["data"])
            for row in call.get("remove") or []:
                self.put(row["table_name"], row["key"], None)
            self.changed.notify_all()
            return 200, {}


class Fleet:
    """The processes of a small deployment."""

    def __init__(self, record, store):
        self.record, self.store = record, store
        self.folder = tempfile.TemporaryDirectory()
        self.processes = []
        self.lock = threading.Lock()
        self.is_closed = False
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]

    def fields(self, name, machine_class, host, zones, zone, memory_mb, max_fds, **more):
        first = free_ports(host, 16)
        listen = {"frontend": f"{host}:{free_ports(host)}", "readiness": f"{host}:{free_ports(host)}"}
        return {
            "node_name": name, "machine_class": machine_class, "ip": host, "zone": zone, "region": zones[zone],
            "zones": zones, "internal_port_range": [first, first + 15],
            "listen": listen if machine_class == "edge" else {},
            "limits": {"cpu_quota": 0.19, "cpu_cores": 1, "memory_mb": memory_mb, "max_fds": max_fds,
                       "bandwidth_mbps": 1000.0 if machine_class == "edge" else 7.6, "disk_mb": 0},
            "bounds": BOUNDS, "platform": {"address": self.store.address, "form": "table"}, **more,
        }

    def start(self, role, fields):
        """Starts the role as the deploy file says, with the settings that its template gives."""
        role = self.roles[role]
        path = pathlib.Path(self.folder.name) / (fields["node_name"] + ".ini")
        path.write_text(render((ROOT / role["template"]).read_text(), fields))
        command = shlex.split(role["run"])
        if not (ROOT / command[0]).is_file():
            raise CannotRun(command[0] + " has not been built")
        with self.lock:
            if self.is_closed:
                raise CannotRun("the case has ended")
            log = open(pathlib.Path(self.folder.name) / (fields["node_name"] + ".log"), "ab")
            process = subprocess.Popen([str(ROOT / command[0]), *command[1:]], cwd=ROOT, stdout=log, stderr=log,
                                       env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                                            "BORAGEPITCH_BOOT": str(path)})
            self.processes.append(process)
        self.record.write(f"{fields['node_name']} started, process {process.pid}")
        return process

    def log_of(self, name):
        return (pathlib.Path(self.folder.name) / (name + ".log")).read_text(errors="replace")

    def wait_ready(self, fields):
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            if is_ready(fields["listen"]["readiness"], 1) is True:
                self.record.write(fields["node_name"] + " is ready")
                return
            time.sleep(0.05)
        raise CannotRun(fields["node_name"] + " did not get ready: " + self.log_of(fields["node_name"])[-2000:])

    def close(self):
        with self.lock:
            self.is_closed = True  # A thread of the case may be about to start a process again.
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        self.folder.cleanup()


def split_address(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def is_ready(address, timeout_s):
    """The platform's question to a node: True for 200, False for another answer, None for no answer in time."""
    until = time.monotonic() + timeout_s
    try:
        with socket.create_connection(split_address(address), timeout=timeout_s) as connection:
            connection.sendall(b"GET /boragepitch/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
            answer = b""
            while b"\r\n" not in answer:
                connection.settimeout(max(0.001, until - time.monotonic()))
                piece = connection.recv(4096)
                if not piece:
                    return None
                answer += piece
            return answer.split(b" ")[1] == b"200"
    except OSError:
        return None


def read_answer(connection, until):
    """Reads one whole answer with a length from a socket: (status, headers, body); OSError if there is none in time."""
    data = b""

    def more():
        left = until - time.monotonic()
        if left <= 0:
            raise TimeoutError("no answer in time")
        connection.settimeout(left)
        piece = connection.recv(65536)
        if not piece:
            raise ConnectionError("closed")
        return piece

    while b"\r\n\r\n" not in data:
        data += more()
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    while len(body) < length:
        body += more()
    return int(lines[0].split(" ")[1]), headers, body


def ask(address, request, timeout_s):
    """Sends one request on a new channel. Returns (status, headers, body), or the reason why there is no answer."""
    until = time.monotonic() + timeout_s
    try:
        with socket.create_connection(split_address(address), timeout=timeout_s) as connection:
            connection.sendall(request)
            return read_answer(connection, until)
    except OSError as error:
        return str(error) or type(error).__name__


class PlainServer:
    """A sound server of a service without engines: answers each request with 200, a MAC and a short body."""

    def __init__(self, record, name, host, work_s=0.015):
        self.runs = []
        server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *arguments):
                pass

            def serve(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                attempt = self.headers.get("X-Attempt-Id", "")
                if self.headers.get("X-Expected-Instance", name) != name:
                    status, answer = 421, b""
                else:
                    server.runs.append(attempt)
                    record.write(f"{name} runs {attempt} ({len(body)} B of body)")
                    time.sleep(work_s)
                    status, answer = 200, b"done"
                self.send_response(status)
                self.send_header("X-Attempt-Id", attempt)
                if status == 200:
                    self.send_header("X-Upstream-Signature", "s")
                self.send_header("Content-Length", str(len(answer)))
                self.end_headers()
                self.wfile.write(answer)

            do_GET = do_POST = serve

        self.server = Server((host, free_ports(host)), Handler)
        self.address = "%s:%d" % self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()


def server_row(service, address, zone, slots, born=1000000000000):
    return {"backend": service, "address": address, "zone": zone, "version": "1", "slots": slots, "state": "healthy",
            "warmup_left_ms": 0, "sequence": 1, "born": born}


def play(folder, body):
    """Runs a case: body(record, fleet, store) returns True if the rule held. Ends with the exit code of the case."""
    record = Record(folder)
    record.write("with the disruption" if TROUBLE else "without the disruption (TROUBLE=0)")
    store = Store()
    fleet = Fleet(record, store)
    code = 2
    # Ends what was started also when the script itself is terminated.
    signal.signal(signal.SIGTERM, lambda *arguments: sys.exit("terminated"))
    try:
        code = 0 if body(record, fleet, store) else 1
    except (CannotRun, SystemExit) as error:
        record.write(f"could not run: {error}")
    except Exception as error:  # A fault of the script judges nothing.
        record.write(f"could not run: {type(error).__name__}: {error}")
    finally:
        fleet.close()
        record.write({0: "the rule held", 1: "the rule was broken", 2: "not judged"}[code])
    os._exit(code)
