#!/usr/bin/env python3
"""Tests the checker of call and execution logs on valid and invalid histories."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "scripts"))
import check  # noqa: E402

REGIONS = {"a": "north", "b": "south"}


def call(outcome="answer", never_repeat=True, home_region="-", whole=True, id="1"):
    return check.Call(0, 10, id, "order", never_repeat, home_region, outcome, 200, whole, "h", 10)


def execution(domain="a", start_ms=5, id="1"):
    return check.Execution(start_ms, "i", domain, id, "POST", "/")


def verdict(calls, executions, evacuation_changes=(), finished_ids=("1",)):
    return check.check_history(calls, executions, set(finished_ids), REGIONS, list(evacuation_changes))


class CheckTest(unittest.TestCase):
    def test_valid_history(self):
        self.assertTrue(verdict([call()], [execution()]).is_good())

    def test_repeated_call(self):
        self.assertEqual(len(verdict([call()], [execution(), execution()]).doubled), 1)
        self.assertTrue(verdict([call(never_repeat=False)], [execution(), execution()]).is_good())

    def test_answer_without_execution(self):
        self.assertEqual(len(verdict([call()], [], finished_ids=()).lost), 1)

    def test_not_run_call_that_ran(self):
        self.assertEqual(len(verdict([call(outcome="not_run")], [execution()]).wrong), 1)

    def test_incomplete_answer(self):
        self.assertEqual(len(verdict([call(whole=False)], [execution()]).wrong), 1)

    def test_missing_outcome(self):
        self.assertEqual(len(verdict([call(outcome="none")], []).wrong), 1)

    def test_execution_outside_home_region(self):
        self.assertEqual(len(verdict([call(home_region="north")], [execution("b")]).misplaced), 1)

    def test_execution_in_evacuated_domain(self):
        evacuated = [(1000, "out", "a")]
        self.assertEqual(len(verdict([call()], [execution(start_ms=4500)], evacuated).misplaced), 1)
        self.assertTrue(verdict([call()], [execution(start_ms=3500)], evacuated).is_good())
        self.assertTrue(verdict([call()], [execution(start_ms=9000)], evacuated + [(8000, "in", "a")]).is_good())


if __name__ == "__main__":
    unittest.main()
