"""When callers of shards without a usable replica are told to return."""

import random
import unittest

from bronzefold.gateway import inventory
from bronzefold.gateway import model
from bronzefold.gateway import returns

NOW = 100.0


def make_upstream(down_s=0.0, cold_s=0.0, latency_s=None):
  """Makes an upstream that is down or cold for a time from now."""
  instance = model.Instance("i", "s", "h:1", "a", cold_until=NOW + cold_s)
  upstream = inventory.Upstream(instance, pool=None)
  upstream.health.down_until = NOW + down_s
  upstream.health.latency_s = latency_s
  return upstream


class EstimateTest(unittest.TestCase):
  """Until when the shards of one request are not served."""

  def estimate(self, shards, needed_count=1):
    return returns.estimate_wait(shards, needed_count, NOW)

  def test_first_replica_that_is_tried_again(self):
    shard = [make_upstream(down_s=0.8), make_upstream(down_s=0.25)]
    self.assertAlmostEqual(self.estimate([shard]), 0.25)

  def test_cold_replica(self):
    self.assertAlmostEqual(self.estimate([[make_upstream(cold_s=0.6)]]), 0.6)

  def test_full_replica_after_the_time_of_one_response(self):
    self.assertAlmostEqual(
      self.estimate([[make_upstream(latency_s=0.012)]]), 0.012
    )

  def test_search_needs_some_of_its_missing_shards(self):
    shards = [[make_upstream(down_s=down_s)] for down_s in (0.9, 0.1, 0.4)]
    self.assertAlmostEqual(self.estimate(shards, 1), 0.1)
    self.assertAlmostEqual(self.estimate(shards, 2), 0.4)
    self.assertAlmostEqual(self.estimate(shards, 9), 0.9)

  def test_shard_without_any_replica(self):
    shards = [[], [make_upstream(down_s=0.1)]]
    self.assertAlmostEqual(self.estimate(shards, 1), 0.1)
    self.assertEqual(self.estimate(shards, 2), returns.UNKNOWN_WAIT_S)


class CrowdTest(unittest.TestCase):
  """Hundred callers that are refused in the same moment."""

  def setUp(self):
    source = random.Random(3)
    self.returns = {
      priority: sorted(
        returns.spread_return(0.25, priority, source.random())
        for _ in range(100)
      )
      for priority in (0, 2)
    }

  def test_nobody_returns_before_the_replica(self):
    self.assertGreaterEqual(min(map(min, self.returns.values())), 0.25)

  def test_they_do_not_return_together(self):
    for times in self.returns.values():
      busiest = max(
        sum(start <= at < start + 0.01 for at in times) for start in times
      )
      self.assertLessEqual(busiest, 40)

  def test_urgent_ones_return_first(self):
    urgent, other = (times[50] for times in self.returns.values())
    self.assertLess(urgent, other)

  def test_bounds(self):
    self.assertEqual(returns.spread_return(0.0, 0, 0.0), returns.MIN_WAIT_S)
    self.assertLessEqual(
      returns.spread_return(60.0, 9, 1.0),
      returns.MAX_WAIT_S * (1.0 + returns.SPREAD_SHARE),
    )


if __name__ == "__main__":
  unittest.main()
