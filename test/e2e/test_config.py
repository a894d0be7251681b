"""Documents from an operator's edit to all nodes, by real processes."""

import json
import os
import pathlib
import subprocess
import unittest

import fleet

MASTER = "m1:000102030405060708090a0b0c0d0e0f"
SERVICES = ["katalog", "mjere", "pretplata", "dostava"]


def document(service):
    return pathlib.Path(f"examples/dojka/{service}.json").read_text()


class Config(unittest.TestCase):
    def start(self, f, count=4):
        self.store = f.add_store()
        extra = ["--store", f"{fleet.HOST}:{self.store.port}"]
        self.nodes = [
            f.add_node(f"n{i}", f"zone-{i % 2}", extra=extra,
                       env={"BRF_OPERATOR_KEY": MASTER})
            for i in range(count)]
        f.wait_ready()
        self.extra = extra

    def ctl(self, *args, text=None, key_of=None, code=0):
        """Run bulrushctl with --json; returns what it printed."""
        env = {**os.environ, "BRF_OPERATOR_KEY": MASTER}
        if key_of:
            env["BRF_SERVICE_KEY"] = self.ctl("key", key_of)["key"]
        done = subprocess.run(
            [fleet.BIN / "bulrushctl", "--json", "--node",
             f"{fleet.HOST}:{self.nodes[0].ports['admin']}", "--store",
             f"{fleet.HOST}:{self.store.port}", *map(str, args)],
            env=env, input=text, capture_output=True, text=True, timeout=60)
        self.assertEqual(done.returncode, code, done.stdout + done.stderr)
        return json.loads(done.stdout) if done.stdout else None

    def put(self, service, expect, text=None, key_of=None, code=0, wait=True):
        return self.ctl("config", "put", service, "-", "--expect", expect,
                        *(["--wait"] if wait else []),
                        text=text or document(service),
                        key_of=key_of or service, code=code)

    def fault(self, **faults):
        fleet.request(self.store.port, "POST", "/control", json.dumps(faults))

    def revision(self, node, service):
        for d in node.status()["documents"]:
            if d["service"] == service:
                return d["revision"]
        return 0

    def in_force(self, nodes, service, revision):
        fleet.until(
            lambda: all(self.revision(n, service) == revision for n in nodes),
            20, f"{service} at revision {revision}")

    def test_an_edit_is_in_force_at_all_nodes(self):
        with fleet.Fleet() as f:
            self.start(f)
            revision = 0
            for service in SERVICES:
                self.put(service, 0)
            for queue in (11, 12, 13):
                text = document("katalog").replace("200 }", f"{queue} }}")
                done = self.put("katalog", revision or 2, text)
                revision = done["revision"]
                self.assertEqual(done["nodes"]["have"], 4)
            self.assertEqual(
                [e["revision"] for e in self.ctl(
                    "config", "history", "katalog")], [8, 7, 6, 2])
            gone = self.ctl("config", "delete", "katalog", "--expect",
                            revision, "--wait", key_of="katalog")
            self.in_force(self.nodes, "katalog", gone["revision"])

    def test_two_editors_at_one_moment(self):
        with fleet.Fleet() as f:
            self.start(f, 1)
            self.put("katalog", 0)
            self.put("katalog", 2, document("katalog").replace("200", "9"))
            lost = self.put("katalog", 2, code=4)
            self.assertEqual(lost["outcome"], "conflict")
            self.assertEqual(lost["revision"], 3)
            self.assertIn('-  "queue": { "length": 9 }', lost["diff"])

    def test_another_services_key_changes_nothing(self):
        with fleet.Fleet() as f:
            self.start(f, 2)
            first = self.put("katalog", 0)["revision"]
            self.put("katalog", first, key_of="mjere", code=1)
            # a tool that is made to store it all the same
            self.ctl("config", "put", "katalog", "-", "--expect", first,
                     "--replace-unproved", text=document("katalog"),
                     key_of="mjere")
            fleet.until(
                lambda: any(n.status()["store"]["refused"]
                            for n in self.nodes), 10, "the refusal")
            for n in self.nodes:
                self.assertEqual(self.revision(n, "katalog"), first)

    def test_answer_lost_and_store_down(self):
        with fleet.Fleet() as f:
            self.start(f)
            self.fault(drop_answers=1)
            first = self.put("katalog", 0)["revision"]
            self.fault(down=True)
            self.put("katalog", first, code=3, wait=False)
            fresh = f.add_node("fresh", "zone-0", extra=self.extra,
                               env={"BRF_OPERATOR_KEY": MASTER})
            self.in_force([*self.nodes, fresh], "katalog", first)
            self.fault(down=False)
            self.nodes.append(fresh)
            last = self.put("katalog", first)["revision"]
            self.in_force(self.nodes, "katalog", last)

    def test_a_store_that_went_back_changes_nothing(self):
        with fleet.Fleet() as f:
            self.start(f)
            self.put("katalog", 0)
            last = self.put("katalog", 2)["revision"]
            self.fault(rollback=2, replay=1)
            fleet.until(
                lambda: any(n.status()["store"]["behind"]
                            for n in self.nodes), 10, "the report")
            for n in self.nodes:
                self.assertEqual(self.revision(n, "katalog"), last)
            refused = self.put("katalog", 2, code=1)
            self.assertEqual(refused["error"], "store_gone_back")


if __name__ == "__main__":
    unittest.main()
