"""From an accepted edit to its being in force at all nodes, and what the
fleet costs the store, at several sizes.

The time of an edit at a node is from the tool's return (the store has it) to
the node's log line "document_in_force", all on one clock.  The outage is a
store that closes every connection.  Rumours need rounds in the logarithm of
the fleet's size, so times are carried to 750 nodes by the slope for each
doubling; the store's load, which should not grow, by the slope for each
node."""

import datetime
import json
import math
import os
import subprocess
import time

import fleet
import usage

# with fewer than two nodes a zone beyond the followers nothing is spread
SIZES = (20, 40, 80, 160)
AIM = 750
ZONES = 5
EDITS = 10
PAUSE_S = 1.0
STEADY_S = 10.0
OUTAGE_S = 5.0
AFTER_S = 5.0
MASTER = "m1:000102030405060708090a0b0c0d0e0f"
SERVICE = "katalog"


def document(number):
    return json.dumps({"schema": 1, "service": SERVICE,
                       "queue": {"length": number}})


def ctl(f, store, *args, text=None, key=None):
    env = {**os.environ, "BRF_OPERATOR_KEY": MASTER}
    if key:
        env["BRF_SERVICE_KEY"] = key
    done = subprocess.run(
        [fleet.BIN / "bulrushctl", "--json", "--store",
         f"{fleet.HOST}:{store.port}", *map(str, args)],
        env=env, input=text, capture_output=True, text=True, timeout=60,
        check=True)
    return json.loads(done.stdout)


def in_force(f, revision):
    """When each node had the revision, seconds."""
    times = []
    for log in f.folder.glob("n*.log"):
        for line in log.read_text().splitlines():
            event = json.loads(line)
            if (event["event"] == "document_in_force"
                    and event["revision"] == revision):
                at = datetime.datetime.fromisoformat(
                    event["time"].replace("Z", "+00:00"))
                times.append(at.timestamp())
    return times


def calls(store):
    return fleet.get_json(store.port, "/statz")["calls"]


def control(store, **faults):
    fleet.request(store.port, "POST", "/control", json.dumps(faults))


def edit_times(f, store, report):
    key = ctl(f, store, "key", SERVICE)["key"]
    revision, spent = 0, []
    for number in range(1, EDITS + 1):
        done = ctl(f, store, "config", "put", SERVICE, "-", "--expect",
                   revision, text=document(number), key=key)
        stored = time.time()
        revision = done["revision"]
        fleet.until(lambda: len(in_force(f, revision)) == len(f.nodes), 20,
                    f"revision {revision} everywhere")
        # 0 when the node had it before the tool returned
        spent += [max(0.0, t - stored) for t in in_force(f, revision)]
        time.sleep(PAUSE_S)
    return spent


def rate_over(store, seconds):
    before = calls(store)
    time.sleep(seconds)
    return (calls(store) - before) / seconds


def peak_over(store, seconds):
    """The most calls in one second."""
    peak = 0
    for _ in range(int(seconds)):
        peak = max(peak, rate_over(store, 1.0))
    return peak


def measure(size, report):
    with fleet.Fleet() as f:
        store = f.add_store()
        extra = ["--store", f"{fleet.HOST}:{store.port}"]
        for i in range(size):
            f.add_node(f"n{i}", f"zone-{i % ZONES}", extra=extra,
                       env={"BRF_OPERATOR_KEY": MASTER})
        f.wait_ready(60)
        time.sleep(3)
        spent = edit_times(f, store, report)
        steady = rate_over(store, STEADY_S)
        control(store, down=True)
        outage = peak_over(store, OUTAGE_S)
        control(store, down=False)
        after = peak_over(store, AFTER_S)
    worst = max(spent) * 1000
    report.put(f"config_in_force_worst_ms_{size}", worst, "ms")
    p99 = sorted(spent)[int(len(spent) * 0.99)] * 1000
    report.put(f"config_in_force_p99_ms_{size}", p99, "ms")
    report.put(f"config_store_calls_{size}", steady, "calls/s")
    report.put(f"config_store_calls_outage_peak_{size}", outage, "calls/s")
    report.put(f"config_store_calls_after_peak_{size}", after, "calls/s")
    return worst, p99, steady, max(outage, after)


def run(report):
    points = [(size, *measure(size, report)) for size in SIZES]
    # the worst of a run is one missed rumour, made good a second later; it
    # has no slope to speak of
    report.put("config_in_force_worst_ms", max(p[1] for p in points), "ms")
    base, slope = usage.fit([(math.log2(p[0]), p[2]) for p in points])
    report.put("config_in_force_p99_ms_slope", slope, "ms a doubling")
    report.put(f"config_in_force_p99_ms_{AIM}_by_slope",
               base + math.log2(AIM) * slope, "ms")
    for column, name in ((3, "calls"), (4, "fault_peak")):
        base, slope = usage.fit([(p[0], p[column]) for p in points])
        report.put(f"config_store_{name}_slope", slope, "calls/s a node")
        report.put(f"config_store_{name}_{AIM}_by_slope",
                   base + AIM * slope, "calls/s")
