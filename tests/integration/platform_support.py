"""A fake of the platform's store, and the programs that run against it as real processes."""

import base64
import http.client
import http.server
import json
import os
import pathlib
import socket
import socketserver
import subprocess
import tempfile
import threading
import time
import unittest
import urllib.parse

BIN = pathlib.Path(os.environ["BP_BIN"])
DEPLOYMENT = {
    "version": 1,
    "route_list": [{"name": "r", "host": "a.example", "path_prefix": "/x/", "route_type": "idempotent",
                    "timeout_ms": 2000, "target_latency_ms": 200, "max_attempts": 2, "backend": "s"}],
    "backends": [{"name": "s"}],
    "limits": {},
}


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, request, client_address):
        """Ignores connections that stopped processes close in the middle of an answer."""


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *arguments):
        pass

    def answer(self, body, headers=(), status=200):
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)


class Store:
    """Serves whole tables; a read of the change feed waits its full time and returns no changes."""

    def __init__(self):
        self.rows = {"op": {"config": DEPLOYMENT}, "servers": {}, "boragepitch": {}}
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                query = urllib.parse.parse_qs(urllib.parse.urlparse(self.path).query)
                rows = []
                if "rows-feed" in self.path:
                    time.sleep(int(query["wait_time_ms"][0]) / 1000)
                else:
                    rows = [{"key": key, "data": base64.b64encode(json.dumps(value).encode()).decode()}
                            for key, value in store.rows[query["table_name"][0]].items()]
                self.answer(json.dumps({"rows": rows, "has_more": False, "row_version": 1}).encode())

            def do_POST(self):
                self.rfile.read(int(self.headers["Content-Length"]))
                self.answer(b'{"row_version":1}')

        self.server = Server(("127.0.0.1", 0), StoreHandler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()


class PlatformCase(unittest.TestCase):
    """Starts programs with a store of their own."""

    def setUp(self):
        self.store = Store()
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def start(self, program, text, output=subprocess.DEVNULL):
        path = pathlib.Path(self.folder.name) / (program + ".ini")
        path.write_text(text)
        process = subprocess.Popen([BIN / program], stdout=output,
                                   env={**os.environ, "BORAGEPITCH_BOOT": str(path)})
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def start_router(self, more="", output=subprocess.DEVNULL):
        self.callers, self.readiness = free_port(), free_port()
        return self.start("bp-router", f"""
[node]
id = e1
zone = z
region = r
[listen]
callers = 127.0.0.1:{self.callers}
readiness = 127.0.0.1:{self.readiness}
peers = 127.0.0.1:{free_port()}
metrics = 127.0.0.1:{free_port()}
[store]
address = {self.store.address}
[zones]
z = r
{more}""", output)

    def get(self, port, path, headers=()):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        try:
            connection.request("GET", path, headers=dict(headers))
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def wait_status(self, port, path, status):
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            try:
                if self.get(port, path)[0] == status:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        self.fail(f"{path} did not answer {status}")
