"""Start and stop small fleets of real processes on loopback.

Shared by the demo, the benches and the end-to-end tests, so that all of them
start the programs in one way.  Only the standard library is used.
"""

import http.client
import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import tempfile
import time

BIN = pathlib.Path(os.environ.get("BRF_BIN", "build/rel/bin"))
HOST = "127.0.0.1"


def read_metrics(port):
    """All samples as {'name{labels}': value}."""
    text = request(port, "GET", "/metrics")[2].decode()
    samples = {}
    for line in text.splitlines():
        if line and not line.startswith("#"):
            name, value = line.rsplit(" ", 1)
            samples[name] = float(value)
    return samples


def until(condition, seconds, what):
    """Wait for condition() to be true; its value is returned."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise TimeoutError(f"waited {seconds} s for {what}")


def request(port, method, path, body=None, headers=None, timeout=10):
    """One HTTP request; returns (status, headers with lower names, body)."""
    conn = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        conn.request(method, path, body, headers or {})
        answer = conn.getresponse()
        names = {k.lower(): v for k, v in answer.getheaders()}
        return answer.status, names, answer.read()
    finally:
        conn.close()


def get_json(port, path):
    return json.loads(request(port, "GET", path)[2])


class Process:
    """A program of the project, ended by id."""

    def __init__(self, argv, env=None, log=None):
        self.argv = [str(a) for a in argv]
        self.log = log
        out = open(log, "ab") if log else subprocess.DEVNULL
        self.popen = subprocess.Popen(
            self.argv,
            env={**os.environ, **(env or {})},
            stdout=subprocess.PIPE,
            stderr=out,
        )

    def first_line(self):
        """Programs that choose a port print it as one JSON line."""
        return json.loads(self.popen.stdout.readline())

    def alive(self):
        return self.popen.poll() is None

    def signal(self, number):
        if self.alive():
            self.popen.send_signal(number)

    def stop(self, seconds=15):
        """SIGTERM, then wait; returns the exit code."""
        self.signal(signal.SIGTERM)
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            self.popen.wait()
            return -9

    def kill(self):
        if self.alive():
            self.popen.kill()
        self.popen.wait()


class Node(Process):
    """bulrushfordd with ports chosen by the kernel."""

    def __init__(self, fleet, name, zone, region, seeds, extra=(), env=None):
        self.name = name
        self.zone = zone
        ports = fleet.folder / f"{name}.{secrets.token_hex(3)}.ports"
        argv = [
            BIN / "bulrushfordd", "--address", HOST, "--zone", zone,
            "--region", region, "--entry-port", 0, "--peer-port", 0,
            "--gossip-port", 0, "--local-port", 0, "--admin-port", 0,
            "--ports-file", ports, *extra,
        ]
        if seeds:
            argv += ["--seeds", ",".join(seeds)]
        super().__init__(
            argv, {"BRF_FLEET_KEY": fleet.key, **(env or {})},
            fleet.folder / f"{name}.log",
        )
        def read():
            if not self.alive():
                raise RuntimeError(f"{name} ended at its start")
            return ports.exists() and ports.read_text().endswith("}\n")
        until(read, 10, f"{name} to listen")
        self.ports = json.loads(ports.read_text())

    @property
    def seed(self):
        return f"{HOST}:{self.ports['gossip']}"

    def status(self):
        return get_json(self.ports["admin"], "/brf/v1/status")

    def metrics(self):
        return read_metrics(self.ports["admin"])


class Fleet:
    """Processes of one run; a context manager that leaves none behind."""

    def __init__(self):
        self.tmp = tempfile.TemporaryDirectory(prefix="brf-")
        self.folder = pathlib.Path(self.tmp.name)
        self.key = secrets.token_hex(32)
        self.nodes = []
        self.targets = []
        self.others = []

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None:
            self.show_logs()
        for p in self.targets + self.nodes + self.others:
            p.kill()
        self.tmp.cleanup()

    def show_logs(self):
        for log in sorted(self.folder.glob("*.log")):
            lines = log.read_text(errors="replace").splitlines()[-15:]
            print(f"--- {log.name}", *lines, sep="\n")

    def seeds(self):
        return [n.seed for n in self.nodes[:4] if n.alive()]

    def add_node(self, name, zone="zone-a", region="region-1", extra=(),
                 env=None):
        node = Node(self, name, zone, region, self.seeds(), extra, env)
        self.nodes.append(node)
        return node

    def add_target(self, node, service, *extra):
        """A target that announces itself at node; None: at no node."""
        argv = [BIN / "brf-target", "--service", service]
        name = f"target-{service}-{len(self.targets)}"
        if node is not None:
            argv += ["--node-port", node.ports["local"]]
        target = Process([*argv, *extra], log=self.folder / f"{name}.log")
        target.port = target.first_line()["port"]
        target.service = service
        target.node = node
        self.targets.append(target)
        return target

    def add_store(self, *extra):
        store = Process([BIN / "brf-store", *extra],
                        log=self.folder / "store.log")
        store.port = store.first_line()["port"]
        self.others.append(store)
        return store

    def wait_ready(self, seconds=15):
        """Until each node knows each other and each announced target."""
        alive = [n for n in self.nodes if n.alive()]
        want = len([t for t in self.targets if t.node and t.alive()])

        def ready():
            for n in alive:
                members = get_json(n.ports["admin"], "/brf/v1/members")
                here = [m for m in members if m["state"] != "gone"]
                up = [m for m in here if m["state"] == "ready"]
                if len(here) != len(alive) or len(up) != want:
                    return False
            return True

        until(ready, seconds, "members and targets to be known")


def load(to, streams, **more):
    """Run brf-load to the end; returns its JSON report."""
    return finish_load(start_load(to, streams, **more))


def start_load(to, streams, connections=256, report_ms=0, seed=1):
    """Streams are dicts of brf-load's flags; to is a list of ports."""
    mix = tempfile.NamedTemporaryFile("w", suffix=".json", delete=False)
    json.dump([{k.replace("_", "-"): v for k, v in s.items()}
               for s in streams], mix)
    mix.close()
    argv = [BIN / "brf-load", "--mix", mix.name, "--seed", seed,
            "--connections", connections, "--report-ms", report_ms]
    for port in to:
        argv += ["--to", f"{HOST}:{port}"]
    proc = Process(argv)
    proc.mix = mix.name
    return proc


def finish_load(proc):
    out = proc.popen.stdout.read()
    code = proc.popen.wait()
    os.unlink(proc.mix)
    if code != 0:
        raise RuntimeError(f"brf-load ended with {code}")
    return json.loads(out)
