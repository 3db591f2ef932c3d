"""Nodes of large fleets hear of the store through readers and other hubs."""

import heapq
import itertools
import random
import unittest

from bronzefold.gateway import contact
from bronzefold.gateway import follower
from bronzefold.gateway import topology
from bronzefold.peers import membership
from tests import test_topology

LINK_DELAY_S = 0.005
CALL_S = 0.02
SETTLING_S = 5.0


class Node:
  """A node without processes and sockets, in simulated time."""

  def __init__(self, own, fleet):
    self.name = own.node
    self.members = membership.Membership(own, 2.0, 1.3)
    for member in fleet:
      self.members.register(member)
    self.plan = topology.plan_topology(own, [m for m in fleet if m != own])
    self.is_alive = True
    self.reaches_store = True

  def is_updated(self, now):
    return contact.is_updated(self.members, now)


class Fleet:
  """Nodes that exchange heartbeats; readers call the store.

  Attributes:
    nodes: The nodes by name.
    last_call_at: Time of the last call of any reader that the store answered.
    cut_zones: Zones whose nodes do not hear each other.
  """

  def __init__(self, count, large):
    self._source = source = random.Random(1)
    members = test_topology.make_fleet(count, large)
    self.nodes = {own.node: Node(own, members) for own in members}
    self.last_call_at = 0.0
    self.cut_zones = frozenset()
    self.now = 0.0
    self._numbers = itertools.count()
    self._queue = []
    for node in self.nodes.values():
      self._push(source.uniform(0, 0.5), self._send_heartbeats, node)
      if node.plan.is_reader:
        self._push(source.uniform(0, 0.8), self._call_store, node)

  def _push(self, at, work, *arguments):
    heapq.heappush(self._queue, (at, next(self._numbers), work, arguments))

  def _call_store(self, node):
    if node.is_alive and node.reaches_store:
      wait_s = self._source.choice((0.0, contact.get_watch_wait(node.plan)))
      self._push(
        self.now + wait_s + CALL_S, self._end_call, node, self.now, wait_s
      )
    else:
      self._push(self.now + 1.0, self._call_store, node)

  def _end_call(self, node, asked_at, wait_s):
    reached_at = contact.date_watch(
      asked_at, contact.get_watch_wait(node.plan), wait_s == 0.0, self.now
    )
    node.members.record_store_contact(reached_at)
    self.last_call_at = self.now
    self._push(self.now + follower.WATCH_PAUSE_S, self._call_store, node)

  def _send_heartbeats(self, node):
    if node.is_alive:
      age_s = contact.get_stated_age(node.members, node.plan, self.now)
      for member in node.plan.neighbours:
        heartbeat = node.members.make_heartbeat(
          member.node, age_s, 0, 0, self.now
        )
        receiver = self.nodes[member.node]
        self._push(self.now + LINK_DELAY_S, self._deliver, receiver, heartbeat)
    period_s = contact.HEARTBEAT_PERIOD_S
    self._push(self.now + period_s, self._send_heartbeats, node)

  def _deliver(self, receiver, heartbeat):
    zones = {heartbeat.zone, receiver.members.own_member.zone}
    if len(zones) == 1 or not zones <= self.cut_zones:
      receiver.members.record_heartbeat(heartbeat, 0)

  def run(self, until, check=lambda: None):
    """Plays until a time and checks ten times a second."""
    for step in range(int(self.now * 10) + 1, int(until * 10) + 1):
      while self._queue[0][0] <= step / 10:
        self.now, _, work, arguments = heapq.heappop(self._queue)
        work(*arguments)
      self.now = step / 10
      check()

  def list_not_updated(self):
    """Lists the live nodes that have to read the store themselves."""
    return [
      node.name
      for node in self.nodes.values()
      if node.is_alive
      and not node.plan.is_reader
      and not node.is_updated(self.now)
    ]

  def list_readers(self):
    return [node for node in self.nodes.values() if node.plan.is_reader]


class ContactTest(unittest.TestCase):
  """Fleets in four zones."""

  def assert_calm(self, fleet, until):
    """Asserts that no other node reads the store once all know each other."""
    if fleet.now < SETTLING_S:
      fleet.run(SETTLING_S)
    fleet.run(until, lambda: self.assertEqual(fleet.list_not_updated(), []))

  def test_number_of_readers_does_not_grow_with_the_fleet(self):
    for count, large in ((64, 8), (195, 18), (400, 40)):
      members = test_topology.make_fleet(count, large)
      plan = topology.plan_topology(members[-1], members[:-1])
      self.assertEqual(len(plan.readers), len(test_topology.ZONES))
    crowded = test_topology.make_fleet(40, 0)[::4]  # one zone
    crowded = [*crowded, *test_topology.make_fleet(160, 0)[40::4]]
    plan = topology.plan_topology(crowded[-1], crowded[:-1])
    self.assertEqual(len(plan.readers), 3)

  def test_nobody_else_reads_the_store_in_calm(self):
    for count, large in ((75, 6), (195, 18), (400, 0)):
      with self.subTest(nodes=count, large=large):
        self.assert_calm(Fleet(count, large), until=20.0)

  def test_reader_that_dies_is_replaced_by_another_zone(self):
    fleet = Fleet(195, 18)
    fleet.run(SETTLING_S)
    fleet.list_readers()[0].is_alive = False
    self.assert_calm(fleet, until=15.0)

  def test_two_zones_that_are_blind_to_each_other_are_updated(self):
    fleet = Fleet(195, 18)
    fleet.run(SETTLING_S)
    fleet.cut_zones = frozenset("ab")
    self.assert_calm(fleet, until=15.0)

  def test_zone_without_its_reader_and_blind_to_another_zone(self):
    """Some of its hubs have no reader left; nobody is updated for long."""
    fleet = Fleet(195, 18)
    fleet.run(SETTLING_S)
    fleet.cut_zones = frozenset("ab")
    for reader in fleet.list_readers():
      if reader.members.own_member.zone == "a":
        reader.is_alive = False
    fleet.run(fleet.now + contact.UPDATE_TIMEOUT_S + 1.0)
    for name in fleet.list_not_updated():
      node = fleet.nodes[name]
      self.assertEqual(node.members.own_member.zone, "a")
      self.assertIsNot(
        contact.must_read(node.members, node.plan, fleet.now), False
      )

  def test_reader_without_the_store_is_replaced_by_another_zone(self):
    fleet = Fleet(195, 18)
    fleet.run(SETTLING_S)
    fleet.list_readers()[0].reaches_store = False
    self.assert_calm(fleet, until=15.0)

  def test_all_nodes_read_the_store_soon_after_the_last_reader_has_lost_it(
    self,
  ):
    fleet = Fleet(195, 18)
    fleet.run(SETTLING_S)
    for reader in fleet.list_readers():
      reader.reaches_store = False
    fleet.run(fleet.now + 1.0)
    fleet.run(fleet.last_call_at + contact.UPDATE_TIMEOUT_S + 0.2)
    others = len(fleet.nodes) - len(fleet.list_readers())
    self.assertEqual(len(fleet.list_not_updated()), others)

  def test_spokes_that_are_left_with_one_hub_without_the_store(self):
    fleet = Fleet(400, 0)
    fleet.run(SETTLING_S)
    spokes = {
      node.members.own_member.zone: node
      for node in fleet.nodes.values()
      if not node.plan.is_hub and not node.plan.sources & node.plan.readers
    }
    self.assertEqual(set(spokes), set(test_topology.ZONES))
    for spoke in spokes.values():
      for hub in sorted(spoke.plan.sources)[:2]:
        fleet.nodes[hub].is_alive = False
    self.assert_calm(fleet, until=20.0)

  def test_paused_hub_does_not_pass_on_what_it_heard_before(self):
    """Heartbeats in its buffers are of the time before its pause."""
    fleet = Fleet(195, 18)
    fleet.run(SETTLING_S)
    relay = next(
      node
      for node in fleet.nodes.values()
      if node.plan.is_hub and not node.plan.is_reader
    )
    later = fleet.now + 30.0
    age_s = contact.get_stated_age(relay.members, relay.plan, later)
    self.assertGreater(age_s, 29.0)
    self.assertFalse(relay.is_updated(later))


class DecisionTest(unittest.TestCase):
  """A spoke, its own reads, and what its hubs state."""

  def setUp(self):
    fleet = test_topology.make_fleet(64, 8)
    self.node = Node(fleet[-1], fleet)
    self.members = self.node.members

  def must_read(self, now):
    return contact.must_read(self.members, self.node.plan, now)

  def hear_hub(self, now, age_s):
    hub = membership.Membership(
      next(
        member
        for member in self.members.list_others()
        if member.node in self.node.plan.sources
      ),
      2.0,
      1.3,
    )
    hub.record_heartbeat(self.members.make_heartbeat("hub", None, 0, 0, now), 0)
    name = self.members.own_member.node
    self.members.record_heartbeat(hub.make_heartbeat(name, age_s, 0, 0, now), 0)

  def test_after_its_start_it_gives_its_hubs_time_to_report(self):
    self.members.record_store_contact(10.0)
    self.assertFalse(self.must_read(11.0))
    self.assertTrue(self.must_read(10.1 + contact.OWN_READ_PERIOD_S))

  def test_hubs_that_reach_the_store_spare_it_all_reads(self):
    self.hear_hub(20.0, age_s=0.5)
    self.assertFalse(self.must_read(20.0))

  def test_hubs_that_have_lost_the_store(self):
    self.hear_hub(20.0, age_s=9.0)
    self.assertIsNone(self.must_read(20.0))
    self.members.record_store_contact(20.0)
    self.assertTrue(self.must_read(20.1 + contact.OWN_READ_PERIOD_S))

  def test_without_live_hubs_it_reads(self):
    self.assertTrue(self.must_read(5.0))

  def test_date_of_a_watch(self):
    self.assertEqual(contact.date_watch(10.0, 0.5, False, 10.52), 10.5)
    self.assertEqual(contact.date_watch(10.0, 0.5, True, 10.52), 10.0)
    self.assertEqual(contact.date_watch(10.0, 0.5, False, 99.0), 10.5)
    self.assertEqual(contact.date_watch(10.0, 0.5, False, 10.2), 10.0)


if __name__ == "__main__":
  unittest.main()
