"""A node's state of upstreams: registrations, health and selection."""

import unittest

import attrs

from bronzefold.gateway import health
from bronzefold.gateway import inventory
from bronzefold.gateway import model
from bronzefold.gateway import selection


def make_instance(name, **changed):
  """Makes a registration; ``changed`` replaces default fields."""
  values = {"service": "s", "address": "10.0.0.1:1", "zone": "a", **changed}
  return model.Instance(name, **values)


class InventoryTest(unittest.TestCase):
  """Registered upstreams of a service."""

  def setUp(self):
    self.inventory = inventory.Inventory(lambda _: 3)

  def list_ids(self, now):
    return [u.instance.id for u in self.inventory.list_candidates("s", now)]

  def test_late_report_does_not_prolong_warm_up(self):
    self.inventory.register(make_instance("i", cold_until=13.0), 10.0)
    self.inventory.register(make_instance("i", cold_until=14.5), 11.9)
    (upstream,) = self.inventory.list_candidates("s", 12.0)
    self.assertEqual(upstream.instance.cold_until, 13.0)

  def test_upstream_that_turns_cold_again_gets_later_warm_up_end(self):
    self.inventory.register(make_instance("i", cold_until=13.0), 10.0)
    self.inventory.register(make_instance("i", cold_until=23.0), 20.0)
    (upstream,) = self.inventory.list_candidates("s", 20.0)
    self.assertEqual(upstream.instance.cold_until, 23.0)

  def test_leaving_upstream_stays_candidate_until_grace_ends(self):
    self.inventory.register(make_instance("i"), 10.0)
    self.inventory.unregister("i", 11.0)
    self.assertEqual(self.list_ids(11.5), ["i"])
    self.assertEqual(self.list_ids(11.1 + inventory.LEAVING_GRACE_S), [])
    self.inventory.register(make_instance("i"), 14.0)
    self.assertEqual(self.list_ids(14.0), ["i"])

  def test_silent_upstream_keeps_its_requests_after_its_removal(self):
    """Its registration lapsed since it was slow to report."""
    self.inventory.register(make_instance("i"), 10.0)
    (upstream,) = self.inventory.list_candidates("s", 10.0)
    upstream.health.in_flight[1] = 10.0
    self.inventory.unregister("i", 11.0)
    self.inventory.expire(100.0, 30.0)
    self.assertIs(self.inventory.find("i"), upstream)
    self.inventory.register(make_instance("i"), 101.0)
    self.assertEqual(self.list_ids(101.0), ["i"])
    upstream.health.in_flight.clear()
    self.inventory.unregister("i", 102.0)
    self.inventory.expire(200.0, 30.0)
    self.assertIsNone(self.inventory.find("i"))

  def test_restart_under_same_id_resets_health(self):
    self.inventory.register(make_instance("i", born_ms=1), 10.0)
    (previous,) = self.inventory.list_candidates("s", 10.0)
    previous.health.record_failure(10.0, is_unreachable=True)
    self.inventory.register(make_instance("i", born_ms=2), 11.0)
    (restarted,) = self.inventory.list_candidates("s", 11.0)
    self.assertFalse(restarted.health.is_down(11.0))

  def test_upstreams_of_evacuated_zone_are_not_candidates(self):
    self.inventory.register(make_instance("i"), 10.0)
    self.inventory.register(make_instance("j", zone="b"), 10.0)
    self.inventory.evacuated_zones.add("a")
    self.assertEqual(self.list_ids(10.0), ["j"])


class HealthTest(unittest.TestCase):
  """Health estimates of one upstream."""

  def test_upstream_is_stalled_only_until_next_response(self):
    estimates = health.Health()
    for _ in range(20):
      estimates.record_success(0.02, 9.0)
    estimates.in_flight[1] = 10.0
    self.assertFalse(estimates.is_stalled(10.02))
    self.assertTrue(estimates.is_stalled(10.06))
    estimates.record_success(0.02, 10.06)
    self.assertFalse(estimates.is_stalled(10.07))

  def test_upstream_is_down_only_after_consecutive_failures(self):
    estimates = health.Health()
    for _ in range(3):
      estimates.record_failure(10.0)
    self.assertFalse(estimates.is_down(10.0))
    estimates.record_failure(10.0)
    self.assertTrue(estimates.is_down(10.1))
    estimates.record_success(0.01, 10.2)
    self.assertFalse(estimates.is_down(10.2))

  def test_slow_response_loses_weight_over_time(self):
    estimates = health.Health()
    estimates.record_success(1.0, 10.0)
    self.assertGreater(estimates.estimate_latency(0.02, 10.0), 0.9)
    self.assertLess(estimates.estimate_latency(0.02, 20.0), 0.05)


class SelectionTest(unittest.TestCase):
  """Selection among the upstreams of a service."""

  def setUp(self):
    upstreams = inventory.Inventory(lambda _: 3)
    upstreams.register(make_instance("near"), 0.0)
    upstreams.register(make_instance("far", zone="b"), 0.0)
    self.near, self.far = upstreams.list_candidates("s", 0.0)

  def choose(self, now=10.0, excluded=()):
    chosen = selection.choose_upstream(
      [self.near, self.far], excluded, "a", lambda *_: None, now
    )
    return chosen and chosen.instance.id

  def test_upstream_of_own_zone_is_preferred(self):
    self.assertEqual(self.choose(), "near")

  def test_tried_upstream_is_not_chosen_again(self):
    self.assertEqual(self.choose(excluded={"near"}), "far")
    self.assertIsNone(self.choose(excluded={"near", "far"}))

  def test_slow_failing_refusing_leaving_cold_or_full_upstream_is_avoided(self):
    for degrade in (
      lambda: self.near.health.record_success(0.5, 10.0),
      lambda: self.near.health.record_failure(10.0),
      lambda: [self.near.health.record_refusal(10.0) for _ in range(8)],
      lambda: setattr(self.near, "leaving_since", 9.9),
      lambda: setattr(
        self.near, "instance", attrs.evolve(self.near.instance, cold_until=11.0)
      ),
      lambda: setattr(self.near.pool, "limit", 0),
    ):
      self.setUp()
      degrade()
      self.assertEqual(self.choose(), "far")


if __name__ == "__main__":
  unittest.main()
