"""An accepted configuration is in force everywhere and never reverts."""

import signal
import time
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bronzefold import store
from bronzefold.node import configuration
from tests import fleet
from tests import load

BOUND_S = 13.0
ZONE_KEY = "bronzefold/zones/b"


class ApplyTest(unittest.TestCase):
  """Changes in any order, without processes."""

  @given(
    order=strategies.permutations(range(1, 9)),
    revisions=strategies.lists(strategies.integers(0, 8), max_size=8),
  )
  @settings(derandomize=True, deadline=None)
  def test_older_changes_are_passed_over(self, order, revisions):
    config = configuration.Configuration()
    newest = 0
    for number in [*order, *revisions]:
      if number == 0:
        continue
      state = "in" if number % 2 else "out"
      entry = store.Entry(ZONE_KEY, f'{{"state": "{state}"}}', number)
      config.apply_changes([entry], number)
      newest = max(newest, number)
      self.assertEqual(config.zones["b"], "in" if newest % 2 else "out")
      self.assertEqual(config.revision, newest)

  def test_deleted_key_does_not_come_back(self):
    config = configuration.Configuration()
    entry = store.Entry(ZONE_KEY, '{"state": "out"}', 3)
    config.apply_listing(store.Listing(3, (entry,)))
    config.apply_listing(store.Listing(5, ()))
    self.assertEqual(config.zones, {})
    config.apply_changes([entry], 4)
    self.assertEqual(config.zones, {})
    self.assertEqual(config.revision, 5)

  def test_invalid_value_leaves_the_old_one_in_force(self):
    config = configuration.Configuration()
    good = store.Entry(ZONE_KEY, '{"state": "out"}', 3)
    for bad in ('{"state": "away"}', "[]", "{"):
      entry = store.Entry(ZONE_KEY, bad, 4)
      config.apply_changes([good, entry], 4)
      self.assertEqual(config.zones, {"b": "out"})


class ConfigurationTest(unittest.TestCase):
  """Four nodes."""

  def setUp(self):
    self.fleet = fleet.Fleet(nodes=4)
    self.enterContext(self.fleet)
    self.fleet.apply(self.fleet.make_document())

  def assert_in_force(self, revision: int, nodes: list[str] | None = None):
    for name in nodes or list(self.fleet.settings):
      self.fleet.wait_for(
        lambda n=name: self.fleet.status(n)["zones"].get("b") == revision,
        timeout_s=BOUND_S,
      )

  def test_slow_platform_that_loses_replies(self):
    self.fleet.set_platform_faults(slow_s=0.4, lose=0.3)
    for state in ("out", "in", "out"):
      revision = self.fleet.put(ZONE_KEY, {"state": state})
      self.assert_in_force(revision)
    self.fleet.set_platform_faults(slow_s=0.0, lose=0.0)

  def test_lagging_watch(self):
    self.fleet.set_platform_faults(lag_s=3.0)
    revision = self.fleet.put(ZONE_KEY, {"state": "out"})
    self.assert_in_force(revision)

  def test_node_started_during_an_outage_learns_from_peers(self):
    revision = self.fleet.put(ZONE_KEY, {"state": "out"})
    self.assert_in_force(revision)
    self.fleet.processes["n2"].kill()
    self.fleet.set_platform_faults(down=True)
    time.sleep(1.0)
    self.fleet.start_node("n2")
    self.assert_in_force(revision, ["n2"])
    self.fleet.wait_for(
      lambda: self.fleet.status("n2")["state"] == "serving", timeout_s=1.0
    )

  def test_node_without_platform_and_peers_serves_nothing(self):
    self.fleet.set_platform_faults(down=True)
    for name in self.fleet.settings:
      self.fleet.processes[name].kill()
    self.fleet.start_node("n0")
    self.fleet.wait_for(lambda: self.fleet.status("n0")["state"] == "starting")
    status, reply = self.fleet.search("n0", "groups", {})
    self.assertEqual((status, reply["error"]), (503, "not_ready"))
    self.fleet.set_platform_faults(down=False)
    self.fleet.wait_for(lambda: self.fleet.status("n0")["state"] == "serving")


class PauseTest(unittest.TestCase):
  """A node is paused for less than the life of its lease."""

  def test_paused_node_refuses_until_it_is_current(self):
    running = fleet.Fleet(nodes=4, settings={"lease_ttl_s": 60.0})
    self.enterContext(running)
    running.apply(running.make_document())
    running.wait_warm()
    process = running.processes["n1"]
    process.send(signal.SIGSTOP)
    revision = running.put(ZONE_KEY, {"state": "out"})
    time.sleep(4.0)
    since = time.time()
    with load.Load(running, callers=4, nodes=["n1"]) as sent:
      process.send(signal.SIGCONT)
      running.wait_for(
        lambda: running.status("n1")["zones"].get("b") == revision
      )
      time.sleep(0.5)
    leaves = running.counts()["leaves"]
    late = [
      at
      for name in ("leaf-1-0", "leaf-1-1")
      for at in leaves[name]["log"]
      if at > since
    ]
    self.assertEqual(late, [])
    self.assertTrue(sent.records)
    statuses = {record.status for record in sent.records}
    self.assertLessEqual(statuses, {200, 503})


if __name__ == "__main__":
  unittest.main()
