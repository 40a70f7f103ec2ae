"""A client, as PROTOCOL.md describes it: one request on a new connection."""

import socket
import threading
import time

from wire import Closed, Reader

HOST = "jepu9.example"
KEY = "ctnfzs989anu6wsjnban"
MODEL = "daka510000"


def prompt_headers(number):
    return [("X-Model", MODEL), ("X-Token-Usage", "1460,80"),
            ("X-Prefix-Hash", "5c1e07a2:800,91bd3f06:410,%08x:250" % (0x10000 + number))]


class Request(threading.Thread):
    """One client attempt. `outcome` is complete, cut, malformed or silent; `status`, `body` and `events`
    are what the client has got."""

    def __init__(self, address, method, path, request, headers=(), body=b"", deadline_ms=15000,
                 key=KEY):
        super().__init__(daemon=True)
        self.address, self.request, self.deadline_ms = address, request, deadline_ms
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: %s" % HOST,
                 "X-Request-Id: %s" % request, "X-Deadline-Ms: %d" % deadline_ms,
                 "X-Credential: %s" % key]
        lines += ["%s: %s" % pair for pair in headers]
        if body:
            lines.append("Content-Length: %d" % len(body))
        self.message = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        self.status, self.headers, self.body = None, {}, b""
        self.outcome, self.sent_at, self.ended_at = "silent", None, None

    def run(self):
        self.sent_at = time.time()
        try:
            with socket.create_connection(self.address, timeout=1.0) as sock:
                sock.settimeout(self.deadline_ms / 1000.0)
                sock.sendall(self.message)
                self.read(Reader(sock))
                self.outcome = "complete"
        except socket.timeout:
            self.outcome = "silent"
        except ValueError as error:
            self.outcome = "malformed (%s)" % error
        except (Closed, OSError) as error:
            self.outcome = "cut (%s)" % error
        self.ended_at = time.time()

    def read(self, reader):
        start, self.headers = reader.head()
        self.status = int(start.split()[1])
        if self.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                part = reader.chunk()
                if not part:
                    return
                self.body += part
        length = self.headers.get("content-length")
        if length is not None:
            self.body = reader.exactly(int(length))
            return
        raise ValueError("an answer without framing to a client of HTTP/1.1")

    def events(self):
        return self.body.count(b"\n\n")
