"""Cancellation, request tokens and store outages, by real processes."""

import http.client
import json
import secrets
import subprocess
import time
import unittest

import fleet


def statz(target):
    return fleet.get_json(target.port, "/statz")


class Outcomes(unittest.TestCase):
    def start(self, f, service_ms=5, extra=()):
        """Callers come in at a; the only target is behind b."""
        a = f.add_node("a", "zone-a")
        b = f.add_node("b", "zone-b")
        target = f.add_target(b, "factors", "--slots", 4, "--service-ms",
                              service_ms, *extra)
        f.wait_ready()
        return a, b, target

    def test_a_caller_that_leaves_cancels_the_work(self):
        with fleet.Fleet() as f:
            a, _, target = self.start(f, service_ms=20000)
            conn = http.client.HTTPConnection(fleet.HOST, a.ports["entry"])
            conn.request("GET", "/", headers={"Host": "factors"})
            fleet.until(lambda: statz(target)["in_flight"] == 1, 10,
                        "the request to run")
            conn.close()
            fleet.until(lambda: statz(target)["cancelled"] == 1, 10,
                        "the run to be cancelled")
            self.assertEqual(statz(target)["in_flight"], 0)

    def mint(self, node):
        status, _, token = fleet.request(
            node.ports["entry"], "POST", "/.well-known/brf/request-token",
            b"", {"Host": "factors"})
        self.assertEqual(status, 201)
        return token.decode()

    def lodge(self, node, token, tag):
        return fleet.request(
            node.ports["entry"], "POST", "/lodge", b"return",
            {"Host": "factors", "idempotency-key": token,
             "x-request-tag": tag})

    def test_a_request_sent_again_with_its_token_runs_once(self):
        with fleet.Fleet() as f:
            a, b, target = self.start(f)
            token = self.mint(a)
            for node in (a, b, a):
                status, got, body = self.lodge(node, token, "once")
                self.assertEqual((status, got["brf-outcome"]),
                                 (200, "answered"), body)
            ran = fleet.get_json(target.port, "/ran?tag=once")["count"]
            self.assertEqual(ran, 1)

    def test_a_key_that_is_no_token_is_refused(self):
        with fleet.Fleet() as f:
            a, _, target = self.start(f)
            status, got, _ = self.lodge(a, "my-own-key", "own")
            self.assertEqual((status, got["brf-outcome"],
                              got["brf-reason"]),
                             (409, "not_run", "token_invalid"))
            self.assertEqual(statz(target)["started"], 0)

    def test_a_token_of_a_replaced_node_is_unknown_and_does_not_run(self):
        with fleet.Fleet() as f:
            a, b, target = self.start(f)
            token = self.mint(a)
            self.lodge(a, token, "first")
            b.kill()
            f.nodes.remove(b)
            target.kill()
            f.targets.remove(target)
            fresh = f.add_node("c", "zone-b")
            second = f.add_target(fresh, "factors", "--slots", 4,
                                  "--service-ms", 5)
            fleet.until(
                lambda: any(m["state"] == "ready" for m in
                            fleet.get_json(a.ports["admin"],
                                           "/brf/v1/members")),
                20, "the new node")
            _, got, _ = self.lodge(a, token, "again")
            self.assertEqual(got["brf-outcome"], "unknown")
            ran = fleet.get_json(second.port, "/ran?tag=again")["count"]
            self.assertEqual(ran, 0)


class StoreOutage(unittest.TestCase):
    def put(self, f, text, expect, key):
        path = f.folder / "factors.json"
        path.write_text(json.dumps(text))
        return subprocess.run(
            [fleet.BIN / "bulrushctl", "--json", "--store",
             f"{fleet.HOST}:{f.store.port}", f"--expect={expect}", "config",
             "put", "factors", path],
            env={"BRF_SERVICE_KEY": key}, capture_output=True, text=True)

    def key(self, master):
        done = subprocess.run(
            [fleet.BIN / "bulrushctl", "key", "factors"], check=True,
            env={"BRF_OPERATOR_KEY": master}, capture_output=True, text=True)
        return done.stdout.strip()

    def revision(self, node):
        docs = node.status()["documents"]
        return docs[0]["revision"] if docs else 0

    def test_documents_outlive_the_store_and_reach_a_new_node(self):
        master = f"k1:{secrets.token_hex(32)}"
        with fleet.Fleet() as f:
            f.store = f.add_store()
            args = ["--store", f"{fleet.HOST}:{f.store.port}"]
            env = {"BRF_OPERATOR_KEY": master}
            nodes = [f.add_node(f"n{i}", "zone-a", extra=args, env=env)
                     for i in range(4)]
            f.wait_ready()
            done = self.put(f, {"schema": 1, "service": "factors"}, 0,
                            self.key(master))
            self.assertEqual(done.returncode, 0, done.stderr)
            fleet.until(lambda: all(self.revision(n) > 0 for n in nodes), 20,
                        "the document everywhere")
            had = self.revision(nodes[0])
            f.store.kill()
            late = f.add_node("late", "zone-a", extra=args, env=env)
            fleet.until(lambda: self.revision(late) == had, 20,
                        "the document at a node that never saw the store")
            time.sleep(1)
            for n in nodes:
                self.assertEqual(self.revision(n), had)


if __name__ == "__main__":
    unittest.main()
