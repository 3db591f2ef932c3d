"""Good versions are rolled out by their end; bad ones are rolled back."""

import math
import time
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bronzefold.core import significance
from bronzefold.node import configuration
from bronzefold.node import rollouts
from bronzefold.node import versions
from tests import fleet
from tests import load

ROLLOUT = versions.Rollout("fuel", "v2", 100.0, 200.0)


def make_record(share: float, state: str = "moving"):
  """Makes the record of a rollout."""
  return configuration.RolloutRecord(
    "v2", 100.0, 200.0, state, share, "", 1, 100.0
  )


class DecideTest(unittest.TestCase):
  """Decisions of the leader at given times."""

  @given(
    share=strategies.floats(0, 1),
    now=strategies.floats(0, 400),
    samples=strategies.integers(0, 1000),
  )
  @settings(derandomize=True, deadline=None)
  def test_share_stays_between_zero_and_target(self, share, now, samples):
    decided = rollouts.decide_rollout(
      ROLLOUT, make_record(share), 1.0, samples, None, now
    )
    self.assertTrue(0.0 <= decided.share <= 1.0)
    if now >= ROLLOUT.by:
      self.assertEqual((decided.state, decided.share), ("done", 1.0))

  @given(state=strategies.sampled_from(["moving", "done"]))
  @settings(derandomize=True, deadline=None)
  def test_regression_rolls_back_in_any_state(self, state):
    decided = rollouts.decide_rollout(
      ROLLOUT, make_record(0.5, state), 1.0, 100, "slow", 150.0
    )
    self.assertEqual((decided.state, decided.share), ("taken_back", 0.0))
    repeated = rollouts.decide_rollout(ROLLOUT, decided, 1.0, 100, None, 199.0)
    self.assertEqual(repeated, decided)

  def test_share_waits_for_samples_until_time_forces_it(self):
    waiting = rollouts.decide_rollout(
      ROLLOUT, make_record(0.02), 1.0, 3, None, 150.0
    )
    self.assertEqual(waiting.share, 0.02)
    forced = rollouts.decide_rollout(
      ROLLOUT, make_record(0.02), 1.0, 3, None, 165.0
    )
    self.assertGreater(forced.share, 0.02)

  @given(
    hits=strategies.integers(0, 12),
    total=strategies.integers(1, 12),
    base_hits=strategies.integers(0, 12),
    base_total=strategies.integers(1, 12),
  )
  @settings(derandomize=True, deadline=None)
  def test_excess_probability_equals_its_definition(
    self, hits, total, base_hits, base_total
  ):
    hits, base_hits = min(hits, total), min(base_hits, base_total)
    all_hits = hits + base_hits
    combinations = math.comb(total + base_total, all_hits)
    tail_combinations = sum(
      math.comb(total, k) * math.comb(base_total, all_hits - k)
      for k in range(hits, min(total, all_hits) + 1)
    )
    probability = significance.compute_excess_probability(
      hits, total, base_hits, base_total
    )
    self.assertAlmostEqual(probability, tail_combinations / combinations)


# An exchange requests one shard, an eighth of a round, so its work takes 2 ms.
# With the default work of 0.25 ms, a slowdown by a factor of 30 would not be
# visible beside the 6 ms of overhead that each exchange has.
SERVICE_TIME_S = 0.016


def make_version_upstreams() -> list[dict]:
  """Makes two replicas of each of two versions."""
  return [
    {
      "name": f"{version}-{replica}",
      "zone": "ab"[replica],
      "version": version,
      "slots": 4,
      "service_s": SERVICE_TIME_S,
      "shards": list(range(16)),
    }
    for version in ("v1", "v2")
    for replica in range(2)
  ]


class RolloutTest(unittest.TestCase):
  """Three nodes; the second version is rolled out under load."""

  ROLLOUT_S = 16.0

  def setUp(self):
    self.fleet = fleet.Fleet(nodes=3, upstreams=make_version_upstreams())
    self.enterContext(self.fleet)
    self.fleet.apply(self.fleet.make_document())
    self.fleet.wait_until_warm(["v1-0", "v1-1"])

  def start_rollout(self, **faults: object) -> None:
    self.set_faults(**faults)
    now = time.time()
    self.end_at = now + self.ROLLOUT_S
    versions_of_document = {
      "v1": {"share": 0.0},
      "v2": {"share": 1.0, "start": now, "by": self.end_at},
    }
    self.fleet.apply(self.fleet.make_document(versions=versions_of_document))

  def set_faults(self, **faults: object) -> None:
    upstream_faults = {name: dict(faults) for name in ("v2-0", "v2-1")}
    self.fleet.set_upstream_faults(leaves=upstream_faults)

  def get_rollout_status(self, node: str = "n0") -> dict:
    return self.fleet.fetch_status(node)["moves"][0]

  def list_request_times(self, version: str) -> list[float]:
    counts = self.fleet.fetch_counts()["leaves"]
    return sorted(
      at for n in (f"{version}-0", f"{version}-1") for at in counts[n]["log"]
    )

  def assert_rolled_back(self, faulty_since: float, within_s: float) -> None:
    """Checks that the version is rolled back and gets no traffic.

    Args:
      faulty_since: Time since the Unix epoch at which the faults began.
      within_s: Time after which no request may reach the version.
    """
    for node in self.fleet.settings:
      self.assertEqual(self.get_rollout_status(node)["state"], "taken_back")
      self.assertTrue(self.get_rollout_status(node)["reason"])
    late_requests = [
      at for at in self.list_request_times("v2") if at > faulty_since + within_s
    ]
    self.assertEqual(late_requests, [])

  def run_with_faults(
    self, fault_after_s: float, within_s: float, **faults: object
  ) -> list[load.RequestRecord]:
    with load.Load(self.fleet, callers=4) as running:
      if fault_after_s:
        self.start_rollout()
        time.sleep(fault_after_s)
        self.set_faults(**faults)
      else:
        self.start_rollout(**faults)
      faulty_since = time.time()
      time.sleep(within_s + 2.0)
    self.assert_rolled_back(faulty_since, within_s)
    return running.records

  def test_good_version_completes_by_its_end(self):
    with load.Load(self.fleet, callers=4) as running:
      self.start_rollout()
      self.fleet.wait_for(
        lambda: self.get_rollout_status()["state"] == "done", self.ROLLOUT_S + 3
      )
      self.assertLess(time.time(), self.end_at + 3.0)
      time.sleep(1.0)
      measured_from = time.time()
      time.sleep(1.0)
    new_requests = [
      at for at in self.list_request_times("v2") if at > measured_from
    ]
    old_requests = [
      at for at in self.list_request_times("v1") if at > measured_from
    ]
    self.assertGreater(len(new_requests), 20 * max(1, len(old_requests)) / 2)
    complete = sum(r.is_complete for r in running.records)
    self.assertGreater(complete, 0.98 * len(running.records))

  def test_good_version_completes_under_low_traffic(self):
    with load.Load(self.fleet, callers=1, pause_s=0.7):
      self.start_rollout()
      self.fleet.wait_for(
        lambda: self.get_rollout_status()["state"] == "done", self.ROLLOUT_S + 3
      )

  def test_version_that_fails_at_once_is_rolled_back(self):
    load_records = self.run_with_faults(0.0, 8.0, fail_share=1.0)
    served_by_new = len(self.list_request_times("v2"))
    total = served_by_new + len(self.list_request_times("v1"))
    self.assertLess(served_by_new, 0.05 * total)
    complete = sum(r.is_complete for r in load_records)
    self.assertGreater(complete, 0.98 * len(load_records))

  def test_version_that_fails_late_is_rolled_back(self):
    load_records = self.run_with_faults(9.0, 4.0, fail_share=0.5)
    complete = sum(r.is_complete for r in load_records)
    self.assertGreater(complete, 0.95 * len(load_records))

  def test_version_that_slows_down(self):
    self.run_with_faults(8.0, 6.0, slow_factor=30.0)

  def test_version_that_fails_on_one_route_is_rolled_back(self):
    self.run_with_faults(6.0, 6.0, fail_share=0.5, route="groups")

  def test_version_that_fails_under_load_is_rolled_back(self):
    self.run_with_faults(6.0, 7.0, fail_share=0.8, bad_from_load=2)


if __name__ == "__main__":
  unittest.main()
