"""A configuration makes a tenant isolated; other tenants go on to use what its requests made.

Exits with 1 if a request used a part that another tenant's request made although one of the two
is isolated, with 0 if none did, with 2 if the case could not run. With TROUBLE=0 the second
configuration is not written.
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
MODEL = "m510000"
# Well beyond configApplyMs (2 s) and contactMs (3 s).
AFTER_CHANGE_S = 8.0
GATEWAYS = 2


def configuration(version, isolated):
    stream = route("ask", "stream", "llm", timeoutMs=6000, targetLatencyMs=800, maxAttempts=2,
                   gapTargetMs=500, resumable=True, sticky=True)
    engine = {"kvTokenBytes": 163840.0, "linkMbps": 1100000.0, "kvCapacityTokens": 110556.0,
              "models": [{"name": MODEL, "version": 1}]}
    tenants = [{"name": name, "apiKeys": [f"key-of-{name}"], "isolated": name in isolated}
               for name in ["amber", "birch", "cedar"]]
    return {
        "version": version, "routes": [stream], "tenants": tenants,
        "services": [{"name": "llm", "maxConnections": 360, "healthPath": "/healthz",
                      "engine": engine}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 5000},
    }


def main():
    site = Site(HERE / "record.txt")
    try:
        return play(site)
    finally:
        site.end()


def play(site):
    port = free_ports(1)[0]
    command = [sys.executable, "-B", HERE.parent / "standins-2" / "model_engine.py", port, "llm",
               site.store_port, MODEL]
    site.start(command, "engine")
    site.wait_for_port(port)
    isolated = {"cedar"}
    site.put("config", "main", configuration(1, isolated))
    gateways = [site.gateway(f"front-{number}") for number in range(1, GATEWAYS + 1)]
    if not all(gateway.wait_until_ready() for gateway in gateways):
        site.note("a gateway is not ready")
        return 2
    time.sleep(1.0)
    served = []

    def ask(tenant, number):
        """A request whose prompt begins with the two parts that all tenants send."""
        request_id = f"{tenant}-{number}"
        gateway = gateways[number % GATEWAYS]
        headers = [f"X-Credential: key-of-{tenant}", f"X-Model: {MODEL}",
                   "X-Token-Usage: 1460,80",
                   f"X-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,{number:08x}:250"]
        answer = send(gateway.callers, "POST", "/ask/x", request_id, HOST, 6000, headers,
                      b"x" * 1700)
        site.note(f"client: {request_id} of {tenant} through {gateway.name} got {answer}")
        served.append(answer.status == 200 and answer.is_complete)

    for number, tenant in enumerate(["amber", "birch", "cedar", "amber", "birch", "cedar"]):
        ask(tenant, number)
        time.sleep(0.2)
    first_isolated = time.time()
    if HAS_TROUBLE:
        isolated = isolated | {"amber"}
        site.put("config", "main", configuration(2, isolated))
        site.note("from version 2 on, amber is isolated")
    time.sleep(AFTER_CHANGE_S)
    judged_from = time.time()
    for number, tenant in enumerate(["birch", "amber", "cedar", "birch"], 100):
        ask(tenant, number)
        time.sleep(0.2)
    time.sleep(0.5)
    return judge(site, served, isolated, first_isolated, judged_from)


def judge(site, served, isolated, first_isolated, judged_from):
    is_broken = False
    site.note("what the engine saw:")
    for line in site.output("engine").splitlines():
        print("    " + line, file=site.record)
        seen = json.loads(line)
        if seen["event"] != "uses" or seen["made_by"] == seen["tenant"]:
            continue
        walled = isolated if seen["at"] >= judged_from else {"cedar"}
        if first_isolated <= seen["at"] < judged_from:
            continue
        if seen["tenant"] in walled or seen["made_by"] in walled:
            is_broken = True
            site.note(f"BROKEN: {seen['id']} of {seen['tenant']} used part {seen['part']} that a "
                      f"request of {seen['made_by']} made, salt {seen['salt']!r}; isolated: "
                      f"{', '.join(sorted(walled))}")
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
