"""An application upstream as PROTOCOL.md describes it, one process.

    upstream.py ADDRESS PORT ID LOG [SLOTS]

The query of a request's path says how it is run:

    ms=N      milliseconds of work before the answer
    size=N    bytes of the answer's body
    first=N   bytes of the body that are sent at once; the rest follows after
    pause=N   milliseconds
    close=1   the answer has no length and ends with the connection

LOG gets a JSON line for each request that begins to run ("run"), that is
answered ("answered") or dropped because its connection closed ("dropped").
"""

import json
import socket
import socketserver
import sys
import threading
import time
import urllib.parse

from names import N

ADDRESS, PORT, IDENT, LOG = sys.argv[1], int(sys.argv[2]), sys.argv[3], sys.argv[4]
SLOTS = int(sys.argv[5]) if len(sys.argv) > 5 else 50
QUEUE = 50

lock = threading.Lock()
log_file = open(LOG, "a", buffering=1)
slots = threading.Semaphore(SLOTS)
held = 0


def log(**line):
    line["t"] = round(time.time(), 4)
    line["upstream"] = IDENT
    with lock:
        log_file.write(json.dumps(line) + "\n")


class Handler(socketserver.StreamRequestHandler):
    disable_nagle_algorithm = True

    def handle(self):
        try:
            while self.serve_one():
                pass
        except OSError:
            pass

    def wait(self, seconds):
        """Return False as soon as the peer closes the connection."""
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            self.connection.settimeout(left)
            try:
                if not self.connection.recv(1, socket.MSG_PEEK):
                    return False
                time.sleep(0.01)
            except TimeoutError:
                break
        self.connection.settimeout(None)
        return True

    def head(self, status, ident, length, more=""):
        text = f"HTTP/1.1 {status} OK\r\n{N.H_REQUEST_ID}: {ident}\r\n"
        if length is not None:
            text += f"Content-Length: {length}\r\n"
        return (text + more + "\r\n").encode()

    def serve_one(self):
        global held
        line = self.rfile.readline()
        if not line.strip():
            return False
        method, path, _ = line.decode().split(" ", 2)
        fields = {}
        while (text := self.rfile.readline().decode().rstrip("\r\n")):
            name, value = text.split(":", 1)
            fields[name.lower()] = value.strip()
        body = self.read_body(fields)
        ident = fields.get(N.H_REQUEST_ID, "")
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/healthz":
            self.connection.sendall(self.head(
                200, ident, 0, f"{N.H_INSTANCE}: {IDENT}\r\n"))
            return True
        if fields.get(N.H_TARGET, IDENT) != IDENT:
            self.connection.sendall(self.head(421, ident, 0,
                                              f"{N.H_NOT_EXECUTED}: 1\r\n"))
            return True
        with lock:
            full = held >= SLOTS + QUEUE
            held += not full
        if full:
            self.connection.sendall(self.head(503, ident, 0,
                                              f"{N.H_NOT_EXECUTED}: 1\r\n"))
            return True
        try:
            with slots:
                log(event="run", id=ident, path=path, method=method,
                    caller=fields.get(N.H_CALLER), body=len(body))
                return self.answer(ident, query)
        finally:
            with lock:
                held -= 1

    def answer(self, ident, query):
        if not self.wait(int(query.get("ms", 0)) / 1000):
            log(event="dropped", id=ident)
            return False
        body = b"b" * int(query.get("size", 10))
        first = int(query.get("first", len(body)))
        more = f"{N.H_SEAL}: seal-{IDENT}-{ident}\r\n"
        length = None if "close" in query else len(body)
        if length is None:
            more += "Connection: close\r\n"
        self.connection.sendall(self.head(200, ident, length, more) +
                                body[:first])
        if first < len(body):
            if not self.wait(int(query.get("pause", 0)) / 1000):
                log(event="dropped", id=ident)
                return False
            self.connection.sendall(body[first:])
        log(event="answered", id=ident)
        return length is not None

    def read_body(self, fields):
        if fields.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                line = self.rfile.readline().split(b";")[0].strip()
                if not line:
                    raise OSError("the request broke off")
                size = int(line, 16)
                parts.append(self.rfile.read(size))
                if self.rfile.readline() != b"\r\n":
                    raise OSError("the request broke off")
                if size == 0:
                    return b"".join(parts)
        length = int(fields.get("content-length", 0))
        body = self.rfile.read(length)
        if len(body) < length:
            raise OSError("the request broke off")
        return body


class Server(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass  # peers may disconnect at any moment


Server((ADDRESS, PORT), Handler).serve_forever(poll_interval=0.1)
