"""RECOVER: after all processes were killed and are back, a service whose routes
are all unsafe gets no requests any more."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit-3"))
import kit

RECOVER_S = 15
DOWN_S = 1.0     # as in the site files' closings
AFTER_BEAT_S = 0.6  # the fault comes so long after the upstreams' heartbeats
MEASURED_S = 12  # behind recoverS
CLIENTS = 5      # a machine
PAUSE_S = 0.1


class Machine:
    """The clients of one machine.  They send while its node is ready, as the
    platform finds, and repeat once after a promise."""

    def __init__(self, machine, results):
        self.machine = machine
        self.results = results  # (time sent, status)
        self.stopped = False
        self.admitted = True
        self.threads = [threading.Thread(target=self.watch)] + [
            threading.Thread(target=self.run) for _ in range(CLIENTS)]
        for t in self.threads:
            t.start()

    def watch(self):
        """Two misses take a machine out; a 200 brings it back."""
        misses = 0
        while not self.stopped:
            misses = 0 if self.machine.is_ready() else misses + 1
            if misses == 0 or misses >= 2:
                if self.admitted != (misses == 0):
                    self.machine.site.record(
                        "ready" if misses == 0 else "not_ready",
                        machine=self.machine.name)
                self.admitted = misses == 0
            time.sleep(1)

    def send(self):
        at = time.time()
        _, status, fields, _ = kit.call(
            self.machine, "/lodge/x?ms=20", "POST", body=b"levy")
        served = status == 200 and kit.N.H_SEAL in fields
        self.results.append((at, status if served or status != 200 else 0))
        return status, fields

    def run(self):
        while not self.stopped:
            if self.admitted:
                status, fields = self.send()
                if status in (429, 503):
                    time.sleep(min(float(fields.get("retry-after", 0.2)), 1.6))
                    self.send()
            time.sleep(PAUSE_S)

    def stop(self):
        self.stopped = True
        for t in self.threads:
            t.join()


def share(results):
    served = sum(status == 200 for _, status in results)
    return served, len(results), served / len(results) if results else 0


def case(folder):
    with kit.Site(folder) as site:
        routes = [kit.route("r-lodge", "/lodge/", "lodgement", "unsafe"),
                  kit.route("r-factor", "/factor/", "factors")]
        site.configure(routes, ["factors", "lodgement"])
        for zone in ("perth-a", "pilbara-a"):
            site.add("factors", zone)
            site.add("lodgement", zone)
        site.start()
        time.sleep(2)
        results = []
        machines = [Machine(m, results) for m in site.machines]
        time.sleep(6)
        beats = len(site.machines[-1].acks)
        while len(site.machines[-1].acks) == beats:
            time.sleep(0.01)
        time.sleep(AFTER_BEAT_S)
        fault = time.time()
        # one more change is acknowledged; right after it, all are killed
        site.configure(routes + [kit.route("r-new", "/new/", "factors")],
                       ["factors", "lodgement"])
        if kit.TROUBLE:
            for m in site.machines:
                m.node.kill()
            for m in site.machines:
                m.node.wait()
            site.record("all_killed")
            time.sleep(DOWN_S)
            for m in site.machines:
                m.start_node()
        back = time.time()
        site.record("back")
        time.sleep(RECOVER_S + MEASURED_S)
        for m in machines:
            m.stop()
        if not site.nodes_are_up():
            raise kit.CannotRun("a node has ended")
        before = share([r for r in results if r[0] < fault])
        after = share([r for r in results if r[0] > back + RECOVER_S])
        if before[2] < 0.25 or not after[1]:
            raise kit.CannotRun(f"too little was served before: {before}")
        site.record("result", served_before=before[0], sent_before=before[1],
                    served_after=after[0], sent_after=after[1])
        print(f"served before the fault: {before[0]} of {before[1]}; later "
              f"than recoverS after it: {after[0]} of {after[1]}")
        return after[2] < 0.25


kit.main(case)
