"""Tests of the randomised run with one short, fixed schedule."""

import unittest

from tests import soak


class SoakTest(unittest.TestCase):
  """Faults overlap for half a minute; schedules of seeds."""

  def test_invariants_hold_under_overlapping_faults(self):
    problems = soak.Soak(seed=1, duration_s=30.0).run()
    self.assertEqual(problems, [], "make soak SEED=1 DURATION_S=30")

  def test_same_seed_gives_same_schedule_and_other_seed_another(self):
    first = soak.make_schedule(5, 60.0)
    self.assertEqual(first, soak.make_schedule(5, 60.0))
    self.assertNotEqual(first, soak.make_schedule(6, 60.0))
    self.assertGreater(len({fault.kind for fault in first}), 5)


if __name__ == "__main__":
  unittest.main()
