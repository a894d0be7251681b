"""Three times the capacity for ten seconds, with clients that retry hard.

Baseline: the same clients call the targets directly, three tries each.
"""

import fleet

TARGETS = 4
SLOTS = 10
SERVICE_MS = 20
SECONDS = 10
TRIES = 3
TIMEOUT_MS = 1000
CAPACITY = TARGETS * SLOTS * 1000 / SERVICE_MS


def streams(ports):
    """Important demand fits: a fifth of capacity; the rest does not."""
    common = {"to": [f"{fleet.HOST}:{p}" for p in ports],
              "service": "lodgement", "seconds": SECONDS,
              "timeout_ms": TIMEOUT_MS, "tries": TRIES, "path": "/",
              "method": "GET", "connections": 4000}
    return [
        dict(common, name="important", rate=0.2 * CAPACITY, priority=0),
        dict(common, name="rest", rate=2.8 * CAPACITY, priority=3),
    ]


def start_targets(f, nodes):
    return [f.add_target(n, "lodgement", "--slots", SLOTS, "--service-ms",
                         SERVICE_MS, "--connections", 4000) for n in nodes]


def measured_capacity(f):
    """Whole answers a second of one saturated target, times their number."""
    with fleet.Fleet() as alone:
        target = start_targets(alone, [None])[0]
        one = {"to": [f"{fleet.HOST}:{target.port}"], "service": "x",
               "path": "/", "method": "GET", "connections": SLOTS * 4,
               "timeout_ms": 10000, "seconds": 3,
               "rate": 1.5 * CAPACITY / TARGETS}
        before = fleet.get_json(target.port, "/statz")["finished"]
        run_ = fleet.start_load([one])
        import time
        time.sleep(1)
        first = fleet.get_json(target.port, "/statz")["finished"]
        time.sleep(1.5)
        second = fleet.get_json(target.port, "/statz")["finished"]
        fleet.finish_load(run_)
        assert before == 0
        return (second - first) / 1.5 * TARGETS


def goodput(report_json):
    return sum(s["good"] for s in report_json["streams"]) / SECONDS


def run(report):
    capacity = measured_capacity(None)
    report.put("surge_capacity", capacity, "calls/s")
    with fleet.Fleet() as f:
        targets = start_targets(f, [None] * TARGETS)
        base = fleet.load(streams([t.port for t in targets]))
    report.put("surge_baseline_goodput_ratio", goodput(base) / capacity)
    with fleet.Fleet() as f:
        nodes = [f.add_node(f"n{i}") for i in range(TARGETS)]
        start_targets(f, nodes)
        f.wait_ready()
        ours = fleet.load(streams([n.ports["entry"] for n in nodes]))
    important, rest = ours["streams"]
    report.put("surge_offered", 3 * CAPACITY, "calls/s")
    report.put("surge_goodput_ratio", goodput(ours) / capacity)
    report.put("surge_important_success",
               important["good"] / important["offered"])
    report.put("surge_rest_success", rest["good"] / rest["offered"])
    report.put("surge_lateness_p99", ours["lateness_ms"]["p99"], "ms")
