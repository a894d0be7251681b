"""What the cases of the review share: a small deployment on loopback.

Nodes are started with the command, the environment variable and the settings
template of the deploy file, one loopback address a machine, and the same ports
on all machines.  The store is the project's own stand-in, with leases that
end.  Upstreams are processes of upstream.py.  Everything that was sent,
answered and run is written to record.txt in the folder of the case.
"""

import contextlib
import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

SHARED = pathlib.Path(__file__).resolve().parent
ROOT = SHARED.parent.parent
sys.path[:0] = [str(ROOT / "tools"), str(ROOT / "platform" / "test")]
sys.dont_write_bytecode = True

import standin  # noqa: E402  the project's own
from names import N  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
HOST = "hulo84.example"
# Bounds of the site, seconds but for the ratio.
GRACE_S, DRAIN_S, CONTACT_S, REUSE_AFTER_S = 6, 2, 3, 2
RETRY_RATIO, RETRY_WINDOW_S = 0.2, 10
# Limits as in the pages' example of a configuration.
LIMITS = {N.MAX_HEADER_BYTES: 16384, N.MAX_BODY_BYTES: 67108864,
          N.HEADER_TIMEOUT: 3, N.IDLE_TIMEOUT: 15}


class CannotRun(Exception):
    pass


class Record:
    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.path.write_text("")
        self.lock = threading.Lock()

    def add(self, what, **more):
        line = json.dumps({"t": round(time.monotonic(), 4), "what": what,
                           **more})
        with self.lock, open(self.path, "a") as f:
            f.write(line + "\n")

    def lines(self, what=None):
        out = []
        for line in self.path.read_text().splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            if what is None or entry["what"] == what:
                out.append(entry)
        return out


class Store(standin.Store):
    """Also ends leases that were not renewed in time."""

    def __init__(self):
        super().__init__()
        self.ends = {}
        self.open = True
        self.reaper = threading.Thread(target=self.reap, daemon=True)
        self.reaper.start()

    def reap(self):
        while self.open:
            time.sleep(0.1)
            with self.lock:
                now = time.monotonic()
                for lease in list(self.leases):
                    self.ends.setdefault(lease, now + self.leases[lease])
                    if self.ends[lease] > now:
                        continue
                    self.leases.pop(lease)
                    for key in [k for k, i in self.items.items()
                                if i["lease"] == lease]:
                        self.change(key, None)
                    self.lock.notify_all()

    def close(self):
        self.open = False
        super().close()


class RenewingHandler(standin.StoreHandler):
    def do_kv_keep(self, s, path, query, body):
        lease = int(path.rsplit("/", 1)[1])
        if lease in s.leases:
            s.ends[lease] = time.monotonic() + s.leases[lease]
        return super().do_kv_keep(s, path, query, body)

    do_GET = do_POST = do_PUT = do_DELETE = standin.StoreHandler.handle_request


standin.StoreHandler = RenewingHandler


def fill(template, values):
    """The settings template, each setting with its value."""
    lines = []
    for line in template.splitlines():
        name, equals, _ = line.partition("=")
        lines.append(f"{name}={values[name]}" if equals else line)
    return "\n".join(lines) + "\n"


class Deployment:
    """A store, upstreams and nodes; a context manager that ends them all."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.tmp = pathlib.Path(tempfile.mkdtemp(prefix="brf-review-"))
        # the one role of the deploy file
        self.role = dict(re.findall(
            r'^(run|template) = "([^"]+)"',
            (ROOT / "deploy" / "system.toml").read_text(), re.M))
        self.processes = []
        self.nodes = []
        self.store = Store()
        self.version = 0
        self.ports = self.free_ports(6)

    @staticmethod
    def free_ports(count):
        """Ports that are free on the addresses of the machines."""
        socks, ports = [], []
        with contextlib.ExitStack() as stack:
            for _ in range(count):
                s = stack.enter_context(socket.socket())
                s.bind(("0.0.0.0", 0))
                socks.append(s)
                ports.append(s.getsockname()[1])
        return ports

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        for p in self.processes:
            self.end(p)
        self.store.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.tmp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.tmp, ignore_errors=True)

    @staticmethod
    def end(p):
        if p.poll() is None:
            p.send_signal(signal.SIGCONT)
            p.kill()
        p.wait()

    def configure(self, routes, services, **limits):
        self.version += 7
        self.store.write(N.CONFIG_KEY, json.dumps({
            N.CONFIG_VERSION: self.version, N.ROUTES: routes,
            N.SERVICES: [{N.NAME: s, N.MAX_CONNECTIONS: 256}
                         for s in services],
            N.LIMITS: {**LIMITS, **limits}}))
        self.record.add("config", version=self.version, routes=routes)

    def node(self, service, zone="zg-a"):
        n = Node(self, len(self.nodes) + 1, service, zone)
        self.nodes.append(n)
        return n

    def upstream(self, node, ident, service=None, port=None, *flags):
        """Start an upstream process on the machine of @node."""
        service = service or node.service
        port = port or self.ports[5]
        argv = [sys.executable, str(SHARED / "upstream.py"), "--id", ident,
                "--service", service, "--listen", f"{node.ip}:{port}",
                "--address", f"{node.ip}:{self.ports[5]}",
                "--admin", f"{node.ip}:{self.ports[2]}", "--zone", node.zone,
                "--record", str(self.record.path), *flags]
        p = subprocess.Popen(argv)
        self.processes.append(p)
        self.record.add("upstream_started", id=ident, service=service,
                        pid=p.pid)
        return p

    def wait_ready(self, ids, seconds=15):
        """Until all nodes are ready and know these targets."""
        for n in self.nodes:
            self.until(n.is_ready, seconds, f"{n.name} to be ready")
            self.until(lambda: all(f'"target":"{i}"' in n.log() for i in ids),
                       seconds, f"{n.name} to know {ids}")

    @staticmethod
    def until(condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            value = condition()
            if value:
                return value
            time.sleep(0.02)
        raise CannotRun(f"waited {seconds} s for {what}")


class Node:
    """One machine: a node beside an upstream."""

    def __init__(self, d, number, service, zone):
        self.d, self.service, self.zone = d, service, zone
        self.name = f"sidecar-{zone}-{number}"
        self.ip = f"127.1.{number}.1"
        self.path = d.tmp / f"{self.name}.env"
        self.out = d.tmp / f"{self.name}.out"
        self.write_settings()
        self.start()

    def write_settings(self):
        p = self.d.ports
        values = {
            "BRF_NODE": self.name, "BRF_ZONE": self.zone,
            "BRF_REGION": "hr-north", "BRF_SERVICE": self.service,
            "BRF_CALLERS": f"{self.ip}:{p[0]}",
            "BRF_READY": f"{self.ip}:{p[1]}",
            "BRF_ADMIN": f"{self.ip}:{p[2]}",
            "BRF_PEERS": f"{self.ip}:{p[3]}",
            "BRF_TARGET": f"{self.ip}:{p[5]}",
            "BRF_STORE": f"127.0.0.1:{self.d.store.port}",
            "BRF_GRACE_S": GRACE_S, "BRF_DRAIN_S": DRAIN_S,
            "BRF_RETRY_RATIO": RETRY_RATIO,
            "BRF_RETRY_WINDOW_S": RETRY_WINDOW_S,
        }
        template = (ROOT / self.d.role["template"]).read_text()
        fresh = self.path.with_suffix(".new")
        fresh.write_text(fill(template, values))
        fresh.rename(self.path)

    def start(self):
        env = {"PATH": os.environ["PATH"], "LANG": "C",
               N.SETTINGS_ENV: str(self.path)}
        with open(self.out, "ab") as out:
            try:
                self.popen = subprocess.Popen(
                    self.d.role["run"].split(), cwd=ROOT, env=env, stdout=out,
                    stderr=out)
            except OSError as e:
                raise CannotRun(f"the node does not start: {e}") from e
        self.d.processes.append(self.popen)
        self.d.record.add("node_started", node=self.name, pid=self.popen.pid)

    def signal(self, number):
        self.d.record.add("node_signal", node=self.name, signal=int(number))
        self.popen.send_signal(number)

    def log(self):
        return self.out.read_text(errors="replace")

    def is_ready(self):
        if self.popen.poll() is not None:
            raise CannotRun(f"{self.name} has ended: {self.log()[-300:]}")
        try:
            c = http.client.HTTPConnection(self.ip, self.d.ports[1], timeout=1)
            c.request("GET", N.READY_PATH)
            return c.getresponse().status == 200
        except OSError:
            return False

    def client(self):
        return Client(self)


class Client:
    """A client on a machine, with one connection."""

    def __init__(self, node):
        self.node, self.record = node, node.d.record
        self.sock = socket.create_connection((node.ip, node.d.ports[0]),
                                             timeout=60)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, method, path, ident, timeout_ms=5000, body=None,
             chunked=False):
        head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"{N.H_REQUEST_ID}: {ident}\r\n"
                f"{N.H_TIMEOUT_MS}: {timeout_ms}\r\n")
        data = b""
        if body is not None and chunked:
            head += "Transfer-Encoding: chunked\r\n"
            data = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        elif body is not None:
            head += f"Content-Length: {len(body)}\r\n"
            data = body
        self.method, self.ident = method, ident
        self.record.add("sent", id=ident, method=method, path=path,
                        node=self.node.name, body_bytes=len(body or b""))
        self.sock.sendall(head.encode() + b"\r\n" + data)

    def answer(self, timeout=10):
        """Return (status, fields, body, complete); status 0 for none."""
        self.sock.settimeout(timeout)
        r = http.client.HTTPResponse(self.sock, method=self.method)
        status, fields, body, complete = 0, {}, b"", False
        try:
            r.begin()
            status = r.status
            fields = {k.lower(): v for k, v in r.getheaders()}
            while part := r.read1(65536):
                body += part
            complete = r.length in (None, 0)
            why = ""
        except (OSError, http.client.HTTPException, ValueError) as e:
            why = f"{type(e).__name__}: {e}"[:100]
        self.record.add("answered", id=self.ident, status=status,
                        seal=fields.get(N.H_SEAL, ""),
                        body_bytes=len(body), complete=complete, why=why)
        return status, fields, body, complete

    def close(self):
        self.sock.close()


class Front:
    """A TCP proxy at the address of a machine's upstream.  It stands for the
    network of that address: when what was there falls silent, its connections
    do too, without an end; new ones reach what is there next."""

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.to = None
        self.epoch = 0
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((host, int(port)))
        self.sock.listen(512)
        threading.Thread(target=self.accept, daemon=True).start()

    def serve(self, address):
        host, port = address.rsplit(":", 1)
        Deployment.until(lambda: self.connects(host, int(port)), 5,
                         f"{address} to listen")
        self.epoch += 1
        self.to = (host, int(port))

    @staticmethod
    def connects(host, port):
        try:
            socket.create_connection((host, port), timeout=1).close()
            return True
        except OSError:
            return False

    def fall_silent(self):
        self.epoch += 1
        self.to = None

    def accept(self):
        kept = []
        while True:
            conn, _ = self.sock.accept()
            kept.append(conn)  # silent ones must not be closed
            threading.Thread(target=self.relay, args=(conn, self.epoch),
                             daemon=True).start()

    def relay(self, conn, epoch):
        if self.to is None:
            return
        out = socket.create_connection(self.to)
        for s in (conn, out):
            s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self.copy, args=(out, conn, epoch),
                         daemon=True).start()
        self.copy(conn, out, epoch)

    def copy(self, source, sink, epoch):
        try:
            while True:
                data = source.recv(65536)
                if epoch != self.epoch:
                    threading.Event().wait()
                if not data:
                    break
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            with contextlib.suppress(OSError):
                sink.shutdown(socket.SHUT_RDWR)


def call(node, method, path, ident, timeout_ms=5000, body=None, chunked=False,
         timeout=10):
    c = node.client()
    try:
        c.send(method, path, ident, timeout_ms, body, chunked)
        return c.answer(timeout)
    finally:
        c.close()


def route(name, prefix, service, kind="safe", timeout_s=5.0, **more):
    return {N.NAME: name, N.HOST: HOST, N.PREFIX: prefix, N.ROUTE_TYPE: kind,
            N.TIMEOUT: timeout_s, N.LATENCY_OBJECTIVE: 1.5, N.PRIORITY: 0,
            N.SERVICE: service, N.MAX_ATTEMPTS: 2, **more}


def run(folder, case):
    code = NOT_RUN
    with Deployment(folder) as deployment:
        def too_long():
            print("the case took over 110 s", file=sys.stderr)
            for p in deployment.processes:
                Deployment.end(p)
            os._exit(NOT_RUN)

        watchdog = threading.Timer(110, too_long)
        watchdog.daemon = True
        watchdog.start()
        try:
            broken = case(deployment)
            for b in broken:
                deployment.record.add("BROKEN", why=b)
                print("broken:", b)
            code = BROKEN if broken else HELD
        except Exception as e:  # also a fault of the case itself
            deployment.record.add("not_run", why=f"{type(e).__name__}: {e}")
            print(f"could not run: {type(e).__name__}: {e}", file=sys.stderr)
        deployment.record.add("end", trouble=TROUBLE, exit=code)
    watchdog.cancel()
    return code


def main(folder, case):
    """Run case(deployment), which returns a list of what broke the rule."""
    try:
        code = run(folder, case)
    except Exception as e:
        print(f"could not run: {type(e).__name__}: {e}", file=sys.stderr)
        code = NOT_RUN
    sys.exit(code)
