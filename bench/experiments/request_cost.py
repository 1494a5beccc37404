"""Processor time and memory of an entry and an agent per request, as linear fits over rate and answer length."""

import localfleet
from common import BIN, plot, slope
from deployment import Deployment, Load, apply_batch

MODEL_BYTES = 1 << 20
ENDPOINTS = 4


def measure(deployment, entry, rate, tokens, settings):
    """Processor time a second and resident bytes of the entry and of the agents together, under one load."""
    agents = deployment.model_agents()
    before = [process.cpu_seconds() for process in (entry.process, *(agent.process for agent in agents))]
    load = Load(deployment.fleet, deployment.model, [entry], name=f"load-{rate}-{tokens}", rate=rate,
                seconds=settings["seconds"], seed=settings["seed"], min_tokens=tokens, max_tokens=tokens)
    result = load.result()
    after = [process.cpu_seconds() for process in (entry.process, *(agent.process for agent in agents))]
    used = [end - begin for begin, end in zip(before, after)]
    return {
        "rate": rate,
        "tokens": tokens,
        "answered": result["answered"],
        "failed": sum(result[key] for key in ("refused", "lost", "doubled", "cut", "wrong")),
        "entryCpuMsPerRequest": round(1000 * used[0] / max(1, result["answered"]), 3),
        "agentCpuMsPerRequest": round(1000 * sum(used[1:]) / max(1, result["answered"]), 3),
        "entryCpuPercent": round(100 * used[0] / result["seconds"], 3),
        "agentsCpuPercent": round(100 * sum(used[1:]) / result["seconds"], 3),
        "entryRssMb": round(entry.process.resident_bytes() / 1e6, 1),
        "agentRssMb": round(max(agent.process.resident_bytes() for agent in agents) / 1e6, 1),
    }


def run(settings, out):
    with localfleet.Fleet(BIN, str(out / "logs")) as fleet:
        fleet.start_platform(blobs=[f"drafter/v1:{MODEL_BYTES}:1"])
        deployment = Deployment(fleet, ["fraser"], models=ENDPOINTS, engines={"capacity": 64, "warm_limit": 64})
        fleet.wait_live()
        apply_batch(fleet, deployment.placement(warm_limit=64))
        deployment.declare_version("drafter/v1")
        deployment.wait_serving("v1")
        deployment.wait_ready()
        entry = fleet.entries()[0]
        measure(deployment, entry, 20, 16, {**settings, "seconds": 3})
        points = [measure(deployment, entry, int(rate), int(tokens), settings)
                  for tokens in settings["tokens"].split() for rate in settings["rates"].split()]
    lines = {}
    for tokens in settings["tokens"].split():
        of_length = [point for point in points if point["tokens"] == int(tokens)]
        for key in ("entryCpuPercent", "agentsCpuPercent"):
            gradient, start, residual = slope([(point["rate"], point[key]) for point in of_length])
            lines[f"{key} over rate, {tokens} tokens"] = {
                "perRequestPerSecond": round(gradient, 4), "idle": round(start, 3), "residual": round(residual, 3)}
    plot(out / "cpu.png", "processor time by rate", "requests/s", "% of a core",
         {f"{key} {tokens} tokens": [(p["rate"], p[key]) for p in points if p["tokens"] == int(tokens)]
          for tokens in settings["tokens"].split() for key in ("entryCpuPercent", "agentsCpuPercent")})
    return {"points": points, "lines": lines}
