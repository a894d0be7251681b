"""The whole path by real processes: caller, entry, gate, target, and back."""

import unittest

import fleet


class Path(unittest.TestCase):
    def start(self, f):
        """Two nodes; lodgement at the first calls factors at the second."""
        a = f.add_node("a", "zone-a")
        b = f.add_node("b", "zone-b")
        f.add_target(a, "lodgement", "--slots", 4, "--service-ms", 2,
                     "--call", "factors")
        f.add_target(b, "factors", "--slots", 4, "--service-ms", 2)
        f.wait_ready()
        return a, b

    def test_any_node_serves_any_service(self):
        with fleet.Fleet() as f:
            for entry in self.start(f):
                for service in "lodgement", "factors":
                    status, got, body = fleet.request(
                        entry.ports["entry"], "POST", "/x", b"payload",
                        {"Host": service})
                    self.assertEqual((status, got["brf-outcome"]),
                                     (200, "answered"), body)
                    self.assertIn(b"payload", body)
                    self.assertEqual(len(got["brf-request-id"]), 32)

    def test_refusals_are_typed(self):
        cases = [
            ("no member serves it", {"Host": "nothing"}, 503, "no_target"),
            ("no service in host", {"Host": "/"}, 404, "no_service"),
            ("bad timeout", {"Host": "factors", "brf-timeout-ms": "-1"}, 400,
             "malformed"),
            ("no time left", {"Host": "factors", "brf-timeout-ms": "0"}, 504,
             "deadline"),
            ("wrong workspace proof",
             {"Host": "factors", "brf-workspace": "mallory.1.00"}, 401,
             "unauthenticated"),
        ]
        with fleet.Fleet() as f:
            a, _ = self.start(f)
            for what, fields, want, reason in cases:
                with self.subTest(what):
                    status, got, _ = fleet.request(
                        a.ports["entry"], "GET", "/", None, fields)
                    self.assertEqual((status, got["brf-reason"]),
                                     (want, reason))
                    self.assertEqual(got["brf-outcome"], "not_run")

    def test_callers_internal_fields_do_not_reach_the_target(self):
        with fleet.Fleet() as f:
            a, b = self.start(f)
            spoofed = {"Host": "factors", "brf-request": "0" * 32,
                       "brf-request-id": "1" * 32, "x-request-tag": "spoof"}
            status, got, _ = fleet.request(a.ports["entry"], "GET", "/",
                                           None, spoofed)
            self.assertEqual(status, 200)
            self.assertNotEqual(got["brf-request-id"], "1" * 32)
            target = f.targets[1]
            ran = fleet.get_json(target.port, "/ran?tag=spoof")
            self.assertEqual(ran["count"], 1)

    def test_drained_target_is_refused_at_its_gate(self):
        with fleet.Fleet() as f:
            _, b = self.start(f)
            fleet.request(b.ports["local"], "POST", "/brf/v1/target/drain")
            status, got, _ = fleet.request(b.ports["entry"], "GET", "/", None,
                                           {"Host": "factors"})
            self.assertEqual(status, 503)
            self.assertEqual(got["brf-outcome"], "not_run")
            self.assertEqual(
                fleet.get_json(f.targets[1].port, "/statz")["started"], 0)


if __name__ == "__main__":
    unittest.main()
