"""Time added to a call over entry and target's node, and what it costs.

The same target is called directly and through two nodes, one after the
other, at the same moderate rate.
"""

import fleet
import usage

RATE = 1000
SECONDS = 6


def stream(ports):
    return {"to": [f"{fleet.HOST}:{p}" for p in ports], "service": "factors",
            "rate": RATE, "seconds": SECONDS, "path": "/", "method": "GET",
            "timeout_ms": 2000, "connections": 64}


def run(report):
    with fleet.Fleet() as f:
        entry = f.add_node("entry")
        gate = f.add_node("gate")
        target = f.add_target(gate, "factors", "--slots", 200,
                              "--connections", 400, "--service-ms", 2)
        f.wait_ready()
        fleet.load([dict(stream([entry.ports["entry"]]), seconds=1)])

        direct = fleet.load([stream([target.port])])["streams"][0]
        before = [usage.cpu_seconds(n.popen.pid) for n in (entry, gate)]
        through = fleet.load([stream([entry.ports["entry"]])])["streams"][0]
        after = [usage.cpu_seconds(n.popen.pid) for n in (entry, gate)]

        report.require(through["good"] == through["offered"],
                       f"{through['offered'] - through['good']} calls failed")
        cpu = sum(after) - sum(before)
        for q in ("p50", "p99"):
            added = through["latency_ms"][q] - direct["latency_ms"][q]
            report.put(f"latency_added_{q}", added, "ms")
        report.put("latency_direct_p99", direct["latency_ms"]["p99"], "ms")
        report.put("latency_through_p99", through["latency_ms"]["p99"], "ms")
        report.put("cpu_per_call", cpu / through["offered"] * 1e6, "us")
