"""One measured distribution of a version over a fleet of real agents; rollout and schemes are made of these."""

import pathlib
import time

import localfleet
from common import BIN, percentile
from deployment import Deployment, Load, resource
from localfleet import http_call

REGIONS = ["north", "east", "west"]
ZONES = {3: [0, 1, 2], 8: [0, 1, 2, 0, 1, 2, 0, 1]}
ENDPOINTS_PER_ENGINE = 40
CPUS_BUSY_LIMIT = 0.9
KILL_AT_SHARE = 0.3  # As a share of W/2.


def cases(settings):
    """(replicas, link, size) of each case."""
    columns = (settings[key].split() for key in ("replicas", "links", "sizes"))
    return [tuple(int(value) for value in row) for row in zip(*columns, strict=True)]


def machine_times():
    """(busy, total) clock ticks of all processors since boot."""
    with open("/proc/stat", encoding="ascii") as file:
        fields = [int(field) for field in file.readline().split()[1:9]]
    return sum(fields) - fields[3] - fields[4], sum(fields)


def process_status(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
        fields = dict(line.split(":", 1) for line in file if ":" in line)
    return {"peakRssBytes": int(fields["VmHWM"].split()[0]) * 1024, "threads": int(fields["Threads"])}


class Distribution:
    """A fleet of model endpoints over three regions whose agents have limited links."""

    def __init__(self, settings, out, name, replicas, link, size, scheme="swarm", cache_bytes=None, entries=1):
        self.settings = settings
        self.replicas = replicas
        self.link = link
        self.size = size
        self.cache_bytes = int(cache_bytes or settings["cache_bytes"])
        self.scheme = scheme
        self.logs = pathlib.Path(out) / "logs" / name
        self.entries = entries
        self.killed = []

    def __enter__(self):
        self.fleet = localfleet.Fleet(BIN, self.logs)
        try:
            self._start()
        except BaseException:
            self.fleet.close()
            raise
        return self

    def __exit__(self, *_):
        self.fleet.close()

    def _start(self):
        region_of = ZONES[8 if self.replicas > 60 else 3]
        zones = {f"z{i}": REGIONS[region] for i, region in enumerate(region_of)}
        blobs = [f"drafter/v{i}:{self.size}:{i}" for i in (1, 2)]
        self.fleet.start_platform(blobs=blobs, rate=2 * self.link)
        weights = {"uplink_bytes_per_s": self.link, "downlink_bytes_per_s": self.link, "scheme": self.scheme,
                   "region_bytes_per_s": self.settings["region_link"], "cache_bytes": self.cache_bytes,
                   "importer_timeout": self.settings["importer_timeout"]}
        self.deployment = Deployment(self.fleet, list(zones), models=self.replicas, regions=zones,
                                     agent_ini={"weights": weights}, entries_per_zone=self.entries,
                                     engine_processes=-(-self.replicas // ENDPOINTS_PER_ENGINE))
        self.fleet.wait_live(timeout=120)
        self.deployment.declare()
        time.sleep(float(self.settings["settle"]))
        # While membership views are incomplete, several VMs consider themselves the importer of a chunk.
        for agent in self.deployment.model_agents():
            localfleet.wait_until(lambda one=agent: self._knows_all(one), 120, f"{agent.name} knows every node", 0.2)

    def _knows_all(self, agent):
        nodes = agent.dump()["fleet"]["nodes"]
        return sum(node["liveness"] == "alive" for node in nodes) >= len(self.fleet.nodes)

    def roll_out(self, version, while_running=None):
        """Declares a version and measures until every endpoint serves it. while_running(share of endpoints that hold
        it) is called at each poll."""
        spec, digest = self.fleet.put_manifest(f"drafter/{version}", int(self.settings["chunk_bytes"]))
        manifest = spec["manifest"]
        self.fleet.apply([{"kind": "ModelVersion", "name": f"drafter-{version}", "spec": spec}])
        before = self._counters()
        cpu, busy = self._cpu(), machine_times()
        begin = time.monotonic()
        self.fleet.apply([resource("Serving", "drafter", model="drafter", version=version, minAvailable=50)])
        holding, serving = self._watch(begin, manifest, version, while_running)
        seconds = time.monotonic() - begin
        ticks = [now - then for now, then in zip(machine_times(), busy)]
        result = {"replicas": self.replicas, "scheme": self.scheme, "sizeBytes": self.size, "linkBytesPerS": self.link,
                  "halfWindowSeconds": round(self.size / self.link, 2), "sha256": digest, "complete":
                  len(serving) == self.replicas, "holding": self._times(holding), "serving": self._times(serving)}
        result.update(self._bytes(before), **self._processes(cpu, seconds))
        result["machineBusyShare"] = round(ticks[0] / max(1, ticks[1]), 2)
        result["limitedByProcessors"] = result["machineBusyShare"] > CPUS_BUSY_LIMIT
        result["holdingCurve"] = [round(one, 2) for one in sorted(holding.values())]
        return result

    def _watch(self, begin, manifest, version, while_running):
        holding, serving = {}, {}
        addresses = self.deployment.engine_addresses
        while len(serving) < len(addresses) and time.monotonic() - begin < float(self.settings["timeout"]):
            for address in addresses:
                if address not in serving:
                    self._poll_endpoint(address, manifest, version, begin, holding, serving)
            if while_running:
                while_running(len(holding) / len(addresses), holding, serving, time.monotonic() - begin)
            time.sleep(0.1)
        return holding, serving

    @staticmethod
    def _poll_endpoint(address, manifest, version, begin, holding, serving):
        try:
            state = http_call("GET", f"http://{address}/state", timeout=2).json()
        except (OSError, ValueError):
            return
        now = time.monotonic() - begin
        if any(one["manifest"] == manifest and one["whole"] for one in state["staged"]):
            holding.setdefault(address, now)
        if any(one["version"] == version for one in state["loaded"]):
            holding.setdefault(address, now)
            serving[address] = now

    def _times(self, times):
        values = list(times.values())
        half = self.size / self.link
        result = {"count": len(values)}
        for name, q in (("median", 50), ("last", 100)):
            value = percentile(values, q)
            result[name + "Seconds"] = value and round(value, 2)
            result[name + "OfHalfWindow"] = value and round(value / half, 3)
        return result

    def _counters(self):
        regions = {}
        corrupt = 0
        for agent in self.deployment.model_agents():
            metrics = agent.metrics()
            regions[agent.region] = regions.get(agent.region, 0) + metrics["bp_weights_inter_region_bytes_total"]
            corrupt += metrics["bp_weights_corrupt_chunks_total"]
        return {"regions": regions, "corrupt": corrupt, "origin": self.fleet.stats("objects")["bytesSent"]}

    def _bytes(self, before):
        after = self._counters()
        into = {region: round((count - before["regions"][region]) / self.size, 3)
                for region, count in after["regions"].items()}
        return {"originCopies": round((after["origin"] - before["origin"]) / self.size, 3), "copiesIntoRegion": into,
                "corruptChunks": after["corrupt"] - before["corrupt"]}

    def _cpu(self):
        return {agent.name: agent.process.cpu_seconds() for agent in self.deployment.model_agents()}

    def _processes(self, cpu_before, seconds):
        cpu = [now - cpu_before.get(name, 0) for name, now in self._cpu().items() if name not in self.killed]
        agents = self.deployment.model_agents()
        statuses = [process_status(agent.process) for agent in agents]
        return {
            "agentCpuSeconds": {"mean": round(sum(cpu) / len(cpu), 3), "max": round(max(cpu), 3)},
            "agentCoreShare": round(sum(cpu) / len(cpu) / seconds, 4),
            "agentPeakRssBytes": max(one["peakRssBytes"] for one in statuses),
            "agentThreads": max(one["threads"] for one in statuses),
            "chunkMemoryPeakBytes": max(agent.dump()["weights"]["memoryPeakBytes"] for agent in agents),
            "cacheBytes": self.cache_bytes,
        }

    def kill_tenth(self, share, holding, serving, elapsed):
        """Kills a tenth of the VMs, agent and engine memory, once part of the time is over, and replaces them."""
        if self.killed or elapsed < KILL_AT_SHARE * self.size / self.link:
            return
        agents = self.deployment.model_agents()
        for i in range(0, self.replicas, 10):
            agents[i].process.kill()
            address = self.deployment.engine_addresses[i]
            http_call("POST", f"http://{address}/fault", {"die": True})
            holding.pop(address, None)
            serving.pop(address, None)
            self.killed.append(agents[i].name)
        time.sleep(0.5)
        for agent in agents:
            if agent.name in self.killed:
                agent.start()

    def load(self, rate, seconds, versions):
        return Load(self.fleet, "drafter", self.fleet.entries(), name=f"load-{len(versions)}", rate=rate,
                    seconds=round(seconds), expect=[f"{version}={digest}" for version, digest in versions])
