"""The control plane without load: time until a declaration is in force, bytes, processor time and memory of each node.

Every process notes when it adopted a revision on the machine's monotonic clock, which it shares with this program, so
that nothing is polled while a burst of declarations runs. Bytes are those of message bodies, counted by the processes,
and for each message a constant for its HTTP headers, and an estimate of the TCP/IP packets of its connection.
"""

import os
import sys
import time

import common
import localfleet
from deployment import Deployment, apply_batch, resource

TARGETS = {"bytesPerS": 7000, "cpuPercent": 1.3, "rssMb": 256, "inForceP99Ms": 3000}
CHANGES_PER_S = 800 / 86400
# HTTP bytes in both directions, counted in captured messages: of an RPC and of a read of the VM list without the bodies,
# and of a poll of the store with them.
HTTP_BYTES_OF_CALL = 470
HTTP_BYTES_OF_POLL = 320
HTTP_BYTES_OF_VM_LIST = 204
# SYN, SYN-ACK, ACK, two data packets with their ACKs, FIN, FIN-ACK, ACK: 10 packets of 52 to 60 bytes of headers.
TCP_IP_BYTES = 540
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
BATCH = 100
# 600 workers with an Endpoint and a Vm each, 330 Vms of entries, and workspaces, versions and services.
RESOURCES_AT_FULL_SIZE = 1700


def numbers(text, cast=int):
    return [cast(part) for part in text.split(",")]


class Sample:
    """Counters of all processes at one time."""

    def __init__(self, fleet):
        self.at = time.monotonic()
        self.processes = {node.name: self.of_process(node.process.pid) for node in fleet.nodes}
        self.table = fleet.stats("table")
        self.seconds_of_sampling = time.monotonic() - self.at
        self.dumps = {node.name: node.dump()["fleet"] for node in fleet.nodes}

    @staticmethod
    def of_process(pid):
        with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
            fields = file.read().rpartition(")")[2].split()
        cpu = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
        rss = int(fields[21]) * os.sysconf("SC_PAGE_SIZE")
        threads, switches = 0, 0
        for task in os.listdir(f"/proc/{pid}/task"):
            with open(f"/proc/{pid}/task/{task}/status", encoding="utf-8") as file:
                lines = dict(line.rstrip("\n").split(":\t", 1) for line in file if ":\t" in line)
            threads += 1
            switches += int(lines["voluntary_ctxt_switches"])
        return {"cpu": cpu, "rss": rss, "threads": threads, "switches": switches}


def progress(text):
    print(f"{time.strftime('%H:%M:%S')} {text}, load average {os.getloadavg()[0]:.1f}", file=sys.stderr, flush=True)


def spread(values):
    values = list(values)
    return {"mean": round(sum(values) / len(values), 3), "p50": round(common.percentile(values, 50), 3),
            "p99": round(common.percentile(values, 99), 3), "max": round(max(values), 3)}


def usage(fleet, before, after):
    """Resource use of each node between two samples, over all nodes and for each kind of process."""
    vm_list = len(localfleet.http_call("GET", f"http://{fleet.platform_address('vms')}/vms").body)
    nodes = [(node, node_usage(before, after, node.name, vm_list)) for node in fleet.nodes]
    result = {key: spread(one[key] for _, one in nodes) for key in nodes[0][1]}
    for kind in ("entry", "agent"):
        result[kind] = {key: spread(one[key] for node, one in nodes if node.kind == kind)
                        for key in ("bytesPerS", "cpuPercent", "rssMb")}
    seconds = after.at - before.at
    result["storeReadsPerS"] = round((after.table["reads"] - before.table["reads"]) / seconds, 2)
    result["storeWritesPerS"] = round((after.table["commits"] - before.table["commits"]) / seconds, 2)
    return result


def node_usage(before, after, name, vm_list):
    seconds = after.at - before.at
    count = {key: after.dumps[name]["counters"][key] - before.dumps[name]["counters"][key]
             for key in after.dumps[name]["counters"]}
    process = {key: after.processes[name][key] - before.processes[name][key] for key in ("cpu", "switches")}
    calls = count["calls"] + count["callsServed"]
    sent = count["bytesSent"] + count["servedBytesSent"]
    received = count["bytesReceived"] + count["servedBytesReceived"]
    store = count["polls"] * (HTTP_BYTES_OF_POLL + TCP_IP_BYTES)
    vms = count["vmListReads"] * (vm_list + HTTP_BYTES_OF_VM_LIST + TCP_IP_BYTES)
    total = sent + received + calls * (HTTP_BYTES_OF_CALL + TCP_IP_BYTES) + store + vms
    return {
        "bytesPerS": total / seconds,
        "withoutTcpIpPerS": (total - TCP_IP_BYTES * (calls + count["polls"] + count["vmListReads"])) / seconds,
        "bodySentPerS": sent / seconds,
        "bodyReceivedPerS": received / seconds,
        "callsPerS": calls / seconds,
        "storeBytesPerS": store / seconds,
        "vmListBytesPerS": vms / seconds,
        "cpuPercent": 100 * process["cpu"] / seconds,
        "wakeUpsPerS": process["switches"] / seconds,
        "rssMb": after.processes[name]["rss"] / 1e6,
        "threads": after.processes[name]["threads"],
    }


def start(fleet, zones, nodes, ini):
    fleet.extra_ini = ini
    fleet.start_platform()
    names = [f"zone-{i + 1}" for i in range(zones)]
    entries = max(1, nodes // (3 * zones))
    deployment = Deployment(fleet, names, models=nodes - zones * entries, entries_per_zone=entries)
    fleet.wait_live()
    deployment.declare()
    wait_settled(fleet, nodes)
    return deployment


def wait_settled(fleet, nodes, timeout=180):
    """Waits until every process knows all others and the latest revision."""
    revision = max(node.dump()["fleet"]["revision"] for node in fleet.entries()[:1])
    for node in fleet.nodes:
        def settled(node=node):
            state = node.dump()["fleet"]
            return len(state["nodes"]) == nodes and state["revision"] >= revision
        localfleet.wait_until(settled, timeout, f"{node.name} knows the fleet", 0.5)


def declare_burst(fleet, count, rate):
    """Changes a workspace count times, by all entries in turn; returns [(revision, time of the acknowledgement)]."""
    entries, acknowledged = fleet.entries(), []
    begin = time.monotonic()
    for i in range(count):
        time.sleep(max(0.0, begin + i / rate - time.monotonic()))
        body = {"changes": [{"type": "create", "resource": resource("Workspace", f"burst-{i}", worth=1, share=1)}]}
        headers = {"Authorization": "Bearer " + localfleet.OPERATOR_KEY}
        response = localfleet.http_call("POST", entries[i % len(entries)].url("/api/v1/batch"), body, headers)
        at = time.monotonic()
        answer = localfleet.check_ok(response).json()
        acknowledged.append((answer["revision"], at))
    return acknowledged


def delays(sample, acknowledged):
    """Milliseconds from each acknowledgement until each process had the revision; 0 when it had it before."""
    matrix = []
    for revision, at in acknowledged:
        row = []
        for name, dump in sample.dumps.items():
            times = [one["atMs"] for one in dump["adoptions"] if one["revision"] >= revision]
            if not times:
                raise RuntimeError(f"{name} never adopted revision {revision}")
            row.append(max(0.0, min(times) - at * 1000))
        matrix.append(row)
    flat = [value for row in matrix for value in row]
    return {
        "samples": len(flat),
        "p50Ms": round(common.percentile(flat, 50), 1),
        "p99Ms": round(common.percentile(flat, 99), 1),
        "worstMs": round(max(flat), 1),
        "slowestProcessMs": [round(max(row), 1) for row in matrix],
    }


def measure_outage(fleet, nodes, seconds):
    fleet.fault("table", outageMs=int((seconds + 30) * 1000))
    time.sleep(2)
    before = Sample(fleet)
    time.sleep(seconds)
    after = Sample(fleet)
    result = usage(fleet, before, after)
    dumps = after.dumps.values()
    result["aliveInEveryTable"] = all(
        sum(node["liveness"] == "alive" for node in dump["nodes"]) == nodes for dump in dumps)
    result["mayStartNewWork"] = sum(dump["mayStartNewWork"] for dump in dumps)
    fleet.fault("table", outageMs=0)
    return result


def measure_fleet(settings, out, nodes, gossip):
    """One fleet: idle, burst and, with gossip, store outage."""
    count, rate = int(settings["declarations"]), float(settings["declarations_per_s"])
    load_before = os.getloadavg()[0]
    with localfleet.Fleet(common.BIN, out / f"logs-{nodes}-{gossip}") as fleet:
        start(fleet, int(settings["zones"]), nodes, {"fleet": {"gossip": gossip}})
        progress(f"{nodes} processes settled, gossip {gossip}")
        time.sleep(3)
        idle = Sample(fleet)
        time.sleep(float(settings["idle_s"]))
        burst = Sample(fleet)
        begin = Sample(fleet)
        acknowledged = declare_burst(fleet, count, rate)
        if gossip == "off":
            time.sleep(float(settings["settle_s"]))
        else:
            time.sleep(1)
        end = Sample(fleet)
        result = {"idle": usage(fleet, idle, burst), "burst": usage(fleet, begin, end),
                  "inForce": delays(end, acknowledged)}
        per_change = (result["burst"]["bytesPerS"]["mean"] - result["idle"]["bytesPerS"]["mean"]) * (end.at - begin.at)
        result["bytesPerChange"] = round(per_change / count, 1)
        if gossip == "on":
            result["outage"] = measure_outage(fleet, nodes, float(settings["outage_s"]))
    progress(f"{nodes} processes ended")
    result["loadAverage"] = [round(load_before, 1), round(os.getloadavg()[0], 1)]
    return result


def create_workspaces(fleet, present, wanted):
    for begin in range(present, wanted, BATCH):
        apply_batch(fleet, [resource("Workspace", f"extra-{i}", worth=1, share=1)
                            for i in range(begin, min(wanted, begin + BATCH))])


def join_bytes(fleet, node):
    """Bytes of message bodies that a restarted process receives until it knows the configuration."""
    revision = fleet.entries()[0].dump()["fleet"]["revision"]
    node.process.kill()
    node.start()
    dump = localfleet.wait_until(
        lambda: (lambda d: d if d["revision"] >= revision else None)(node.dump()["fleet"]), 60, "joined", 0.05)
    return {"received": dump["counters"]["bytesReceived"], "pulls": dump["counters"]["pulls"],
            "polls": dump["counters"]["polls"]}


def measure_resources(settings, out):
    """Memory, idle traffic and join traffic of a node as a function of the number of resources."""
    nodes, rows, present = numbers(settings["nodes"])[0], [], 0
    with localfleet.Fleet(common.BIN, out / "logs-resources") as fleet:
        start(fleet, int(settings["zones"]), nodes, {})
        placed = len(listed_resources(fleet))
        for wanted in numbers(settings["resources"]):
            create_workspaces(fleet, present, wanted)
            present = wanted
            wait_settled(fleet, nodes)
            time.sleep(2)
            before = Sample(fleet)
            time.sleep(float(settings["idle_s"]))
            row = usage(fleet, before, Sample(fleet))
            joins = [join_bytes(fleet, node) for node in fleet.agents()[:3]]
            rows.append({"resources": placed + wanted, "idle": row, "joins": joins})
    return rows


def listed_resources(fleet):
    """Resources in force, by the API of the first entry."""
    listed = []
    for kind in ("Zone", "Vm", "Endpoint", "Service", "Workspace"):
        answer = localfleet.http_call("GET", fleet.entries()[0].url(f"/api/v1/{kind}"),
                                      headers={"Authorization": "Bearer " + localfleet.OPERATOR_KEY}).json()
        listed += answer["items"]
    return listed


def line(points, at):
    gradient, intercept, largest = common.slope(points)
    return {"points": points, "slope": round(gradient, 6), "intercept": round(intercept, 3),
            "largestResidual": round(largest, 3), "extrapolatedTo": at,
            "extrapolation": round(intercept + gradient * at, 3)}


def slopes(fleets, at):
    lines = {}
    for phase in ("idle", "burst", "outage"):
        for key in ("bytesPerS", "cpuPercent", "rssMb", "vmListBytesPerS"):
            lines[f"{phase}.{key}"] = line([[n, one[phase][key]["mean"]] for n, one in fleets.items()], at)
    lines["bytesPerChange"] = line([[n, one["bytesPerChange"]] for n, one in fleets.items()], at)
    for quantile in ("p50Ms", "p99Ms", "worstMs"):
        lines[f"inForce.{quantile}"] = line([[n, one["inForce"][quantile]] for n, one in fleets.items()], at)
    return lines


def targets_met(one):
    """Whether a fleet met the targets, by the node with the highest use."""
    seen = {"inForceP99Ms": one["inForce"]["p99Ms"]}
    for key in ("bytesPerS", "cpuPercent", "rssMb"):
        seen[key] = max(one[phase][key]["max"] for phase in ("idle", "outage"))
    # A burst is measured at a rate far above the daily one; the additional use is scaled to 800 changes a day.
    seen["bytesPerS"] += max(0, one["bytesPerChange"]) * CHANGES_PER_S
    return {key: {"target": target, "seen": round(seen[key], 2), "met": seen[key] <= target}
            for key, target in TARGETS.items()}


def plots(out, fleets, baseline, resources):
    for key, label in (("bytesPerS", "bytes a second"), ("cpuPercent", "percent of a core"), ("rssMb", "MB")):
        common.plot(out / f"{key}.png", f"{label} of a node", "processes", label,
                    {f"{phase} {which}": [(n, one[phase][key][which]) for n, one in fleets.items()]
                     for phase in ("idle", "burst", "outage") for which in ("mean", "max")})
    common.plot(out / "in-force.png", "declaration in force in every process", "processes", "ms",
                {f"{name} {quantile}": [(n, one["inForce"][f"{quantile}Ms"]) for n, one in runs.items()]
                 for name, runs in (("gossip", fleets), ("polling", baseline)) if runs for quantile in ("p50", "p99", "worst")},
                logscale="y")
    if not resources:
        return
    common.plot(out / "resources.png", "memory over declared resources", "resources", "MB",
                {kind: [(row["resources"], row["idle"][kind]["rssMb"]["mean"]) for row in resources]
                 for kind in ("entry", "agent")})


def run(settings, out):
    sizes = numbers(settings["nodes"])
    parts = [part.strip() for part in settings["parts"].split(",")]
    fleets = {n: measure_fleet(settings, out, n, "on") for n in sizes}
    baseline = {n: measure_fleet(settings, out, n, "off") for n in sizes if "polling" in parts}
    resources = measure_resources(settings, out) if "resources" in parts else []
    at = int(settings["extrapolate"])
    plots(out, fleets, baseline, resources)
    result = {"targets": {n: targets_met(one) for n, one in fleets.items()}, "slopes": slopes(fleets, at),
              "fleets": fleets, "baselinePolling": baseline, "resources": resources}
    if resources:
        result["resourceSlopes"] = resource_slopes(resources)
    return result


def resource_slopes(resources):
    received = [(row["resources"], common.percentile([one["received"] for one in row["joins"]], 50))
                for row in resources]
    lines = {f"{kind}.{key}": line([[row["resources"], row["idle"][kind][key]["mean"]] for row in resources],
                                   RESOURCES_AT_FULL_SIZE)
             for kind in ("entry", "agent") for key in ("rssMb", "bytesPerS")}
    return {**lines, "joinBytes": line(received, RESOURCES_AT_FULL_SIZE)}
