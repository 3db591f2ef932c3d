"""What a node believes of upstreams: registrations, health, choice."""

import unittest

import attrs

from bronzefold.gateway import health
from bronzefold.gateway import inventory
from bronzefold.gateway import model
from bronzefold.gateway import selection


def make_instance(name, **changed):
  """Returns a registration."""
  values = {"service": "s", "address": "10.0.0.1:1", "zone": "a", **changed}
  return model.Instance(name, **values)


class InventoryTest(unittest.TestCase):
  """Registrations."""

  def setUp(self):
    self.known = inventory.Inventory(lambda _: 3)

  def list_ids(self, now):
    return [u.instance.id for u in self.known.list_candidates("s", now)]

  def test_report_that_is_read_late_does_not_prolong_the_warm_up(self):
    self.known.register(make_instance("i", cold_until=13.0), 10.0)
    self.known.register(make_instance("i", cold_until=14.5), 11.9)
    (upstream,) = self.known.list_candidates("s", 12.0)
    self.assertEqual(upstream.instance.cold_until, 13.0)

  def test_upstream_that_turns_cold_again(self):
    self.known.register(make_instance("i", cold_until=13.0), 10.0)
    self.known.register(make_instance("i", cold_until=23.0), 20.0)
    (upstream,) = self.known.list_candidates("s", 20.0)
    self.assertEqual(upstream.instance.cold_until, 23.0)

  def test_leaving_upstream_is_used_for_a_short_time_only(self):
    self.known.register(make_instance("i"), 10.0)
    self.known.unregister("i", 11.0)
    self.assertEqual(self.list_ids(11.5), ["i"])
    self.assertEqual(self.list_ids(11.1 + inventory.LEAVING_GRACE_S), [])
    self.known.register(make_instance("i"), 14.0)
    self.assertEqual(self.list_ids(14.0), ["i"])

  def test_restart_under_the_same_id_knows_nothing_of_before(self):
    self.known.register(make_instance("i", born_ms=1), 10.0)
    (before,) = self.known.list_candidates("s", 10.0)
    before.health.record_failure(10.0, is_certain=True)
    self.known.register(make_instance("i", born_ms=2), 11.0)
    (after,) = self.known.list_candidates("s", 11.0)
    self.assertFalse(after.health.is_down(11.0))

  def test_evacuated_zone(self):
    self.known.register(make_instance("i"), 10.0)
    self.known.register(make_instance("j", zone="b"), 10.0)
    self.known.evacuated_zones.add("a")
    self.assertEqual(self.list_ids(10.0), ["j"])


class HealthTest(unittest.TestCase):
  """Estimates for one upstream."""

  def test_stalls_only_while_it_is_silent(self):
    seen = health.Health()
    for _ in range(20):
      seen.record_response(0.02, 9.0)
    seen.in_flight[1] = 10.0
    self.assertFalse(seen.is_stalled(10.02))
    self.assertTrue(seen.is_stalled(10.06))
    seen.record_response(0.02, 10.06)
    self.assertFalse(seen.is_stalled(10.07))

  def test_down_only_after_failures_in_a_row(self):
    seen = health.Health()
    for _ in range(3):
      seen.record_failure(10.0)
    self.assertFalse(seen.is_down(10.0))
    seen.record_failure(10.0)
    self.assertTrue(seen.is_down(10.1))
    seen.record_response(0.01, 10.2)
    self.assertFalse(seen.is_down(10.2))

  def test_old_slowness_fades(self):
    seen = health.Health()
    seen.record_response(1.0, 10.0)
    self.assertGreater(seen.estimate_latency(0.02, 10.0), 0.9)
    self.assertLess(seen.estimate_latency(0.02, 20.0), 0.05)


class SelectionTest(unittest.TestCase):
  """Choice among the upstreams of a service."""

  def setUp(self):
    known = inventory.Inventory(lambda _: 3)
    known.register(make_instance("near"), 0.0)
    known.register(make_instance("far", zone="b"), 0.0)
    self.near, self.far = known.list_candidates("s", 0.0)

  def choose(self, now=10.0, excluded=()):
    chosen = selection.choose_upstream(
      [self.near, self.far], excluded, "a", now
    )
    return chosen and chosen.instance.id

  def test_own_zone_first(self):
    self.assertEqual(self.choose(), "near")

  def test_tried_upstream_is_not_chosen_again(self):
    self.assertEqual(self.choose(excluded={"near"}), "far")
    self.assertIsNone(self.choose(excluded={"near", "far"}))

  def test_avoids_slow_failing_refusing_and_leaving(self):
    for spoil in (
      lambda: self.near.health.record_response(0.5, 10.0),
      lambda: self.near.health.record_failure(10.0),
      lambda: [self.near.health.record_refusal(10.0) for _ in range(8)],
      lambda: setattr(self.near, "leaving_since", 9.9),
      lambda: setattr(
        self.near, "instance", attrs.evolve(self.near.instance, cold_until=11.0)
      ),
      lambda: setattr(self.near.pool, "limit", 0),
    ):
      self.setUp()
      spoil()
      self.assertEqual(self.choose(), "far")


if __name__ == "__main__":
  unittest.main()
