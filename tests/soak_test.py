#!/usr/bin/env python3
"""Tests the fault plan of the soak."""

import collections
import pathlib
import sys
import unittest
import unittest.mock

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "soak"))
import soak  # noqa: E402

DOMAINS, REGIONS = ["north-a", "north-b", "south-a"], ["north", "south"]
ENDS = {"kill": "start", "freeze": "thaw", "stop": "start_stopped", "declare_out": "declare_in"}


def steps(seed, seconds=300):
    return soak.Plan(seed, 13, DOMAINS, REGIONS, seconds).steps


class PlanTest(unittest.TestCase):
    def test_plan_depends_only_on_the_seed(self):
        self.assertEqual(steps(7), steps(7))
        self.assertNotEqual(steps(7), steps(8))

    def test_every_fault_ends_before_the_next_on_its_target(self):
        active = {}
        for step in steps(3):
            target = step.args
            if step.action in ENDS:
                self.assertNotIn(target, active)
                active[target] = ENDS[step.action]
            elif active.get(target) == step.action:
                del active[target]
        self.assertEqual(active, {})

    def test_no_evacuation_starts_while_the_store_is_unreachable(self):
        unreachable = collections.Counter()
        for step in steps(5):
            if step.action in ("cut", "store"):
                unreachable[step.action] += 1 if step.args != ("none",) else -1
            if step.action == "declare_out":
                self.assertEqual(sum(unreachable.values()), 0, step)

    def test_every_restore_follows_a_copy_and_a_change_and_is_written_again(self):
        for seed in range(20):
            copies = changes = restores = 0
            for step in steps(seed):
                if step.action == "copy":
                    copies, changes = copies + 1, 0
                changes += step.action == "commit"
                if step.action == "restore":
                    restores += 1
                    self.assertGreaterEqual(copies, restores)
                    self.assertGreater(changes, 0, step)
                restores -= step.action == "write_again"
                copies -= step.action == "write_again"
            self.assertEqual((copies, restores), (0, 0), seed)

    def test_no_evacuation_changes_between_a_copy_and_writing_again(self):
        open_copies = collections.Counter()
        for seed in range(20):
            for step in steps(seed):
                if step.action in ("copy", "write_again"):
                    open_copies[seed] += 1 if step.action == "copy" else -1
                if step.action in ("declare_out", "declare_in"):
                    self.assertEqual(open_copies[seed], 0, step)

    def test_plan_has_all_kinds_of_faults(self):
        drawn = {step.action for step in steps(1)}
        self.assertLessEqual({"kill", "freeze", "stop", "hangup", "restart_cold", "reorder", "commit", "declare_out",
                              "cut", "store", "copy", "restore", "write_again"}, drawn)

    def test_seeds_that_failed_once_are_run_first(self):
        with unittest.mock.patch.object(soak, "REGRESSION_SEEDS", {9: "a cause", 5: "another cause"}):
            self.assertEqual(soak.seeds_to_run(4, 3), [9, 5, 4, 6])
        with unittest.mock.patch.object(soak, "REGRESSION_SEEDS", {}):
            self.assertEqual(soak.seeds_to_run(1, 2), [1, 2])


if __name__ == "__main__":
    unittest.main(verbosity=2)
