"""A client: one request on a new connection, and whether its answer is complete by HTTP/1.1."""
import socket
import time


class Answer:
    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.end = ""

    def __str__(self):
        kind = "complete" if self.is_complete else "not complete"
        return f"{self.status}, body of {len(self.body)} bytes, {kind} ({self.end})"


def send(port, method, path, request_id, host, deadline_ms, headers=(), body=b""):
    """Sends a request and reads its answer until it is complete, broken off, or too late."""
    answer = Answer()
    until = time.monotonic() + deadline_ms / 1000
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Request-Id: {request_id}",
             f"X-Deadline-Ms: {deadline_ms}", *headers]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    connection = socket.create_connection(("127.0.0.1", port), 1)
    try:
        connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        read(connection, answer, until)
    except TimeoutError:
        answer.end = "the client's deadline"
    except OSError as error:
        answer.end = f"the connection was reset: {error}"
    connection.close()
    return answer


def receive(connection, until):
    left = until - time.monotonic()
    if left <= 0:
        raise TimeoutError
    connection.settimeout(left)
    return connection.recv(65536)


def read(connection, answer, until):
    data = b""
    while b"\r\n\r\n" not in data:
        more = receive(connection, until)
        if not more:
            answer.end = "closed before the end of the head"
            return
        data += more
    head, data = data.split(b"\r\n\r\n", 1)
    lines = head.decode().split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    for line in lines[1:]:
        name, value = line.split(":", 1)
        answer.headers[name.lower()] = value.strip()
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        read_chunks(connection, answer, data, until)
    elif "content-length" in answer.headers:
        read_length(connection, answer, data, until)
    else:
        read_to_close(connection, answer, data, until)


def read_length(connection, answer, data, until):
    length = int(answer.headers["content-length"])
    while len(data) < length:
        more = receive(connection, until)
        if not more:
            answer.body, answer.end = data, "closed inside the body"
            return
        data += more
    answer.body, answer.is_complete, answer.end = data[:length], True, "by its length"


def read_to_close(connection, answer, data, until):
    while True:
        more = receive(connection, until)
        if not more:
            answer.body, answer.is_complete, answer.end = data, True, "by the close"
            return
        data += more


def read_chunks(connection, answer, data, until):
    while True:
        while b"\r\n" not in data:
            more = receive(connection, until)
            if not more:
                answer.end = "closed between chunks"
                return
            data += more
        size, data = data.split(b"\r\n", 1)
        try:
            length = int(size.split(b";")[0], 16)
        except ValueError:
            answer.end = f"bytes that are no chunk: {size[:40]!r}"
            return
        while len(data) < length + 2:
            more = receive(connection, until)
            if not more:
                answer.body += data[:length]
                answer.end = "closed inside a chunk"
                return
            data += more
        if length == 0:
            answer.is_complete, answer.end = True, "by its last chunk"
            return
        answer.body += data[:length]
        data = data[length + 2:]
