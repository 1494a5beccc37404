"""Processes and HTTP calls for local fleets: see localfleet.py."""

import contextlib
import ctypes
import http.client
import json
import os
import signal
import subprocess
import threading
import time
import urllib.parse

READY_SECONDS = 60
STOP_SECONDS = 30
PR_SET_PDEATHSIG = 1


class Response:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)

    def __repr__(self):
        return f"Response({self.status}, {self.body[:200]!r})"


def http_call(method, url, body=None, headers=None, timeout=30):
    """Sends one request. Error statuses are returned; a broken connection raises OSError or
    http.client.HTTPException. A dict or list as body is sent as JSON."""
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(parts.hostname, parts.port, timeout=timeout)
    headers = dict(headers or {})
    if isinstance(body, (dict, list)):
        body = json.dumps(body)
        headers.setdefault("Content-Type", "application/json")
    target = parts.path + ("?" + parts.query if parts.query else "")
    try:
        connection.request(method, target, body=body, headers=headers)
        response = connection.getresponse()
        return Response(response.status, response.headers, response.read())
    finally:
        connection.close()


def check_ok(response):
    if response.status >= 300:
        raise RuntimeError(f"unexpected response {response}")
    return response


def parse_events(body):
    """Returns the server-sent events of a body as dicts with id, event and data, without a
    truncated last event."""
    events = []
    for block in body.decode().split("\n\n")[:-1]:
        event = {"event": "message"}
        for line in block.split("\n"):
            name, _, value = line.partition(": ")
            event[name] = value
        events.append(event)
    return events


def wait_until(condition, timeout=READY_SECONDS, what="condition", interval=0.02):
    """Returns the first true value of condition(); connection and parse errors count as false."""
    deadline = time.monotonic() + timeout
    while True:
        with contextlib.suppress(OSError, http.client.HTTPException, ValueError, KeyError):
            value = condition()
            if value:
                return value
        if time.monotonic() > deadline:
            raise TimeoutError(f"{what}: not reached within {timeout} s")
        time.sleep(interval)


def end_with_parent():
    """Runs in the child: has the kernel kill it when its parent dies without cleaning up."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """A started program. Its standard output and error go to one file in the log folder."""

    def __init__(self, name, command, log_path, environment=None):
        self.name = name
        self.command = command
        self.log_path = log_path
        self.end_expected = False
        self._log = open(log_path, "ab")
        # The kernel sends the signal when the starting thread ends, so only the main thread
        # may request it.
        in_main = threading.current_thread() is threading.main_thread()
        self._popen = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=subprocess.STDOUT,
            env={**os.environ, **(environment or {})},
            preexec_fn=end_with_parent if in_main else None,
        )

    @property
    def pid(self):
        return self._popen.pid

    @property
    def exit_code(self):
        return self._popen.poll()

    def alive(self):
        return self._popen.poll() is None

    def _signal(self, number, ends):
        self.end_expected = self.end_expected or ends
        if self.alive():
            self._popen.send_signal(number)

    def kill(self):
        """SIGKILL, and waits for the end."""
        self._signal(signal.SIGKILL, True)
        self.wait()

    def term(self):
        """SIGTERM: asks for a graceful shutdown and does not wait."""
        self._signal(signal.SIGTERM, True)

    def stop(self):
        """SIGSTOP: pauses the process."""
        self._signal(signal.SIGSTOP, False)

    def cont(self):
        """SIGCONT: ends a pause."""
        self._signal(signal.SIGCONT, False)

    def wait(self, timeout=STOP_SECONDS):
        code = self._popen.wait(timeout)
        self._log.close()
        return code

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()

    def resident_bytes(self):
        """Current resident memory."""
        with open(f"/proc/{self.pid}/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def cpu_seconds(self):
        """User and system time so far."""
        with open(f"/proc/{self.pid}/stat", encoding="ascii") as file:
            fields = file.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
