"""A configuration isolates a tenant whose prompts engines have read before. See claim.txt."""

import os
import re
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
from client import HOST, KEY, MODEL, Request, prompt_headers  # noqa: E402
from smallsite import ZONES, Site  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
OTHER_KEY = "kq7vnm2wz0aheo41tyxd"
ISOLATED = "tamu31"
REQUESTS = 6
USE = re.compile(r"prompt of (\w+) of tenant (\w+) uses part (\w+) made by (\w+) of tenant (\w+)")


def configuration(version, isolated):
    route = {"name": "part-lookup", "host": HOST, "pathPrefix": "/lepu270/", "kind": "stream",
             "timeoutMs": 15000, "targetLatencyMs": 600, "gapTargetMs": 500, "priority": 0,
             "service": "fixit-llm", "maxAttempts": 1, "public": False, "resumable": False,
             "sticky": True}
    engine = {"kvTokenBytes": 163840.0, "linkMbps": 1100000.0, "kvCapacityTokens": 110556,
              "maxInFlight": 8, "models": [{"name": MODEL, "version": 1}]}
    service = {"name": "fixit-llm", "maxConnections": 360, "healthPath": "/healthz",
               "engine": engine}
    tenants = [{"name": "sese880", "apiKeys": [KEY], "isolated": False},
               {"name": ISOLATED, "apiKeys": [OTHER_KEY], "isolated": isolated}]
    return {"version": version, "routes": [route], "services": [service], "tenants": tenants,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 5000}}


def ask(site, first, key):
    """Requests of one tenant about the same shared parts, one after the other, at all nodes."""
    for number in range(first, first + REQUESTS):
        address = site.gateways["front-%d" % (number % 3)]["front"]
        request = Request(address, "POST", "/lepu270/2f", "%016x" % (0xA000 + number),
                          prompt_headers(number), key=key)
        request.start()
        request.join(20)
        site.lines.append((request.sent_at, "client sends %s with the key of %s" % (
            request.request, "sese880" if key == KEY else ISOLATED)))
        site.note("client got of %s: status %s, %s" % (
            request.request, request.status, request.outcome))
        if request.status != 200:
            raise RuntimeError("%s was not served" % request.request)


def play(site):
    site.start_store()
    site.put("config", "main", configuration(1, False))
    site.put("versions", MODEL, {"model": MODEL, "version": 1})
    for number in range(2):
        site.start_engine("i-%d" % number, "fixit-llm", ZONES[number], model=MODEL, events=5,
                          gap_ms=20, framing="chunks")
    for number, zone in enumerate(ZONES):
        site.start_gateway("front-%d" % number, zone)
    site.wait_until_ready()
    time.sleep(3)
    ask(site, 0, OTHER_KEY)
    # The same configuration without the change is written where there is no disruption.
    site.put("config", "main", configuration(7, TROUBLE))
    time.sleep(5)
    later = len(site.engine_lines())
    ask(site, REQUESTS, KEY)
    ask(site, 2 * REQUESTS, OTHER_KEY)
    uses = [USE.search(line) for line in site.engine_lines()[later:]]
    uses = [use.groups() for use in uses if use]
    foreign = [use for use in uses if use[1] != use[4]]
    if not TROUBLE:
        # Without isolation, tenants may share: the stand-ins show that they do.
        if not foreign:
            raise RuntimeError("nothing was shared, so nothing is shown")
        return []
    return [use for use in foreign if ISOLATED in (use[1], use[4])]


def main():
    site = Site(os.path.join(HERE, "record.txt"))
    try:
        broken = play(site)
        verdict = "held"
        if broken:
            verdict = "broken: %d times a prompt used KV cache of another tenant, one of the two " \
                "isolated; first: request %s of %s, part %s made by %s of %s" % (
                    (len(broken),) + broken[0])
        code = 1 if broken else 0
    except Exception as error:  # noqa: BLE001
        verdict, code = "could not run: %r" % error, 2
    site.end(verdict)
    print(verdict)
    sys.exit(code)


main()
