"""What a node of a large fleet sends to its hubs, without a network."""

import types
import unittest

import anyio

from bronzefold.core import clock
from bronzefold.core import evidence
from bronzefold.core import quarantine
from bronzefold.gateway import coordinator
from bronzefold.gateway import inventory
from bronzefold.gateway import rollouts
from bronzefold.gateway import topology
from bronzefold.peers import membership
from bronzefold.peers import messages
from tests import test_topology


class RecordingNetwork:
  """Records what is sent, as ``PeerNetwork`` sends it."""

  def __init__(self):
    self.sent = []

  def send(self, node, message):
    self.sent.append((node, message))

  def update_links(self, addresses, seeds):
    """Opens no links."""

  def list_linked(self):
    return []


class VersionCountsTest(unittest.IsolatedAsyncioTestCase):
  """A spoke that counts responses of a version in rollout."""

  def setUp(self):
    fleet = test_topology.make_fleet(64, 8)
    self.members = membership.Membership(fleet[-1], 2.0, 1.3)
    for member in fleet[:-1]:
      self.members.register(member)
    plan = topology.plan_topology(fleet[-1], fleet[:-1])
    self.hubs = [m for m in fleet if m.node in plan.sources]
    self.network = RecordingNetwork()
    counts = rollouts.VersionCounts(
      "s", "v2", "r", evidence.ExchangeCounts(failed=3)
    )
    gateway = types.SimpleNamespace(
      upstreams=inventory.Inventory(lambda _: 1),
      rollouts=types.SimpleNamespace(
        pop_unsent_counts=lambda: [counts], list_statuses=lambda now: ()
      ),
      send_count=0,
      token_source=None,
      suspects=quarantine.Quarantine(),
      serve_relayed=None,
    )
    replica = types.SimpleNamespace(
      revision=0, effective_revision=0, update_event=anyio.Event()
    )
    self.fleet = coordinator.FleetCoordinator(
      self.members, self.network, replica, gateway, ()
    )

  def hear(self, member):
    """Receives a heartbeat that answers one of this node."""
    other = membership.Membership(member, 2.0, 1.3)
    own_name = self.members.own_member.node
    now = clock.read_monotonic()
    other.record_heartbeat(
      self.members.make_heartbeat(member.node, None, 0, 0, now), 0
    )
    self.members.record_heartbeat(
      other.make_heartbeat(own_name, 0.0, 0, 0, now), 0
    )

  async def list_receivers(self):
    """Runs one heartbeat period; returns who got the counts."""
    with anyio.move_on_after(0.1):
      await self.fleet.run()
    return [
      node
      for node, message in self.network.sent
      if isinstance(message, messages.Samples)
    ]

  async def test_counts_go_to_a_hub_that_is_alive(self):
    for alive in self.hubs:
      with self.subTest(alive=alive.node):
        self.setUp()
        self.hear(alive)
        self.assertEqual(await self.list_receivers(), [alive.node])

  async def test_counts_go_to_one_hub_only(self):
    for hub in self.hubs:
      self.hear(hub)
    self.assertEqual(len(await self.list_receivers()), 1)


if __name__ == "__main__":
  unittest.main()
