"""Starts and stops a local fleet on 127.0.0.0/8: platform stand-ins, entries and agents.

The integration tests use it as a module:

    with Fleet(bin_dir, log_dir) as fleet:
        fleet.start_platform(blobs=["m/v1:1000000:7"])
        engine = fleet.add_engine("atl-1")
        fleet.add_entry("atl")
        fleet.add_agent("atl", engine=engine, endpoint="atl-1")
        fleet.wait_ready()

As a program, it runs a fleet until SIGINT or SIGTERM; see --help.
"""

import argparse
import atexit
import contextlib
import hashlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time

from localprocess import (
    READY_SECONDS,
    STOP_SECONDS,
    Process,
    check_ok,
    http_call,
    parse_events,
    wait_until,
)

PORTS = {
    "public": 7000,
    "control": 7001,
    "data": 7002,
    "weights": 7003,
    "engine": 7100,
    "service": 7200,
    "table": 7300,
    "objects": 7301,
    "vms": 7302,
    "proxy": 7400,
}
# Each fleet binds this port in its address block, so that concurrent fleets use different blocks.
LOCK_PORT = 6999
KEY_ID = "k1"
KEY = "local-fleet-key-0123456789abcdef"
OPERATOR = "local"
OPERATOR_KEY = "local-operator-key-0123456789abcdef"
CONFIG_OPTION = "--settings"


def write_ini(path, sections):
    """Writes {section: {key: value}}; a list becomes a comma-separated value."""
    with open(path, "w", encoding="utf-8") as file:
        for section, keys in sections.items():
            file.write(f"[{section}]\n")
            for key, value in keys.items():
                if isinstance(value, (list, tuple)):
                    value = ", ".join(value)
                file.write(f"{key} = {value}\n")
            file.write("\n")


class Node:
    """An entry or agent process and its addresses; start() also restarts it with the same settings."""

    def __init__(self, fleet, kind, name, zone, region, host, ini_path, endpoint=""):
        self.fleet = fleet
        self.kind = kind
        self.name = name
        self.zone = zone
        self.region = region
        self.host = host
        self.ini_path = ini_path
        self.endpoint = endpoint
        self.process = None

    def address(self, port):
        return f"{self.host}:{PORTS[port]}"

    def url(self, path, port=None):
        port = port or ("public" if self.kind == "entry" else "control")
        return f"http://{self.address(port)}{path}"

    def start(self, environment=None):
        program = "bp-" + self.kind
        command = [self.fleet.program(program), CONFIG_OPTION, self.ini_path]
        self.process = self.fleet.start(self.name, command, environment)
        return self

    def _answers(self, path):
        if not self.process.alive():
            raise RuntimeError(
                f"{self.name} ended with {self.process.exit_code}:\n{self.process.log()[-2000:]}"
            )
        return http_call("GET", self.url(path, "control"), timeout=2).status == 200

    def live(self):
        return self._answers("/livez")

    def ready(self):
        """Whether an entry may start new work, or an agent's endpoint serves what is declared."""
        return self._answers("/readyz")

    def dump(self):
        return http_call("GET", self.url("/dump", "control")).json()

    def metrics(self):
        """Returns the metrics as {name with labels: value}."""
        text = http_call("GET", self.url("/metrics", "control")).body.decode()
        lines = [line for line in text.splitlines() if line and not line.startswith("#")]
        return {line.rpartition(" ")[0]: float(line.rpartition(" ")[2]) for line in lines}


class Proxy:
    """A running fault-proxy; links are (listen, target) pairs."""

    def __init__(self, admin, links, process):
        self.admin = admin
        self.links = links
        self.process = process

    def fault(self, **fault):
        """Sets the faults delayMs, rate, cut or silence, on all links or only on the one given by listen; see
        standins/README.md."""
        check_ok(http_call("POST", f"http://{self.admin}/fault", fault))

    def stats(self):
        return http_call("GET", f"http://{self.admin}/stats").json()["links"]


class Fleet:
    """All processes of one local fleet. Use it as a context manager: all processes
    end when the context or this program ends."""

    def __init__(self, bin_dir, log_dir):
        self.bin_dir = os.path.abspath(bin_dir)
        self.log_dir = os.path.abspath(log_dir)
        os.makedirs(self.log_dir, exist_ok=True)
        self.processes = []
        self.nodes = []
        self.platform = {}
        self.zone_hosts = {}
        self.origin_region = ""
        self.extra_ini = {}
        self._next_proxy = 1
        self._starts = {}
        self._lock, self.block = self._take_block()
        atexit.register(self.close)

    def __enter__(self):
        if threading.current_thread() is threading.main_thread():
            # sys.exit() runs the clean-up, which the default action of SIGTERM skips.
            signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
        return self

    def __exit__(self, *_):
        self.close()

    @staticmethod
    def _take_block():
        blocks = list(range(16, 255))
        random.shuffle(blocks)
        for block in blocks:
            lock = socket.socket()
            try:
                lock.bind((f"127.{block}.0.1", LOCK_PORT))
                lock.listen()
                return lock, block
            except OSError:
                lock.close()
        raise RuntimeError("every address block is taken; end another local fleet")

    # Processes

    def program(self, name):
        return os.path.join(self.bin_dir, name)

    def start(self, name, command, environment=None):
        """Starts a program; its output is appended to <log_dir>/<name>.log."""
        log_path = os.path.join(self.log_dir, name + ".log")
        process = Process(name, command, log_path, environment)
        self.processes.append(process)
        return process

    def start_standin(self, name, program, arguments, address):
        process = self.start(name, [self.program(program), *arguments])

        def accepts():
            if not process.alive():
                raise RuntimeError(f"{name} ended:\n{process.log()[-2000:]}")
            host, port = address.split(":")
            socket.create_connection((host, int(port)), timeout=1).close()
            return True

        wait_until(accepts, what=f"{name} listens on {address}")
        return process

    def unexpected_exits(self):
        """Returns names and exit codes of processes that ended unexpectedly."""
        return [
            (process.name, process.exit_code)
            for process in self.processes
            if not process.end_expected and not process.alive()
        ]

    def close(self):
        """Ends all processes with SIGTERM, then SIGKILL if they still run. Idempotent."""
        atexit.unregister(self.close)
        running = [process for process in self.processes if process.alive()]
        for process in running:
            process.cont()
            process.term()
        deadline = time.monotonic() + STOP_SECONDS
        for process in running:
            try:
                process.wait(max(0.01, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                print(f"{process.name} ignored SIGTERM and is killed", file=sys.stderr)
                process.kill()
        self._lock.close()

    # Addresses

    def host(self, zone):
        """Returns the next unused VM address of a zone: 127.<block>.<10 * zone number>.<n>, up to 2,500
        VMs in a zone."""
        number, used = self.zone_hosts.setdefault(zone, (len(self.zone_hosts) + 1, 0))
        self.zone_hosts[zone] = (number, used + 1)
        return f"127.{self.block}.{10 * number + used // 250}.{used % 250 + 1}"

    def platform_address(self, port):
        return f"127.{self.block}.0.2:{PORTS[port]}"

    # Stand-ins

    def start_platform(self, blobs=(), rate=0, writes_per_s=400, reads_per_s=2000, vm_lag_ms=0, root=None):
        """Starts the table service, object and weight store and VM list. rate: bytes per second
        of the origin; blobs: name/version:size:seed; root: folder of weight files name/version."""
        self.platform = {name: self.platform_address(name) for name in ("table", "objects", "vms")}
        options = {
            "table": [f"--writes-per-s={writes_per_s}", f"--reads-per-s={reads_per_s}"],
            "objects": [f"--rate={rate}", *([f"--root={root}"] if root else []), *(f"--blob={blob}" for blob in blobs)],
            "vms": [f"--lag-ms={vm_lag_ms}"],
        }
        for name, address in self.platform.items():
            arguments = [f"--listen={address}", *options[name]]
            self.start_standin(name, "standin-" + name, arguments, address)

    def proxy_platform(self):
        """Puts a fault proxy between the platform and the nodes added later."""
        names = sorted(self.platform)
        proxy = self.start_proxy([self.platform[name] for name in names])
        self.platform = {name: link[0] for name, link in zip(names, proxy.links)}
        return proxy

    def start_proxy(self, targets):
        """Starts a fault proxy with one link for each target, on its own address."""
        host = f"127.{self.block}.255.{self._next_proxy}"
        self._next_proxy += 1
        admin = f"{host}:{PORTS['control']}"
        links = [(f"{host}:{PORTS['proxy'] + i}", target) for i, target in enumerate(targets)]
        arguments = [f"--admin={admin}"]
        for listen, target in links:
            arguments += [f"--listen={listen}", f"--target={target}"]
        process = self.start_standin(f"proxy-{host}", "fault-proxy", arguments, admin)
        return Proxy(admin, links, process)

    def add_engines(self, name, zones, **options):
        """Starts one engine process with an endpoint for each zone listed; returns their addresses.
        Options are those of standin-engine with underscores: token_ms=5, honour_fencing=True."""
        addresses = [f"{self.host(zone)}:{PORTS['engine']}" for zone in zones]
        arguments = [f"--listen={address}" for address in addresses] + self._options(options)
        self.start_standin(name, "standin-engine", arguments, addresses[-1])
        return addresses

    def add_engine(self, name, zone, **options):
        return self.add_engines(name, [zone], **options)[0]

    def add_service(self, name, zones, **options):
        """Starts one plain service process with a worker for each zone listed; returns addresses."""
        addresses = [f"{self.host(zone)}:{PORTS['service']}" for zone in zones]
        arguments = [f"--listen={address}" for address in addresses] + self._options(options)
        self.start_standin(name, "standin-service", arguments, addresses[-1])
        return addresses

    @staticmethod
    def _options(options):
        arguments = []
        for key, value in options.items():
            option = "--" + key.replace("_", "-")
            if value is True:
                arguments.append(option)
            elif value is not False:
                arguments.append(f"{option}={value}")
        return arguments

    # Nodes

    def node_settings(self, kind, name, zone, region, host):
        """Returns the INI settings common to all nodes. Only this and agent_settings() know the names
        of the keys."""
        node = {"id": name, "zone": zone, "region": region}
        ports = ("control", "public") if kind == "entry" else ("control", "data", "weights")
        for port in ports:
            node[port] = f"{host}:{PORTS[port]}"
        seeds = [other.address("control") for other in self.nodes[:3]]
        return {
            "node": node,
            "platform": {**self.platform, "origin_region": self.origin_region},
            "fleet": {"seeds": seeds, "signing_key": KEY_ID},
            "keys": {KEY_ID: KEY},
            "operators": {OPERATOR: OPERATOR_KEY} if kind == "entry" else {},
        }

    @staticmethod
    def agent_settings(engine, endpoint, kind):
        return {"engine": {"address": engine, "type": kind}, "endpoint": {"name": endpoint}}

    def _add_node(self, kind, zone, region, host, name, sections, start):
        # The platform, including the store, is in the region of the first node.
        self.origin_region = self.origin_region or region or zone
        name = name or f"{kind}-{zone}-{len(self.nodes) + 1}"
        settings = self.node_settings(kind, name, zone, region or zone, host)
        for extra in (sections, self.extra_ini):
            for section, keys in extra.items():
                settings[section] = {**settings.get(section, {}), **keys}
        ini_path = os.path.join(self.log_dir, name + ".ini")
        write_ini(ini_path, {section: keys for section, keys in settings.items() if keys})
        endpoint = settings.get("endpoint", {}).get("name", "")
        node = Node(self, kind, name, zone, region or zone, host, ini_path, endpoint)
        self.nodes.append(node)
        return node.start() if start else node

    def add_entry(self, zone, region=None, name=None, ini=None, start=True):
        """ini: additional settings {section: {key: value}}; the fleet's extra_ini overrides them."""
        return self._add_node("entry", zone, region, self.host(zone), name, ini or {}, start)

    def add_agent(
        self, zone, engine, endpoint, region=None, kind="model", name=None, ini=None, start=True
    ):
        """Adds an agent on its engine's VM. engine: its address; kind: model or service."""
        sections = self.agent_settings(engine, endpoint, kind)
        for section, keys in (ini or {}).items():
            sections[section] = {**sections.get(section, {}), **keys}
        host = self.engine_host(engine)
        return self._add_node("agent", zone, region, host, name, sections, start)

    def engine_host(self, engine):
        host = engine.rpartition(":")[0]
        if not host.startswith(f"127.{self.block}.255."):
            return host
        raise ValueError("give the engine's own address, and its proxy by ini")

    def entries(self):
        return [node for node in self.nodes if node.kind == "entry"]

    def agents(self):
        return [node for node in self.nodes if node.kind == "agent"]

    def wait_live(self, nodes=None, timeout=READY_SECONDS):
        for node in nodes or self.nodes:
            wait_until(node.live, timeout, f"{node.name} live")

    def wait_ready(self, nodes=None, timeout=READY_SECONDS):
        for node in nodes or self.nodes:
            wait_until(node.ready, timeout, f"{node.name} ready")

    def publish_vms(self, leaving=()):
        """Publishes the nodes of this fleet in the VM list; leaving: names of those that leave."""
        vms = [
            {
                "name": node.name,
                "address": node.host,
                "zone": node.zone,
                "region": node.region,
                "kind": node.kind,
                "state": "leaving" if node.name in leaving else "live",
            }
            for node in self.nodes
        ]
        url = f"http://{self.platform_address('vms')}/vms"
        check_ok(http_call("PUT", url, {"vms": vms}))

    # Requests

    def http(self, method, url, body=None, headers=None, timeout=30):
        return http_call(method, url, body, headers, timeout)

    def fault(self, address, **fault):
        """Injects a fault at a stand-in, given by address, or at a platform service, given by name."""
        if address in PORTS:
            address = self.platform_address(address)
        check_ok(http_call("POST", f"http://{address}/fault", fault))

    def stats(self, address):
        if address in PORTS:
            address = self.platform_address(address)
        return http_call("GET", f"http://{address}/stats").json()

    def put_manifest(self, blob, chunk_size):
        """Puts the manifest of generated weights name/version into the object store; returns its id
        and the spec of a ModelVersion."""
        digests = self.digests(blob, chunk_size)
        model, version = blob.split("/")
        manifest = {
            "model": model,
            "version": version,
            "size": digests["size"],
            "chunkSize": chunk_size,
            "sha256": digests["sha256"],
            "chunks": digests["chunks"],
        }
        text = json.dumps(manifest, sort_keys=True, separators=(",", ":"))
        manifest_id = hashlib.sha256(text.encode()).hexdigest()
        url = f"http://{self.platform_address('objects')}/objects/manifests/{manifest_id}"
        check_ok(http_call("PUT", url, text))
        spec = {
            "model": model,
            "version": version,
            "manifest": manifest_id,
            "size": digests["size"],
            "origin": blob,
        }
        return spec, digests["sha256"]

    def digests(self, blob, chunk_size):
        """Returns size, sha256, chunks and etag of generated weights name/version."""
        address = self.platform_address("objects")
        return http_call("GET", f"http://{address}/digests/{blob}?chunkSize={chunk_size}").json()

    def apply(self, resources, entry=None):
        """Creates or replaces resources ({"kind","name","spec"}) one by one through an entry."""
        entry = entry or self.entries()[0]
        for resource in resources:
            self.apply_one(resource, entry)

    @staticmethod
    def apply_one(resource, entry):
        headers = {"Authorization": "Bearer " + OPERATOR_KEY}
        collection = entry.url(f"/api/v1/{resource['kind']}")
        url = f"{collection}/{resource['name']}"
        present = http_call("GET", url, headers=headers)
        if present.status == 404:
            return check_ok(http_call("POST", collection, resource, headers))
        version = check_ok(present).json()["resourceVersion"]
        body = {**resource, "resourceVersion": version}
        return check_ok(http_call("PUT", url, body, headers))

    def generate(self, entry, model, prompt, max_tokens, headers=None, timeout=60):
        """Sends one model call through an entry; returns (response, events)."""
        headers = {"X-Workspace": "local", **(headers or {})}
        body = {"prompt": prompt, "max_tokens": max_tokens}
        url = entry.url(f"/v1/models/{model}/generate")
        response = http_call("POST", url, body, headers, timeout)
        is_stream = response.headers.get("Content-Type", "").startswith("text/event-stream")
        return response, parse_events(response.body) if is_stream else []


def main():
    parser = argparse.ArgumentParser(description="Starts a local fleet and keeps it running.")
    parser.add_argument("--bin", default="build/bin", help="folder of the programs")
    parser.add_argument("--logs", default="out/localfleet", help="folder for logs and settings")
    parser.add_argument("--zones", default="atl,sav,mcn", help="each zone is its own region")
    parser.add_argument("--entries", type=int, default=1, help="entries in each zone")
    parser.add_argument("--agents", type=int, default=2, help="agents in each zone")
    parser.add_argument("--blob", action="append", default=[], help="name/version:size:seed")
    parser.add_argument("--rate", type=int, default=0, help="origin's bytes per second")
    options = parser.parse_args()
    zones = options.zones.split(",")
    with Fleet(options.bin, options.logs) as fleet:
        fleet.start_platform(blobs=options.blob, rate=options.rate)
        for zone in zones:
            for _ in range(options.entries):
                fleet.add_entry(zone)
        engines = fleet.add_engines("engines", [z for z in zones for _ in range(options.agents)])
        for i, engine in enumerate(engines):
            zone = zones[i // options.agents]
            fleet.add_agent(zone, engine, f"{zone}-{i % options.agents}")
        fleet.publish_vms()
        fleet.wait_live()
        for node in fleet.nodes:
            print(node.name, node.url("/"), flush=True)
        print("ready", flush=True)
        with contextlib.suppress(KeyboardInterrupt):
            signal.pause()


if __name__ == "__main__":
    main()
