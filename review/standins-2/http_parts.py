"""Reading of requests and common answers, for stand-ins of engines."""


def read_request(connection):
    """The next request as method, path and headers (lower case); None at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = connection.recv(65536)
        if not more:
            return None
        data += more
    head, body = data.split(b"\r\n\r\n", 1)
    lines = head.decode().split("\r\n")
    method, path, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        headers[name.lower()] = value.strip()
    while len(body) < int(headers.get("content-length", "0")):
        more = connection.recv(65536)
        if not more:
            return None
        body += more
    return method, path, headers


def answer_with(connection, status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
