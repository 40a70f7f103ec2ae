"""Starts a small site on loopback: a store, engines, and gateways by the deploy file."""

import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, HERE)
from wire import Reader, call  # noqa: E402

# Settings of bulafix-ops, as its page gives them (DEPLOY.md, "Settings of a process").
BOUNDS = {"contactMs": 3000, "drainMs": 2000, "graceS": 8, "configApplyMs": 2000,
          "revokePartitioned": True, "revokeMs": 5000, "retryBudgetRatio": 0.2,
          "retryWindowS": 10, "retryMinExtra": 54, "leaseMs": 3000, "thawMs": 300,
          "versionMs": 8000, "versionAllMs": 11000}
ZONES = ["lautoka-hall", "nadi-hall", "ba-hall"]
HEARTBEAT_MS = 1200


def render(template, fields):
    """Fills a template as DEPLOY.md describes: gaps, sections and inverted sections."""
    def look(name, scope):
        for level in reversed(scope):
            value = level
            for part in name.split("."):
                value = value.get(part) if isinstance(value, dict) else (
                    value[int(part)] if isinstance(value, list) and part.isdigit() else None)
            if value is not None:
                return value
        return None

    def fill(text, scope, item=None, key=None):
        pattern = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)
        def section(found):
            sign, name, inner = found.groups()
            value = look(name, scope)
            given = value not in (None, False, [], {})
            if sign == "^":
                return "" if given else fill(inner, scope, item, key)
            if not given:
                return ""
            if isinstance(value, dict):
                return "".join(fill(inner, scope, v, k) for k, v in value.items())
            if isinstance(value, list):
                return "".join(fill(inner, scope, v, k) for k, v in enumerate(value))
            return fill(inner, scope, item, key)
        text = pattern.sub(section, text)
        def gap(found):
            name = found.group(1)
            value = item if name == "." else key if name == "@" else look(name, scope)
            return "" if value is None else str(value).lower() if isinstance(value, bool) \
                else str(value)
        return re.sub(r"\{\{([^}]+)\}\}", gap, text)

    return fill(template, [fields])


USED_PORTS = set()


def free_port():
    """A port that is free for TCP and UDP now, below those that the kernel gives to clients."""
    while True:
        port = random.randrange(12000, 31000)
        if port in USED_PORTS:
            continue
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        USED_PORTS.add(port)
        return port


class Site:
    """A site, and the record of what happened on it."""

    def __init__(self, record):
        self.record_path = record
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.processes = {}
        self.gateways = {}
        self.engine_log = os.path.join(self.folder.name, "engines.log")
        open(self.engine_log, "w").close()
        self.lines = []
        self.store = ("127.0.0.1", free_port())
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            role = file.read().split("[roles.gateway]")[1]
        self.role = dict(re.findall(r'^(\w+) = "([^"]*)"$', role, re.M))
        with open(os.path.join(ROOT, self.role["template"])) as file:
            self.template = file.read()

    def note(self, text):
        self.lines.append((time.time(), text))

    def start(self, name, command, cwd=None):
        log = open(os.path.join(self.folder.name, name + ".log"), "ab")
        process = subprocess.Popen(command, stdout=log, stderr=log, cwd=cwd or HERE,
                                   stdin=subprocess.DEVNULL)
        self.processes[name] = process
        self.note("starts %s" % name)
        return process

    def signal(self, name, number):
        self.note("%s to %s" % (signal.Signals(number).name, name))
        self.processes[name].send_signal(number)

    def start_store(self):
        self.start("store", [sys.executable, "store.py", str(self.store[1])])
        wait_for(lambda: call(self.store, "GET", "/objects/config")[0] == 200, 10)

    def put(self, kind, name, spec):
        """A write of the operator; returns when the store has acknowledged it."""
        body = json.dumps({"metadata": {"name": name}, "spec": spec}).encode()
        kind_path = "/objects/" + kind
        status, _, _ = call(self.store, "PUT", kind_path + "/" + name, body=body)
        if status == 404:
            status, _, _ = call(self.store, "POST", kind_path, body=body)
        self.note("operator writes %s/%s: %d" % (kind, name, status))
        return status

    def start_engine(self, name, service, zone, **options):
        port = free_port()
        options.setdefault("heartbeat_ms", HEARTBEAT_MS)
        words = ["%s=%s" % pair for pair in options.items()]
        self.start(name, [sys.executable, "engine.py", name, service, str(port), zone,
                          str(self.store[1]), self.engine_log] + words)
        return port

    def fields(self, name, zone):
        ports = [free_port() for _ in range(5)]
        address = "127.0.0.1:%d"
        return {"node": name, "zone": zone, "ip": "127.0.0.1", "bootstrap": True,
                "limits": {"cpuShare": 0.25, "linkMbps": 1000.0, "memoryMb": 260},
                "listen": {"front": address % ports[0], "readiness": address % ports[1]},
                "metrics": ports[2], "internalPortRange": [ports[3], ports[4]],
                "platform": {"address": address % self.store[1]}, "heartbeatMs": HEARTBEAT_MS,
                "bounds": BOUNDS, "zones": {zone: "viti-west" for zone in ZONES}}

    def start_gateway(self, name, zone):
        """Starts a gateway with the command of the deploy file; a name keeps its ports."""
        known = self.gateways.get(name)
        fields = dict(known["fields"], bootstrap=False) if known else self.fields(name, zone)
        # On one address, each process needs a metrics port of its own.
        text = render(self.template, fields).replace(":9464", ":%d" % fields["metrics"])
        path = os.path.join(self.folder.name, name + ".toml")
        with open(path, "w") as file:
            file.write(text)
        words = shlex.split(self.role["run"].replace("/etc/ploverlift/local.conf", path))
        self.start(name, words, cwd=ROOT)
        front = int(fields["listen"]["front"].split(":")[1])
        ready = int(fields["listen"]["readiness"].split(":")[1])
        self.gateways[name] = {"fields": fields, "front": ("127.0.0.1", front),
                               "ready": ("127.0.0.1", ready), "settings": path}

    def is_ready(self, name):
        try:
            return call(self.gateways[name]["ready"], "GET", "/readyz", timeout=1)[0] == 200
        except OSError:
            return False

    def wait_until_ready(self, seconds=20):
        wait_for(lambda: all(self.is_ready(name) for name in self.gateways), seconds)

    def log_of(self, name):
        with open(os.path.join(self.folder.name, name + ".log")) as file:
            return file.read()

    def engine_lines(self):
        with open(self.engine_log) as file:
            return file.read().splitlines()

    def end(self, verdict):
        """Ends all processes that the site started, and writes the record."""
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for line in self.engine_lines():
            at, text = line.split(" ", 1)
            self.lines.append((float(at), text))
        self.lines.sort(key=lambda line: line[0])
        first = self.lines[0][0]
        with open(self.record_path, "w") as file:
            for at, text in self.lines:
                file.write("%8.3f %s\n" % (at - first, text))
            file.write("verdict: %s\n" % verdict)
        if os.environ.get("KEEP"):
            import shutil
            shutil.copytree(self.folder.name, os.environ["KEEP"], dirs_exist_ok=True)
        self.folder.cleanup()


def wait_for(check, seconds):
    until = time.monotonic() + seconds
    while True:
        try:
            if check():
                return
        except OSError:
            pass
        if time.monotonic() > until:
            raise TimeoutError("not in time")
        time.sleep(0.05)
