"""Calls of many nodes to a store that is down."""

import random
import unittest

from bronzefold.gateway import backoff

NODES = 200
OUTAGE_S = 5.0
RETURN_LIMIT_S = 2.0  # least bound of a change less a watch and a margin


class OutageTest(unittest.TestCase):
  """All nodes notice the outage at the same time."""

  def play(self, max_s):
    """Returns the times of all calls during an outage and of those after."""
    source = random.Random(1)
    during, after = [], []
    for _ in range(NODES):
      state = backoff.Backoff(0.25, max_s)
      now = 0.0
      while now < OUTAGE_S:
        during.append(now)
        now += state.record_failure(source.random())
      after.append(now - OUTAGE_S)
    return during, after

  def test_calls_in_an_outage_are_few_and_spread(self):
    during, after = self.play(max_s=2.0)
    self.assertLess(len(during), 8 * NODES)  # a call each 0.25 s makes 20
    self.assertLess(max(after), RETURN_LIMIT_S)
    fullest = max(
      sum(start <= time < start + 0.1 for time in after)
      for start in (0.1 * step for step in range(20))
    )
    self.assertLess(fullest, NODES / 5)

  def test_outage_of_hours(self):
    state = backoff.Backoff(0.25, 2.0)
    pauses = [state.record_failure(1.0) for _ in range(5000)]
    self.assertEqual(pauses[-1], 2.0)

  def test_success_starts_anew(self):
    state = backoff.Backoff(0.25, 2.0)
    for _ in range(6):
      pause_s = state.record_failure(1.0)
    self.assertEqual(pause_s, 2.0)
    state.record_success()
    self.assertEqual(state.record_failure(1.0), 0.25)


class SharedProbesTest(unittest.TestCase):
  """Spokes of a fleet whose hubs do not reach the store."""

  def play(self, node_count):
    """Returns the calls of all spokes in 62 s."""
    source = random.Random(2)
    calls = 0
    for _ in range(node_count):
      probes = backoff.SharedProbes(10.0, 2.4)
      calls += sum(
        probes.try_start(node_count, source.random(), 0.4 * step)
        for step in range(155)
      )
    return calls

  def test_calls_do_not_grow_with_the_fleet(self):
    for node_count in (64, 195, 600):
      self.assertLess(self.play(node_count), 1.1 * 62 * 10)

  def test_every_node_calls(self):
    self.assertGreaterEqual(self.play(600), 600)

  def test_new_series_starts_at_a_random_time(self):
    probes = backoff.SharedProbes(10.0, 2.4)
    self.assertTrue(probes.try_start(20, 0.0, 5.0))
    probes.reset()
    self.assertFalse(probes.try_start(20, 0.5, 5.1))
    self.assertTrue(probes.try_start(20, 0.5, 6.4))


if __name__ == "__main__":
  unittest.main()
