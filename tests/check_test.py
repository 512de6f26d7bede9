#!/usr/bin/env python3
"""The checker of call and execution logs, on histories known to be good and bad."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "scripts"))
import check  # noqa: E402

REGIONS = {"a": "north", "b": "south"}


def call(outcome="answer", never=True, home="-", whole=True, id="1"):
    return check.Call(0, 10, id, "order", never, home, outcome, 200, whole, "h", 10)


def run(domain="a", at=5, id="1"):
    return check.Run(at, "i", domain, id, "POST", "/")


def verdict(calls, runs, declared=(), ends=("1",)):
    return check.check(calls, runs, set(ends), REGIONS, list(declared))


class CheckTest(unittest.TestCase):
    def test_good_history(self):
        self.assertTrue(verdict([call()], [run()]).good())

    def test_doubled(self):
        self.assertEqual(len(verdict([call()], [run(), run()]).doubled), 1)
        self.assertTrue(verdict([call(never=False)], [run(), run()]).good())

    def test_lost(self):
        self.assertEqual(len(verdict([call()], [], ends=()).lost), 1)

    def test_false_refusal(self):
        self.assertEqual(len(verdict([call(outcome="not_run")], [run()]).wrong), 1)

    def test_wrong_answer(self):
        self.assertEqual(len(verdict([call(whole=False)], [run()]).wrong), 1)

    def test_no_outcome(self):
        self.assertEqual(len(verdict([call(outcome="none")], []).wrong), 1)

    def test_outside_home(self):
        self.assertEqual(len(verdict([call(home="north")], [run("b")]).misplaced), 1)

    def test_in_a_domain_that_is_out(self):
        out = [(1000, "out", "a")]
        self.assertEqual(len(verdict([call()], [run(at=4500)], out).misplaced), 1)
        self.assertTrue(verdict([call()], [run(at=3500)], out).good())
        self.assertTrue(verdict([call()], [run(at=9000)], out + [(8000, "in", "a")]).good())


if __name__ == "__main__":
    unittest.main()
