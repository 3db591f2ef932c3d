"""When searches are hedged, under pauses of upstreams and lost shards."""

import random
import unittest

from bronzefold.core import budgets
from bronzefold.gateway import hedging

OBJECTIVE_S = 0.1
RESPOND_AFTER_S = 0.085
PAUSE_S = 0.1
PAUSED_SHARE = 0.1 / 2.4  # a pause of 100 ms each 2.4 s
SHARDS = 90


def draw_latency(source: random.Random) -> float:
  """Draws the latency of an attempt: 12 ms, or the rest of a pause."""
  latency_s = source.lognormvariate(-4.5, 0.35)
  if source.random() < PAUSED_SHARE:
    latency_s += source.uniform(0.0, PAUSE_S)
  return latency_s


class PausesTest(unittest.TestCase):
  """Searches over many shards, some of whose upstreams pause."""

  def setUp(self):
    source = random.Random(3)
    self.latencies = budgets.LatencyQuantile(hedging.EARLIEST_QUANTILE)
    for _ in range(512):
      self.latencies.record(draw_latency(source))
    self.plan = hedging.plan_hedges(
      OBJECTIVE_S, self.latencies, RESPOND_AFTER_S
    )
    self.source = source

  def run_search(self):
    """Returns the shards hedged, those of them that are late, and missing."""
    first = [draw_latency(self.source) for _ in range(SHARDS)]
    hedge_at = self.plan.get_time(0.0, is_urgent=False)
    hedged = [latency_s for latency_s in first if latency_s > hedge_at]
    late = [latency_s for latency_s in hedged if latency_s > RESPOND_AFTER_S]
    missing = sum(
      min(latency_s, hedge_at + draw_latency(self.source)) > RESPOND_AFTER_S
      for latency_s in hedged
    )
    return len(hedged), len(late), missing

  def test_budget_goes_to_attempts_that_would_be_late(self):
    results = [self.run_search() for _ in range(200)]
    hedged, _, missing = (sum(column) for column in zip(*results, strict=True))
    self.assertLess(hedged / (200 * SHARDS), 2 * PAUSED_SHARE)
    self.assertLess(missing / 200, 0.1)  # shards a search

  def test_stalled_upstream_is_hedged_at_the_earliest_time(self):
    self.assertAlmostEqual(
      self.plan.get_time(0.0, is_urgent=True), self.plan.min_delay_s
    )
    self.assertLess(
      self.plan.min_delay_s, self.plan.get_time(0.0, is_urgent=False)
    )

  def test_hedge_of_a_short_objective_arrives_in_time(self):
    respond_at = 0.03
    plan = hedging.plan_hedges(0.045, self.latencies, respond_at)
    late_after_s = self.latencies.get_estimate(hedging.LATE_QUANTILE)
    hedge_at = plan.get_time(0.0, is_urgent=False)
    self.assertLessEqual(
      hedge_at, max(plan.min_delay_s, respond_at - late_after_s)
    )

  def test_plain_request_is_hedged_at_the_earliest_time(self):
    plan = hedging.plan_hedges(OBJECTIVE_S, self.latencies, None)
    self.assertEqual(plan.get_time(1.0, is_urgent=False), 1 + plan.min_delay_s)

  def test_without_observations(self):
    latencies = budgets.LatencyQuantile(hedging.EARLIEST_QUANTILE)
    for known in (None, latencies):
      plan = hedging.plan_hedges(OBJECTIVE_S, known, RESPOND_AFTER_S)
      self.assertAlmostEqual(
        plan.get_time(0.0, is_urgent=False),
        hedging.INITIAL_DELAY_SHARE * OBJECTIVE_S,
      )


class NeededShardTest(unittest.TestCase):
  """Shards without which a search fails."""

  def test_search_with_spare_shards(self):
    self.assertFalse(hedging.is_needed(78, 12, 86))

  def test_search_that_has_lost_all_spare_shards(self):
    self.assertTrue(hedging.is_needed(15, 3, 18))

  def test_search_with_enough_parts(self):
    self.assertFalse(hedging.is_needed(18, 1, 18))


if __name__ == "__main__":
  unittest.main()
