"""Service while an availability zone leaves and returns: open-loop load of workspaces of different worth, at shares of
the measured capacity, through entries that choose endpoints in different ways."""

import bisect
import contextlib
import csv
import threading
import time

from common import BIN, plot
from deployment import CHUNK_BYTES, Deployment, Load, resource
from localfleet import Fleet, http_call, wait_until

BLOB = "drafter/v1:1048576:1"
STARTED = "bp_agent_started_total"
COUNTS = ("sent", "answered", "answeredInTime", "refused", "failed", "unreachable", "lost", "cut", "doubled", "mixed",
          "wrong", "dropped", "retries")
# The entries adapt their limits within seconds; each run starts after this time.
SETTLE_SECONDS = 2
SAMPLE_SECONDS = 0.03


class Workspaces:
    """The load's workspaces: (name, share of the requests, worth)."""

    def __init__(self, text):
        rows = [row.split(":") for row in text.split(",")]
        self.rows = [(name, float(share), float(worth)) for name, share, worth in rows]
        self.total = sum(share for _, share, _ in self.rows)

    def options(self):
        return [f"{name}:{share:g}:{worth:g}" for name, share, worth in self.rows]

    def resources(self):
        """Equal shares, so that the workspaces differ in worth only."""
        return [resource("Workspace", name, worth=int(worth), share=1) for name, _, worth in self.rows]

    def max_worth(self, sent, capacity):
        """The maximum worth of a number of answers: the most valuable requests first."""
        worth = 0.0
        for name, _, value in sorted(self.rows, key=lambda row: -row[2]):
            answered = min(sent[name], capacity)
            capacity -= answered
            worth += answered * value
        return worth


class Watch(threading.Thread):
    """Samples the zone that moves: requests started by its agents and load of its cold engines."""

    def __init__(self, agents, engines):
        super().__init__()
        self.agents = agents
        self.engines = engines
        self.starts = []
        self.cold_load = []
        self.ending = threading.Event()
        self.start()

    def run(self):
        while not self.ending.wait(SAMPLE_SECONDS):
            with contextlib.suppress(OSError, ValueError):
                started = sum(agent.metrics().get(STARTED, 0) for agent in self.agents)
                self.starts.append((time.monotonic(), started))
                for address in self.engines:
                    state = http_call("GET", f"http://{address}/state", timeout=2).json()
                    if state["cold"]:
                        self.cold_load.append((time.monotonic(), state["running"]))

    def stop(self):
        self.ending.set()
        self.join()

    def last_start_after(self, moment, until):
        """Seconds from a moment to the last new work before another moment."""
        steps = [now for (_, before), (now, after) in zip(self.starts, self.starts[1:]) if after > before]
        inside = [now - moment for now in steps if moment <= now < until]
        return max(inside, default=0.0)


class Experiment:
    def __init__(self, settings, fleet):
        self.settings = settings
        self.fleet = fleet
        self.workspaces = Workspaces(settings["workspaces"])
        self.choices = settings["choices"].split(",")
        self.seed = int(settings["seed"])

    def number(self, key):
        return float(self.settings[key])

    def start(self):
        fleet, settings = self.fleet, self.settings
        fleet.start_platform(blobs=[BLOB])
        zones = settings["zones"].split(",")
        engines = {key: settings[key] for key in ("cold_limit", "cold_ms", "token_ms", "batch_slope")}
        engines.update(capacity=settings["warm_limit"], warm_limit=settings["warm_limit"], load_lag_ms=0)
        self.deployment = Deployment(fleet, zones, models=int(settings["endpoints"]), engines=engines,
                                     entry_ini={"routing": {"choice": self.choices[0]}})
        self.entries = {self.choices[0]: fleet.entries()}
        for choice in self.choices[1:]:
            ini = {"routing": {"choice": choice}}
            self.entries[choice] = [fleet.add_entry(zone, name=f"entry-{zone}-{choice}", ini=ini) for zone in zones]
        fleet.publish_vms()
        fleet.wait_live()
        self.deployment.declare(cold_limit=int(settings["cold_limit"]), warm_limit=int(settings["warm_limit"]))
        fleet.apply(self.workspaces.resources())
        self.digest = self.deployment.declare_version(BLOB.split(":")[0], chunk_bytes=CHUNK_BYTES)
        self.deployment.wait_serving("v1").wait_ready()
        self.wait_warm()
        pairs = list(zip(self.deployment.engine_addresses, self.deployment.model_agents()))
        self.inside = [(address, agent) for address, agent in pairs if agent.zone == settings["leaving"]]

    def wait_warm(self):
        wait_until(lambda: not any(state["cold"] for state in self.deployment.engine_states()), 60, "all engines warm")

    def load(self, name, choice, rate, seconds, **options):
        self.seed += 1
        settings = self.settings
        log = f"{self.fleet.log_dir}/{name}.csv"
        load = Load(self.fleet, "drafter", self.entries[choice], f"load-{name}", rate=f"{rate:.2f}", seconds=seconds,
                    seed=self.seed, workspace=self.workspaces.options(), expect=f"v1={self.digest}",
                    min_tokens=settings["min_tokens"], max_tokens=settings["max_tokens"], log=log, **options)
        return load, log

    def calibrate(self):
        """Requests a second that all endpoints answer when each has work at all times."""
        mean_tokens = (self.number("min_tokens") + self.number("max_tokens")) / 2
        seconds_each = mean_tokens * self.number("token_ms") / 1000 * (1 + self.number("batch_slope"))
        ideal = self.number("endpoints") * self.number("warm_limit") / seconds_each
        seconds = self.number("calibration_seconds")
        load, log = self.load("calibration", self.choices[0], 1.5 * ideal, seconds, deadline_ms=20000, retries=3)
        load.result()
        with open(log, encoding="utf-8") as file:
            ends = [float(row["arrival_s"]) + float(row["total_ms"]) / 1000 for row in csv.DictReader(file)
                    if row["outcome"] == "answered"]
        begin = seconds / 4
        measured = sum(begin <= end < seconds for end in ends) / (seconds - begin)
        return {"ideal": round(ideal, 1), "measured": round(measured, 1)}

    def move(self, choice, share, capacity):
        """One run: the zone leaves and returns with cold engines."""
        name = f"{choice}-{share:g}"
        settings = self.settings
        before = [state["instance"] for state in self.deployment.engine_states()]
        watch = Watch([agent for _, agent in self.inside], [address for address, _ in self.inside])
        begin = time.monotonic()
        load, log = self.load(name, choice, share * capacity, settings["seconds"], deadline_ms=settings["deadline_ms"],
                              retries=settings["retries"])
        zone, entry = settings["leaving"], self.fleet.entries()[0]
        time.sleep(max(0, begin + self.number("leave_at") - time.monotonic()))
        self.deployment.set_zone(zone, False, entry)
        left = time.monotonic()
        self.turn_cold(begin + self.number("return_at") - 1)
        time.sleep(max(0, begin + self.number("return_at") - time.monotonic()))
        returning = time.monotonic()
        self.deployment.set_zone(zone, True, entry)
        counts = load.result()
        watch.stop()
        crashes = sum(a != b["instance"] for a, b in zip(before, self.deployment.engine_states()))
        result = self.summary(counts, log, capacity, left - begin, returning - begin)
        result.update({
            "secondsToNoNewWork": round(watch.last_start_after(left, returning), 2),
            "largestColdLoad": max((load for when, load in watch.cold_load if when > returning), default=0),
            "coldLimit": int(settings["cold_limit"]), "engineCrashes": crashes,
        })
        return result, self.curve(log)

    def turn_cold(self, until):
        """Makes the zone's engines cold once they are idle: engines that restart while a zone is out return cold."""
        def idle():
            return not any(http_call("GET", f"http://{address}/state").json()["running"] for address, _ in self.inside)
        wait_until(idle, max(1, until - time.monotonic()), "the zone is idle", 0.1)
        time.sleep(max(0, until - time.monotonic()))
        for address, _ in self.inside:
            self.fleet.fault(address, turnCold=True)

    def carried(self, capacity, left, returned):
        """Answers that the endpoints in service can give over the run; a returning endpoint is cold at first."""
        seconds = self.number("seconds")
        out = len(self.inside) / self.number("endpoints")
        cold = self.number("cold_ms") / 1000 * (1 - self.number("cold_limit") / self.number("warm_limit"))
        missing = min(seconds, returned) - left + min(cold, max(0, seconds - returned))
        return capacity * (seconds - out * missing)

    def summary(self, counts, log, capacity, left, returned):
        sent = {name: one["sent"] for name, one in counts["workspaces"].items()}
        possible = self.workspaces.max_worth(sent, self.carried(capacity, left, returned))
        out = self.during(log, capacity, left, returned)
        return {
            **{name: counts[name] for name in COUNTS},
            "worthOffered": counts["worth"], "worthInTime": counts["worthInTime"], "worthPossible": round(possible, 1),
            "worthShare": round(counts["worthInTime"] / possible, 4), "whileOut": out,
            "firstTokenP95Ms": counts["firstToken"]["p95Ms"], "betweenTokensP95Ms": counts["betweenTokens"]["p95Ms"],
            "totalP95Ms": counts["total"]["p95Ms"], "dispatchLagP99Ms": counts["dispatchLag"]["p99Ms"],
            "workspaces": {name: {**one, "share": round(one["answeredInTime"] / max(1, one["sent"]), 4)}
                           for name, one in counts["workspaces"].items()},
        }

    def during(self, log, capacity, left, returned):
        """The requests that arrived while the zone was out, against what the other endpoints can carry."""
        worth = {name: value for name, _, value in self.workspaces.rows}
        sent = dict.fromkeys(worth, 0)
        answered = 0.0
        with open(log, encoding="utf-8") as file:
            for row in csv.DictReader(file):
                if left <= float(row["arrival_s"]) < returned:
                    sent[row["workspace"]] += 1
                    in_time = row["outcome"] == "answered" and float(row["total_ms"]) <= self.number("deadline_ms")
                    answered += worth[row["workspace"]] if in_time else 0
        remaining = capacity * (1 - len(self.inside) / self.number("endpoints")) * (returned - left)
        possible = self.workspaces.max_worth(sent, remaining)
        return {"worthInTime": answered, "worthPossible": round(possible, 1),
                "worthShare": round(answered / possible, 4) if possible else None}

    def curve(self, log):
        """Worth answered in time for each second of arrival."""
        worth = {name: value for name, _, value in self.workspaces.rows}
        edges = list(range(1, int(self.number("seconds")) + 1))
        sums = [0.0] * (len(edges) + 1)
        with open(log, encoding="utf-8") as file:
            for row in csv.DictReader(file):
                if row["outcome"] == "answered" and float(row["total_ms"]) <= self.number("deadline_ms"):
                    sums[bisect.bisect(edges, float(row["arrival_s"]))] += worth[row["workspace"]]
        return list(zip(range(len(edges)), sums))


def run(settings, out):
    with Fleet(BIN, out / "logs") as fleet:
        experiment = Experiment(settings, fleet)
        experiment.start()
        capacity = experiment.calibrate()
        result = {"capacityPerSecond": capacity, "runs": {}}
        for share in map(float, settings["loads"].split(",")):
            curves = {}
            for choice in experiment.choices:
                time.sleep(SETTLE_SECONDS)
                experiment.wait_warm()
                one, curves[choice] = experiment.move(choice, share, capacity["measured"])
                result["runs"][f"{choice}-{share:g}"] = one
            plot(out / f"zone-move-{share:g}.png", f"Worth answered in time at {100 * share:g}% load",
                 "second of arrival", "worth a second", curves)
    return result
