"""One target in ten fails every request at once and calls itself healthy."""

import fleet

TARGETS = 10
SLOTS = 10
SERVICE_MS = 20
SECONDS = 8
CAPACITY = TARGETS * SLOTS * 1000 / SERVICE_MS
RATE = 0.7 * CAPACITY


def drive(liar):
    with fleet.Fleet() as f:
        nodes = [f.add_node(f"n{i}") for i in range(TARGETS)]
        for i, n in enumerate(nodes):
            more = ["--fail-ratio", 1, "--lie"] if liar and i == 0 else []
            f.add_target(n, "mjere", "--slots", SLOTS, "--service-ms",
                         SERVICE_MS, "--connections", 500, *more)
        f.wait_ready()
        # callers are at nodes whose own target is honest
        ports = [n.ports["entry"] for n in nodes[1:]]
        return fleet.load(ports, [{"name": "callers", "service": "mjere",
                                   "rate": RATE, "seconds": SECONDS,
                                   "timeout_ms": 1000}], connections=4000)


def run(report):
    honest = drive(False)["streams"][0]
    result = drive(True)
    lied = result["streams"][0]
    report.require(result["lateness_ms"]["p99"] < 20,
                   "the generator was late")
    report.put("liars_goodput_ratio",
               (lied["good"] / lied["offered"]) /
               (honest["good"] / honest["offered"]))
    report.put("liars_honest_success", honest["good"] / honest["offered"])
    report.note(f"liars: {lied['statuses']} {lied['reasons']}")
