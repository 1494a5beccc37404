"""Runs a fleet of Hoopline's current size on loopback: distributes two versions of a model under load and prints a summary.

The origin's link carries four copies and each VM's link two in the window W = 2 * SIZE / LINK. Links between regions carry
20 Mbit/s each way, shared by all traffic. The last line is one JSON object.
"""

import argparse
import json
import os
import pathlib
import random
import sys
import time

import localfleet
from deployment import Deployment, Load, bpctl

ZONES = ["fraser", "okanagan", "island"]
MIB = 1 << 20
REGION_BYTES_PER_S = 2_500_000


def make_weight_file(path, size, seed):
    path.parent.mkdir(parents=True, exist_ok=True)
    generator = random.Random(seed)
    with open(path, "wb") as file:
        for _ in range(size // MIB):
            file.write(generator.randbytes(MIB))


def roll_out(deployment, version, timeout):
    """Declares a version and returns (its SHA-256, seconds until the median and the last endpoint serve it)."""
    begin = time.monotonic()
    digest = deployment.declare_version(f"drafter/{version}")
    total = len(deployment.engine_addresses)
    times = []
    while len(times) < total:
        if time.monotonic() - begin > timeout:
            raise TimeoutError(f"{len(times)} of {total} endpoints serve {version} after {timeout} s")
        serving = deployment.serving_count(version)
        if serving > len(times):
            times += [round(time.monotonic() - begin, 2)] * (serving - len(times))
            print(f"  {version}: {serving} of {total} endpoints after {times[-1]} s", flush=True)
        time.sleep(0.1)
    return digest, times[total // 2], times[-1]


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--size-mib", type=int, default=64, help="size of a version, MiB")
    parser.add_argument("--link", type=int, default=8 * MIB, help="each VM's link, bytes per second")
    parser.add_argument("--load", type=float, default=20, help="live requests per second")
    parser.add_argument("--out", default="out/demo", help="folder for weights, settings and logs")
    parser.add_argument("--bin", default="build/bin", help="folder of the programs")
    options = parser.parse_args()
    size = options.size_mib * MIB
    root = pathlib.Path(options.out) / "weights"
    print(f"making two weight files of {options.size_mib} MiB", flush=True)
    for seed, version in enumerate(["v1", "v2"], 1):
        make_weight_file(root / "drafter" / version, size, seed)

    with localfleet.Fleet(options.bin, os.path.join(options.out, "logs")) as fleet:
        fleet.start_platform(root=root, rate=2 * options.link)
        weights = {"uplink_bytes_per_s": options.link, "downlink_bytes_per_s": options.link,
                   "region_bytes_per_s": REGION_BYTES_PER_S}
        deployment = Deployment(fleet, ZONES, models=15, services={"millbook": 3, "ledger": 1},
                                agent_ini={"weights": weights})
        fleet.wait_live()
        deployment.declare()
        print("rolling out v1 to an empty fleet", flush=True)
        first, _, first_last = roll_out(deployment, "v1", 600)
        deployment.wait_ready()
        second = fleet.digests("drafter/v2", 1 << 20)["sha256"]
        origin_bytes_before = fleet.stats("objects")["bytesSent"]
        load = Load(fleet, "drafter", fleet.entries(), rate=options.load, seconds=round(1.3 * first_last),
                    expect=[f"v1={first}", f"v2={second}"], workspace=["shop-0:8:10", "shop-1:4:10", "shop-2:1:1"])
        print(f"rolling out v2 under {options.load} requests per second", flush=True)
        _, half, last = roll_out(deployment, "v2", 600)
        bpctl(fleet, "wait", "--timeout=60")
        origin_bytes = fleet.stats("objects")["bytesSent"] - origin_bytes_before
        answered = load.result()
        summary = {
            "endpoints": 15,
            "sizeBytes": size,
            "halfWindowSeconds": size / options.link,
            "regionLinkSeconds": round(size / REGION_BYTES_PER_S, 2),
            "firstRolloutSeconds": first_last,
            "secondsToHalfOfReplicas": half,
            "secondsToAllReplicas": last,
            "originCopies": round(origin_bytes / size, 3),
            "requests": answered,
            "unexpectedExits": fleet.unexpected_exits(),
        }
    print(f"time to all 15 replicas: {last} s (a VM's link needs {summary['halfWindowSeconds']:.1f} s for one copy, "
          f"a region's link {summary['regionLinkSeconds']} s)")
    print(f"sent by the origin: {origin_bytes} bytes, {summary['originCopies']} copies")
    print("requests: " + ", ".join(f"{key} {answered[key]}" for key in
                                   ("sent", "answered", "refused", "lost", "doubled", "cut", "mixed", "wrong")))
    print(json.dumps(summary))
    broken = [key for key in ("lost", "doubled", "cut", "mixed", "wrong") if answered[key]]
    return 1 if broken or summary["unexpectedExits"] else 0


if __name__ == "__main__":
    sys.exit(main())
