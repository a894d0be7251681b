"""tools/regression compares like with like."""

import contextlib
import importlib.machinery
import importlib.util
import io
import unittest

LOADER = importlib.machinery.SourceFileLoader("regression", "tools/regression")
SPEC = importlib.util.spec_from_loader("regression", LOADER)
regression = importlib.util.module_from_spec(SPEC)
LOADER.exec_module(regression)


def entry(worth, *argv, site="large", cmd="score"):
    return {"cmd": cmd, "site": site, "ok": True, "argv": list(argv),
            "days": [{"name": "quiet-1", "G": worth, "served": 0.99,
                      "gate": True}]}


class Regression(unittest.TestCase):
    def test_only_the_last_run_of_the_same_kind_is_compared(self):
        found = [entry(0.1, "--quick"), entry(0.2), entry(0.3, "--quick"),
                 entry(0.4, "--quick", "--small"),
                 entry(0.5, "--quick", site="other"),
                 entry(0.6, "--quick", cmd="hunt")]
        regression.committed_entries = lambda: iter(found)
        self.assertEqual(regression.last_worths("large", False),
                         {"quiet-1": 0.3})
        self.assertEqual(regression.last_worths("large", True),
                         {"quiet-1": 0.2})
        self.assertEqual(regression.last_worths("none", True), {})

    def test_a_day_that_is_worth_clearly_less_fails(self):
        days = entry(0.5)["days"]
        for before, kept in ((0.5, True), (0.52, True), (0.54, False)):
            with contextlib.redirect_stdout(io.StringIO()):
                self.assertEqual(
                    regression.print_days(days, {"quiet-1": before}), kept)


if __name__ == "__main__":
    unittest.main()
