"""Random schedules of faults, reproducible from their seed. No I/O."""

import dataclasses
import random

MIN_GAP_SECONDS = 0.2
MAX_GAP_SECONDS = 1.6
MIN_FAULT_SECONDS = 0.3
MAX_FAULT_SECONDS = 3.0
MAX_ZONE_OUT_SECONDS = 6.0
# Faults in a row of the same class: restarts and outages often come in series.
MAX_SERIES = 3
ENTRY_SHARE = 0.4  # Of the faults of processes; the others concern agents.


@dataclasses.dataclass(frozen=True)
class Fault:
    at: float  # Seconds from the start of the faults.
    until: float  # When the fault ends; its target recovers from then on.
    kind: str
    target: str = ""  # Name of a process, a link, an engine or a zone; empty where the kind says it all.
    value: int = 0

    def __str__(self):
        return f"{self.at:6.2f} to {self.until:6.2f} s  {self.kind} {self.target} {self.value or ''}".rstrip()


@dataclasses.dataclass(frozen=True)
class Targets:
    entries: tuple
    agents: tuple
    engines: tuple
    services: tuple
    links: tuple
    zones: tuple


def _processes(targets, rng, seed):
    # Half of the seeds stop entries only gracefully, so that no request may be cut.
    entry_kinds = ["stop", "pause", "kill"] if seed % 2 else ["stop", "pause"]
    if rng.random() < ENTRY_SHARE:
        return rng.choice(entry_kinds), rng.choice(targets.entries), 0
    return rng.choice(["stop", "pause", "kill"]), rng.choice(targets.agents), 0


def _platform(targets, rng, _seed):
    kind, value = rng.choice([
        ("link_delay", rng.choice([20, 100, 400])),
        ("link_silent", 0),
        ("link_loses_connections", 0),
        ("link_to_platform_silent", 0),
        ("link_from_platform_silent", 0),
        ("link_reset", 0),
        ("store_outage", rng.randint(300, 4000)),
        ("store_loses_answers", rng.randint(1, 6)),
        ("corrupt_chunks", rng.randint(1, 20)),
    ])
    return kind, rng.choice(targets.links) if kind.startswith("link") else "", value


def _backends(targets, rng, _seed):
    kind, value = rng.choice([
        ("engine_dies", 0),
        ("engine_turns_cold", 0),
        ("engine_stalls", rng.randint(200, 2500)),
        ("service_loses_answers", rng.randint(1, 3)),
        ("service_delays", 300),
    ])
    return kind, rng.choice(targets.engines if kind.startswith("engine") else targets.services), value


def _operators(targets, rng, _seed):
    return ("zone_out", rng.choice(targets.zones), 0) if rng.random() < 0.5 else ("version", "", 0)


def plan(seed, seconds, targets):
    """Faults in the order of their start. They overlap, and each may come several times."""
    rng = random.Random(seed)
    faults = []
    at = 0.0
    while at < seconds:
        draw = rng.choices([_processes, _platform, _backends, _operators], weights=[4, 2, 2, 1])[0]
        for _ in range(rng.randint(1, MAX_SERIES)):
            kind, target, value = draw(targets, rng, seed)
            length = rng.uniform(MIN_FAULT_SECONDS, MAX_ZONE_OUT_SECONDS if kind == "zone_out" else MAX_FAULT_SECONDS)
            faults.append(Fault(round(at, 2), round(at + length, 2), kind, target, value))
            at += rng.uniform(MIN_GAP_SECONDS, MAX_GAP_SECONDS)
    return [fault for fault in faults if fault.at < seconds]
