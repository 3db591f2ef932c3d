"""A fleet in which some nodes read the store for the others."""

import time
import unittest

from bronzefold.gateway import topology
from bronzefold.peers import membership
from tests import gateways
from tests.standins import site as sites

NODES = 18
APPLY_S = 3.0  # the users' bound for a configuration
LEASE_S = 4.0  # of a node's registration
NAMES = [f"n{number:02d}" for number in range(NODES)]


def choose_hubs() -> list[str]:
  """Returns the names that the nodes themselves come to."""
  own, *others = [
    membership.Member(name, "a", "serving", "c", "p") for name in NAMES
  ]
  return sorted(topology.plan_topology(own, others).hubs)


class HubTest(unittest.TestCase):
  """Eighteen nodes of one size, three of them hubs."""

  def setUp(self):
    self.site = self.enterContext(sites.Site())
    self.shop = self.site.add_leaf(sites.Leaf("i-shop", "shop", b"shop"))
    self.configure(5, "shop")
    self.nodes = {
      name: self.enterContext(gateways.Node(self.site, name)) for name in NAMES
    }
    for node in self.nodes.values():
      gateways.wait_until(node.is_ready, node.name, limit_s=40.0)
    time.sleep(LEASE_S)

  def configure(self, version: int, *names: str) -> None:
    routes = [sites.make_route(name, service="shop") for name in names]
    self.site.put("op/config", sites.make_configuration(version, routes))

  def assert_applied(self, path: str, names: list[str], within_s: float):
    until = time.monotonic() + within_s
    for name in names:
      gateways.wait_until(
        lambda name=name: self.nodes[name].send(path).status == 200,
        f"{name} serves {path}",
        limit_s=max(0.1, until - time.monotonic()),
      )

  def test_changes_come_by_way_of_hubs_and_without_them(self):
    hubs = choose_hubs()
    others = [name for name in NAMES if name not in hubs]
    self.assertEqual(len(hubs), 3)
    watches = self.site.store.calls["kv-watch"]
    for sequence in range(20):
      self.site.beat(self.shop, sequence=sequence)
      time.sleep(0.2)
    watches = self.site.store.calls["kv-watch"] - watches
    self.assertGreater(watches, 0)
    # A hub may call each 0.8 s; the rest is for calls that began before.
    self.assertLessEqual(watches, 2 * len(hubs) * 4)
    self.configure(6, "shop", "near")
    self.assert_applied("/near/x", NAMES, APPLY_S)
    for name in hubs:
      self.nodes[name].popen.kill()
    self.configure(7, "shop", "far")
    self.assert_applied("/far/x", others, APPLY_S)
    time.sleep(LEASE_S + 2.0)
    self.configure(8, "shop", "next")
    self.assert_applied("/next/x", others, APPLY_S)
    named = self.nodes[others[0]].resolve_addresses()
    gone = {f"127.0.0.1:{self.nodes[name].front_port}" for name in hubs}
    self.assertFalse(gone & set(named))


if __name__ == "__main__":
  unittest.main()
