"""Shared by the experiments: the folder of the programs, percentiles, process accounting and plots."""

import os
import pathlib
import subprocess

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BIN = os.environ.get("BP_BIN", str(ROOT / "build/bin"))


def percentile(values, q):
    """The smallest value that at least q percent of the values do not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, max(0, -(-len(ordered) * q // 100) - 1))] if ordered else None


def slope(points):
    """Least-squares line through (x, y) points: (slope, intercept, largest distance of a point from the line)."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    gradient = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    intercept = mean_y - gradient * mean_x
    return gradient, intercept, max(abs(y - gradient * x - intercept) for x, y in points)


def plot(path, title, x_label, y_label, series, logscale=""):
    """Writes a PNG by gnuplot; series is {name: [(x, y), ...]}."""
    path = pathlib.Path(path)
    commands = [
        "set terminal pngcairo size 900,540", f"set output '{path}'", f"set title '{title}'",
        f"set xlabel '{x_label}'", f"set ylabel '{y_label}'", "set key outside", "set grid",
    ]
    if logscale:
        commands.append(f"set logscale {logscale}")
    for i, points in enumerate(series.values()):
        commands += [f"$data{i} << EOD", *(f"{x} {y}" for x, y in points), "EOD"]
    lines = [f"$data{i} using 1:2 with linespoints title '{name}'" for i, name in enumerate(series)]
    commands.append("plot " + ", ".join(lines))
    subprocess.run(["gnuplot"], input="\n".join(commands) + "\n", text=True, check=True)
