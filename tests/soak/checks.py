"""Tests of the soak itself: what it plays and what it finds."""

import unittest

import schedule
from callers import broken_promises

TARGETS = schedule.Targets(entries=("entry-a", "entry-b"), agents=("agent-a", "agent-b"), engines=("engine",),
                           services=("service",), links=("link",), zones=("north", "south"))
SEEDS = range(1, 101)


class Checks(unittest.TestCase):
    def test_a_seed_gives_the_same_schedule(self):
        for seed in SEEDS:
            self.assertEqual(schedule.plan(seed, 20, TARGETS), schedule.plan(seed, 20, TARGETS))

    def test_faults_overlap_and_each_kind_comes(self):
        """Guards against a soak that plays one fault after the other, or leaves one out."""
        plans = [schedule.plan(seed, 20, TARGETS) for seed in SEEDS]
        self.assertEqual(len({fault.kind for plan in plans for fault in plan}), 19)
        for plan in plans:
            self.assertTrue(any(later.at < fault.until for fault, later in zip(plan, plan[1:])), plan)

    def test_entries_are_not_killed_in_even_seeds(self):
        """Guards against kills in the seeds in which a cut stream counts as a fault."""
        for seed in SEEDS:
            kills = [fault for fault in schedule.plan(seed, 20, TARGETS)
                     if fault.kind == "kill" and fault.target.startswith("entry")]
            self.assertFalse(kills and seed % 2 == 0, kills)

    def test_broken_promises_are_found(self):
        results = {"once": (200, None), "refused": (503, "no"), "unknown": (504, "unknown")}
        self.assertEqual(broken_promises(results, {"once": 1, "unknown": 1}), [])
        self.assertEqual(len(broken_promises(results, {"once": 2})), 1)
        self.assertEqual(len(broken_promises(results, {})), 1)
        self.assertEqual(len(broken_promises(results, {"once": 1, "refused": 1})), 1)
        self.assertEqual(len(broken_promises(results, {"once": 1, "unknown": 2})), 1)


if __name__ == "__main__":
    unittest.main()
