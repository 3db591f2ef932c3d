"""The entry nodes that the nodes of a large fleet name to callers."""

import unittest

import attrs

from bronzefold.gateway import directory
from bronzefold.gateway import topology
from bronzefold.peers import membership

LARGE = 6
NOW = 10.0
HEARTBEAT_TIMEOUT_S = 1.3


def make_fleet(count: int) -> list[membership.Member]:
  """Makes nodes in three zones; the first six have four times the capacity."""
  return [
    membership.Member(
      f"n{number:03d}",
      "abc"[number % 3],
      "serving",
      f"h{number:03d}:1",
      f"h{number:03d}:2",
      2.15 if number < LARGE else 0.516,
    )
    for number in range(count)
  ]


class Node:
  """A node with its directory; heartbeats are handed over at once."""

  def __init__(self, own: membership.Member, fleet: list[membership.Member]):
    self.members = membership.Membership(own, 2.0, HEARTBEAT_TIMEOUT_S)
    others = [member for member in fleet if member != own]
    for member in others:
      self.members.register(member)
    self.plan = topology.plan_topology(own, others)
    self.directory = directory.EntryDirectory(self.members, HEARTBEAT_TIMEOUT_S)

  def receive(self, sender: "Node", now: float) -> None:
    """Receives a heartbeat of another node, which echoes one of this node."""
    name = self.members.own_member.node
    heartbeat = sender.members.make_heartbeat(name, 0.0, 0, 0, now)
    self.members.record_heartbeat(attrs.evolve(heartbeat, echo=now), 0)
    if name in {member.node for member in sender.plan.spokes}:
      self.directory.record_report(
        sender.members.own_member.node, tuple(sender.list_addresses(now)), now
      )

  def list_addresses(self, now: float) -> list[str]:
    return self.directory.list_addresses(self.plan.is_hub, now)


class EntryDirectoryTest(unittest.TestCase):
  """Two large nodes in each of three zones, and many small ones."""

  def setUp(self):
    self.fleet = make_fleet(150)
    self.nodes = {m.node: Node(m, self.fleet) for m in self.fleet}
    self.large = sorted(m.caller_address for m in self.fleet[:LARGE])

  def exchange(self, now, absent=()):
    """All nodes but the absent ones send heartbeats to their neighbours."""
    for _ in range(2):  # hubs report what they heard before
      for name, node in self.nodes.items():
        for member in node.plan.neighbours:
          if name not in absent and member.node not in absent:
            node.receive(self.nodes[member.node], now)

  def test_every_node_names_all_large_nodes_and_no_small_one(self):
    self.exchange(NOW)
    for name, node in self.nodes.items():
      self.assertEqual(sorted(node.list_addresses(NOW)), self.large, name)

  def test_dead_nodes_are_no_longer_named(self):
    self.exchange(NOW)
    later = NOW + HEARTBEAT_TIMEOUT_S
    dead = [member.node for member in self.fleet[:2]]
    self.exchange(later, absent=dead)
    for name, node in self.nodes.items():
      if name not in dead:
        self.assertEqual(
          sorted(node.list_addresses(later)), self.large[2:], name
        )

  def test_report_of_a_node_that_is_no_hub_any_more_is_forgotten(self):
    """Guards against naming killed nodes for as long as a former hub lives."""
    self.exchange(NOW)
    former = next(n for n, node in self.nodes.items() if not node.plan.is_hub)
    node = self.nodes["n149"]
    node.directory.record_report(former, ("killed:1",), NOW)
    later = NOW + HEARTBEAT_TIMEOUT_S + 0.1
    self.exchange(later)
    node.receive(self.nodes[former], later)  # it lives and reports nothing
    self.assertTrue(node.members.is_alive(former, later))
    self.assertEqual(sorted(node.list_addresses(later)), self.large)

  def test_node_that_hears_from_no_hub_names_what_it_knows(self):
    self.exchange(NOW)
    node = self.nodes["n149"]
    later = NOW + 60.0
    self.assertEqual(node.list_addresses(later), ["h149:1"])


if __name__ == "__main__":
  unittest.main()
