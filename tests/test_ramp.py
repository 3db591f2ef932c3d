"""The limit of a cold upstream."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bronzefold import upstreams
from bronzefold.core import defaults

_STEPS = strategies.lists(
  strategies.tuples(
    strategies.sampled_from(["success", "refusal", "suspend", "restart"]),
    strategies.floats(0.001, 0.5),
  ),
  max_size=200,
)


class RampTest(unittest.TestCase):
  """Time is given to each call."""

  def warm_up(self, ramp: upstreams.ColdStartRamp, now: float) -> float:
    for _ in range(400):
      now += 0.05
      ramp.record_success(0.01, now)
    return now

  def test_becomes_warm_by_its_own_answers(self):
    ramp = upstreams.ColdStartRamp(4, 1, 2.0)
    ramp.confirm("one", 0.0)
    self.assertEqual(ramp.limit, 1)
    self.warm_up(ramp, 0.0)
    self.assertTrue(ramp.warm)

  def test_stays_cold_for_the_warm_up_time(self):
    ramp = upstreams.ColdStartRamp(4, 1, 2.0)
    ramp.confirm("one", 0.0)
    for step in range(199):
      ramp.record_success(0.01, step * 0.01)
      self.assertEqual(ramp.limit, 1)

  def test_new_instance_is_cold_at_once(self):
    ramp = upstreams.ColdStartRamp(4, 1, 2.0)
    ramp.confirm("one", 0.0)
    now = self.warm_up(ramp, 0.0)
    ramp.confirm("two", now)
    self.assertEqual((ramp.limit, ramp.warm), (1, False))

  def test_suspended_until_the_same_instance_is_confirmed(self):
    ramp = upstreams.ColdStartRamp(4, 1, 2.0)
    ramp.confirm("one", 0.0)
    now = self.warm_up(ramp, 0.0)
    ramp.suspend()
    self.assertEqual(ramp.limit, 1)
    ramp.confirm("one", now)
    self.assertTrue(ramp.warm)

  def test_latency_step_turns_a_warm_upstream_cold(self):
    ramp = upstreams.ColdStartRamp(4, 1, 2.0)
    ramp.confirm("one", 0.0)
    now = self.warm_up(ramp, 0.0)
    for _ in range(defaults.SLOW_REPLIES_UNTIL_COLD):
      ramp.record_success(0.1, now)
    self.assertEqual(ramp.limit, 1)

  def test_a_few_late_answers_leave_it_warm(self):
    ramp = upstreams.ColdStartRamp(4, 1, 2.0)
    ramp.confirm("one", 0.0)
    now = self.warm_up(ramp, 0.0)
    for _ in range(20):
      for _ in range(defaults.SLOW_REPLIES_UNTIL_COLD - 1):
        ramp.record_success(0.1, now)
      ramp.record_success(0.01, now)
    self.assertTrue(ramp.warm)

  def test_slower_upstream_is_not_cold_forever(self):
    ramp = upstreams.ColdStartRamp(2, 1, 2.0)
    ramp.expect_warm("zero", 0.001)
    ramp.confirm("one", 0.0)
    self.warm_up(ramp, 0.0)
    self.assertTrue(ramp.warm)

  @given(steps=_STEPS)
  @settings(derandomize=True, deadline=None)
  def test_limit_stays_within_its_bounds(self, steps):
    ramp = upstreams.ColdStartRamp(4, 1, 0.5)
    now, instance = 0.0, 0
    ramp.confirm("0", now)
    for kind, amount in steps:
      now += amount
      before = ramp.limit
      if kind == "success":
        ramp.record_success(amount, now)
        self.assertLessEqual(ramp.limit, before + 1)
      elif kind == "refusal":
        ramp.record_refusal(now)
      elif kind == "suspend":
        ramp.suspend()
        self.assertEqual(ramp.limit, 1)
        ramp.confirm(str(instance), now)
      else:
        instance += 1
        ramp.confirm(str(instance), now)
        self.assertEqual(ramp.limit, 1)
      self.assertTrue(1 <= ramp.limit <= 4)


if __name__ == "__main__":
  unittest.main()
