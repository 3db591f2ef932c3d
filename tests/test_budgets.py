"""Tests of budgets of extra requests."""

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
  """The extra requests of any window stay within its budget."""

  @given(steps=_STEPS, ratio=strategies.sampled_from((0.0, 0.2, 0.5)))
  @settings(derandomize=True, deadline=None, max_examples=200)
  def test_extra_requests_of_every_window_stay_within_budget(
    self, steps, ratio
  ):
    budget = budgets.WindowBudget(ratio, 3.0, 10.0)
    now, ordinary, extra = 100.0, [], []
    for gap_s, is_ordinary in steps:
      now += gap_s
      if is_ordinary:
        budget.earn(now)
        ordinary.append(now)
      elif budget.try_spend(now):
        extra.append(now)
    for start in extra:
      extra_in_window = sum(start <= at < start + 10.0 for at in extra)
      # Ordinary requests of this window and of the one before count.
      ordinary_in_reach = sum(
        start - 10.0 <= at < start + 10.0 for at in ordinary
      )
      self.assertLessEqual(extra_in_window, ratio * ordinary_in_reach + 3.0)

  def test_kind_of_request_spends_at_most_its_share(self):
    budget = budgets.WindowBudget(0.0, 10.0, 10.0)
    spent = sum(budget.try_spend(1.0, share=0.6) for _ in range(20))
    self.assertEqual(spent, 6)
    self.assertTrue(budget.try_spend(1.0))

  def test_slack_grows_from_zero_after_restart(self):
    budget = budgets.WindowBudget(0.0, 10.0, 10.0, grows_from=100.0)
    self.assertFalse(budget.try_spend(100.0))
    spent = sum(budget.try_spend(105.0) for _ in range(20))
    self.assertEqual(spent, 5)


if __name__ == "__main__":
  unittest.main()
