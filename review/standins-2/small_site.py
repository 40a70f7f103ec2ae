"""Starts a small site on loopback addresses: the store, engines, gateways by the command of the
deploy file, and the operator's first configuration. All processes end with the site."""
import http.client
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
HOST = "site.example"
GIVEN = set()


def free_ports(count):
    """Free ports below the range from which the kernel takes those of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(10_000, 20_000)
        if port not in GIVEN and is_free(port):
            GIVEN.add(port)
            ports.append(port)
    return ports


def is_free(port):
    try:
        for kind in [socket.SOCK_STREAM, socket.SOCK_DGRAM]:
            with socket.socket(type=kind) as tried:
                tried.bind(("127.0.0.1", port))
    except OSError:
        return False
    return True


def route(name, kind, service, **more):
    return {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "kind": kind,
            "timeoutMs": 2000, "targetLatencyMs": 300, "priority": 2, "service": service,
            "maxAttempts": 2 if kind == "safe" else 1, "public": False, **more}


class Site:
    def __init__(self, record):
        self.record = open(record, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.folder = tempfile.TemporaryDirectory()
        self.processes = []
        self.store_port = free_ports(1)[0]
        self.start([sys.executable, "-B", HERE / "store.py", self.store_port], "store")
        self.wait_for_port(self.store_port)

    def note(self, text):
        line = f"{time.monotonic() - self.began:8.3f} s  {text}"
        print(line, file=self.record, flush=True)

    def start(self, command, name, cores=None):
        """Starts a process; with `cores`, it sees no more processors than that."""
        out = open(Path(self.folder.name) / name, "ab")
        seen = sorted(os.sched_getaffinity(0))[:cores]
        process = subprocess.Popen([str(word) for word in command], cwd=ROOT, stdout=out,
                                   stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
                                   preexec_fn=lambda: os.sched_setaffinity(0, seen))
        out.close()
        self.processes.append(process)
        return process

    def output(self, name):
        return (Path(self.folder.name) / name).read_text(errors="replace")

    def wait_for_port(self, port, seconds=5.0):
        until = time.monotonic() + seconds
        while True:
            try:
                socket.create_connection(("127.0.0.1", port), 1).close()
                return
            except OSError:
                if time.monotonic() > until:
                    raise
                time.sleep(0.005)

    def call_store(self, method, path, body=None):
        store = http.client.HTTPConnection("127.0.0.1", self.store_port, timeout=5)
        store.request(method, path, body and json.dumps(body))
        answer = store.getresponse()
        content = json.loads(answer.read())
        store.close()
        return answer.status, content

    def put(self, kind, name, spec):
        status, _ = self.call_store("PUT", f"/objects/{kind}/{name}",
                                    {"metadata": {"name": name}, "spec": spec})
        self.note(f"operator: {kind}/{name} acknowledged with {status}")

    def gateway(self, name, zone="hall-a", cores=None):
        callers, readiness, metrics, peers, tunnels = free_ports(5)
        settings = f"""
[node]
name = "{name}"
zone = "{zone}"
cpu_cores = 0.25
link_mbps = 1000.0
[listen]
callers = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{readiness}"
metrics = "127.0.0.1:{metrics}"
peers = "127.0.0.1:{peers}"
tunnels = "127.0.0.1:{tunnels}"
[store]
address = "127.0.0.1:{self.store_port}"
engine_heartbeat_ms = 1200
[bounds]
key_revocation_ms = 5000
revoke_when_cut = true
stop_seconds = 8.0
weights_ms = 8000
weights_total_ms = 11000
lease_ms = 3000
leaving_engine_ms = 2000
retry_ratio = 0.2
retry_window_seconds = 10.0
[topology.zones]
"hall-a" = "west"
"hall-b" = "west"
"""
        file = Path(self.folder.name) / f"{name}.toml"
        file.write_text(settings)
        process = self.start(["target/release/ploverlift", "gateway", "--settings", file], name,
                             cores)
        return Gateway(name, process, callers, readiness)

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        self.record.close()
        self.folder.cleanup()


class Gateway:
    def __init__(self, name, process, callers, readiness):
        self.name, self.process = name, process
        self.callers, self.readiness = callers, readiness

    def is_ready(self):
        try:
            asked = http.client.HTTPConnection("127.0.0.1", self.readiness, timeout=1)
            asked.request("GET", "/readyz")
            status = asked.getresponse().status
            asked.close()
            return status == 200
        except OSError:
            return False

    def wait_until_ready(self, seconds=15.0):
        until = time.monotonic() + seconds
        while not self.is_ready():
            if time.monotonic() > until:
                return False
            time.sleep(0.05)
        return True
