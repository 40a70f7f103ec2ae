"""A configuration takes a service's share of a split route away; the service is used on.

Exits with 1 if a request that was sent later than configApplyMs after the acknowledgement was run
by the service whose weight is 0, with 0 if none was, with 2 if the case could not run. With
TROUBLE=0 the second configuration is not written.
"""
import json
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from client import send  # noqa: E402
from small_site import HOST, Site, free_ports, route  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
GATEWAYS = 2
KEY = "key-of-amber"
# Requests of each route and node under the first configuration: where a node stands in its
# rotation depends on whether their number is even.
ROUTES = {"price": 20, "stock": 21}
# Well beyond configApplyMs (2 s) and contactMs (3 s).
AFTER_CHANGE_S = 8.0
REQUESTS_AFTER = 15


def configuration(version, old_weight, new_weight):
    routes = []
    for name in ROUTES:
        split = route(name, "safe", "")
        del split["service"]
        split["trafficSplit"] = [{"service": "old-desk", "weight": old_weight},
                                 {"service": "new-desk", "weight": new_weight}]
        routes.append(split)
    return {
        "version": version, "routes": routes,
        "services": [{"name": name, "maxConnections": 100, "healthPath": "/healthz"}
                     for name in ["old-desk", "new-desk"]],
        "tenants": [{"name": "amber", "apiKeys": [KEY]}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 5000},
    }


def main():
    site = Site(HERE / "record.txt")
    try:
        return play(site)
    finally:
        site.end()


def play(site):
    for service in ["old-desk", "new-desk"]:
        port = free_ports(1)[0]
        site.start([sys.executable, "-B", HERE.parent / "standins-2" / "engine.py", port, service,
                    site.store_port, 2, 4], service)
        site.wait_for_port(port)
    site.put("config", "main", configuration(1, 50, 50))
    gateways = [site.gateway(f"front-{number}") for number in range(1, GATEWAYS + 1)]
    if not all(gateway.wait_until_ready() for gateway in gateways):
        site.note("a gateway is not ready")
        return 2
    time.sleep(1.0)
    served = []

    def ask(phase, name, count):
        for gateway in gateways:
            for number in range(count):
                request_id = f"{phase}-{gateway.name}-{name}-{number}"
                answer = send(gateway.callers, "GET", f"/{name}/x", request_id, HOST, 4000,
                              [f"X-Credential: {KEY}"])
                served.append(answer.status == 200 and answer.is_complete)
                if not served[-1]:
                    site.note(f"client: {request_id} got {answer}")

    for name, count in ROUTES.items():
        ask("before", name, count)
    if HAS_TROUBLE:
        site.put("config", "main", configuration(2, 0, 1))
        site.note("from version 2 on, the weights are 0 (old-desk) and 1 (new-desk)")
    time.sleep(AFTER_CHANGE_S)
    for name in ROUTES:
        ask("after", name, REQUESTS_AFTER)
    time.sleep(0.5)
    return judge(site, served, gateways)


def judge(site, served, gateways):
    runs = {service: [json.loads(line) for line in site.output(service).splitlines()]
            for service in ["old-desk", "new-desk"]}
    late = 0
    for phase in ["before", "after"]:
        for gateway in gateways:
            for name in ROUTES:
                start = f"{phase}-{gateway.name}-{name}-"
                counts = {service: sum(seen["event"] == "runs" and seen["id"].startswith(start)
                                       for seen in all_seen)
                          for service, all_seen in runs.items()}
                site.note(f"{phase}: {gateway.name}, route {name}: {counts['old-desk']} run by "
                          f"old-desk, {counts['new-desk']} by new-desk")
                late += counts["old-desk"] if phase == "after" else 0
    site.note("what the engines saw:")
    for service, all_seen in runs.items():
        for seen in all_seen:
            print(f"    {service} {json.dumps(seen)}", file=site.record)
    is_broken = HAS_TROUBLE and late > 0
    if is_broken:
        site.note(f"BROKEN: {late} requests sent {AFTER_CHANGE_S} s after the acknowledgement were "
                  "run by the service whose weight is 0")
    site.note(f"{sum(served)} of {len(served)} requests served, rule "
              f"{'broken' if is_broken else 'kept'}")
    if not all(served):
        return 2
    return 1 if is_broken else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except Exception as error:  # the case could not run
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
