"""Tests that a cold upstream receives no more requests than it can handle."""

import time
import unittest

from tests import fleet
from tests import load

_UPSTREAMS = [
  {
    "name": f"leaf-{replica}-{part}",
    "zone": "ab"[replica],
    "slots": 4,
    "service_s": 0.01,
    "shards": [s for s in range(16) if s % 2 == part],
  }
  for replica in range(2)
  for part in range(2)
]


class ColdStartTest(unittest.TestCase):
  """Restarts upstreams without notice while eight nodes are under load."""

  def setUp(self):
    self.fleet = fleet.Fleet(nodes=8, upstreams=_UPSTREAMS)
    self.enterContext(self.fleet)
    self.fleet.apply(self.fleet.make_document())
    self.fleet.wait_until_warm()

  def restart(self, name: str) -> None:
    self.fleet.set_upstream_faults(leaves={name: {"restart": True}})

  def assert_never_overloaded(self) -> None:
    counts = self.fleet.fetch_counts()["leaves"]
    overloaded = {n: c["overloaded"] for n, c in counts.items()}
    self.assertEqual(overloaded, dict.fromkeys(overloaded, 0))

  def test_restart_under_full_load(self):
    with load.Load(self.fleet, callers=12) as running:
      time.sleep(1.0)
      for name in ("leaf-0-0", "leaf-1-1"):
        self.restart(name)
        time.sleep(2.0)
      self.assertTrue(
        load.wait_until(
          lambda: self.fleet.fetch_upstream_states().get("leaf-1-1") == "warm",
          20,
        )
      )
    self.assert_never_overloaded()
    complete = sum(record.is_complete for record in running.records)
    self.assertGreater(complete, 0.95 * len(running.records))

  def test_restart_while_nodes_die_and_the_platform_is_down(self):
    with load.Load(self.fleet, callers=8, nodes=["n0", "n1", "n2"]):
      self.fleet.set_store_faults(down=True)
      time.sleep(1.0)
      self.restart("leaf-0-1")
      time.sleep(1.0)
      for name in ("n6", "n7"):
        self.fleet.processes[name].kill()
      time.sleep(1.0)
      self.restart("leaf-1-0")
      time.sleep(4.0)
      self.fleet.set_store_faults(down=False)
      self.fleet.start_node("n6")
      time.sleep(5.0)
    self.assert_never_overloaded()


if __name__ == "__main__":
  unittest.main()
