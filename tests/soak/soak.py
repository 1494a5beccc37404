"""Runs a whole fleet of real processes under random faults and checks the promises that callers and endpoints can see.

Usage: soak.py [--seeds 1,2,3] [--seconds 20] [--models 6] [--entries 1] [--bin DIR] [--logs DIR]

Each seed starts a fleet of its own. After the faults everything is healed, and the fleet has to serve what was declared
last. Prints the schedule and what was broken of each seed that fails, and exits with 1 if any did.
"""

import argparse
import collections
import concurrent.futures
import heapq
import itertools
import os
import pathlib
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT / "scripts"), str(ROOT / "tests/integration")]

import localfleet  # noqa: E402
import schedule  # noqa: E402
from callers import BookingCaller, broken_promises  # noqa: E402
from deployment import CHUNK_BYTES, Deployment, Load  # noqa: E402
from localfleet import http_call, wait_until  # noqa: E402
from support import ChainedLoad, IntegrationTest, expected_tokens  # noqa: E402

ZONES = ["fraser", "okanagan", "island"]
SERVICE = "orders-app"
SERVICES = 3
MODEL_BYTES = 1 << 20
VERSIONS = 4
BOOKING_CALLERS = 4
STREAM_RATE = 20
# Streams of up to 1.5 s, so that stops and pauses meet many of them.
TOKEN_MS = 25
TICK_SECONDS = 0.05
# A zone that was taken out gets no new work from then on.
ZONE_BOUND_SECONDS = 3
# After the last fault, until everything serves what is declared.
HEAL_SECONDS = 90
STOP_LIMIT_SECONDS = 45
STARTED = "bp_agent_started_total"
# Never, whatever fails.
FORBIDDEN = ("doubled", "mixed", "wrong", "dropped")
# Only when entries were killed.
CUT = ("cut", "lost")


class Soak:
    def __init__(self, fleet, seed, options):
        self.fleet = fleet
        self.seed = seed
        self.options = options
        self.broken = []
        self.version = 1
        self._restarts = {}  # Nodes that are down, with the time by which a stopped one must have ended.
        self._down = collections.Counter()  # Faults that keep a node down.
        self._operators = concurrent.futures.ThreadPoolExecutor(1)
        self._operations = []

    def start(self):
        blobs = [f"drafter/v{i}:{MODEL_BYTES}:{i}" for i in range(1, VERSIONS + 1)]
        self.fleet.start_platform(blobs=blobs)
        self.proxy = self.fleet.proxy_platform()
        self.deployment = Deployment(self.fleet, ZONES, models=self.options.models, services={SERVICE: SERVICES},
                                     entries_per_zone=self.options.entries, engines={"token_ms": TOKEN_MS})
        self.fleet.wait_live()
        self.deployment.declare()
        self.deployment.declare_version("drafter/v1")
        self.deployment.wait_serving("v1")
        self.deployment.wait_ready()
        self.nodes = {node.name: node for node in self.fleet.nodes}
        targets = schedule.Targets(
            entries=tuple(node.name for node in self.fleet.entries()),
            agents=tuple(node.name for node in self.fleet.agents()),
            engines=tuple(self.deployment.engine_addresses),
            services=tuple(self.deployment.service_addresses[SERVICE]),
            links=tuple(listen for listen, _ in self.proxy.links),
            zones=tuple(ZONES),
        )
        self.faults = schedule.plan(self.seed, self.options.seconds, targets)

    def run(self):
        addresses = [entry.address("public") for entry in self.fleet.entries()]
        callers = [BookingCaller(f"caller-{i}", addresses, SERVICE) for i in range(BOOKING_CALLERS)]
        expected = [f"v{i}={self.fleet.digests(f'drafter/v{i}', CHUNK_BYTES)['sha256']}"
                    for i in range(1, VERSIONS + 1)]
        load = ChainedLoad(self.fleet, "drafter", self.fleet.entries(), rate=STREAM_RATE, expect=expected)
        for caller in callers:
            caller.start()
        try:
            self._play()
            self._heal()
        finally:
            for caller in callers:
                caller.stop()
            streams = load.stop()
        self._check_streams(streams)
        self._check_bookings(callers)
        self._check_service(expected)
        self.broken += [f"{name} ended with {code}" for name, code in self.fleet.unexpected_exits()]

    def _play(self):
        """Begins and ends the faults at their times."""
        number = itertools.count()
        actions = []
        for fault in self.faults:
            heapq.heappush(actions, (fault.at, next(number), self._begin, fault))
            heapq.heappush(actions, (fault.until, next(number), self._end, fault))
        start = time.monotonic()
        while actions:
            while actions and actions[0][0] <= time.monotonic() - start:
                _, _, action, fault = heapq.heappop(actions)
                action(fault)
            self._restart_ended()
            time.sleep(TICK_SECONDS)

    def _begin(self, fault):
        if fault.target in self.nodes:
            self._strike(self.nodes[fault.target], fault.kind)
        elif fault.kind in ("zone_out", "version"):
            operation = self._take_out if fault.kind == "zone_out" else self._declare_next
            self._operations.append(self._operators.submit(operation, fault))
        elif fault.kind.startswith("link"):
            setting = {
                "link_delay": {"delayMs": fault.value},
                "link_silent": {"silence": "all"},
                "link_loses_connections": {"silence": "open"},
                "link_to_platform_silent": {"silence": "toTarget"},
                "link_from_platform_silent": {"silence": "toClient"},
                "link_reset": {"cut": True},
            }[fault.kind]
            self.proxy.fault(listen=fault.target, **setting)
        else:
            self._fault_standin(fault)

    def _fault_standin(self, fault):
        name, setting = {
            "store_outage": ("table", {"outageMs": fault.value}),
            "store_loses_answers": ("table", {"loseAnswers": fault.value}),
            "corrupt_chunks": ("objects", {"corruptPercent": fault.value}),
            "engine_dies": (fault.target, {"die": True}),
            "engine_turns_cold": (fault.target, {"turnCold": True}),
            "engine_stalls": (fault.target, {"stallMs": fault.value}),
            "service_loses_answers": (fault.target, {"loseAnswers": fault.value}),
            "service_delays": (fault.target, {"delayMs": fault.value}),
        }[fault.kind]
        try:
            self.fleet.fault(name, **setting)
        except OSError:
            pass  # The engine is down already.

    def _end(self, fault):
        if fault.target in self.nodes:
            node = self.nodes[fault.target]
            node.process.cont()
            if fault.kind != "pause":
                self._down[node.name] -= 1
        elif fault.kind == "link_delay":
            self.proxy.fault(listen=fault.target, delayMs=0)
        elif fault.kind.endswith("_silent"):
            self.proxy.fault(listen=fault.target, silence="none")
        elif fault.kind == "corrupt_chunks":
            self.fleet.fault("objects", corruptPercent=0)
        elif fault.kind == "service_delays":
            self.fleet.fault(fault.target, delayMs=0)

    def _strike(self, node, kind):
        if kind == "pause":
            node.process.stop()
            return
        self._down[node.name] += 1
        self._restarts.setdefault(node.name, time.monotonic() + STOP_LIMIT_SECONDS)
        if kind == "kill":
            node.process.kill()
        else:
            node.process.cont()
            node.process.term()

    def _restart_ended(self):
        for name, limit in list(self._restarts.items()):
            node = self.nodes[name]
            if node.process.alive():
                if time.monotonic() > limit:
                    self.broken.append(f"{name} has not stopped within {STOP_LIMIT_SECONDS} s")
                    node.process.kill()
            elif self._down[name] == 0:
                node.start()
                del self._restarts[name]

    def _accepted(self, operation, what):
        """Repeats an operation at all entries until one accepts it."""
        entries = itertools.cycle(self.fleet.entries())

        def attempt():
            try:
                operation(next(entries))
            except RuntimeError:
                return False  # Refused; the store may be down.
            return True

        wait_until(attempt, HEAL_SECONDS, what, 0.2)

    def _declare_next(self, _fault):
        if self.version == VERSIONS:
            return
        version = f"v{self.version + 1}"
        self._accepted(lambda entry: self.deployment.declare_version(f"drafter/{version}", entry=entry),
                       f"{version} is accepted")
        self.version += 1

    def _take_out(self, fault):
        set_zone = self.deployment.set_zone
        self._accepted(lambda entry: set_zone(fault.target, False, entry), f"{fault.target} is taken out")
        time.sleep(ZONE_BOUND_SECONDS)
        before = self._started(fault.target)
        time.sleep(max(0, fault.until - fault.at))
        after = self._started(fault.target)
        for name, count in before.items():
            if after.get(name, count) > count:
                self.broken.append(f"{name} got {after[name] - count} requests after {fault.target} was taken out")
        self._accepted(lambda entry: set_zone(fault.target, True, entry), f"{fault.target} returns")

    def _started(self, zone):
        """Requests that the agents of a zone have started, by process; without those that do not answer."""
        counts = {}
        for agent in self.fleet.agents():
            if agent.zone != zone:
                continue
            try:
                body = http_call("GET", agent.url("/metrics"), timeout=1).body.decode()
            except OSError:
                continue
            for line in body.splitlines():
                if line.startswith(STARTED + " "):
                    counts[f"{agent.name} ({agent.process.pid})"] = float(line.split()[1])
        return counts

    def _heal(self):
        self.proxy.fault(delayMs=0, silence="none")
        self.fleet.fault("table", outageMs=0, loseAnswers=0)
        self.fleet.fault("objects", corruptPercent=0)
        deadline = time.monotonic() + HEAL_SECONDS
        while self._restarts and time.monotonic() < deadline:
            self._restart_ended()
            time.sleep(TICK_SECONDS)
        for operation in self._operations:
            operation.result()
        self.deployment.wait_serving(f"v{self.version}", HEAL_SECONDS)
        self.deployment.wait_ready(HEAL_SECONDS)

    def _check_streams(self, counts):
        has_kills = any(fault.kind == "kill" and fault.target.startswith("entry") for fault in self.faults)
        print(f"  streams {counts}")
        for outcome in FORBIDDEN + (() if has_kills else CUT):
            if counts[outcome]:
                self.broken.append(f"{counts[outcome]} streams {outcome}")
        if not counts["answered"]:
            self.broken.append("no stream was answered")

    def _check_bookings(self, callers):
        address = self.deployment.service_addresses[SERVICE][0]
        counts = self.fleet.stats(address)["counts"]
        statuses = sum((caller.statuses for caller in callers), collections.Counter())
        print(f"  bookings {dict(statuses)}")
        for caller in callers:
            self.broken += broken_promises(caller.results, counts)
        if not statuses[200]:
            self.broken.append("no booking was answered")

    def _check_service(self, expected):
        """The healed fleet serves the version declared last, and refuses nothing."""
        digest = expected[self.version - 1].partition("=")[2]
        tokens = expected_tokens(self.fleet, digest, "hoop spec", 10)
        for entry in self.fleet.entries():
            response, events = self.fleet.generate(entry, "drafter", "hoop spec", 10)
            if response.status != 200:
                self.broken.append(f"{entry.name} answers {response.status} after the faults")
            elif IntegrationTest.tokens(events) != tokens:
                self.broken.append(f"{entry.name} answers with another version than v{self.version}")
        load = Load(self.fleet, "drafter", self.fleet.entries(), "load-healed", rate=STREAM_RATE, seconds=3,
                    deadline_ms=20000, retries=3, min_tokens=4, max_tokens=60, expect=expected[self.version - 1])
        counts = load.result()
        if counts["answered"] != counts["sent"]:
            self.broken.append(f"after the faults: {counts}")


def play(seed, options):
    """Plays one seed; returns the broken promises."""
    logs = os.path.join(options.logs, f"soak-{seed}")
    with localfleet.Fleet(options.bin, logs) as fleet:
        soak = Soak(fleet, seed, options)
        started = time.monotonic()
        try:
            soak.start()
            soak.run()
        except (OSError, RuntimeError, TimeoutError) as error:
            soak.broken.append(f"{type(error).__name__}: {error}")
    print(f"seed {seed}: {len(getattr(soak, 'faults', []))} faults, {time.monotonic() - started:.0f} s, "
          f"{'broken' if soak.broken else 'passed'}", flush=True)
    if soak.broken:
        print(*(f"  {line}" for line in soak.broken), *(f"  {fault}" for fault in getattr(soak, "faults", [])),
              f"  logs: {logs}", sep="\n", flush=True)
    return soak.broken


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1", help="comma-separated, or FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=20, help="time in which faults begin, for each seed")
    parser.add_argument("--models", type=int, default=6, help="model endpoints")
    parser.add_argument("--entries", type=int, default=1, help="entries in each zone")
    parser.add_argument("--bin", default=os.environ.get("BP_BIN", str(ROOT / "build/bin")), help="folder of the programs")
    parser.add_argument("--logs", help="folder for logs; a temporary one by default")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    seeds = range(int(first), int(last) + 1) if last else [int(seed) for seed in options.seeds.split(",")]
    with tempfile.TemporaryDirectory(prefix="bp-soak-") as folder:
        options.logs = options.logs or folder
        failed = [seed for seed in seeds if play(seed, options)]
    print(f"{len(seeds)} seeds, failed: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
