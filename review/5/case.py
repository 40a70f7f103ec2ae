"""An engine spoils one of its answers: a stream goes on with bytes that are no event.

Exits with 1 if eight or more requests to another service, and over a quarter of those that last
longer than their route's timeoutMs, have no final answer 0.5 s after it; with 0 if not; with 2 if
the case could not run. With TROUBLE=0 the engine spoils nothing.
"""
import os
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from client import send  # noqa: E402
from small_site import HOST, Site, free_ports, route  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
KEY = "key-of-amber"
MODEL = "m510000"
# One answer in twenty, as of `garble` with x = .05; the streams take 5 s.
SPOIL_EVERY, SPOIL_BYTES = 20, 16 * 1024 * 1024
STREAMS, STREAM_EVERY_S = 35, 0.14
# What one of the site's seven machines gets of the plain service, for 15 s.
PLAIN, PLAIN_EVERY_S = 50, 0.3
TIMEOUT_S, DEADLINE_MS, STREAM_SILENCE_MS = 2.0, 4000, 4000
GRACE_S = 0.5


def configuration():
    engine = {"kvTokenBytes": 163840.0, "linkMbps": 1100000.0, "kvCapacityTokens": 110556.0,
              "models": [{"name": MODEL, "version": 1}]}
    return {
        "version": 1,
        "routes": [route("part", "stream", "llm", timeoutMs=15000, targetLatencyMs=600,
                         priority=0, gapTargetMs=500, resumable=False, sticky=True),
                   route("ticket", "safe", "desk"), route("booking", "unsafe", "desk")],
        "services": [{"name": "llm", "maxConnections": 360, "healthPath": "/healthz",
                      "engine": engine},
                     {"name": "desk", "maxConnections": 100, "healthPath": "/healthz"}],
        "tenants": [{"name": "amber", "apiKeys": [KEY]}],
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
    standins = HERE.parent / "standins-2"
    desk, llm = free_ports(2)
    site.start([sys.executable, "-B", standins / "engine.py", desk, "desk", site.store_port, 5, 20],
               "desk")
    spoils = ["--spoil-every", SPOIL_EVERY, "--spoil-bytes", SPOIL_BYTES] if HAS_TROUBLE else []
    site.start([sys.executable, "-B", standins / "model_engine.py", llm, "llm", site.store_port,
                MODEL, *spoils], "llm")
    site.wait_for_port(desk)
    site.wait_for_port(llm)
    site.put("config", "main", configuration())
    # The site's machines have one processor.
    gateway = site.gateway("front-1", cores=1)
    if not gateway.wait_until_ready():
        site.note("the gateway is not ready")
        return 2
    time.sleep(1.0)
    plain = {}
    streams = {}

    def ask_plain(number):
        name, method = [("ticket", "GET"), ("booking", "POST")][number % 2]
        ask(plain, method, f"/{name}/x", f"{name}-{number}", DEADLINE_MS, [])

    def ask_stream(number):
        headers = [f"X-Model: {MODEL}", "X-Token-Usage: 826,73",
                   f"X-Prefix-Hash: 5c1e07a2:119,91bd3f06:79,{number:08x}:628"]
        ask(streams, "POST", "/part/x", f"part-{number}", STREAM_SILENCE_MS, headers, b"x" * 1700)

    def ask(kept, method, path, request_id, patience_ms, headers, body=b""):
        began = time.monotonic()
        answer = send(gateway.callers, method, path, request_id, HOST, patience_ms,
                      [f"X-Credential: {KEY}", *headers], body)
        took = time.monotonic() - began
        kept[request_id] = (took, answer)
        site.note(f"client: {request_id} after {took:.2f} s: {answer}")

    def all_of(work, count, pause_s):
        asking = []
        for number in range(count):
            asking.append(threading.Thread(target=work, args=(number,)))
            asking[-1].start()
            time.sleep(pause_s)
        for one in asking:
            one.join()

    kinds = [threading.Thread(target=all_of, args=(ask_plain, PLAIN, PLAIN_EVERY_S)),
             threading.Thread(target=all_of, args=(ask_stream, STREAMS, STREAM_EVERY_S))]
    for kind in kinds:
        kind.start()
    for kind in kinds:
        kind.join()
    for _ in range(60):
        if gateway.is_ready():
            break
        time.sleep(0.5)
    site.note(f"{gateway.name} answers the readiness probe with 200 again" if gateway.is_ready()
              else f"{gateway.name} still answers no readiness probe")
    return judge(site, plain, streams)


def judge(site, plain, streams):
    site.note("what the engines saw:")
    for service in ["desk", "llm"]:
        for line in site.output(service).splitlines():
            print(f"    {service} {line}", file=site.record)
    long = [took for took, _ in plain.values() if took > TIMEOUT_S]
    # An answer that the client no longer waited for is none: its deadline is later than both.
    late = [took for took in long if took > TIMEOUT_S + GRACE_S]
    is_broken = len(late) >= 8 and len(late) > len(long) / 4
    site.note(f"plain service: {len(plain)} requests, {len(long)} lasted longer than timeoutMs, "
              f"{len(late)} of them had no final answer {GRACE_S} s after it")
    if is_broken:
        site.note("BROKEN: requests without a final answer past their route's timeoutMs")
    site.note(f"rule {'broken' if is_broken else 'kept'}")
    served = [answer.status == 200 and answer.is_complete
              for _, answer in [*plain.values(), *streams.values()]]
    if not HAS_TROUBLE and not all(served):
        return 2
    return 1 if is_broken else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except Exception as error:  # the case could not run
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
