"""A short fixed part of the randomised run."""

import unittest

from tests import soak


class SoakTest(unittest.TestCase):
  """Failures meet for half a minute."""

  def test_invariants_hold(self):
    problems = soak.Soak(seed=1, duration_s=30.0).run()
    self.assertEqual(problems, [], "make soak SEED=1 DURATION_S=30")

  def test_schedule_follows_from_the_seed(self):
    first = soak.make_schedule(5, 60.0)
    self.assertEqual(first, soak.make_schedule(5, 60.0))
    self.assertNotEqual(first, soak.make_schedule(6, 60.0))
    self.assertGreater(len({fault.kind for fault in first}), 5)


if __name__ == "__main__":
  unittest.main()
