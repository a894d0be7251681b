"""Stops, kills and pauses under load, by real processes."""

import json
import signal
import socket
import threading
import time
import unittest

import fleet

RATE = 200


def start_load(nodes, **more):
    stream = {"name": "callers", "service": "factors", "rate": RATE,
              "timeout_ms": 5000, **more}
    return fleet.start_load([n.ports["entry"] for n in nodes], [stream],
                            connections=64)


class Stop(unittest.TestCase):
    def start(self, f, count=4, service="factors"):
        nodes = [f.add_node(f"n{i}", f"zone-{i % 2}") for i in range(count)]
        for n in nodes:
            f.add_target(n, service, "--slots", 8, "--service-ms", 10)
        f.wait_ready()
        return nodes

    def test_sigterm_under_load_cuts_nothing_off(self):
        """Callers stay at nodes that live; a target's node stops."""
        with fleet.Fleet() as f:
            nodes = self.start(f)
            running = start_load(nodes[:2], seconds=4)
            time.sleep(1)
            self.assertEqual(nodes[3].stop(), 0)
            report = fleet.finish_load(running)["streams"][0]
            self.assertEqual(report["good"], report["offered"], report)

    def test_sighup_is_refused_and_ends_nothing(self):
        with fleet.Fleet() as f:
            nodes = self.start(f, 2)
            running = start_load(nodes[:1], seconds=1)
            for n in nodes:
                n.signal(signal.SIGHUP)
                fleet.until(lambda: b'"reload_refused"' in
                            n.log.read_bytes(), 10, "a line in the log")
            report = fleet.finish_load(running)["streams"][0]
            self.assertEqual(report["good"], report["offered"], report)
            for n in nodes:
                self.assertTrue(n.alive())
                self.assertEqual(n.stop(), 0)

    def test_entry_node_finishes_its_callers_requests(self):
        with fleet.Fleet() as f:
            nodes = self.start(f, 2)
            slow = [{"service_ms": 800}]
            for t in f.targets:
                fleet.request(t.port, "POST", "/control", json.dumps(slow[0]))
            running = start_load(nodes[:1], seconds=0.3, rate=20)
            time.sleep(0.6)
            self.assertEqual(nodes[0].stop(), 0)
            report = fleet.finish_load(running)["streams"][0]
            self.assertGreater(report["offered"], 0)
            self.assertEqual(report["good"], report["offered"], report)

    def test_stop_waits_for_a_client_that_reads_slowly(self):
        """The answer is larger than the client's window; the client sends
        more, and reads after the time for which the node lingers."""
        body = b"b" * 1000000
        with fleet.Fleet() as f, socket.create_server(
                (fleet.HOST, 0)) as listener:
            node = f.add_node("n0", extra=["--linger-ms", "200"])
            status, _, _ = fleet.request(
                node.ports["local"], "PUT", "/brf/v1/target",
                json.dumps({"service": "factors", "slots": 1, "cold": False,
                            "connections": 1, "heartbeat_ms": 60000,
                            "port": listener.getsockname()[1]}))
            self.assertEqual(status, 200)
            listener.settimeout(10)
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            client.settimeout(20)
            client.connect((fleet.HOST, node.ports["entry"]))
            get = b"GET / HTTP/1.1\r\nHost: factors\r\n\r\n"
            client.sendall(get)
            target, _ = listener.accept()
            target.recv(65536)
            node.signal(signal.SIGTERM)
            client.sendall(get)
            target.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"
                           % len(body) + body)
            time.sleep(1.5)
            client.sendall(get)
            got = b""
            while part := client.recv(65536):
                got += part
            self.assertEqual(got.split(b"\r\n\r\n", 1)[1], body)
            client.close()
            target.close()
            self.assertEqual(node.stop(), 0)

    def test_calls_of_running_requests_end_before_the_limit(self):
        """They were begun although they would outlast the process, and cut;
        their parents' callers got no answer."""
        with fleet.Fleet() as f:
            caller = f.add_node("caller")
            stops = f.add_node("stops", extra=["--drain-limit-ms", "3000"])
            below = f.add_node("below")
            f.add_target(stops, "factors", "--service-ms", 1500, "--call",
                         "deep")
            deep = f.add_target(below, "deep", "--service-ms", 2500)
            f.wait_ready()
            answers = []
            threads = [threading.Thread(target=lambda: answers.append(
                fleet.request(caller.ports["entry"], "GET", "/a", None,
                              {"Host": "factors", "brf-timeout-ms": "9000",
                               "x-request-tag": "outer"})))
                for _ in range(4)]
            for t in threads:
                t.start()
            time.sleep(0.4)
            self.assertEqual(stops.stop(), 0)
            for t in threads:
                t.join()
            self.assertEqual([a[1]["brf-outcome"] for a in answers],
                             ["answered"] * 4)
            self.assertEqual(
                fleet.get_json(deep.port, "/ran?tag=outer")["count"], 4)

    def test_rolling_replacement_loses_nothing(self):
        """Each node but the callers' is replaced, one after the other."""
        with fleet.Fleet() as f:
            callers = f.add_node("callers", "zone-0")
            nodes = self.start(f, 3)
            running = start_load([callers], seconds=14)
            for i, old in enumerate(nodes):
                fresh = f.add_node(f"r{i}", old.zone)
                f.add_target(fresh, "factors", "--slots", 8, "--service-ms",
                             10)
                target = [t for t in f.targets if t.node is old][0]
                self.assertEqual(target.stop(), 0)
                self.assertEqual(old.stop(), 0)
                f.targets.remove(target)
                f.nodes.remove(old)
            report = fleet.finish_load(running)["streams"][0]
            self.assertEqual(report["good"], report["offered"], report)

    def test_killed_node_leaves_true_outcomes(self):
        """Not idempotent: nothing runs twice, not_run has not run."""
        with fleet.Fleet() as f:
            nodes = self.start(f, 3)
            entry = nodes[0].ports["entry"]
            outcomes = {}
            for i in range(60):
                if i == 20:
                    nodes[2].kill()
                tag = f"t{i}"
                _, got, _ = fleet.request(
                    entry, "POST", "/lodge", b"x",
                    {"Host": "factors", "x-request-tag": tag})
                outcomes[tag] = got["brf-outcome"]
            for tag, outcome in outcomes.items():
                ran = sum(fleet.get_json(t.port, f"/ran?tag={tag}")["count"]
                          for t in f.targets)
                self.assertLessEqual(ran, 1, tag)
                if outcome == "not_run":
                    self.assertEqual(ran, 0, tag)
                if outcome == "answered":
                    self.assertEqual(ran, 1, tag)

    def test_paused_node_is_survived_and_returns(self):
        with fleet.Fleet() as f:
            nodes = self.start(f, 3)
            nodes[2].signal(signal.SIGSTOP)

            def gone():
                members = fleet.get_json(nodes[0].ports["admin"],
                                         "/brf/v1/members")
                return [m for m in members if m["state"] in
                        ("suspect", "gone")]

            fleet.until(gone, 30, "the paused node to be noticed")
            # what it got before and meanwhile is unknown at worst
            _, got, _ = fleet.request(nodes[0].ports["entry"], "GET", "/",
                                      None, {"Host": "factors"})
            self.assertEqual(got["brf-outcome"], "answered")
            nodes[2].signal(signal.SIGCONT)
            f.wait_ready(60)


if __name__ == "__main__":
    unittest.main()
