"""Three times the capacity for ten seconds, with clients that retry hard.

Baseline: the same clients call the targets directly, three tries each.
"""

import time

import fleet

TARGETS = 4
SLOTS = 10
SERVICE_MS = 20
SECONDS = 10
CAPACITY = TARGETS * SLOTS * 1000 / SERVICE_MS


def streams():
    """Important demand fits: a fifth of capacity; the rest does not."""
    common = {"service": "lodgement", "seconds": SECONDS, "timeout_ms": 1000,
              "tries": 3}
    return [
        dict(common, name="important", rate=0.2 * CAPACITY, priority=0),
        dict(common, name="rest", rate=2.8 * CAPACITY, priority=3),
    ]


def start_targets(f, nodes):
    return [f.add_target(n, "lodgement", "--slots", SLOTS, "--service-ms",
                         SERVICE_MS, "--connections", 4000) for n in nodes]


def measured_capacity():
    """Answers a second of one saturated target, times the number of them."""
    with fleet.Fleet() as f:
        target = start_targets(f, [None])[0]
        load = fleet.start_load(
            [target.port],
            [{"name": "x", "service": "x", "seconds": 4, "timeout_ms": 10000,
              "rate": 1.2 * CAPACITY / TARGETS}], connections=4 * SLOTS)
        time.sleep(1.5)
        first = fleet.get_json(target.port, "/statz")["finished"]
        begin = time.monotonic()
        time.sleep(2)
        last = fleet.get_json(target.port, "/statz")["finished"]
        took = time.monotonic() - begin
        fleet.finish_load(load)
        return (last - first) / took * TARGETS


def goodput(result):
    return sum(s["good"] for s in result["streams"]) / SECONDS


def run(report):
    capacity = measured_capacity()
    report.put("surge_capacity", capacity, "calls/s")
    with fleet.Fleet() as f:
        targets = start_targets(f, [None] * TARGETS)
        base = fleet.load([t.port for t in targets], streams(),
                          connections=8000)
    report.put("surge_baseline_goodput_ratio", goodput(base) / capacity)
    with fleet.Fleet() as f:
        nodes = [f.add_node(f"n{i}") for i in range(TARGETS)]
        start_targets(f, nodes)
        f.wait_ready()
        ours = fleet.load([n.ports["entry"] for n in nodes], streams(),
                          connections=8000)
    report.require(ours["lateness_ms"]["p99"] < 20, "the generator was late")
    important, rest = ours["streams"]
    report.put("surge_offered", 3 * CAPACITY, "calls/s")
    report.put("surge_goodput_ratio", goodput(ours) / capacity)
    report.put("surge_important_success",
               important["good"] / important["offered"])
    report.put("surge_rest_success", rest["good"] / rest["offered"])
    report.note(f"surge: important {important['reasons']}, "
                f"rest {rest['reasons']}")
