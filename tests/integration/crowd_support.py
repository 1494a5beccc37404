"""Callers that keep to no limit, and what a process holds for them."""

import socket
import threading

ORDINARY_S = 20


def peak_memory(pid):
    """The most memory, in bytes, that a running process has had resident."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as status:
        return next(int(line.split()[1]) * 1024 for line in status if line.startswith("VmHWM:"))


class Caller(threading.Thread):
    """Sends a beginning, then one block again and again, and keeps its connection open without reading."""

    def __init__(self, address, beginning, block, total, pause_s, answered):
        super().__init__(daemon=True)
        self.address, self.beginning, self.block, self.total, self.pause_s = address, beginning, block, total, pause_s
        self.answered = answered
        self.connection = None
        self.leaving = threading.Event()

    def run(self):
        try:
            host, port = self.address.split(":")
            self.connection = socket.create_connection((host, int(port)), timeout=5)
            self.connection.sendall(self.beginning)
            sent = 0
            while sent < self.total and not self.leaving.is_set():
                self.connection.sendall(self.block)
                sent += len(self.block)
                self.leaving.wait(self.pause_s)
            if self.answered:
                self.connection.settimeout(ORDINARY_S)
                self.connection.recv(1)
        except OSError:
            pass  # The server refused the request, closed the connection, or reads no further.

    def leave(self):
        self.leaving.set()
        self.join()
        if self.connection:
            self.connection.close()
