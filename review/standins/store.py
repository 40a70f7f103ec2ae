"""The platform's metadata store, as PROTOCOL.md describes it: objects by kind and name, one
counter of revisions, lists, watches, writes under a condition. Always up and linearizable."""

import json
import socket
import sys
import threading
import time
from urllib.parse import parse_qs, urlsplit

from wire import Closed, Reader, answer

PAGE = 500
changed = threading.Condition()
objects = {}
events = []
revision = 1


def shown(found):
    return json.loads(json.dumps(found))


def record(kind, found, gone):
    events.append((revision, kind, shown(found), gone))
    changed.notify_all()


def listed(kind, after):
    names = sorted(name for name in objects.get(kind, {}) if after is None or name > after)
    page = names[:PAGE]
    items = [objects[kind][name] for name in page]
    return 200, {"items": shown(items), "more": len(names) > PAGE, "at": revision}


def watched(kind, since, wait_ms):
    until = time.monotonic() + wait_ms / 1000.0
    while True:
        found = [{"object": o, "gone": g} for at, k, o, g in events if k == kind and at > since]
        left = until - time.monotonic()
        if found or left <= 0:
            return 200, {"events": found, "at": revision}
        changed.wait(left)


def changed_by(method, kind, name, status_only, sent, condition):
    """A writing call; the lock is held."""
    global revision
    known = objects.setdefault(kind, {})
    found = known.get(name)
    if method == "POST":
        if found is not None:
            return 409, found
    elif found is None:
        return 404, {}
    if condition is not None and method != "POST" and condition != found["metadata"]["revision"]:
        return 409, found
    if method == "DELETE":
        revision += 1
        found["metadata"]["revision"] = revision
        del known[name]
        record(kind, found, True)
        return 200, found
    part = "status" if status_only else "spec"
    if method == "PUT" and found[part] == sent.get(part):
        return 200, found
    revision += 1
    if method == "POST":
        found = {"metadata": {"name": name, "made": int(time.time() * 1000), "finalizers": [],
                              "deleting": False}, "spec": None, "status": None}
        known[name] = found
    found[part] = sent.get(part)
    found["metadata"]["revision"] = revision
    record(kind, found, False)
    return 200, found


def handle(method, target, body):
    parts = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(parts.query).items()}
    path = parts.path.strip("/").split("/")
    if path[0] != "objects" or len(path) < 2:
        return 404, {}
    kind, name = path[1], path[2] if len(path) > 2 else None
    with changed:
        if method == "GET" and "watch" in query:
            return watched(kind, int(query["watch"]), int(query.get("waitMs", "0")))
        if method == "GET" and name is None:
            return listed(kind, query.get("after"))
        if method == "GET":
            found = objects.get(kind, {}).get(name)
            return (404, {}) if found is None else (200, shown(found))
        sent = json.loads(body) if body else {}
        meta = sent.get("metadata", {})
        condition = meta.get("revision")
        if condition is None and "revision" in query:
            condition = int(query["revision"])
        status, found = changed_by(method, kind, name or meta.get("name"),
                                   len(path) > 3 and path[3] == "status", sent, condition)
        return status, shown(found)


def serve(sock):
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    reader = Reader(sock)
    try:
        while True:
            start, headers = reader.head()
            method, target, _ = start.split(" ")
            body = reader.request_body(headers)
            status, content = handle(method, target, body)
            kind = [("Content-Type", "application/json")]
            sock.sendall(answer(status, "Status", kind, json.dumps(content).encode()))
    except (Closed, OSError):
        pass
    finally:
        sock.close()


def main():
    listener = socket.create_server(("127.0.0.1", int(sys.argv[1])), backlog=256)
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


main()
