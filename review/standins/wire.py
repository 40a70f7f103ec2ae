"""HTTP/1.1 on blocking sockets, for the stand-ins and the client of the review."""

import socket


class Closed(Exception):
    """The peer closed or reset the connection."""


class Reader:
    """Reads messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise Closed("closed")
        self.buffer += data

    def line(self):
        while b"\n" not in self.buffer:
            self.fill()
        line, self.buffer = self.buffer.split(b"\n", 1)
        return line.rstrip(b"\r").decode("latin-1")

    def exactly(self, count):
        while len(self.buffer) < count:
            self.fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def head(self):
        """Start line and headers (names in lower case)."""
        start = self.line()
        while start == "":
            start = self.line()
        headers = {}
        while True:
            line = self.line()
            if line == "":
                return start, headers
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()

    def chunk(self):
        """The next chunk of a chunked body; empty at its end."""
        size = int(self.line().split(";")[0], 16)
        if size == 0:
            while self.line() != "":
                pass
            return b""
        data = self.exactly(size)
        self.line()
        return data

    def request_body(self, headers):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                part = self.chunk()
                if not part:
                    return b"".join(parts)
                parts.append(part)
        return self.exactly(int(headers.get("content-length", "0")))


def answer(status, reason, headers, body=b""):
    lines = ["HTTP/1.1 %d %s" % (status, reason)]
    lines += ["%s: %s" % pair for pair in headers]
    lines += ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode() + body


def call(address, method, path, headers=(), body=b"", timeout=5.0):
    """One call on a connection of its own; returns status, headers and body."""
    with socket.create_connection(address, timeout=timeout) as sock:
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: %s:%d" % address]
        lines += ["%s: %s" % pair for pair in headers]
        lines += ["Content-Length: %d" % len(body), "Connection: close", "", ""]
        sock.sendall("\r\n".join(lines).encode() + body)
        reader = Reader(sock)
        start, received = reader.head()
        body = reader.exactly(int(received.get("content-length", "0")))
        return int(start.split()[1]), received, body
