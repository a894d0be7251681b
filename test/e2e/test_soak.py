"""The soak's oracle catches each fault that is planted for it."""

import socket
import sys
import time
import unittest

sys.path.insert(0, "test/soak")
import oracle  # noqa: E402
import proxy  # noqa: E402

Sent, Ran = oracle.Sent, oracle.Ran


def sent(ident="r", at=10.0, service="s", once=False, **more):
    fields = {"size": 5, "got": 5, "status": 200, "echo": ident,
              "seal": f"seal-t-{ident}", "end": at + 0.1, "node": "n", **more}
    return Sent(ident, at, service, once, fields.pop("size"),
                fields.pop("node"), **fields)


def ran(ident="r", at=10.05, service="s", target="t", did=True, end=10.1):
    return Ran(ident, at, service, target, did, end)


def judge(requests=(), runs=(), **more):
    o = oracle.Oracle()
    o.sent = {s.ident: s for s in requests}
    o.ran = list(runs)
    for name, value in more.items():
        setattr(o, name, value)
    return [f.split(":")[0] for f in o.findings()]


class Planted(unittest.TestCase):
    def test_nothing_is_found_where_nothing_is_wrong(self):
        self.assertEqual(judge([sent()], [ran()]), [])

    def test_answers_that_are_torn_or_anothers(self):
        wrong = ["not its own whole answer"]
        for bad in (sent(got=4), sent(echo="x"), sent(seal="seal-t-x"),
                    sent(seal="")):
            self.assertEqual(judge([bad], [ran()]), wrong)

    def test_an_answer_without_a_length_that_a_crash_has_cut(self):
        cut = {"got": 4, "unframed": True}
        self.assertEqual(judge([sent(**cut)], [ran()], crashes=[10.2]), [])
        for wrong in ({"crashes": [9.9]}, {"crashes": [10.5]}, {}):
            self.assertEqual(judge([sent(**cut)], [ran()], **wrong),
                             ["not its own whole answer"])
        self.assertEqual(judge([sent(got=4)], [ran()], crashes=[10.2]),
                         ["not its own whole answer"])

    def test_what_runs_twice_or_was_never_sent(self):
        self.assertEqual(judge([sent(once=True)], [ran(), ran()]),
                         ["ran twice"])
        self.assertEqual(judge([sent()], [ran(), ran()]), [])
        self.assertEqual(judge([], [ran()]), ["nobody sent what ran"])

    def test_a_request_that_runs_with_another_body(self):
        wrong = ["ran with another body"]
        whole, other = oracle.digest(b"body"), oracle.digest(b"bod")
        for mine, got, found in ((whole, whole, []), (whole, other, wrong),
                                 (whole, "", wrong), ("", other, wrong)):
            run = ran()
            run.body = got
            self.assertEqual(judge([sent(body=mine)], [run]), found)

    def test_a_request_that_has_no_end_after_its_timeout(self):
        def day(end, alone=True, **more):
            return judge([sent(end=end, timeout_s=1.0, alone=alone)], [ran()],
                         **more)
        self.assertEqual(day(11.6), ["held for 1.600 s"])
        self.assertEqual(day(11.4), [])
        self.assertEqual(day(11.6, alone=False), [])
        self.assertEqual(day(11.6, faults=[(10, 12, None)]),
                         ["held for 1.600 s"])
        self.assertEqual(day(11.6, disrupted=[("n", 11.0, 11.2)]), [])
        self.assertEqual(day(11.6, disrupted=[("m", 11.0, 11.2)]),
                         ["held for 1.600 s"])

    def test_a_refusal_that_is_not_true(self):
        for status in (503, 429, 421, 408):
            self.assertEqual(
                judge([sent(once=True, status=status)], [ran()]),
                ["refused, and has run"])
            self.assertEqual(
                judge([sent(once=True, status=status)], [ran(did=False)]), [])

    def test_work_for_a_target_that_has_left(self):
        self.assertEqual(judge([sent()], [ran()], leaves=[("t", 8.0)]),
                         ["left at 8.000"])
        self.assertEqual(judge([sent()], [ran()], leaves=[("t", 8.1)]), [])
        elsewhere = ran(did=False)
        elsewhere.misdirected = True
        self.assertEqual(judge([sent()], [elsewhere], leaves=[("t", 8.0)]), [])
        self.assertEqual(judge([sent()], [ran()], leaves=[("t", 8.0)],
                               unsettled=[("t", 10.5, 11.0)]), ["left at 8.000"])
        self.assertEqual(judge([sent()], [ran()], leaves=[("t", 8.0)],
                               unsettled=[("t", 9.0, 11.0)]), [])

    def test_a_target_that_gets_more_than_its_limit(self):
        def day(count, rate=1, **more):
            told = sent("told", at=1.0, limited=True, seal="seal-t-told")
            rest = [sent(f"r{i}", at=4.0 + i / 10) for i in range(count)]
            runs = [ran(s.ident, at=s.at) for s in rest]
            return judge([told, *rest], runs, limits=[("t", rate, 0.9, 9)],
                         **more)
        self.assertEqual(day(12), ["over its limit of 1"])
        self.assertEqual(day(11), [])
        self.assertEqual(day(12, rate=1.2), [])
        # a node that was restarted since has not been told
        self.assertEqual(day(12, disrupted=[("n", 2.0, 3.9)]), [])
        self.assertEqual(day(12, disrupted=[("other", 2.0, 3.9)]),
                         ["over its limit of 1"])

    def test_a_request_that_crashes_targets_and_runs_on(self):
        def day(count, at=10.0, crashes=(1.0, 2.0, 6.9), **more):
            again = [sent(f"r{i}", at=at, status=502, deadly=True, sound=False)
                     for i in range(count)]
            return judge(again, [ran(s.ident, at=at) for s in again],
                         crashes=list(crashes), **more)
        self.assertEqual(day(4), ["crashed 3"])
        self.assertEqual(day(3), [])
        self.assertEqual(day(4, at=9.8), [])
        self.assertEqual(day(4, crashes=(1.0, 2.0)), [])
        self.assertEqual(day(4, faults=[(7.1, 7.2, {"m"})]), ["crashed 3"])
        self.assertEqual(day(4, faults=[(7.1, 7.2, {"n"})]), [])

    def test_a_harmless_request_that_is_refused_for_crashes(self):
        self.assertEqual(judge(refused_keys={"a"}), [])
        self.assertEqual(judge(refused_keys={"a", "b"}),
                         ["refused though harmless"])

    def test_work_for_a_target_that_said_it_leaves(self):
        told = sent("told", at=7.8, leaving=True, seal="seal-t-told")
        wrong = ["said that it leaves"]
        self.assertEqual(judge([told, sent()], [ran()]), wrong)
        self.assertEqual(judge([told, sent(at=9.8)], [ran()]), [])
        self.assertEqual(judge([told, sent(node="other")], [ran()]), [])
        self.assertEqual(judge([told, sent()], [ran()],
                               disrupted=[("n", 8.0, 9.0)]), [])
        self.assertEqual(judge([told, sent()], [ran()],
                               disrupted=[("n", 6.0, 7.0)]), wrong)

    def test_a_planned_stop_that_cuts(self):
        cut = sent(status=0)
        stop = [("n", 9.9, 12.0)]
        self.assertEqual(judge([cut], [ran()], planned=stop),
                         ["cut off by a planned stop at 9.900"])
        self.assertEqual(judge([cut], [], planned=stop), [])
        # a back end that breaks off a long answer cuts it itself
        self.assertEqual(
            judge([sent(status=0, sound=False)], [ran()], planned=stop), [])
        self.assertEqual(
            judge([cut], [ran()], planned=stop, faults=[(9, 11, {"n"})]), [])

    def test_what_ran_and_got_no_answer(self):
        cut = sent("cut", status=0)
        runs = [ran("cut")]
        wrong = ["ran and got no answer"]
        self.assertEqual(judge([cut], runs), wrong)
        self.assertEqual(judge([cut], runs, faults=[(5, 6.9, None)]), wrong)
        self.assertEqual(judge([cut], runs, faults=[(5, 7, None)]), [])
        self.assertEqual(judge([cut], [ran("cut", did=False)]), [])
        self.assertEqual(judge([sent("cut", status=0, least_s=0.2)], runs),
                         wrong)
        for allowed in ({"left": True}, {"sound": False}, {"least_s": 0.1}):
            self.assertEqual(
                judge([sent("cut", status=0, **allowed)], runs), [])

    def test_what_ran_behind_the_last_answer_of_its_connection(self):
        behind = sent("cut", status=0, behind="first")
        runs = [ran("first"), ran("cut")]
        torn = {"status": 0, "torn": True}
        self.assertEqual(
            judge([sent("first", sound=False, **torn), behind], runs), [])
        # a sound one torn by the node, a refusal, an answer that was whole
        wrong = "ran and got no answer"
        self.assertEqual(judge([sent("first", **torn), behind], runs),
                         [wrong, wrong])
        for first in (sent("first", sound=False, status=0),
                      sent("first", sound=False, status=502), sent("first")):
            self.assertEqual(judge([first, behind], runs), [wrong])

    def test_a_configuration_that_is_late_or_goes_back(self):
        missing = sent(route=2, status=404)
        self.assertEqual(judge([missing], [ran()], configs=[(2, 7.0)]),
                         ["version 2 of 7.000 not in force"])
        self.assertEqual(judge([missing], [ran()], configs=[(2, 8.5)]), [])
        shown = sent("a", at=9.0, route=2, echo="a", seal="s-a")
        back = ["went back from version 2"]
        self.assertEqual(judge([shown, missing], [], configs=[(2, 8.5)]), back)
        again = sent(route=2, status=404, life=1)
        self.assertEqual(judge([shown, again], [], configs=[(2, 8.5)]), [])

    def test_a_dropped_route(self):
        o = {"configs": [(2, 1.0), (3, 7.0)], "drops": {2: (3, 6.9)}}
        served = sent("a", at=10.0, route=2)
        self.assertEqual(judge([served], **o),
                         ["version 3 of 7.000 not in force"])
        early = sent("e", at=8.0, route=2)
        absent = sent("b", at=8.5, route=2, status=404)
        self.assertEqual(judge([early], **o), [])
        self.assertEqual(judge([absent], **o), [])
        self.assertEqual(
            judge([sent("b", at=5.0, route=2, status=404)], **o),
            ["version 2 of 1.000 not in force"])
        # it comes back, after it was shown and gone
        back = sent("c", at=8.9, route=2)
        self.assertEqual(judge([early, absent, back], **o),
                         ["went back from version 3"])
        self.assertEqual(judge([absent, back], **o), [])

    def test_too_many_repeats(self):
        firsts = [sent(str(i), at=10 + i / 100, echo=str(i), seal=f"-{i}")
                  for i in range(100)]
        runs = [ran(str(i), at=10 + i / 100) for i in range(100)]
        again = [ran(str(i), at=11 + i / 100) for i in range(100)]
        found = judge(firsts, runs + again)
        self.assertEqual(len(found), 1)
        self.assertIn("repeats at s", found[0])
        self.assertEqual(judge(firsts, runs + again[:50]), [])

    def test_work_for_callers_that_have_left(self):
        left = [sent(str(i), status=0, left=True) for i in range(4)]
        late = [ran(str(i), end=11.5) for i in range(4)]
        self.assertEqual(len(judge(left, late)), 1)
        self.assertEqual(judge(left[:3], late[:3]), [])
        self.assertEqual(len(judge(left, late, lags=[(10.2, 0.2)])), 1)
        self.assertEqual(judge(left, late, lags=[(10.2, 0.3)]), [])
        self.assertEqual(len(judge(left, late, lags=[(5.0, 9.0)])), 1)
        self.assertEqual(judge(left, [ran(str(i)) for i in range(4)]), [])

    def test_no_recovery(self):
        down = [sent(str(i), at=30.0, status=503) for i in range(20)]
        fault = [(10.0, 14.0, None)]
        self.assertEqual(judge(down, faults=fault),
                         ["0 of 20 served after recovery"])
        self.assertEqual(judge(down, faults=[(10.0, 16.0, None)]), [])
        absent = [sent(str(i), at=30.0, status=404, route=2)
                  for i in range(20)]
        self.assertEqual(judge(absent, drops={2: (3, 30.2)}),
                         ["0 of 20 served after recovery"])
        self.assertEqual(judge(absent, drops={2: (3, 30.0)}), [])

    def test_processes_that_end_or_grow(self):
        self.assertEqual(judge(deaths=["n ended by itself"]),
                         ["n ended by itself"])


class Links(unittest.TestCase):
    def test_a_cut_is_no_end_of_a_body(self):
        def lose(p, far):
            p.mode = "down"
            far.sendall(b"b")
            time.sleep(0.1)
            far.close()

        for harm in (lambda p, far: p.reset(), lose):
            with socket.create_server((proxy.HOST, 0)) as listener:
                p = proxy.Proxy(listener.getsockname()[1])
                near = socket.create_connection((proxy.HOST, p.listen_port), 5)
                far, _ = listener.accept()
                far.sendall(b"a")
                self.assertEqual(near.recv(1), b"a")
                harm(p, far)
                self.assertRaises(ConnectionResetError, near.recv, 1)
                near.close()
                far.close()
                p.close()


if __name__ == "__main__":
    unittest.main()
