"""Stand-ins for the cases of the second review: the platform's store,
upstreams, clients, and machines that run the program of the deploy file.

They follow the users' pages SYSTEM, PROTOCOL and DEPLOY.  Everything listens on
loopback; each machine has a loopback address of its own.  One asyncio loop runs
all of them; the project's program runs as processes of its own.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPO = pathlib.Path(__file__).resolve().parents[2]


class N:
    """The names of the users' pages, which the repository keeps in one place:
    N.KEY for WIRE_KEY."""


for _name, _text in re.findall(r'^#define WIRE_(\w+) "([^"]+)"',
                               (REPO / "platform/names.h").read_text(), re.M):
    setattr(N, _name, _text)

PREFIX = "/bulrushford/"
LIMIT_S = 100  # of a case


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


def free_ports(host, count):
    socks = [socket.socket() for _ in range(count)]
    for s in socks:
        s.bind((host, 0))
    ports = [s.getsockname()[1] for s in socks]
    for s in socks:
        s.close()
    return ports


# ---- HTTP/1.1 ---------------------------------------------------------------

class Closed(Exception):
    """The peer closed the connection, or reset it."""


async def read_line(reader):
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise Closed
    return line.rstrip(b"\r\n").decode("latin-1")


async def read_head(reader):
    first = await read_line(reader)
    fields = {}
    while True:
        line = await read_line(reader)
        if not line:
            return first, fields
        name, value = line.split(":", 1)
        fields[name.strip().lower()] = value.strip()


async def read_exactly(reader, size):
    try:
        return await reader.readexactly(size)
    except asyncio.IncompleteReadError as e:
        raise Closed from e


async def read_chunks(reader):
    parts = []
    while True:
        size = int((await read_line(reader)).split(";")[0], 16)
        if size == 0:
            while await read_line(reader):
                pass
            return b"".join(parts)
        parts.append(await read_exactly(reader, size))
        await read_line(reader)


async def read_body(reader, fields, to_end=False):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        return await read_chunks(reader)
    if "content-length" in fields:
        return await read_exactly(reader, int(fields["content-length"]))
    return await reader.read() if to_end else b""


def message(first, fields, body=b""):
    lines = [first] + [f"{k}: {v}" for k, v in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Answer:
    def __init__(self, status, fields, body):
        self.status, self.fields, self.body = status, fields, body


async def request(address, method, path, fields=None, body=b"", timeout=10):
    """One request on a new connection.  Return an Answer; its status is 0 when
    the connection ended or timed out without a whole answer."""
    async def call():
        reader, writer = await asyncio.open_connection(*address)
        try:
            head = {"Host": f"{address[0]}:{address[1]}", **{
                k: v() if callable(v) else v
                for k, v in (fields or {}).items()}}
            if body:
                head["Content-Length"] = len(body)
            writer.write(message(f"{method} {path} HTTP/1.1", head, body))
            first, got = await read_head(reader)
            status = int(first.split(" ")[1])
            return Answer(status, got, await read_body(reader, got))
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, Closed, asyncio.TimeoutError, ValueError):
        return Answer(0, {}, b"")


class Server:
    """Listens, and serves each connection with serve(); close() ends all."""

    def __init__(self):
        self.tasks = set()
        self.writers = set()
        self.server = None

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self.on_connection, host, port,
                                                 backlog=1024, limit=1 << 20)
        self.address = (host, self.server.sockets[0].getsockname()[1])

    async def on_connection(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (Closed, OSError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def close(self):
        if self.server is None:
            return
        self.server.close()
        for w in list(self.writers):
            w.close()
        for t in list(self.tasks):
            t.cancel()
        self.server = None


# ---- the platform's store ---------------------------------------------------

class Store(Server):
    """The metadata store of PROTOCOL.md.

    mode "up" serves, "busy" answers 503, "silent" accepts and doesn't answer;
    leases go on to run, or pause, while it does not serve (pause_leases).
    """

    HISTORY_S = 20

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.mode = "up"
        self.pause_leases = True
        self.rev = 100
        self.items = {}
        self.events = []  # (time, event)
        self.compacted = 0
        self.leases = {}  # id: [ttl, ends at]
        self.next_lease = 77000
        self.changed = asyncio.Event()
        self.refused_at = time.monotonic()

    def set_mode(self, mode):
        now = time.monotonic()
        if self.mode == "up" and mode != "up":
            self.refused_at = now
        if self.mode != "up" and mode == "up" and self.pause_leases:
            for lease in self.leases.values():
                lease[1] += now - self.refused_at
        self.mode = mode
        self.record(f"store: {mode}")
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def change(self, key, value, lease=0):
        self.rev += 1
        if value is None:
            if self.items.pop(key, None) is None:
                return
            event = {"key": key, "rev": self.rev, "tombstone": True}
        else:
            before = self.items.get(key)
            event = self.items[key] = {
                "key": key, "value": base64.b64encode(value).decode(),
                "rev": self.rev, "lease": lease,
                "createdRev": before["createdRev"] if before else self.rev}
        self.events.append((time.monotonic(), dict(event)))
        self.wake()

    def expire(self):
        now = time.monotonic()
        if self.mode != "up" and self.pause_leases:
            return
        for ident in [i for i, l in self.leases.items() if l[1] <= now]:
            self.end_lease(ident)
        while self.events and self.events[0][0] < now - self.HISTORY_S:
            self.compacted = self.events.pop(0)[1]["rev"]

    def end_lease(self, ident):
        self.leases.pop(ident, None)
        for key in [k for k, i in self.items.items() if i["lease"] == ident]:
            self.change(key, None)

    async def serve(self, reader, writer):
        while True:
            first, fields = await read_head(reader)
            body = await read_body(reader, fields)
            method, path, _ = first.split(" ")
            url = urllib.parse.urlsplit(path)
            query = dict(urllib.parse.parse_qsl(url.query))
            status, result = await self.answer(
                method, url.path, query, json.loads(body or b"{}"))
            text = json.dumps(result).encode()
            writer.write(message(f"HTTP/1.1 {status} S", {
                "Content-Type": "application/json",
                "Content-Length": len(text)}, text))

    async def answer(self, method, path, query, body):
        while self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "busy":
            return 503, {}
        self.expire()
        name, _, ident = path.removeprefix(PREFIX).partition("/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, N.STORE_REVISION: self.rev}
        if name == "kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"])
                          and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         N.HAS_MORE: len(keys) > 500,
                         N.STORE_REVISION: self.rev}
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            return self.txn(body)
        if name == "kv-lease":
            self.next_lease += 1
            ttl = body[N.TTL]
            self.leases[self.next_lease] = [ttl, time.monotonic() + ttl]
            return 200, {"lease": self.next_lease, N.TTL: ttl}
        lease = self.leases.get(int(ident))
        if lease is None:
            return 404, {}
        if name == "kv-keep":
            lease[1] = time.monotonic() + lease[0]
            return 200, {N.TTL: lease[0]}
        self.end_lease(int(ident))
        return 200, {}

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            self.expire()
            if after < self.compacted:
                return 410, {}
            found = [e for _, e in self.events if e["rev"] > after
                     and e["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, N.STORE_REVISION: self.rev}
            if self.mode == "busy":
                return 503, {}
            while self.mode == "silent":
                await asyncio.sleep(3600)
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass

    def txn(self, body):
        rows = body.get("precondition", [])
        for row in rows:
            item = self.items.get(row["key"])
            if row["rev"] != (item["rev"] if item else 0):
                return 412, {"items": [self.items[r["key"]] for r in rows
                                       if r["key"] in self.items]}
        for put in body.get("puts", []):
            if put["key"].startswith((N.CONFIG_PREFIX, "servers/")):
                return 403, {}
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for put in body.get("puts", []):
            self.change(put["key"], base64.b64decode(put["value"]),
                        put.get("lease", 0))
        for key in body.get("deletes", []):
            self.change(key, None)
        return 200, {"rev": self.rev}


class StoreFront(Store):
    """The store as one machine sees it: it may turn that machine away (mode
    "busy" or "silent") while it serves the others."""

    def __init__(self, store):
        super().__init__(store.record)
        self.store = store
        self.waiting = {}  # watches by prefix
        self.silent = set()  # of them, those whose connection went silent

    def silence(self, prefix):
        """The open connection of the watch of prefix goes silent for good;
        new ones work.  Return how many there were."""
        found = {w for w, p in self.waiting.items() if p == prefix}
        self.silent |= found
        self.record(f"{len(found)} of {len(self.writers)} open connections to "
                    "the store have gone silent")
        return len(found)

    async def answer(self, method, path, query, body):
        while self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "busy":
            return 503, {}
        if not path.endswith("kv-watch"):
            return await self.store.answer(method, path, query, body)
        watch = asyncio.create_task(
            self.store.answer(method, path, query, body))
        self.waiting[watch] = query["prefix"]
        try:
            while not watch.done() or watch in self.silent:
                if watch in self.silent:
                    await asyncio.sleep(3600)
                await asyncio.wait([watch], timeout=0.05)
                if self.mode != "up":  # a watch that is waiting may be cut
                    raise Closed
        finally:
            del self.waiting[watch]
            watch.cancel()
        return watch.result()


def route(name, prefix, service, kind="safe", **more):
    return {"name": name, "host": "app.example", "prefix": prefix,
            N.ROUTE_TYPE: kind, N.TIMEOUT: 6, N.LATENCY_OBJECTIVE: 1.5,
            N.PRIORITY: 1, N.MAX_ATTEMPTS: 2, N.SERVICE: service,
            **{getattr(N, k): v for k, v in more.items()}}


# ---- upstreams --------------------------------------------------------------

class Upstream(Server):
    """An application upstream.  What it does with a request is run()."""

    def __init__(self, ident, record):
        super().__init__()
        self.id = ident
        self.record = record
        self.born = int(time.time() * 1000)
        self.ran = []  # (monotonic time, attempt id, fields, path)

    def head(self, status, ident, fields=None, sealed=True):
        head = {N.H_REQUEST_ID: ident}
        if sealed:
            head[N.H_SEAL] = f"seal-{self.id}-{ident}"
        head.update(fields or {})
        return message(f"HTTP/1.1 {status} U", head)

    async def serve(self, reader, writer):
        while True:
            first, fields = await read_head(reader)
            arrived = time.monotonic()
            method, path, _ = first.split(" ")
            body = await read_body(reader, fields)
            ident = fields.get(N.H_REQUEST_ID, "")
            if not ident:
                writer.write(message("HTTP/1.1 400 U", {
                    N.H_NOT_EXECUTED: 1, "Content-Length": 0}))
                continue
            if fields.get(N.H_TARGET, self.id) != self.id:
                self.record(f"{self.id}: 421 to {ident}, which is for "
                            f"{fields[N.H_TARGET]}")
                writer.write(message("HTTP/1.1 421 U", {
                    N.H_REQUEST_ID: ident, N.H_NOT_EXECUTED: 1,
                    N.H_INSTANCE: self.id, "Content-Length": 0}))
                continue
            self.ran.append((arrived, ident, fields, path))
            self.record(f"{self.id}: runs {ident} {method} {path} caller "
                        f"{fields.get(N.H_CALLER)}")
            await self.run(writer, method, path, ident, body)
            await writer.drain()

    async def run(self, writer, method, path, ident, body):
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(path).query))
        await asyncio.sleep(int(query.get("ms", 5)) / 1000)
        answer = b"b" * int(query.get("size", 10))
        writer.write(self.head(200, ident, {"Content-Length": len(answer)})
                     + answer)


# ---- machines ---------------------------------------------------------------

def deploy():
    """The command and the template of the deploy file's only role."""
    text = (REPO / "deploy/system.toml").read_text()
    run, template = [re.search(rf'^{key} = "(.*)"$', text, re.M)[1]
                     for key in ("run", "template")]
    return shlex.split(run), (REPO / template).read_text()


class Machine:
    """A `sidecar` machine: an upstream, and the node beside it."""

    def __init__(self, site, number, zone, region, service):
        self.site = site
        self.name = f"sidecar-{zone}-{number}"
        self.ip = f"127.77.{number // 250}.{1 + number % 250}"
        self.zone, self.region, self.service = zone, region, service
        ports = free_ports(self.ip, 5)
        self.app, self.outbound, self.ready_at, self.admin, self.peers = [
            (self.ip, p) for p in ports]
        self.upstream = None
        self.process = None
        self.sequence = 0
        self.beating = None
        self.settings = site.folder / f"{self.name}.settings"
        self.log = site.folder / f"{self.name}.log"

    def write_settings(self):
        values = {
            "NODE": self.name, "ZONE": self.zone, "REGION": self.region,
            "SERVICE": self.service, "CALLERS": "%s:%d" % self.outbound,
            "READY": "%s:%d" % self.ready_at, "ADMIN": "%s:%d" % self.admin,
            "PEERS": "%s:%d" % self.peers, "TARGET": "%s:%d" % self.app,
            "STORE": "%s:%d" % self.site.store_address(self),
            "GRACE_S": self.site.grace_s, "DRAIN_S": self.site.drain_s,
            "RETRY_RATIO": 0.2, "RETRY_WINDOW_S": 10}
        self.settings.write_text(re.sub(
            r"^BRF_(\w+)=\{\{.*$", lambda m: f"BRF_{m[1]}={values[m[1]]}",
            deploy()[1], flags=re.M))

    def start(self):
        """Start the node's process, as the platform does at each start."""
        self.write_settings()
        run = deploy()[0]
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen(
                [str(REPO / run[0]), *run[1:]], cwd=REPO, stdout=out,
                stderr=out, stdin=subprocess.DEVNULL, env={
                    "PATH": os.environ["PATH"],
                    N.SETTINGS_ENV: str(self.settings)})
        STARTED.append(self.process)
        self.site.record(f"{self.name}: started, process "
                         f"{self.process.pid}")

    def signal(self, number):
        self.site.record(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.01)
        self.site.record(f"{self.name}: ended with {self.process.returncode}")
        return self.process.returncode

    async def is_ready(self):
        return (await request(self.ready_at, "GET", N.READY_PATH,
                              timeout=1)).status == 200

    def heartbeat(self, state="ready"):
        """The next heartbeat, as (path, body): it may be sent later."""
        self.sequence += 1
        u = self.upstream
        return N.INSTANCES_PATH + u.id, json.dumps({
            "address": "%s:%d" % self.app, "born": u.born,
            "info": {"service": self.service, "version": "v1",
                     "zone": self.zone, "slots": 60},
            "status": {"state": state, "sequence": self.sequence,
                       N.WARMUP_LEFT: 0}}).encode()

    async def send_beat(self, beat, timeout=1):
        """Return whether the beat was acknowledged within a second."""
        answer = await request(self.admin, "PUT", beat[0],
                               {"Content-Type": "application/json"}, beat[1],
                               timeout)
        return 200 <= answer.status < 300

    async def leave(self):
        answer = await request(
            self.admin, "DELETE", N.INSTANCES_PATH + self.upstream.id,
            timeout=1)
        return 200 <= answer.status < 300

    async def beat_on(self, state="ready", every=1.5):
        while True:
            await self.send_beat(self.heartbeat(state))
            await asyncio.sleep(every)

    def start_beating(self, state="ready"):
        self.stop_beating()
        self.beating = asyncio.create_task(self.beat_on(state))

    def stop_beating(self):
        if self.beating is not None:
            self.beating.cancel()
        self.beating = None


class Site:
    """A small deployment; an async context manager that ends all of it."""

    def __init__(self, record):
        self.record = record
        self.tmp = tempfile.TemporaryDirectory(prefix="brf-review-")
        self.folder = pathlib.Path(self.tmp.name)
        self.grace_s, self.drain_s = 6, 2
        self.limits = {N.MAX_HEADER_BYTES: 16384, N.MAX_BODY_BYTES: 67108864,
                       N.HEADER_TIMEOUT: 3, N.IDLE_TIMEOUT: 15}
        self.store = Store(record)
        self.store_proxies = {}
        self.machines = []
        self.version = 0
        self.attempts = 0

    async def __aenter__(self):
        await self.store.listen("127.77.9.9", 0)
        return self

    async def __aexit__(self, *exc):
        for m in self.machines:
            m.stop_beating()
            if m.process is not None and m.process.poll() is None:
                m.process.send_signal(signal.SIGCONT)
                m.process.kill()
                m.process.wait()
            if m.upstream is not None:
                await m.upstream.close()
        for front in self.store_proxies.values():
            await front.close()
        await self.store.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
            for m in self.machines:
                (pathlib.Path(keep) / m.log.name).write_bytes(
                    m.log.read_bytes())
        self.tmp.cleanup()

    def store_address(self, machine):
        return self.store_proxies.get(machine.name, self.store).address

    def configure(self, routes, services, **limits):
        self.version += 3
        self.limits.update({getattr(N, k): v for k, v in limits.items()})
        self.store.change(N.CONFIG_KEY, json.dumps({
            "version": self.version, "routes": routes,
            "services": [{"name": s, "healthCheckPath": "/healthz",
                          N.MAX_CONNECTIONS: 900, "protocol": "h1",
                          "tls": False} for s in services],
            "limits": self.limits}).encode())
        self.record(f"configuration: version {self.version}")

    def machine(self, zone, service, region="north"):
        m = Machine(self, len(self.machines), zone, region, service)
        self.machines.append(m)
        return m

    async def add(self, zone, service, region="north", upstream=Upstream,
                  front=False):
        m = self.machine(zone, service, region)
        if front:
            self.store_proxies[m.name] = StoreFront(self.store)
            await self.store_proxies[m.name].listen("127.77.9.8", 0)
        m.upstream = upstream(f"i-{len(self.machines):x}{os.urandom(3).hex()}",
                              self.record)
        await m.upstream.listen(*m.app)
        m.start()
        m.start_beating()
        return m

    async def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        for m in self.machines:
            while not await m.is_ready():
                if time.monotonic() > end:
                    raise RuntimeError(f"{m.name} does not get ready")
                await asyncio.sleep(0.05)

    async def call(self, machine, method, path, body=b"", timeout_ms=5000,
                   host="app.example", until=None):
        """A request of a client on the machine.  Of an upstream's call, until
        says when its parent's time is over."""
        self.attempts += 1
        ident = f"a{self.attempts:04x}{os.urandom(3).hex()}"
        self.record(f"client on {machine.name}: {ident} {method} {path}")
        sent = time.monotonic()
        answer = await request(machine.outbound, method, path, {
            "Host": host, N.H_REQUEST_ID: ident,
            N.H_TIMEOUT_MS: timeout_ms if until is None else
            lambda: round((until - time.monotonic()) * 1000)},
            body, timeout_ms / 1000 + 1)
        self.record(f"client on {machine.name}: {ident} answered "
                    f"{answer.status or 'with a closed connection'}")
        answer.ident, answer.sent = ident, sent
        answer.ended = time.monotonic()
        return answer


STARTED = []  # processes


def give_up(number, frame):
    """End all processes that were started, then this one."""
    for process in STARTED:
        if process.poll() is None:
            process.kill()
    os._exit(2)


def main(case):
    """Run case(record, trouble), which returns the number of breaks.  The
    record goes to the file that the command line names."""
    record = Record(sys.argv[1])
    trouble = os.environ.get("TROUBLE") != "0"
    signal.signal(signal.SIGTERM, give_up)
    try:
        breaks = asyncio.run(asyncio.wait_for(case(record, trouble), LIMIT_S))
    except (Exception, KeyboardInterrupt) as e:  # the case could not run
        record(f"could not run: {e!r}")
        raise SystemExit(2) from e
    record(f"breaks: {breaks}")
    print(f"breaks: {breaks}")
    raise SystemExit(1 if breaks else 0)
