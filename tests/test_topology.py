"""Entry nodes, hubs and links between nodes."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bronzefold.gateway import topology
from bronzefold.peers import membership

ZONES = "abcd"


def make_fleet(
  count: int, large: int = 0, large_capacity: float = 2.15
) -> list[membership.Member]:
  """Makes nodes in four zones; the first ``large`` ones have more capacity."""
  return [
    membership.Member(
      f"n{number:03d}",
      ZONES[number % 4],
      "serving",
      f"h{number}:1",
      f"h{number}:2",
      large_capacity if number < large else 0.516,
    )
    for number in range(count)
  ]


def plan_all(
  fleet: list[membership.Member],
) -> dict[str, topology.Topology]:
  """Plans the links of every node, by the name of the node."""
  return {
    own.node: topology.plan_topology(own, [m for m in fleet if m != own])
    for own in fleet
  }


class LinkTest(unittest.TestCase):
  """Links between nodes."""

  @given(count=strategies.integers(17, 90), large=strategies.integers(0, 30))
  @settings(derandomize=True, deadline=None, max_examples=20)
  def test_links_are_mutual_and_spokes_have_at_least_three_hubs(
    self, count, large
  ):
    plans = plan_all(make_fleet(count, min(large, count)))
    names = {
      node: {m.node for m in plan.neighbours} for node, plan in plans.items()
    }
    for node, linked in names.items():
      self.assertNotIn(node, linked)
      for other in linked:
        self.assertIn(node, names[other])
      hubs = [name for name in linked if plans[name].is_hub]
      self.assertGreaterEqual(len(hubs), 1 if plans[node].is_hub else 3)
    spokes = sum(len(plan.spokes) for plan in plans.values())
    hub_count = sum(plan.is_hub for plan in plans.values())
    self.assertEqual(spokes, (count - hub_count) * min(3, hub_count))

  def test_small_fleet_is_full_mesh_of_hubs(self):
    for plan in plan_all(make_fleet(16, 2)).values():
      self.assertTrue(plan.is_hub)
      self.assertEqual((len(plan.neighbours), plan.spokes), (15, ()))

  def test_large_fleet_has_few_hubs_and_few_links(self):
    for count, large in ((64, 8), (300, 0), (600, 40)):
      fleet = make_fleet(count, large)
      plans = [
        topology.plan_topology(own, [m for m in fleet if m != own])
        for own in fleet[:: max(1, count // 30)]
      ]
      share = sum(plan.is_hub for plan in plans) / len(plans)
      self.assertLessEqual(share, 0.2)
      links = sum(len(plan.neighbours) for plan in plans) / len(plans)
      self.assertLessEqual(links, 24)

  def test_largest_nodes_are_hubs(self):
    plans = plan_all(make_fleet(64, 8))
    hubs = {node for node, plan in plans.items() if plan.is_hub}
    self.assertEqual(len(hubs), 6)
    self.assertLess(hubs, {f"n{number:03d}" for number in range(8)})

  def test_store_calls_of_hubs_grow_slower_than_the_fleet(self):
    hub_counts = []
    for count in (17, 64, 195, 600):
      fleet = make_fleet(count, count // 10)
      plan = topology.plan_topology(fleet[-1], fleet[:-1])
      hub_counts.append(len(plan.hubs))
    self.assertEqual(hub_counts, [3, 6, 17, 50])


class EntryNodeTest(unittest.TestCase):
  """Nodes to which callers are sent, and their shares of the limits."""

  def test_nodes_of_equal_capacity_are_all_entry_nodes(self):
    fleet = make_fleet(8)
    self.assertEqual(len(topology.choose_entry_nodes(fleet)), 8)

  def test_large_nodes_are_the_only_entry_nodes(self):
    chosen = topology.choose_entry_nodes(make_fleet(64, 8))
    self.assertEqual([m.node for m in chosen], [f"n00{n}" for n in range(8)])

  def test_high_demand_adds_small_entry_nodes(self):
    fleet = make_fleet(64, 8)
    self.assertEqual(len(topology.choose_entry_nodes(fleet, 6.0)), 8)
    self.assertEqual(len(topology.choose_entry_nodes(fleet, 8.0)), 64)

  def test_too_few_large_nodes_add_small_entry_nodes(self):
    fleet = make_fleet(64, 8)
    self.assertEqual(len(topology.choose_entry_nodes(fleet[6:])), 58)
    self.assertEqual(len(topology.choose_entry_nodes(fleet[:2])), 2)

  @given(
    count=strategies.integers(1, 64),
    large=strategies.integers(0, 20),
    demand=strategies.floats(0, 40),
  )
  @settings(derandomize=True, deadline=None)
  def test_limit_shares_add_up_to_one(self, count, large, demand):
    fleet = make_fleet(count, large)
    shares = [topology.compute_limit_share(own, fleet, demand) for own in fleet]
    self.assertAlmostEqual(sum(shares), 1.0)
    self.assertGreaterEqual(shares[0], max(shares) - 1e-9)

  def test_spoke_that_knows_only_its_neighbours_names_hubs(self):
    fleet = make_fleet(64, 8)
    plans = plan_all(fleet)
    for own in fleet[8:]:
      known_members = [own, *plans[own.node].neighbours]
      named = topology.choose_entry_nodes(known_members)
      self.assertGreaterEqual(len(named), 3)
      self.assertNotIn(own, named)


if __name__ == "__main__":
  unittest.main()
