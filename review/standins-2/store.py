"""The platform's store, as PROTOCOL.md describes it: objects by kind and name, one counter of
revisions, lists, watches, conditional writes. Entries of engines lapse after three heartbeats.

    python3 store.py PORT
"""
import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

HEARTBEAT_S = 1.2
PAGE = 500


class Objects:
    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 1
        self.objects = {}
        self.history = []

    def record(self, kind, body, gone):
        self.history.append((self.revision, kind, body, gone))
        self.changed.notify_all()

    def write(self, kind, name, spec, status, finalizers):
        self.revision += 1
        body = {
            "metadata": {"name": name, "revision": self.revision, "made": 0,
                         "finalizers": finalizers, "deleting": False},
            "spec": spec, "status": status,
        }
        self.objects[(kind, name)] = [body, time.monotonic()]
        self.record(kind, body, False)
        return body

    def remove(self, kind, name):
        body = json.loads(json.dumps(self.objects.pop((kind, name))[0]))
        self.revision += 1
        body["metadata"]["revision"] = self.revision
        self.record(kind, body, True)
        return body

    def expire(self):
        while True:
            time.sleep(0.1)
            with self.changed:
                old = time.monotonic() - 3 * HEARTBEAT_S
                for (kind, name), (_, written) in list(self.objects.items()):
                    if kind == "servers" and written < old:
                        self.remove(kind, name)


OBJECTS = Objects()


def without_seq(spec):
    return {key: value for key, value in spec.items() if key != "seq"}


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def answer(self, status, body):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def parts(self):
        url = urlsplit(self.path)
        names = url.path.removeprefix("/objects/").split("/")
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        return names, query

    def do_GET(self):
        names, query = self.parts()
        kind = names[0]
        with OBJECTS.changed:
            if len(names) > 1:
                found = OBJECTS.objects.get((kind, names[1]))
                return self.answer(*((200, found[0]) if found else (404, {})))
            if "watch" not in query:
                after = query.get("after", "")
                items = sorted((name, entry[0]) for (known, name), entry
                               in OBJECTS.objects.items() if known == kind and name > after)
                page = [body for _, body in items[:PAGE]]
                return self.answer(200, {"items": page, "more": len(items) > PAGE,
                                         "at": OBJECTS.revision})
            since = int(query["watch"])
            until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while True:
                events = [{"object": body, "gone": gone}
                          for revision, known, body, gone in OBJECTS.history
                          if known == kind and revision > since]
                left = until - time.monotonic()
                if events or left <= 0:
                    break
                OBJECTS.changed.wait(left)
            answer = {"events": events, "at": OBJECTS.revision}
        self.answer(200, answer)

    def do_write(self):
        names, query = self.parts()
        length = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(length) or b"{}")
        meta = body.get("metadata", {})
        kind = names[0]
        name = names[1] if len(names) > 1 else meta["name"]
        stated = query.get("revision", meta.get("revision"))
        with OBJECTS.changed:
            entry = OBJECTS.objects.get((kind, name))
            known = entry and entry[0]
            if self.command == "POST":
                if known:
                    return self.answer(409, known)
                return self.answer(200, OBJECTS.write(kind, name, body.get("spec"), None, []))
            if not known and (self.command == "DELETE" or stated is not None):
                return self.answer(404, {})
            if stated is not None and int(stated) != known["metadata"]["revision"]:
                return self.answer(409, known)
            if self.command == "DELETE":
                return self.answer(200, OBJECTS.remove(kind, name))
            finalizers = known["metadata"]["finalizers"] if known else []
            if names[-1] == "status" and len(names) > 2:
                spec, status = known["spec"], body.get("status")
            else:
                spec, status = body.get("spec"), known and known["status"]
            if known and kind == "servers" and without_seq(spec) == without_seq(known["spec"]):
                entry[1] = time.monotonic()
                return self.answer(200, known)
            self.answer(200, OBJECTS.write(kind, name, spec, status, finalizers))

    do_POST = do_PUT = do_DELETE = do_write


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128


if __name__ == "__main__":
    threading.Thread(target=OBJECTS.expire, daemon=True).start()
    Server(("127.0.0.1", int(sys.argv[1])), Handler).serve_forever()
