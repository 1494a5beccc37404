"""Overhead of entry and agent on a streamed request: interleaved pairs of requests, one through bp-entry and bp-agent and
one straight to the stand-in engine, each on a connection of its own."""

import json
import random
import socket
import time

from common import BIN, percentile, plot
from deployment import Deployment
from localfleet import Fleet, wait_until

BLOB = "drafter/v1:1048576:1"
TARGET_MS = {"median": 1.0, "p99": 3.0}
RECEIVE_BYTES = 65536


def request_stream(address, path, body, headers):
    """Times of the first token and of the end of one stream in seconds, from before the connection is made."""
    host, port = address.split(":")
    payload = json.dumps(body).encode()
    lines = [f"POST {path} HTTP/1.1", f"Host: {address}", "Content-Type: application/json", "Connection: close",
             f"Content-Length: {len(payload)}", *(f"{key}: {value}" for key, value in headers.items())]
    message = "\r\n".join(lines).encode() + b"\r\n\r\n" + payload
    begin = time.perf_counter()
    received = b""
    first = None
    with socket.create_connection((host, int(port)), timeout=30) as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.sendall(message)
        while b"event: done" not in received:
            data = connection.recv(RECEIVE_BYTES)
            if not data:
                raise RuntimeError(f"{address} cut the stream: {received[-300:]!r}")
            received += data
            if first is None and b"data: " in received:
                first = time.perf_counter() - begin
        end = time.perf_counter() - begin
    if not received.startswith(b"HTTP/1.1 200"):
        raise RuntimeError(f"{address} answered {received[:300]!r}")
    return first, end


def distribution(values):
    return {"median": round(percentile(values, 50), 3), "p95": round(percentile(values, 95), 3),
            "p99": round(percentile(values, 99), 3)}


def measure(settings, entry, engine):
    """Lists of (first token, whole stream) in ms by path; pairs have the same index."""
    rng = random.Random(int(settings["seed"]))
    times = {"through": [], "direct": []}
    warm_up = int(settings["warm_up"])
    tokens = int(settings["tokens"])
    for i in range(-warm_up, int(settings["pairs"])):
        for path in rng.sample(sorted(times), 2):
            prompt = f"{path} {i} ".ljust(int(settings["prompt_bytes"]), "q")
            if path == "through":
                body = {"prompt": prompt, "max_tokens": tokens}
                result = request_stream(entry, "/v1/models/drafter/generate", body, {"X-Workspace": "shop-0"})
            else:
                body = {"requestId": f"direct-{i}", "model": "drafter", "prompt": prompt, "maxTokens": tokens}
                result = request_stream(engine, "/generate", body, {})
            if i >= 0:
                times[path].append([1000 * seconds for seconds in result])
    return times


def run(settings, out):
    with Fleet(BIN, out / "logs") as fleet:
        fleet.start_platform(blobs=[BLOB])
        deployment = Deployment(fleet, ["fraser"], models=1,
                                engines={"token_ms": settings["token_ms"], "cold_ms": 500})
        fleet.wait_live()
        deployment.declare()
        deployment.declare_version("drafter/v1")
        deployment.wait_serving("v1").wait_ready()
        wait_until(lambda: not any(state["cold"] for state in deployment.engine_states()), 60, "the engine is warm")
        times = measure(settings, fleet.entries()[0].address("public"), deployment.engine_addresses[0])
    result = {"targetMs": TARGET_MS}
    curves = {}
    for index, name in enumerate(("firstToken", "wholeStream")):
        through = [pair[index] for pair in times["through"]]
        direct = [pair[index] for pair in times["direct"]]
        added = [a - b for a, b in zip(through, direct)]
        result[name] = {
            "throughMs": distribution(through), "directMs": distribution(direct),
            # Of the difference within each pair; its tail holds the noise of both paths.
            "addedMs": distribution(added),
            # Difference of the two paths' own percentiles.
            "percentileDifferenceMs": {q: round(distribution(through)[q] - distribution(direct)[q], 3)
                                       for q in ("median", "p95", "p99")},
        }
        result[name]["meetsTarget"] = all(result[name]["addedMs"][q] <= limit for q, limit in TARGET_MS.items())
        curves[name] = [(round(percentile(added, q), 3), q) for q in range(1, 100)]
    plot(out / "overhead.png", "Time added by entry and agent", "ms", "percent of the pairs", curves)
    return result
