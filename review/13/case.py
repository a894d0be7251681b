"""DRAIN: the leases of the store run out in an outage, and with them the record
that an upstream has left; its node is killed and believes a late heartbeat."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit-3"))
import kit

CONTACT_S = 3
DRAIN_S = kit.DRAIN_S
OUTAGE_S = 2.0
DOWN_S = 0.5       # of the node
SERVES_ON_S = 14   # after the acknowledgement


class Outage:
    """The store gives no response, and all its leases run out."""

    def __init__(self, store):
        self.store = store
        self.silent = False
        outage, answer = self, kit.StoreHandler.handle_call

        def handle_call(handler):
            if outage.silent:
                while outage.silent:
                    time.sleep(0.02)
                raise OSError("the call is lost")
            answer(handler)

        for method in ("do_GET", "do_POST", "do_DELETE"):
            setattr(kit.StoreHandler, method, handle_call)

    def begin(self):
        self.silent = True

    def end(self):
        with self.store.lock:
            for lease in list(self.store.leases):
                self.store.end_lease(lease)
        self.silent = False


def late_heartbeat(machine):
    """A heartbeat as the upstream would send it now, to be delivered later."""
    machine.sequence += 1
    return machine.heartbeat("ready")


def deliver(machine, body, sent):
    status = machine.admin_call("PUT", body)
    machine.site.record("late_heartbeat", id=machine.ident, status=status,
                        late_s=round(time.time() - sent, 2))


def case(folder):
    with kit.Site(folder) as site:
        outage = Outage(site.store)
        site.configure([kit.route("r-lodge", "/lodge/", "lodgement",
                                  "unsafe")], ["factors", "lodgement"])
        callers = site.add("factors")
        x = site.add("lodgement")
        site.add("lodgement", "perth-b")
        site.start()
        time.sleep(4)
        # a heartbeat is on its way; the upstream says that it is gone
        heartbeat, sent = late_heartbeat(x), time.time()
        x.beating = False
        time.sleep(0.2)
        status = x.admin_call("DELETE")
        acked = time.time()
        site.record("gone", id=x.ident, status=status)
        if status != 200:
            raise kit.CannotRun("the leaving was not acknowledged")
        time.sleep(0.5)
        if kit.TROUBLE:
            outage.begin()
            site.record("store_silent")
            time.sleep(OUTAGE_S - DOWN_S - 0.2)
            x.node.kill()
            x.node.wait()
            site.record("node_killed", machine=x.name)
            time.sleep(DOWN_S)
            x.start_node()
            time.sleep(0.2)
            outage.end()
            site.record("store_back")
        else:
            time.sleep(OUTAGE_S)
        back = time.time()
        kit.wait_for(lambda: kit.accepts(x.ip, x.port("admin")), 5,
                     "the node to listen")
        deliver(x, heartbeat, sent)
        time.sleep(back + CONTACT_S + 0.5 - time.time())

        statuses, stopped = [], threading.Event()

        def client(machine):
            while not stopped.is_set():
                statuses.append(kit.call(machine, "/lodge/x?ms=100", "POST",
                                         body=b"levy")[1])
                time.sleep(0.05)

        threads = [threading.Thread(target=client, args=(m,))
                   for m in (callers, x, x)]
        for t in threads:
            t.start()
        time.sleep(acked + SERVES_ON_S - time.time())
        x.kill_upstream()  # it exits
        time.sleep(1)
        stopped.set()
        for t in threads:
            t.join()
        if not site.nodes_are_up() or not statuses:
            raise kit.CannotRun("a node has ended, or nothing was sent")
        late = [r for r in x.runs()
                if r["event"] == "run" and r["t"] > acked + DRAIN_S]
        for r in late:
            site.record("run_late", id=r["id"], upstream=r["upstream"],
                        after_ack_s=round(r["t"] - acked, 3))
        site.record("result", sent=len(statuses), late=len(late))
        print(f"requests sent in calm: {len(statuses)}; of these at the "
              f"upstream that has left, later than DRAIN_S: {len(late)}")
        return late


kit.main(case)
