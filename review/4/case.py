"""An upstream falls silent in the middle of its answers."""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "shared"))
import kit  # noqa: E402

TIMEOUT_S = 1.0     # of the route
PATIENCE_S = 5.0    # of the clients, in Timeout-Ms
GRACE_S = 0.5       # of the rule
SIZE, PART = 6000, 3000
CLIENTS = 12


def case(d):
    d.configure([kit.route("r-1", "/view/", "declarations",
                           timeout_s=TIMEOUT_S),
                 kit.route("r-2", "/look/", "factors")],
                ["factors", "declarations"])
    na, nb = d.node("factors"), d.node("declarations")
    d.upstream(na, "i-a1")
    ub = d.upstream(nb, "i-b1")
    d.wait_ready(["i-a1", "i-b1"])
    ended = {}

    def view(ident, node):
        client = node.client()
        begun = time.monotonic()
        client.send("GET", f"/view/{ident}?size={SIZE}&part={PART}&pause=400",
                    ident, int(PATIENCE_S * 1000))
        client.answer(PATIENCE_S)  # or until the client gives up
        ended[ident] = time.monotonic() - begun
        client.close()

    clients = [threading.Thread(target=view, args=(f"a{i}", n))
               for i, n in enumerate([na, nb] * (CLIENTS // 2))]
    for c in clients:
        c.start()
    d.until(lambda: len(d.record.lines("part_sent")) == CLIENTS, 5,
            "the first halves")
    if kit.TROUBLE:
        time.sleep(0.1)
        ub.send_signal(signal.SIGUSR2)
        d.record.add("upstream_silent", id="i-b1")
    for c in clients:
        c.join()
    late = {i: round(t, 2) for i, t in ended.items()
            if t > TIMEOUT_S + GRACE_S}
    print(f"{len(ended)} requests, {len(late)} without an end at "
          f"{TIMEOUT_S + GRACE_S} s")
    if len(late) < 8 or len(late) <= len(ended) / 4:
        return []
    return [f"CONFIG: {i} had no final answer after {t} s; the route's "
            f"timeout is {TIMEOUT_S} s" for i, t in sorted(late.items())]


kit.main(FOLDER, case)
