"""A small deployment for the cases of this review: the platform's store, the
operator, machines with a bulrushford-node and an upstream each, and clients.

All of it is on loopback addresses and the real clock.  The nodes run with the
command and the template of settings of deploy/; each machine has an address of
its own, and the ports are the same on all machines.
"""

import base64
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

from names import N

ROOT = pathlib.Path(__file__).resolve().parents[2]
HERE = pathlib.Path(__file__).resolve().parent
HOST = "app.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEAT_S = 1.5
GRACE_S, DRAIN_S = 6, 2  # the site's bounds, as the next two
RETRY_RATIO, RETRY_WINDOW_S = 0.2, 10


class CannotRun(Exception):
    """The deployment could not be brought up; says nothing of the rule."""


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.started = time.time()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", buffering=1)

    def __call__(self, what, **more):
        text = " ".join(f"{k}={v}" for k, v in more.items())
        with self.lock:
            self.file.write(
                f"{time.time() - self.started:8.3f} {what} {text}\n")


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    ANSWER_S = 0.004
    HISTORY_S = 20

    def __init__(self, address, port):
        self.lock = threading.Condition()
        self.revision = 1
        self.items = {}
        self.events = []  # (monotonic time, event)
        self.compacted = 0
        self.leases = {}  # id: [ttl, monotonic end]
        self.lease = 0
        store = self

        class Handler(StoreHandler):
            pass

        Handler.store = store

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, request, client_address):
                pass  # peers may disconnect at any moment

        self.server = Server((address, port), Handler)
        threading.Thread(target=self.server.serve_forever,
                         kwargs={"poll_interval": 0.05}, daemon=True).start()
        threading.Thread(target=self.expire, daemon=True).start()

    def expire(self):
        while True:
            time.sleep(0.1)
            now = time.monotonic()
            with self.lock:
                for lease in [i for i, l in self.leases.items()
                              if l[1] <= now]:
                    self.end_lease(lease)
                while self.events and self.events[0][0] < now - self.HISTORY_S:
                    self.compacted = self.events.pop(0)[1]["rev"]

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.change(key, None)

    def change(self, key, value, lease=0):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "rev": self.revision, "tombstone": True}
        else:
            before = self.items.get(key)
            self.items[key] = event = {
                "key": key, "value": base64.b64encode(value).decode(),
                "rev": self.revision, "lease": lease,
                "createdRev": before["createdRev"] if before
                else self.revision}
        self.events.append((time.monotonic(), event))
        self.lock.notify_all()

    def write(self, key, text):
        """A write of the operator."""
        with self.lock:
            self.change(key, text.encode())


class StoreHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    store = None

    def log_message(self, *args):
        pass

    def reply(self, status, body=None):
        text = json.dumps(body if body is not None else {}).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)
        self.wfile.flush()

    def handle_call(self):
        s = self.store
        url = urllib.parse.urlsplit(self.path)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(
            url.query, keep_blank_values=True).items()}
        length = int(self.headers.get("Content-Length", 0))
        body = json.loads(self.rfile.read(length) or b"{}")
        parts = url.path.split("/")
        call = getattr(self, "do_" + parts[2].replace("-", "_"), None) \
            if len(parts) > 2 else None
        time.sleep(s.ANSWER_S)
        if call is None:
            self.reply(404)
            return
        with s.lock:
            answer = call(s, parts, query, body)
        self.reply(*answer)

    do_GET = do_POST = do_DELETE = handle_call

    def do_kv_key(self, s, parts, query, body):
        item = s.items.get(query["key"])
        if item is None:
            return 404, {N.STORE_REVISION: s.revision}
        return 200, {**item, N.STORE_REVISION: s.revision}

    def do_kv_range(self, s, parts, query, body):
        keys = sorted(k for k in s.items if k.startswith(query["prefix"])
                      and k > query.get("after", ""))
        return 200, {"items": [s.items[k] for k in keys[:500]],
                     N.HAS_MORE: len(keys) > 500, N.STORE_REVISION: s.revision}

    def do_kv_watch(self, s, parts, query, body):
        after = int(query["after"])
        end = time.monotonic() + min(int(query["waitMs"]), 30000) / 1000
        while True:
            if after < s.compacted:
                return 410, {}
            found = [e for _, e in s.events if e["rev"] > after
                     and e["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, N.STORE_REVISION: s.revision}
            s.lock.wait(left)

    def do_kv_txn(self, s, parts, query, body):
        for row in body.get("precondition", []):
            item = s.items.get(row["key"])
            if row["rev"] != (item["rev"] if item else 0):
                return 412, {"items": [
                    s.items[r["key"]] for r in body["precondition"]
                    if r["key"] in s.items]}
        for put in body.get("puts", []):
            if put["key"].startswith((N.CONFIG_PREFIX, "servers/")):
                return 403, {}
            if put.get("lease") and put["lease"] not in s.leases:
                return 404, {}
        for put in body.get("puts", []):
            s.change(put["key"], base64.b64decode(put["value"]),
                     put.get("lease", 0))
        for key in body.get("deletes", []):
            s.change(key, None)
        return 200, {"rev": s.revision}

    def do_kv_lease(self, s, parts, query, body):
        s.lease += 1
        ttl = min(max(body[N.TTL], 1), 600)
        s.leases[s.lease] = [ttl, time.monotonic() + ttl]
        return 200, {"lease": s.lease, N.TTL: ttl}

    def do_kv_keep(self, s, parts, query, body):
        lease = s.leases.get(int(parts[3]))
        if lease is None:
            return 404, {}
        lease[1] = time.monotonic() + lease[0]
        return 200, {N.TTL: lease[0]}

    def do_kv_lease_end(self, s, parts, query, body):
        s.end_lease(int(parts[3]))
        return 200, {}


def render(template, values):
    """Fill in the template of settings: each line is NAME={{...}}."""
    lines = []
    for line in template.splitlines():
        name, filled, text = line.partition("=")
        lines.append(f"{name}={values[name]}" if "{{" in text else line)
    return "\n".join(lines) + "\n"


class Machine:
    """A machine with its node and its upstream."""

    def __init__(self, site, index, service, zone):
        self.site = site
        self.ip = f"127.0.0.{10 + index}"
        self.name = f"sidecar-{zone}-{index}"
        self.service = service
        self.zone = zone
        self.settings_path = site.folder / f"{self.name}.env"
        self.out = site.folder / f"{self.name}.out"
        self.log = site.folder / f"upstream-{index}.jsonl"
        self.log.touch()
        self.node = None
        self.upstream = None
        self.ident = f"i-{random.getrandbits(32):08x}"
        self.sequence = 0
        self.state = "ready"
        self.born = 0
        self.beating = False
        self.acks = []  # (time, state)

    def port(self, name):
        return self.site.ports[name]

    def write_settings(self):
        site = self.site
        values = {
            "BRF_NODE": self.name, "BRF_ZONE": self.zone,
            "BRF_REGION": "perth", "BRF_SERVICE": self.service,
            "BRF_CALLERS": f"{self.ip}:{self.port('outbound')}",
            "BRF_READY": f"{self.ip}:{self.port('ready')}",
            "BRF_ADMIN": f"{self.ip}:{self.port('admin')}",
            "BRF_PEERS": f"{self.ip}:{self.port('internal')}",
            "BRF_TARGET": f"{self.ip}:{self.port('app')}",
            "BRF_STORE": site.store_address, "BRF_GRACE_S": GRACE_S,
            "BRF_DRAIN_S": DRAIN_S, "BRF_RETRY_RATIO": RETRY_RATIO,
            "BRF_RETRY_WINDOW_S": RETRY_WINDOW_S,
        }
        fresh = self.settings_path.with_suffix(".new")
        fresh.write_text(render(
            (ROOT / "deploy" / "settings.env").read_text(), values))
        fresh.rename(self.settings_path)

    def start_node(self):
        self.write_settings()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        with open(self.out, "ab") as out:
            self.node = subprocess.Popen(
                self.site.command, cwd=ROOT, stdout=out, stderr=out,
                env={**env, N.SETTINGS_ENV: str(self.settings_path)})
        self.site.record("node_started", machine=self.name)

    def start_upstream(self, ident=None, born=None, slots=50):
        """Start the upstream, and its heartbeats."""
        self.ident = ident or self.ident
        self.slots = slots
        self.sequence = 0
        self.state = "ready"
        self.born = born if born is not None else int(time.time() * 1000)
        self.upstream = subprocess.Popen(
            [sys.executable, str(HERE / "upstream.py"), self.ip,
             str(self.port("app")), self.ident, str(self.log), str(slots)])
        self.site.record("upstream_started", id=self.ident, born=self.born,
                         service=self.service)
        wait_for(lambda: accepts(self.ip, self.port("app")), 10,
                 "the upstream to listen")
        if self.beating:
            self.beat()
        else:
            self.beating = True
            threading.Thread(target=self.beat_forever, daemon=True).start()

    def beat(self):
        """Send a heartbeat; return whether it was acknowledged."""
        if self.upstream is None or self.upstream.poll() is not None:
            return False
        self.sequence += 1
        state = self.state
        status = self.admin_call("PUT", self.heartbeat(state))
        self.site.record("heartbeat", id=self.ident, state=state,
                         sequence=self.sequence, born=self.born,
                         status=status)
        if status is not None and 200 <= status < 300:
            self.acks.append((time.time(), state))
            return True
        return False

    def heartbeat(self, state):
        """The body of a heartbeat."""
        return json.dumps({
            N.ADDRESS: f"{self.ip}:{self.port('app')}",
            N.START_TIME: self.born,
            N.INFO: {N.SERVICE: self.service, N.SOFTWARE_VERSION: "v1",
                     N.ZONE: self.zone, N.SLOTS: self.slots},
            N.STATUS: {N.STATE: state, N.SEQUENCE: self.sequence,
                       N.WARMUP_LEFT: 0}})

    def admin_call(self, method, body=None):
        try:
            c = http.client.HTTPConnection(self.ip, self.port("admin"),
                                           timeout=1)
            c.request(method, N.INSTANCES_PATH + self.ident, body,
                      {"Content-Type": "application/json"})
            status = c.getresponse().status
            c.close()
            return status
        except OSError:
            return None

    def beat_forever(self):
        while self.beating:
            self.beat()
            time.sleep(BEAT_S)

    def kill_upstream(self):
        self.upstream.send_signal(signal.SIGKILL)
        self.upstream.wait()
        self.site.record("upstream_killed", id=self.ident)

    def is_ready(self):
        try:
            c = http.client.HTTPConnection(self.ip, self.port("ready"),
                                           timeout=1)
            c.request("GET", N.READY_PATH)
            status = c.getresponse().status
            c.close()
            return status == 200
        except OSError:
            return False

    def knows(self, ids):
        text = self.out.read_text(errors="replace")
        known = set()
        for line in text.splitlines():
            if '"target_known"' in line:
                with contextlib.suppress(ValueError):
                    known.add(json.loads(line)["target"])
        return ids <= known

    def runs(self):
        """Lines of the upstream's log."""
        lines = []
        for line in self.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines

    def connect(self, timeout=20):
        return socket.create_connection((self.ip, self.port("outbound")),
                                        timeout=timeout)


def accepts(ip, port):
    try:
        socket.create_connection((ip, port), timeout=1).close()
        return True
    except OSError:
        return False


def wait_for(condition, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise CannotRun(f"waited {seconds} s for {what}")


def new_id():
    return f"{random.getrandbits(64):016x}"


def request(path, ident, method="GET", timeout_ms=5000, body=None, more=""):
    text = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"{N.H_REQUEST_ID}: {ident}\r\n"
            f"{N.H_TIMEOUT_MS}: {timeout_ms}\r\n{more}")
    if body is not None:
        text += f"Content-Length: {len(body)}\r\n"
    return (text + "\r\n").encode() + (body or b"")


class Answers:
    """Reads answers from a client's connection, in order."""

    def __init__(self, sock):
        self.file = sock.makefile("rb")

    def read(self):
        """Return (status, fields, body, complete); status is None when the
        connection ended before an answer."""
        try:
            line = self.file.readline()
            if not line.endswith(b"\n"):
                return None, {}, b"", False
            status, fields = int(line.split(b" ")[1]), {}
            while (text := self.file.readline().decode().rstrip("\r\n")):
                name, value = text.split(":", 1)
                fields[name.lower()] = value.strip()
            if fields.get("transfer-encoding", "").lower() == "chunked":
                return (status, fields) + self.read_chunks()
            length = int(fields.get("content-length", 0))
            body = self.read_bytes(length)
            return status, fields, body, len(body) == length
        except OSError:
            return None, {}, b"", False

    def read_bytes(self, length):
        parts, left = [], length
        while left:
            try:
                part = self.file.read1(min(left, 65536))
            except OSError:
                break
            if not part:
                break
            parts.append(part)
            left -= len(part)
        return b"".join(parts)

    def read_chunks(self):
        body = b""
        while True:
            line = self.file.readline()
            try:
                size = int(line.split(b";")[0], 16)
            except ValueError:
                return body, False
            part = self.read_bytes(size)
            body += part
            if len(part) < size or not self.file.readline().endswith(b"\n"):
                return body, False
            if size == 0:
                return body, True


def call(machine, path, method="GET", timeout_ms=5000, body=None, ident=None):
    """One request on a new connection; return (id, status, fields, body)."""
    ident = ident or new_id()
    machine.site.record("sent", id=ident, via=machine.name, method=method,
                        path=path)
    try:
        with machine.connect() as sock:
            sock.sendall(request(path, ident, method, timeout_ms, body))
            status, fields, data, complete = Answers(sock).read()
    except OSError:
        status, fields, data, complete = None, {}, b"", False
    machine.site.record("answered", id=ident, status=status,
                        bytes=len(data), complete=complete)
    return ident, status, fields, data


class Site:
    """The whole deployment; a context manager that ends all its processes."""

    def __init__(self, folder):
        self.tmp = tempfile.TemporaryDirectory(prefix="brf-")
        self.folder = pathlib.Path(self.tmp.name)
        self.record = Record(folder)
        self.machines = []
        self.version = 0
        with open(ROOT / "deploy" / "system.toml", "rb") as f:
            role = tomllib.load(f)["roles"]["node"]
        self.command = role["run"].split(" ")
        if not (ROOT / self.command[0]).exists():
            raise CannotRun("the build of the deploy file is missing")
        self.ports = self.choose_ports()
        self.store_address = f"127.0.0.2:{self.ports['store']}"
        self.store = Store("127.0.0.2", self.ports["store"])
        self.limits = {N.MAX_HEADER_BYTES: 16384, N.MAX_BODY_BYTES: 67108864,
                       N.HEADER_TIMEOUT: 3, N.IDLE_TIMEOUT: 15}

    def choose_ports(self):
        """Ports that are free on all addresses."""
        names = ["inbound", "app", "ready", "outbound", "admin", "store"]
        for _ in range(100):
            base = random.randrange(20000, 30000, 40)
            ports = {n: base + i for i, n in enumerate(names)}
            ports["internal"] = base + 10
            if all(self.is_free(p) for p in range(base, base + 30)):
                return ports
        raise CannotRun("no free ports")

    @staticmethod
    def is_free(port):
        s = socket.socket()
        try:
            s.bind(("0.0.0.0", port))
            return True
        except OSError:
            return False
        finally:
            s.close()

    def __enter__(self):
        return self

    def __exit__(self, *args):
        for m in self.machines:
            m.beating = False
            for p in (m.node, m.upstream):
                if p is not None and p.poll() is None:
                    p.send_signal(signal.SIGCONT)
                    p.send_signal(signal.SIGKILL)
                    p.wait()
        self.store.server.shutdown()
        self.store.server.server_close()
        self.tmp.cleanup()

    def configure(self, routes, services):
        self.version += 3
        self.store.write(N.CONFIG_KEY, json.dumps({
            N.CONFIG_VERSION: self.version, N.ROUTES: routes,
            N.SERVICES: [{N.NAME: s, N.MAX_CONNECTIONS: 400}
                         for s in services],
            N.LIMITS: self.limits}))
        self.record("configured", version=self.version)

    def add(self, service, zone="perth-a"):
        m = Machine(self, len(self.machines), service, zone)
        self.machines.append(m)
        return m

    def start(self, **upstream):
        """Start all nodes and upstreams; wait until they know each other."""
        for m in self.machines:
            m.start_node()
        for m in self.machines:
            wait_for(lambda: accepts(m.ip, m.port("admin")), 10,
                     f"{m.name} to listen")
            m.start_upstream(**upstream)
        ids = {m.ident for m in self.machines}
        for m in self.machines:
            wait_for(m.is_ready, 20, f"{m.name} to be ready")
            wait_for(lambda: m.knows(ids), 20, f"{m.name} to know all")

    def nodes_are_up(self):
        return all(m.node.poll() is None for m in self.machines)


def route(name, prefix, service, kind="safe", **more):
    return {N.NAME: name, N.HOST: HOST, N.PREFIX: prefix, N.ROUTE_TYPE: kind,
            N.TIMEOUT: 5, N.LATENCY_OBJECTIVE: 1.5, N.PRIORITY: 1,
            N.MAX_ATTEMPTS: 2, N.SERVICE: service, **more}


def main(case):
    """Run case(); end with 1 if the rule was broken, 0 if it held, and 2 if
    the case could not run."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    # ends its processes also when it is ended itself
    signal.signal(signal.SIGTERM, lambda *args: sys.exit(2))
    try:
        code = 1 if case(folder) else 0
    except (Exception, SystemExit) as e:
        print(f"could not run: {type(e).__name__}: {e}")
        code = 2
    sys.stdout.flush()
    os._exit(code)  # clients' threads may be at work
