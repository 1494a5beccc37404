"""The four ways to choose chunks, on the same fleets and links."""

from common import plot
from distribution import cases
from rollout import curve, one_case


def run(settings, out):
    results = []
    for replicas, link, size in cases(settings):
        for scheme in settings["schemes"].split():
            results.append(one_case(settings, out, f"{scheme}-{replicas}", replicas, link, size, scheme=scheme))
    for replicas in sorted({one["replicas"] for one in results}):
        curves = {one["scheme"]: curve(one) for one in results if one["replicas"] == replicas}
        plot(out / f"schemes-{replicas}.png", f"Replicas that hold the version, N={replicas}",
             "time, multiples of W/2", "share of replicas", curves)
    return {"cases": results}
