"""Owners that reach no upstream, on the product's own interface."""

import unittest

from tests import fleet
from tests import load

# One replica, so that an owner that is cut off takes shards away from all.
_UPSTREAMS = [
  {
    "name": f"leaf-{part}",
    "zone": "a",
    "warm_s": 0.3,
    "shards": [s for s in range(16) if s % 8 == part],
  }
  for part in range(8)
]


class CutOwnerTest(unittest.TestCase):
  """Three nodes, one of which is cut off from all upstreams."""

  def setUp(self):
    self.fleet = fleet.Fleet(
      nodes=3, upstreams=_UPSTREAMS, zones=("a",), node_module="tests.cut_owner"
    )
    self.enterContext(self.fleet)
    self.fleet.apply(self.fleet.make_document())
    self.fleet.wait_until_warm()

  def is_complete(self, node):
    status, _ = self.fleet.search(node, "groups", {}, complete=True)
    return status == 200

  def wait_until_complete(self):
    """Waits until all nodes answer searches completely, three in a row."""
    names = list(self.fleet.settings) * 3
    self.assertTrue(
      load.wait_until(lambda: all(map(self.is_complete, names)), 8.0)
    )

  def test_other_nodes_take_over_the_upstreams_of_a_cut_owner(self):
    for name in self.fleet.settings:
      with self.subTest(node=name):
        self.fleet.set_cut(name, True)
        load.wait_until(lambda name=name: not self.is_complete(name), 2.0)
        self.wait_until_complete()
        self.fleet.set_cut(name, False)
        self.wait_until_complete()

  def test_owners_stay_if_no_node_reaches_upstreams(self):
    for name in self.fleet.settings:
      self.fleet.set_cut(name, True)
    load.wait_until(lambda: not self.is_complete("n0"), 4.0)
    for name in self.fleet.settings:
      self.fleet.set_cut(name, False)
    self.wait_until_complete()


if __name__ == "__main__":
  unittest.main()
