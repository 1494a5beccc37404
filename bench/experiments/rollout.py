"""Time until N replicas hold and serve a version, bytes from the origin and into the regions, memory, processor time."""

from common import plot
from distribution import Distribution, cases

LAST_TARGET = {"small": 1.25, "large": 1.5}
# Long enough for the transfer and the waves of activation that follow it.
LOAD_HALF_WINDOWS = 4


def run(settings, out):
    results = []
    for replicas, link, size in cases(settings):
        for scheme in settings["schemes"].split():
            if scheme != "swarm" and replicas > int(settings["baseline_up_to"]):
                continue
            results.append(one_case(settings, out, f"{scheme}-{replicas}", replicas, link, size, scheme=scheme))
    result = {"cases": results}
    for name, function in (("faults", faults), ("large", larger_than_cache), ("load", under_load)):
        for replicas, link, size in cases(settings):
            if replicas == int(settings[name + "_at"]):
                result[name] = function(settings, out, replicas, link, size)
    result["targets"] = targets(result)
    for name, target in result["targets"].items():
        print(f"{name}: {target['value']} (target {target['target']}): {'met' if target['met'] else 'NOT MET'}")
    curves = {f"{one['scheme']} N={one['replicas']}": curve(one) for one in results}
    plot(out / "rollout.png", "Replicas that hold the version", "time, multiples of W/2", "share of replicas", curves)
    return result


def curve(case):
    times = case["holdingCurve"]
    return [(time / case["halfWindowSeconds"], (i + 1) / case["replicas"]) for i, time in enumerate(times)]


def one_case(settings, out, name, replicas, link, size, **options):
    with Distribution(settings, out, name, replicas, link, size, **options) as fleet:
        case = fleet.roll_out("v1")
        case["unexpectedExits"] = len(fleet.fleet.unexpected_exits())
    return show(name, case)


def show(name, case):
    print(f"{name}: W/2 {case['halfWindowSeconds']} s; last holds {case['holding']['lastOfHalfWindow']}, serves "
          f"{case['serving']['lastOfHalfWindow']} x W/2; origin {case['originCopies']} copies; into regions "
          f"{case['copiesIntoRegion']}; agent {case['agentCpuSeconds']['mean']} s processor time, "
          f"{case['agentPeakRssBytes'] >> 20} MiB, {case['agentThreads']} threads; machine busy "
          f"{case['machineBusyShare']}{', the processors limit this run' if case['limitedByProcessors'] else ''}",
          flush=True)
    return case


def faults(settings, out, replicas, link, size):
    """A tenth of the VMs dies and is replaced; 1% of the chunks from the origin are corrupted."""
    # Small chunks, so that 1% of them is more than one.
    settings = {**settings, "chunk_bytes": settings["faults_chunk_bytes"]}
    with Distribution(settings, out, f"faults-{replicas}", replicas, link, size) as fleet:
        fleet.fleet.fault("objects", corruptPercent=1)
        case = show("faults", fleet.roll_out("v1", fleet.kill_tenth))
        case["corruptedByOrigin"] = fleet.fleet.stats("objects")["corrupted"]
        return case


def larger_than_cache(settings, out, replicas, link, size):
    """The model is ten times larger than the agents' chunk memory."""
    return one_case(settings, out, f"large-{replicas}", replicas, link, size,
                    cache_bytes=int(settings["large_cache_bytes"]))


def under_load(settings, out, replicas, link, size):
    """Live requests without a rollout, then during one."""
    rate = float(settings["load_rate"])
    with Distribution(settings, out, f"load-{replicas}", replicas, link, size) as fleet:
        first = fleet.roll_out("v1")
        fleet.deployment.wait_ready()
        versions = [("v1", first["sha256"])]
        seconds = LOAD_HALF_WINDOWS * size / link
        quiet = fleet.load(rate, seconds, versions).result()
        digest = fleet.fleet.digests("drafter/v2", int(settings["chunk_bytes"]))["sha256"]
        load = fleet.load(rate, seconds, [*versions, ("v2", digest)])
        rollout = show("load", fleet.roll_out("v2"))
        busy = load.result()
    keys = ("sent", "answered", "refused", "lost", "doubled", "cut", "mixed", "wrong", "firstToken", "total")
    return {"without": {key: quiet.get(key) for key in keys}, "during": {key: busy.get(key) for key in keys},
            "rollout": rollout}


def targets(result):
    rows = {}

    def add(name, value, limit):
        rows[name] = {"value": value, "target": limit, "met": value is not None and value <= limit}

    swarm = [case for case in result["cases"] if case["scheme"] == "swarm"]
    for case in swarm:
        n = case["replicas"]
        limit = LAST_TARGET["small" if n <= 15 else "large"]
        add(f"last replica holds, of W/2, N={n}", case["holding"]["lastOfHalfWindow"] if case["complete"] else None,
            limit)
        add(f"origin copies, N={n}", case["originCopies"], 1.2)
        add(f"copies into a region, N={n}", max(case["copiesIntoRegion"].values()), 1.1)
        add(f"chunk memory of the bound, N={n}", round(case["chunkMemoryPeakBytes"] / case["cacheBytes"], 3), 1)
    if "faults" in result:
        faulty = result["faults"]
        # The case is meaningless without a corrupted chunk.
        shown = faulty["complete"] and faulty["corruptedByOrigin"] > 0
        add("origin copies with faults", faulty["originCopies"] if shown else None, 2)
    if "large" in result:
        large = result["large"]
        add("chunk memory of the bound, model 10 times larger",
            round(large["chunkMemoryPeakBytes"] / large["cacheBytes"], 3) if large["complete"] else None, 1)
    if "load" in result:
        load = result["load"]
        quiet, busy = load["without"]["total"]["p99Ms"], load["during"]["total"]["p99Ms"]
        add("p99 of live requests during the rollout, of that without", round(busy / quiet, 3), 1.5)
    return rows
