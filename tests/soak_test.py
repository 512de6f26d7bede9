#!/usr/bin/env python3
"""The plan of the soak: a matter of the seed alone, and every fault ends."""

import collections
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "soak"))
import soak  # noqa: E402

DOMAINS, REGIONS = ["north-a", "north-b", "south-a"], ["north", "south"]
ENDS = {"kill": "start", "freeze": "thaw", "stop": "start_stopped", "declare_out": "declare_in"}


def steps(seed, seconds=300):
    return soak.Plan(seed, 13, DOMAINS, REGIONS, seconds).steps


class PlanTest(unittest.TestCase):
    def test_the_same_seed_gives_the_same_plan(self):
        self.assertEqual(steps(7), steps(7))
        self.assertNotEqual(steps(7), steps(8))

    def test_every_fault_ends_before_the_same_host_gets_another(self):
        begun = {}
        for step in steps(3):
            target = step.args
            if step.what in ENDS:
                self.assertNotIn(target, begun)
                begun[target] = ENDS[step.what]
            elif begun.get(target) == step.what:
                del begun[target]
        self.assertEqual(begun, {})

    def test_nothing_is_declared_while_the_store_is_hidden(self):
        hidden = collections.Counter()
        for step in steps(5):
            if step.what in ("cut", "store"):
                hidden[step.what] += 1 if step.args != ("none",) else -1
            if step.what == "declare_out":
                self.assertEqual(sum(hidden.values()), 0, step)

    def test_all_kinds_of_faults_are_drawn(self):
        drawn = {step.what for step in steps(1)}
        self.assertLessEqual({"kill", "freeze", "stop", "hangup", "restart_cold", "reorder", "commit", "declare_out",
                              "cut", "store"}, drawn)


if __name__ == "__main__":
    unittest.main(verbosity=2)
