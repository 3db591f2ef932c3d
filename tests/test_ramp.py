"""Tests the limit on requests to a cold upstream."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bronzefold import upstreams
from bronzefold.core import defaults

_EVENTS = strategies.lists(
  strategies.tuples(
    strategies.sampled_from(["success", "refusal", "suspend", "restart"]),
    strategies.floats(0.001, 0.5),
  ),
  max_size=200,
)


class RampTest(unittest.TestCase):
  """Tests ``ColdStartRamp`` with explicit times instead of a clock."""

  def warm_up(self, ramp: upstreams.ColdStartRamp, now: float) -> float:
    for _ in range(400):
      now += 0.05
      ramp.record_success(0.01, now)
    return now

  def test_fast_responses_raise_limit_to_warm(self):
    ramp = upstreams.ColdStartRamp(4, 1, 2.0)
    ramp.confirm_instance("one", 0.0)
    self.assertEqual(ramp.limit, 1)
    self.warm_up(ramp, 0.0)
    self.assertTrue(ramp.warm)

  def test_limit_stays_cold_during_warm_up_time(self):
    ramp = upstreams.ColdStartRamp(4, 1, 2.0)
    ramp.confirm_instance("one", 0.0)
    for step in range(199):
      ramp.record_success(0.01, step * 0.01)
      self.assertEqual(ramp.limit, 1)

  def test_new_instance_lowers_limit_to_cold(self):
    ramp = upstreams.ColdStartRamp(4, 1, 2.0)
    ramp.confirm_instance("one", 0.0)
    now = self.warm_up(ramp, 0.0)
    ramp.confirm_instance("two", now)
    self.assertEqual((ramp.limit, ramp.warm), (1, False))

  def test_suspended_limit_returns_when_same_instance_is_confirmed(self):
    ramp = upstreams.ColdStartRamp(4, 1, 2.0)
    ramp.confirm_instance("one", 0.0)
    now = self.warm_up(ramp, 0.0)
    ramp.suspend()
    self.assertEqual(ramp.limit, 1)
    ramp.confirm_instance("one", now)
    self.assertTrue(ramp.warm)

  def test_enough_slow_responses_turn_warm_upstream_cold(self):
    ramp = upstreams.ColdStartRamp(4, 1, 2.0)
    ramp.confirm_instance("one", 0.0)
    now = self.warm_up(ramp, 0.0)
    for _ in range(defaults.SLOW_REPLIES_UNTIL_COLD):
      ramp.record_success(0.1, now)
    self.assertEqual(ramp.limit, 1)

  def test_too_few_slow_responses_in_a_row_leave_upstream_warm(self):
    ramp = upstreams.ColdStartRamp(4, 1, 2.0)
    ramp.confirm_instance("one", 0.0)
    now = self.warm_up(ramp, 0.0)
    for _ in range(20):
      for _ in range(defaults.SLOW_REPLIES_UNTIL_COLD - 1):
        ramp.record_success(0.1, now)
      ramp.record_success(0.01, now)
    self.assertTrue(ramp.warm)

  def test_upstream_slower_than_its_baseline_becomes_warm(self):
    ramp = upstreams.ColdStartRamp(2, 1, 2.0)
    ramp.expect_warm("zero", 0.001)
    ramp.confirm_instance("one", 0.0)
    self.warm_up(ramp, 0.0)
    self.assertTrue(ramp.warm)

  @given(events=_EVENTS)
  @settings(derandomize=True, deadline=None)
  def test_any_sequence_of_events_keeps_limit_in_bounds(self, events):
    ramp = upstreams.ColdStartRamp(4, 1, 0.5)
    now, instance = 0.0, 0
    ramp.confirm_instance("0", now)
    for event, duration_s in events:
      now += duration_s
      before = ramp.limit
      if event == "success":
        ramp.record_success(duration_s, now)
        self.assertLessEqual(ramp.limit, before + 1)
      elif event == "refusal":
        ramp.record_refusal(now)
      elif event == "suspend":
        ramp.suspend()
        self.assertEqual(ramp.limit, 1)
        ramp.confirm_instance(str(instance), now)
      else:
        instance += 1
        ramp.confirm_instance(str(instance), now)
        self.assertEqual(ramp.limit, 1)
      self.assertTrue(1 <= ramp.limit <= 4)


if __name__ == "__main__":
  unittest.main()
