"""Budgets of extra requests."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bronzefold.core import budgets

_STEPS = strategies.lists(
  strategies.tuples(
    strategies.floats(0, 1.5, allow_nan=False), strategies.booleans()
  ),
  max_size=300,
)


class WindowBudgetTest(unittest.TestCase):
  """No window holds more extra requests than it may."""

  @given(steps=_STEPS, ratio=strategies.sampled_from((0.0, 0.2, 0.5)))
  @settings(derandomize=True, deadline=None, max_examples=200)
  def test_every_window(self, steps, ratio):
    budget = budgets.WindowBudget(ratio, 3.0, 10.0)
    now, ordinary, extra = 100.0, [], []
    for pause_s, is_ordinary in steps:
      now += pause_s
      if is_ordinary:
        budget.earn(now)
        ordinary.append(now)
      elif budget.try_spend(now):
        extra.append(now)
    for start in extra:
      inside = sum(start <= at < start + 10.0 for at in extra)
      # The users count the requests of this window or of the one before.
      earned = sum(start - 10.0 <= at < start + 10.0 for at in ordinary)
      self.assertLessEqual(inside, ratio * earned + 3.0)

  def test_share_of_a_kind(self):
    budget = budgets.WindowBudget(0.0, 10.0, 10.0)
    spent = sum(budget.try_spend(1.0, share=0.6) for _ in range(20))
    self.assertEqual(spent, 6)
    self.assertTrue(budget.try_spend(1.0))

  def test_slack_grows_after_a_restart(self):
    budget = budgets.WindowBudget(0.0, 10.0, 10.0, grows_from=100.0)
    self.assertFalse(budget.try_spend(100.0))
    spent = sum(budget.try_spend(105.0) for _ in range(20))
    self.assertEqual(spent, 5)


if __name__ == "__main__":
  unittest.main()
