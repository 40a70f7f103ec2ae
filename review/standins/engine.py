"""One engine, as PROTOCOL.md describes it. It keeps its record in the store, works on requests,
echoes their ids and signs its answers.

    engine.py ID SERVICE PORT ZONE STORE_PORT LOG KEY=VALUE...

heartbeat_ms   period of its writes to the store
model          its model; left out for a plain service
               with it, the engine keeps parts of prompts by salt and id
events, gap_ms a stream: number of its events and time between them
work_ms        a plain request: time until its answer
pause_at, pause_ms  a stream: the event before which it falls silent once, and for how long
slots          how many requests it works on at once; it queues those beyond
fails, status  the share of its requests that it fails from SIGUSR2 on, and with which status
address        the port in its record, where another process passes its connections on
framing        length (or chunks, for a stream), or close: an answer ends with its connection
drain_ms       what it waits for after the store has taken its `draining`
little_ms      "a little longer"

SIGUSR2: it turns grey: from now on it fails part of its requests; its health check stays good.
SIGUSR1: it plans to end. It says `draining`, serves on for drain_ms after the store has taken
that and little_ms longer, and ends."""

import json
import os
import signal
import socket
import sys
import threading
import time

from wire import Closed, Reader, answer, call

ID, SERVICE, PORT, ZONE, STORE, LOG = sys.argv[1:7]
OPTIONS = dict(word.split("=", 1) for word in sys.argv[7:])
STORE = ("127.0.0.1", int(STORE))
MODEL = OPTIONS.get("model")
EVENTS = int(OPTIONS.get("events", "0"))
GAP_S = int(OPTIONS.get("gap_ms", "0")) / 1000.0
WORK_S = int(OPTIONS.get("work_ms", "50")) / 1000.0
UNFRAMED = OPTIONS.get("framing") == "close"
PAUSE_AT, PAUSE_S = int(OPTIONS.get("pause_at", "0")), int(OPTIONS.get("pause_ms", "0")) / 1000.0
SLOTS = int(OPTIONS.get("slots", "64"))
FAILS = float(OPTIONS.get("fails", "0"))
STATUS = int(OPTIONS.get("status", "500"))
HEARTBEAT_S = int(OPTIONS.get("heartbeat_ms", "1200")) / 1000.0

lock = threading.Lock()
# Notified when a slot becomes free and when an order is taken.
moved = threading.Condition(lock)
log = open(LOG, "a", buffering=1)
state = {"state": "ready", "seq": 0, "version": 1, "orders": 0, "active": 0, "fence": 0,
         "asked": 0}
leaving = threading.Event()
grey = threading.Event()
# Kept parts: (salt, id) to the request and the tenant whose run made it; and their events.
kept = {}
kv_events = []


def note(text):
    with lock:
        log.write("%.3f engine %s %s\n" % (time.time(), ID, text))


def record():
    state["seq"] += 1
    spec = {"service": SERVICE, "address": "127.0.0.1:%s" % OPTIONS.get("address", PORT), "zone": ZONE, "version": "r1",
            "slots": 64, "state": state["state"], "coldRemainingMs": 0, "seq": state["seq"]}
    if MODEL:
        spec["stage"] = "prefill_decode"
        spec["models"] = [{"name": MODEL, "version": state["version"], "adapters": []}]
    return spec


def write_record(method):
    path = "/objects/servers" + ("" if method == "POST" else "/" + ID)
    body = json.dumps({"metadata": {"name": ID}, "spec": record()}).encode()
    return call(STORE, method, path, [("Content-Type", "application/json")], body)[0]


def heartbeats():
    write_record("POST")
    note("is recorded")
    while True:
        if leaving.wait(HEARTBEAT_S) and state["state"] == "ready":
            state["state"] = "draining"
            write_record("PUT")
            note("says draining, and the store has taken that")
            time.sleep(int(OPTIONS.get("drain_ms", "2000")) / 1000.0)
            time.sleep(int(OPTIONS.get("little_ms", "300")) / 1000.0)
            note("ends")
            os._exit(0)
        try:
            write_record("PUT")
        except OSError:
            pass


def fails_next():
    """Whether a grey engine fails this request: the first of every hundred, then every second
    one, until it has failed its share of the hundred."""
    if not grey.is_set():
        return False
    with lock:
        place = state["asked"] % 100
        state["asked"] += 1
    return place % 2 == 0 and place / 2 < FAILS * 100


def report():
    models = [{"name": MODEL, "version": state["version"], "adapters": []}] if MODEL else []
    return {"stage": "prefill_decode", "models": models, "busy": False, "seq": state["orders"],
            "queued": 0, "active": state["active"], "kvUsed": 0, "kvTotal": 110556, "handles": 0}


def order(body):
    sent = json.loads(body)
    with lock:
        if sent["fence"] < state["fence"]:
            return 412
        state["fence"] = sent["fence"]
        if sent.get("ifRevision") not in (None, state["orders"]):
            return 409
        if state["version"] >= sent["version"]:
            return 200
        state["orders"] += 1
        state["version"] = sent["version"]
        moved.notify_all()
        return 202


def prefill(request, headers):
    """Reads a prompt: uses the parts that are kept under the request's salt, in order, and keeps
    those that it has to read."""
    salt, tenant = headers.get("x-cache-salt", ""), headers.get("x-tenant-id", "")
    every_part_before = True
    for part in headers.get("x-prefix-hash", "").split(","):
        name, tokens = part.strip().split(":")
        with lock:
            maker = kept.get((salt, name))
        if maker and every_part_before:
            note("prompt of %s of tenant %s uses part %s made by %s of tenant %s, salt %s" % (
                request, tenant, name, maker[0], maker[1], salt))
            continue
        every_part_before = False
        with lock:
            kept[(salt, name)] = (request, tenant)
            kv_events.append([len(kv_events) + 1, "+", salt, name, int(tokens), MODEL])
        note("prompt of %s of tenant %s: part %s is read, salt %s" % (request, tenant, name, salt))


def kv_events_since(since, wait_ms):
    until = time.monotonic() + wait_ms / 1000.0
    while True:
        with lock:
            found, last = kv_events[since:], len(kv_events)
        if found or time.monotonic() >= until:
            return {"epoch": 1, "nextPageToken": last, "lost": False, "events": found}
        time.sleep(0.02)


def run(sock, headers, path):
    """Works on one request; returns whether the connection stays open."""
    request = headers["x-request-id"]
    signed = [("X-Request-Id", request), ("X-Response-Signature", "%s.%s" % (ID, request))]
    if MODEL:
        signed.append(("X-Weight-Versions", str(state["version"])))
    if not wait_for_slot():
        note("has taken an order, and so rejects %s, which it had queued" % request)
        sock.sendall(answer(503, "Unavailable", [("X-Request-Id", request),
                                                 ("X-Not-Executed", "1")]))
        return True
    after = int(headers.get("last-event-id", "0"))
    note("runs %s %s%s" % (request, path, " after event %d" % after if after else ""))
    try:
        if fails_next():
            note("fails %s with %d" % (request, STATUS))
            sock.sendall(answer(STATUS, "Failed", signed, b"the engine failed\n"))
            return True
        if MODEL and "x-prefix-hash" in headers:
            prefill(request, headers)
        if EVENTS:
            stream(sock, request, signed, after)
        else:
            time.sleep(WORK_S)
            body = (("%s %s " % (request, ID)) * 400).encode()[:8000]
            if UNFRAMED:
                sock.sendall(head(signed) + body)
            else:
                sock.sendall(answer(200, "OK", signed, body))
        note("has answered %s whole" % request)
        return not UNFRAMED
    except OSError:
        note("was cut in %s" % request)
        return False
    finally:
        with lock:
            state["active"] -= 1
            moved.notify_all()


def wait_for_slot():
    """Waits until the engine can begin a request. False: an order came first, and "until the
    order is done, any request it concerns that has not yet begun receives 503"."""
    with lock:
        orders = state["orders"]
        while state["active"] >= SLOTS:
            moved.wait()
            if state["orders"] != orders:
                return False
        state["active"] += 1
        return True


def head(headers):
    lines = ["HTTP/1.1 200 OK"] + ["%s: %s" % pair for pair in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def stream(sock, request, signed, after):
    signed = signed + [("Content-Type", "text/event-stream")]
    signed.append(("Connection", "close") if UNFRAMED else ("Transfer-Encoding", "chunked"))
    sock.sendall(head(signed))
    for number in range(after + 1, EVENTS + 1):
        time.sleep(GAP_S)
        if number == PAUSE_AT and not after:
            time.sleep(PAUSE_S)
        event = ("id: %d\ndata: %s piece %d of %d\n\n" % (number, request, number, EVENTS)).encode()
        sock.sendall(event if UNFRAMED else b"%x\r\n%s\r\n" % (len(event), event))
    if not UNFRAMED:
        sock.sendall(b"0\r\n\r\n")


def reply(sock, status, content=None, headers=()):
    body = json.dumps(content).encode() if content is not None else b""
    sock.sendall(answer(status, "Status", list(headers), body))


def serve(sock):
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    reader = Reader(sock)
    try:
        while True:
            start, headers = reader.head()
            method, target, _ = start.split(" ")
            body = reader.request_body(headers)
            expected = headers.get("x-expect-instance")
            if expected not in (None, ID):
                reply(sock, 421, headers=[("X-Instance-Id", ID), ("X-Not-Executed", "1")])
            elif target == "/report":
                reply(sock, 200, report())
            elif target == "/order":
                reply(sock, order(body))
            elif target == "/healthz":
                ready = state["state"] == "ready"
                reply(sock, 200 if ready else 503, headers=[("X-Instance-Id", ID)])
            elif target.startswith("/kv-events"):
                since = int(target.partition("since=")[2] or "0")
                wait_ms = min(int(headers.get("wait-ms", "0")), 1000)
                reply(sock, 200, kv_events_since(since, wait_ms))
            elif target.startswith("/kv-list"):
                with lock:
                    held = [event[2:] for event in kv_events]
                reply(sock, 200, {"epoch": 1, "nextPageToken": len(held), "held": held})
            elif "x-request-id" not in headers:
                reply(sock, 400, headers=[("X-Not-Executed", "1")])
            elif headers.get("x-expect-version", str(state["version"])) != str(state["version"]):
                reply(sock, 421, headers=[("X-Instance-Id", ID), ("X-Not-Executed", "1"),
                                          ("X-Request-Id", headers["x-request-id"])])
            elif not run(sock, headers, target):
                return
    except (Closed, OSError):
        pass
    finally:
        sock.close()


def main():
    signal.signal(signal.SIGUSR1, lambda *_: leaving.set())
    signal.signal(signal.SIGUSR2, lambda *_: grey.set())
    listener = socket.create_server(("127.0.0.1", int(PORT)), backlog=256)
    threading.Thread(target=heartbeats, daemon=True).start()
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


main()
