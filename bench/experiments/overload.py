"""Routing policies under load patterns in simulated time; see bench/overload."""

import json
import subprocess

from common import BIN, plot

# Target share of the offline bound, by load.
TARGETS = {1.2: 0.95, 1.7: 0.9}


def play(settings, load):
    command = [f"{BIN}/bp-overload", f"--load={load}", f"--length={settings['length_ms']}",
               f"--engines={settings['engines']}", f"--entries={settings['entries']}", f"--seeds={settings['seeds']}"]
    return json.loads(subprocess.run(command, capture_output=True, text=True, check=True).stdout)


def run(settings, out):
    loads = [float(load) for load in settings["loads"].split(",")]
    results = {load: play(settings, load) for load in loads}
    summary = {}
    curves = {}
    for load, patterns in results.items():
        policies = {}
        for pattern in patterns.values():
            for policy, figures in pattern.items():
                policies.setdefault(policy, []).append(figures["ofBound"])
        means = {policy: sum(values) / len(values) for policy, values in policies.items()}
        for policy, mean in means.items():
            curves.setdefault(policy, []).append((load, mean))
        summary[str(load)] = {
            "meanOfBound": means,
            "worstOfBound": min(policies["module"]),
            "target": TARGETS.get(load),
        }
    plot(out / "overload.png", "Worth answered in time, mean of the patterns", "load", "part of the offline bound", curves)
    return {"summary": summary, "patterns": {str(load): patterns for load, patterns in results.items()}}
