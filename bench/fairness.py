"""One workspace offers ten times its share; the others stay within theirs."""

import secrets
import subprocess

import fleet

TARGETS = 2
SLOTS = 10
SERVICE_MS = 10
SECONDS = 8
WORKSPACES = 5
CAPACITY = TARGETS * SLOTS * 1000 / SERVICE_MS
SHARE = CAPACITY / WORKSPACES


def token(keys, workspace):
    out = subprocess.run([fleet.BIN / "bulrushctl", "token", workspace],
                         env={"BRF_WORKSPACE_KEYS": keys}, check=True,
                         capture_output=True, text=True)
    return out.stdout.strip()


def run(report):
    keys = f"k1:{secrets.token_hex(32)}"
    with fleet.Fleet() as f:
        nodes = [f.add_node(f"n{i}", env={"BRF_WORKSPACE_KEYS": keys})
                 for i in range(TARGETS)]
        for n in nodes:
            f.add_target(n, "katalog", "--slots", SLOTS, "--service-ms",
                         SERVICE_MS, "--connections", 2000)
        f.wait_ready()
        common = {"service": "katalog", "seconds": SECONDS,
                  "timeout_ms": 1000}
        streams = [dict(common, name=f"w{i}", rate=0.7 * SHARE,
                        workspace_token=token(keys, f"w{i}"))
                   for i in range(WORKSPACES - 1)]
        streams.append(dict(common, name="greedy", rate=10 * SHARE, tries=3,
                            workspace_token=token(keys, "greedy")))
        result = fleet.load([n.ports["entry"] for n in nodes], streams,
                            connections=6000)
    report.require(result["lateness_ms"]["p99"] < 20,
                   "the generator was late")
    others = result["streams"][:-1]
    losses = [1 - s["good"] / s["offered"] for s in others]
    greedy = result["streams"][-1]
    report.put("fairness_loss", max(losses))
    report.put("fairness_greedy_goodput", greedy["good"] / SECONDS, "calls/s")
    report.put("fairness_goodput_ratio",
               sum(s["good"] for s in result["streams"]) / SECONDS / CAPACITY)
    report.note(f"fairness: {others[0]['reasons']}, {greedy['reasons']}")
