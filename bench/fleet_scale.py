"""What control costs a node at several sizes of the fleet, and at 750."""

import json
import time

import fleet
import usage

SIZES = [25, 50, 100, 200]
ZONES = [("z1", "r1"), ("z2", "r1"), ("z3", "r1"), ("z4", "r2"), ("z5", "r2")]
SERVICES = 20
SETTLE = 3
SECONDS = 5
GOAL = 750


def control_bytes(node):
    return sum(v for k, v in node.metrics().items()
               if k.startswith("brf_control_bytes_total"))


def start(f, size):
    """Nodes announce a target that nobody calls: control is all they do."""
    for i in range(size):
        zone, region = ZONES[i % len(ZONES)]
        node = f.add_node(f"n{i}", zone, region, ["--linger-ms", 0])
        announce = {"service": f"s{i % SERVICES}", "port": 9, "slots": 100,
                    "connections": 800}
        fleet.request(node.ports["local"], "PUT", "/brf/v1/target",
                      json.dumps(announce))


def known_everywhere(f, want):
    return all(n.status()["members"] == want for n in f.nodes)


def measure(size):
    with fleet.Fleet() as f:
        start(f, size)
        fleet.until(lambda: known_everywhere(f, size), 20, "all members")
        time.sleep(SETTLE)
        sample = f.nodes[::max(1, size // 20)]
        pids = [n.popen.pid for n in sample]
        bytes0 = [control_bytes(n) for n in sample]
        cpu0 = [usage.cpu_seconds(p) for p in pids]
        begin = time.monotonic()
        time.sleep(SECONDS)
        took = time.monotonic() - begin
        cpu1 = [usage.cpu_seconds(p) for p in pids]
        bytes1 = [control_bytes(n) for n in sample]
        rss = [usage.rss_bytes(p) for p in pids]
        # a join known everywhere
        begin = time.monotonic()
        f.add_node("late", *ZONES[0], ["--linger-ms", 0])
        fleet.until(lambda: known_everywhere(f, size + 1), 20, "the join")
        joined = time.monotonic() - begin
    n = len(sample)
    return {
        "control_bytes_per_s": (sum(bytes1) - sum(bytes0)) / took / n,
        "control_core_percent": 100 * (sum(cpu1) - sum(cpu0)) / took / n,
        "rss": max(rss) / 1e6,
        "join_known": joined,
    }


UNITS = {"control_bytes_per_s": "B/s", "control_core_percent": "%",
         "rss": "MB", "join_known": "s"}


def run(report):
    results = {}
    for size in SIZES:
        results[size] = measure(size)
        for name, value in results[size].items():
            report.put(f"fleet_{size}_{name}", value, UNITS[name])
    largest = results[SIZES[-1]]
    for name, unit in UNITS.items():
        report.put(f"fleet_{name}", largest[name], unit)
        base, slope = usage.fit([(s, r[name]) for s, r in results.items()])
        report.put(f"fleet_750_{name}", base + slope * GOAL, unit)
