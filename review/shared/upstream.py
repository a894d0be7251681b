"""An upstream: a process that runs requests and sends heartbeats to its node.

It begins to work on a request as soon as it has read its head, and answers
once it has read the body.  What it does with a request follows from the query
of the path:

ms=N       milliseconds of work after the body was read
size=N     bytes of the answer's body
how=early  it answers at once, keeps the connection and reads the body then
how=unframed   the answer has no length and ends with the connection
part=N     bytes of the body after which it pauses for pause=N milliseconds
read=N     milliseconds before it begins to read the body

Signals: SIGUSR1 resets each idle connection with a probability
of RESET_SHARE; SIGUSR2 makes it fall silent: it
goes on to read nothing, sends nothing and closes nothing.
"""

import argparse
import hashlib
import http.client
import json
import random
import select
import signal
import socket
import struct
import sys
import threading
import time
import urllib.parse

from names import N

RESET_SHARE = 0.55  # the largest x of reset_conns at the site

EARLY = "early"
silent = threading.Event()
wake_read, wake_write = socket.socketpair()


def record(args, what, **more):
    line = json.dumps({"t": round(time.monotonic(), 4), "what": what,
                       "by": args.id, "service": args.service, **more})
    with open(args.record, "a") as f:
        f.write(line + "\n")


def reset_idle(args):
    """Idle connections are waited for together with wake_read."""
    record(args, "idle_connections_reset")
    wake_write.send(b"x")
    time.sleep(0.05)
    wake_read.recv(1)


def wait_for_request(conn):
    """Return False if the connection was to be reset meanwhile."""
    ready, _, _ = select.select([conn, wake_read], [], [])
    if conn in ready or random.random() > RESET_SHARE:
        return True
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                    struct.pack("ii", 1, 0))
    return False


def stall():
    while silent.is_set():
        time.sleep(3600)


def read_exactly(rfile, n):
    parts, left = [], n
    while left:
        part = rfile.read(min(left, 65536))
        if not part:
            raise ConnectionError("the body ended early")
        parts.append(part)
        left -= len(part)
    return b"".join(parts)


def read_body(rfile, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int(rfile.readline().split(b";")[0], 16)
            body += read_exactly(rfile, size)
            rfile.readline()
            if size == 0:
                return body
    return read_exactly(rfile, int(fields.get("content-length", 0)))


def serve_one(args, conn, rfile, waits):
    """Return whether to read on; EARLY behind an early answer, when the next
    request may have been read already."""
    if waits and not wait_for_request(conn):
        return False
    line = rfile.readline()
    if not line.strip():
        return False
    stall()
    method, path, _ = line.decode().split(" ", 2)
    fields = {}
    while text := rfile.readline().decode("latin-1").strip():
        name, value = text.split(":", 1)
        fields[name.lower()] = value.strip()
    query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(path).query))
    ident = fields.get(N.H_REQUEST_ID, "")
    if not ident:
        record(args, "rejected_400", line=line[:60].decode("latin-1"))
        conn.sendall(f"HTTP/1.1 400 Bad Request\r\n{N.H_NOT_EXECUTED}: 1\r\n"
                     "Connection: close\r\nContent-Length: 0\r\n\r\n"
                     .encode())
        return False
    head = (f"{N.H_REQUEST_ID}: {ident}\r\n"
            f"{N.H_SEAL}: {args.id}.{ident}\r\n")
    if fields.get(N.H_TARGET, args.id) != args.id:
        record(args, "rejected_421", id=ident)
        conn.sendall("HTTP/1.1 421 Misdirected\r\n"
                     f"{N.H_REQUEST_ID}: {ident}\r\n{N.H_NOT_EXECUTED}: 1\r\n"
                     "Content-Length: 0\r\n\r\n".encode())
        return "content-length" not in fields
    record(args, "run", id=ident, method=method, path=path,
           caller=fields.get(N.H_CALLER),
           target=fields.get(N.H_TARGET),
           timeout_ms=fields.get(N.H_TIMEOUT_MS),
           framing=fields.get("transfer-encoding",
                              fields.get("content-length")))
    early = query.get("how") == "early"
    if early:
        conn.sendall(f"HTTP/1.1 200 OK\r\n{head}Content-Length: 5\r\n\r\n"
                     "early".encode())
        record(args, "answer_sent", id=ident, bytes=5)
    time.sleep(int(query.get("read", 0)) / 1000)
    body = read_body(rfile, fields)
    record(args, "body_read", id=ident, bytes=len(body),
           sha=hashlib.sha256(body).hexdigest()[:16],
           begins=body[:40].decode("latin-1"))
    if early:
        return EARLY
    time.sleep(int(query.get("ms", 0)) / 1000)
    stall()
    out = (args.id.encode() + b" ") * (int(query.get("size", 20)))
    out = out[:int(query.get("size", 20))]
    part = int(query.get("part", 0))
    unframed = query.get("how") == "unframed"
    if unframed:
        head += "Connection: close\r\n"
    else:
        head += f"Content-Length: {len(out)}\r\n"
    conn.sendall(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode() +
                 (out[:part] if part else out))
    if part:
        record(args, "part_sent", id=ident, bytes=part)
        time.sleep(int(query.get("pause", 0)) / 1000)
        stall()
        conn.sendall(out[part:])
    record(args, "answer_sent", id=ident, bytes=len(out))
    return not unframed


def serve(args, conn):
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    rfile = conn.makefile("rb")
    try:
        more = True
        while more:
            more = serve_one(args, conn, rfile, more != EARLY)
    except (OSError, ValueError) as e:
        record(args, "connection_lost", why=str(e)[:80])
    finally:
        try:
            rfile.close()
            conn.close()
        except OSError:
            pass


def heartbeats(args):
    born, sequence = int(time.time() * 1000), 0
    host, port = args.admin.rsplit(":", 1)
    while True:
        stall()
        sequence += 1
        body = {N.ADDRESS: args.address, N.START_TIME: born,
                N.INFO: {N.SERVICE: args.service, N.SOFTWARE_VERSION: "v1",
                         N.ZONE: args.zone, N.SLOTS: args.slots},
                N.STATUS: {N.STATE: N.STATE_READY, N.SEQUENCE: sequence,
                           N.WARMUP_LEFT: 0}}
        status = 0
        try:
            c = http.client.HTTPConnection(host, int(port), timeout=1)
            c.request("PUT", N.INSTANCES_PATH + args.id,
                      json.dumps(body), {"Content-Type": "application/json"})
            status = c.getresponse().status
            c.close()
        except OSError:
            pass
        if sequence == 1 or status != 200:
            record(args, "heartbeat", sequence=sequence, status=status)
        time.sleep(1.5 if status == 200 else 0.1)


def main():
    p = argparse.ArgumentParser()
    for name in ("id", "service", "listen", "address", "admin", "zone",
                 "record"):
        p.add_argument(f"--{name}", required=True)
    p.add_argument("--slots", type=int, default=50)
    p.add_argument("--quiet", action="store_true", help="sends no heartbeats")
    args = p.parse_args()
    signal.signal(signal.SIGUSR1, lambda *a: threading.Thread(
        target=reset_idle, args=(args,)).start())
    signal.signal(signal.SIGUSR2, lambda *a: silent.set())
    host, port = args.listen.rsplit(":", 1)
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind((host, int(port)))
    s.listen(512)
    if not args.quiet:
        threading.Thread(target=heartbeats, args=(args,), daemon=True).start()
    while True:
        conn, _ = s.accept()
        threading.Thread(target=serve, args=(args, conn), daemon=True).start()


if __name__ == "__main__":
    sys.exit(main())
