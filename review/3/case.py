"""Half of one router's channels to the workers are reset, while a GET that many consumers send alike is in progress on
some of them. The other routers take it for a request that crashes workers and answer 500 to all who send it."""

import http.client
import math
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import standin  # noqa: E402

WINDOW_S = standin.BOUNDS["stability_window_ms"] / 1000
RESET_AT = 6.1             # seconds from the start of traffic
RESET_SHARE = 0.5          # of the channels of one router
LATER_AT = 10              # the other routers' consumers begin to use the added route
END_S = 30
WORK_S = 0.25
PERIOD_S = 0.4             # of each consumer's requests


def config(version):
    routes = [{"name": name, "host": "a.example", "path_prefix": prefix, "route_type": "idempotent", "timeout_ms": 3000,
               "target_latency_ms": 400, "priority": 1, "max_attempts": 2, "backend": "stock", "public": False,
               "allowed_regions": []} for name, prefix in (("first", "/x/"), ("added", "/y/"))]
    return {"version": version, "route_list": routes[:version],
            "backends": [{"name": "stock", "health_check": "/healthz", "max_connections": 424, "warmup_s": 0.0,
                          "warmup_per_s": 0.0}],
            "tenant_list": [{"name": "t", "api_keys": ["k"], "priority": 1, "allowed_regions": []}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def main(record, store, fleet):
    lock = threading.Lock()
    channels = {}  # Channel to a worker -> [router, request in progress].
    requests = []  # [sent at, router, route, status].

    def serve(worker, handler, body):
        with lock:
            channels[handler] = [handler.headers.get("X-Via-Test"), handler.headers.get("X-Attempt-Id")]
        try:
            time.sleep(WORK_S)
            with lock:
                channels[handler][1] = None
            handler.answer(200, b"in stock", [("X-Attempt-Id", handler.headers.get("X-Attempt-Id", "")),
                                              ("X-Upstream-Signature", "s." + worker.id)])
        except (OSError, KeyError, ValueError):
            pass

    for n in range(5):
        standin.Worker(record, store, f"i-{n}", "stock", serve=serve).register()
    store.set("op", "config", config(1))
    routers = [fleet.router(f"edge-{n + 1}") for n in range(4)]
    for router in routers:
        fleet.wait_ready(router)
    time.sleep(9)  # The routers learn of each other.
    start = time.monotonic()
    record.add("traffic starts on the first route")
    stop = threading.Event()

    def consumer(number, router, route, target):
        count = 0
        while not stop.is_set():
            count += 1
            at = time.monotonic()
            try:
                connection = http.client.HTTPConnection(router.callers, timeout=5)
                connection.request("GET", target(number, count), headers={
                    "Host": "a.example", "Api-Key": "k", "X-Attempt-Id": f"{route}-{number}-{count}",
                    "X-Deadline-Ms": "3000", "X-Via-Test": router.name})
                response = connection.getresponse()
                status = response.status if response.read() == b"in stock" or response.status != 200 else "wrong"
            except (OSError, http.client.HTTPException) as error:
                status = type(error).__name__
            requests.append([at, router.name, route, status])
            time.sleep(max(0, at + PERIOD_S - time.monotonic()))

    def consumers(count, router, route, target):
        for number in range(count):
            arguments = (f"{router.name}-{number}", router, route, target)
            threading.Thread(target=consumer, args=arguments, daemon=True).start()

    def wait(seconds):
        time.sleep(max(0, start + seconds - time.monotonic()))

    for router in routers:
        consumers(2, router, "first", lambda number, count: f"/x/item/{number}/{count}")
    wait(1)
    store.set("op", "config", config(2))
    record.add("version 2 adds a route")
    wait(4)
    consumers(6, routers[0], "added", lambda number, count: "/y/stock")
    record.add("six consumers at edge-1 send GET /y/stock on the added route")
    wait(RESET_AT)
    if standin.TROUBLE:
        # Those with a request of the added route first.
        with lock:
            own = sorted((handler for handler, (name, _) in channels.items() if name == routers[0].name),
                         key=lambda handler: not (channels[handler][1] or "").startswith("added"))
            hit = own[:math.floor(len(own) * RESET_SHARE)]
            cut = [channels.pop(handler)[1] for handler in hit]
        for handler in hit:
            standin.Worker.reset(None, handler)
        record.add(f"{len(hit)} of the {len(own)} channels of edge-1 to workers are reset, with the requests "
                   f"{[attempt for attempt in cut if attempt]}")
    wait(LATER_AT)
    for router in routers[1:]:
        consumers(10, router, "added", lambda number, count: "/y/stock")
    record.add("ten consumers at each other router send GET /y/stock too")
    wait(END_S)
    stop.set()

    steady = [request for request in requests if request[0] >= start + max(LATER_AT, RESET_AT + WINDOW_S)]
    served = {}
    for route in ("first", "added"):
        for router in routers:
            statuses = [status for _, name, one, status in steady if (name, one) == (router.name, route)]
            record.add(f"{route} route at {router.name}, in steady state: " +
                       ", ".join(f"{status}: {statuses.count(status)}" for status in sorted(set(statuses), key=str)))
        statuses = [status for _, _, one, status in steady if one == route]
        served[route] = (statuses.count(200), len(statuses))
        record.add(f"{route} route in steady state: {served[route][0]} of {served[route][1]} requests served")
    if served["added"][1] < 20 or served["first"][0] < 20:
        return None
    shares = {route: good / count for route, (good, count) in served.items()}
    return (f"CONFIG: the added route's requests are served {shares['added']:.2f}, those of the first route "
            f"{shares['first']:.2f}" if shares["added"] < 0.25 * shares["first"] else "")


standin.run(pathlib.Path(__file__).resolve().parent, main)
