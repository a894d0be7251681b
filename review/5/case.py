"""A node is killed after it has acknowledged that its upstream is gone; a
heartbeat that was sent before arrives late."""

import http.client
import json
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "shared"))
import kit  # noqa: E402
from names import N  # noqa: E402

LATE_S = 3.0      # of the heartbeat
RESTART_S = 0.5   # from the kill to the next start
STAYS_S = 12.0    # that the upstream serves on after its DELETE
EVERY_S = 0.1     # between requests


class Control:
    """What the upstream i-b1 says of itself to the node on its machine."""

    def __init__(self, d, node):
        self.d, self.node = d, node
        self.born, self.sequence = int(time.time() * 1000), 0

    def say(self, method, body=None):
        c = http.client.HTTPConnection(self.node.ip, self.d.ports[2],
                                       timeout=1)
        try:
            c.request(method, N.INSTANCES_PATH + "i-b1",
                      json.dumps(body) if body else None,
                      {"Content-Type": "application/json"})
            status = c.getresponse().status
        except OSError:
            status = 0
        finally:
            c.close()
        self.d.record.add("said", method=method, status=status,
                          **(body[N.STATUS] if body else {}))
        return status

    def heartbeat(self, late_s=0):
        self.sequence += 1
        body = {N.ADDRESS: f"{self.node.ip}:{self.d.ports[5]}",
                N.START_TIME: self.born,
                N.INFO: {N.SERVICE: "lodgement", N.SOFTWARE_VERSION: "v1",
                         N.ZONE: self.node.zone, N.SLOTS: 50},
                N.STATUS: {N.STATE: N.STATE_READY, N.SEQUENCE: self.sequence,
                           N.WARMUP_LEFT: 0}}
        if late_s == 0:
            return self.say("PUT", body)
        threading.Thread(target=lambda: (time.sleep(late_s),
                                         self.say("PUT", body))).start()
        return None


def case(d):
    d.configure([kit.route("r-1", "/lodge/", "lodgement", "unsafe"),
                 kit.route("r-2", "/look/", "factors")],
                ["factors", "lodgement"])
    na, nb, nc = d.node("factors"), d.node("lodgement"), d.node("lodgement")
    d.upstream(na, "i-a1")
    d.upstream(nc, "i-c1")
    d.upstream(nb, "i-b1", None, None, "--quiet")
    control = Control(d, nb)
    d.until(lambda: control.heartbeat() == 200, 10, "the first heartbeat")
    d.wait_ready(["i-a1", "i-b1", "i-c1"])
    stop, sent = threading.Event(), {}

    def clients():
        i = 0
        while not stop.wait(EVERY_S):
            i += 1
            sent[f"a{i}"] = time.monotonic()
            kit.call(na, "POST", f"/lodge/{i}", f"a{i}", body=b"return")

    loop = threading.Thread(target=clients)
    loop.start()
    for _ in range(2):
        time.sleep(1.5)
        control.heartbeat()
    # the last heartbeat, which is late, and then the end of the service
    control.heartbeat(LATE_S)
    time.sleep(0.3)
    if control.say("DELETE") != 200:
        raise kit.CannotRun("the DELETE was not acknowledged")
    acknowledged = time.monotonic()
    back = acknowledged
    if kit.TROUBLE:
        time.sleep(0.3)
        nb.signal(signal.SIGKILL)
        nb.popen.wait()
        time.sleep(RESTART_S)
        nb.start()
        back = time.monotonic()
    while time.monotonic() < acknowledged + STAYS_S:
        time.sleep(0.1)
    stop.set()
    loop.join()
    # sent and taken by machines in touch: na all the while, nb as from here
    since = max(acknowledged + kit.DRAIN_S, back + kit.CONTACT_S + 0.5)
    runs = [r for r in d.record.lines("run") if r["by"] == "i-b1"]
    late = [r for r in runs if r["t"] > since and sent[r["id"]] > since]
    print(f"{len(sent)} requests, {len(runs)} at i-b1, {len(late)} of them "
          f"sent over {since - acknowledged:.1f} s after its end was "
          "acknowledged")
    return [f"DRAIN: {r['id']} reached i-b1 {r['t'] - acknowledged:.2f} s "
            "after its node had acknowledged its DELETE" for r in late]


kit.main(FOLDER, case)
