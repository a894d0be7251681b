"""Connections are reset while clients lodge returns: is each body whole?"""

import hashlib
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "shared"))
import kit  # noqa: E402

BODY = b"certified levy return " * 20
LONG = b"certified levy return " * 600
CLIENTS = 16
LOAD_S = 20
RESET_EVERY_S = 0.5


def load(node, number, end):
    """One client, with one request at a time on a kept connection."""
    client, i = node.client(), 0
    while time.monotonic() < end:
        i += 1
        closed = True
        try:
            if i % 4 == 0:
                client.send("POST", f"/lodge/{number}-{i}?how=early&read=2",
                            f"long-{number}-{i}", body=LONG)
            else:
                client.send("POST", f"/lodge/{number}-{i}?ms=5",
                            f"short-{number}-{i}", body=BODY,
                            chunked=i % 2 == 1)
            status, fields, _, _ = client.answer()
            closed = not status or fields.get("connection") == "close"
        except OSError:
            pass
        if closed:
            client.close()
            client = node.client()
    client.close()


def case(d):
    d.configure([kit.route("r-1", "/lodge/", "lodgement", "unsafe"),
                 kit.route("r-2", "/look/", "factors")],
                ["factors", "lodgement"])
    na, nb = d.node("factors"), d.node("lodgement")
    d.upstream(na, "i-a1")
    ub = d.upstream(nb, "i-b1")
    d.wait_ready(["i-a1", "i-b1"])
    end = time.monotonic() + LOAD_S
    clients = [threading.Thread(target=load, args=(na, k, end))
               for k in range(CLIENTS)]
    for c in clients:
        c.start()
    while time.monotonic() < end - 1:
        time.sleep(RESET_EVERY_S)
        if kit.TROUBLE:
            ub.send_signal(signal.SIGUSR1)
    for c in clients:
        c.join()
    time.sleep(0.5)
    answers = {a["id"]: a["status"] for a in d.record.lines("answered")}
    read = d.record.lines("body_read")
    resets = d.record.lines("idle_connections_reset")
    print(f"{len(answers)} requests, {len(read)} bodies read, "
          f"{len(resets)} resets")
    whole = {kind: hashlib.sha256(body).hexdigest()[:16]
             for kind, body in (("short", BODY), ("long", LONG))}
    return [f"UNASKED: {r['id']} was run with another body, of {r['bytes']} "
            f"bytes, that begins with {r['begins']!r}; the client got "
            f"{answers.get(r['id'])}"
            for r in read if r["sha"] != whole[r["id"].split("-")[0]]]


kit.main(FOLDER, case)
