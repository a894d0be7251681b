"""Time added to a call over entry and target's node, and what it costs.

The same target is called directly and through two nodes, one after the
other, at the same moderate rate.
"""

import fleet
import usage

RATE = 1000
SECONDS = 8
STREAM = {"name": "lookups", "service": "factors", "rate": RATE,
          "seconds": SECONDS, "timeout_ms": 2000}


def run(report):
    with fleet.Fleet() as f:
        entry = f.add_node("entry")
        gate = f.add_node("gate")
        target = f.add_target(gate, "factors", "--slots", 200,
                              "--connections", 400, "--service-ms", 2)
        f.wait_ready()
        fleet.load([entry.ports["entry"]], [dict(STREAM, seconds=1)])

        direct = fleet.load([target.port], [STREAM])["streams"][0]
        pids = [n.popen.pid for n in (entry, gate)]
        before = [usage.cpu_seconds(p) for p in pids]
        result = fleet.load([entry.ports["entry"]], [STREAM])
        after = [usage.cpu_seconds(p) for p in pids]
        through = result["streams"][0]

        report.require(through["good"] == through["offered"],
                       f"{through['offered'] - through['good']} calls failed")
        report.require(result["lateness_ms"]["p99"] < 1,
                       "the generator was late")
        for q in ("p50", "p99"):
            added = through["latency_ms"][q] - direct["latency_ms"][q]
            report.put(f"latency_added_{q}", added, "ms")
        report.put("latency_direct_p99", direct["latency_ms"]["p99"], "ms")
        report.put("latency_through_p99", through["latency_ms"]["p99"], "ms")
        cpu = sum(after) - sum(before)
        report.put("cpu_per_call", cpu / through["offered"] * 1e6, "us")
