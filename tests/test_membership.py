"""Tests of a node's contact with the store and its peers."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bronzefold.peers import membership
from bronzefold.peers import messages
from bronzefold.peers.membership import FleetContact

FRESHNESS_LIMIT_S = 2.5


def make_member(name: str) -> membership.Member:
  """Creates a serving node."""
  return membership.Member(name, "a", "serving", f"{name}:1", f"{name}:2")


def make_members(count: int) -> membership.Membership:
  """Creates the membership of node n0 in a fleet."""
  members = membership.Membership(make_member("n0"), FRESHNESS_LIMIT_S)
  for number in range(1, count):
    members.register(make_member(f"n{number}"))
  return members


def deliver_heartbeat(
  members: membership.Membership,
  number: int,
  echo: float | None,
  platform_age_s: float | None = None,
  revision: int = 1,
) -> None:
  """Records a heartbeat at a node that has applied revision 1."""
  name = f"n{number}"
  heartbeat = messages.Heartbeat(
    name, "a", "serving", "c", "p", platform_age_s, revision, 0, 5.0, echo
  )
  members.record_heartbeat(heartbeat, 1)


class LeavingTest(unittest.TestCase):
  """A node that has ended its registration sends heartbeats until it exits."""

  def test_node_that_left_stays_a_member(self):
    members = make_members(3)
    members.unregister("n2")
    heartbeat = messages.Heartbeat(
      "n2", "a", membership.LEAVING, "c", "p", None, 1, 0, 5.0, 4.0
    )
    members.record_heartbeat(heartbeat, 1)
    names = [member.node for member in members.list_others()]
    self.assertEqual(names, ["n1"])


class ContactTest(unittest.TestCase):
  """The contact at given times."""

  def test_own_store_call_counts_from_its_start(self):
    members = make_members(3)
    members.record_store_contact(10.0)
    self.assertIs(members.assess_contact(12.0), FleetContact.CURRENT)
    self.assertIs(members.assess_contact(12.6), FleetContact.ISOLATED)

  def test_peer_that_reaches_store_makes_node_current(self):
    members = make_members(3)
    deliver_heartbeat(members, 1, echo=10.0, platform_age_s=0.5)
    self.assertIs(members.assess_contact(11.9), FleetContact.CURRENT)
    self.assertIsNot(members.assess_contact(12.1), FleetContact.CURRENT)

  def test_peer_with_newer_revision_does_not_make_node_current(self):
    members = make_members(3)
    deliver_heartbeat(members, 1, echo=10.0, platform_age_s=0.0, revision=2)
    self.assertIsNot(members.assess_contact(10.1), FleetContact.CURRENT)

  def test_buffered_heartbeat_does_not_make_node_current(self):
    members = make_members(3)
    # Echoes a heartbeat of 10.0; read at 30 by this node, which was paused.
    deliver_heartbeat(members, 1, echo=10.0, platform_age_s=0.0)
    deliver_heartbeat(members, 2, echo=10.0, platform_age_s=0.0)
    self.assertFalse(members.is_alive("n1", 30.0))
    self.assertIs(members.assess_contact(30.0), FleetContact.ISOLATED)

  def test_contact_in_outage_depends_on_count_of_alive_nodes(self):
    members = make_members(5)
    members.record_store_contact(1.0)
    for number, expected in (
      (1, FleetContact.ISOLATED),
      (2, FleetContact.OUTAGE_SEEN_BY_MOST),
      (3, FleetContact.OUTAGE_SEEN_BY_MOST),
      (4, FleetContact.OUTAGE_SEEN_BY_ALL),
    ):
      deliver_heartbeat(members, number, echo=20.0)
      self.assertIs(members.assess_contact(20.5), expected, number)

  def test_half_of_partitioned_fleet_is_isolated(self):
    members = make_members(4)
    deliver_heartbeat(members, 1, echo=20.0)
    self.assertIs(members.assess_contact(20.5), FleetContact.ISOLATED)

  def test_only_node_is_not_isolated_by_outage(self):
    members = make_members(1)
    members.record_store_contact(1.0)
    self.assertIs(members.assess_contact(99.0), FleetContact.OUTAGE_SEEN_BY_ALL)

  @given(count=strategies.integers(17, 700))
  @settings(derandomize=True, deadline=None, max_examples=30)
  def test_update_reaches_every_node_of_large_fleet(self, count):
    names = [f"n{number:03d}" for number in range(count)]
    neighbours_by_node = {}
    for name in names[:: max(1, count // 40)]:
      members = membership.Membership(make_member(name), FRESHNESS_LIMIT_S)
      for other in names:
        if other != name:
          members.register(make_member(other))
      neighbours_by_node[name] = {m.node for m in members.list_neighbours()}
      self.assertNotIn(name, neighbours_by_node[name])
      self.assertLessEqual(len(neighbours_by_node[name]), 20)
    first = names.index(next(iter(neighbours_by_node)))
    offsets = {names.index(n) - first for n in neighbours_by_node[names[first]]}
    reached, hops = {0}, 0
    while len(reached) < count:
      reached |= {(r + o) % count for r in reached for o in offsets}
      hops += 1
      self.assertLessEqual(hops, 10)


if __name__ == "__main__":
  unittest.main()
