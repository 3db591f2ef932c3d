"""The nodes of the fleet, and this node's contact with the store and them."""

from __future__ import annotations

import enum
from typing import Self

import attrs

from bronzefold.core import defaults
from bronzefold.core.clock import Seconds
from bronzefold.peers import messages

STARTING = "starting"
SERVING = "serving"
LEAVING = "leaving"

MAX_FULL_MESH_NODES = 16


class FleetContact(enum.Enum):
  """How current this node's copy of the configuration can be.

  Members:
    CURRENT: The store was reached recently, directly or through a peer.
    OUTAGE_SEEN_BY_ALL: Every node is alive, and no recent contact with the
      store is known.
    OUTAGE_SEEN_BY_MOST: More than half of the nodes are alive, and no recent
      contact with the store is known.
    ISOLATED: No recent contact with the store is known, and at most half of the
      nodes are alive; other nodes may have changes that this node lacks.
  """

  CURRENT = "current"
  OUTAGE_SEEN_BY_ALL = "outage_seen_by_all"
  OUTAGE_SEEN_BY_MOST = "outage_seen_by_most"
  ISOLATED = "isolated"


@attrs.frozen
class Member:
  """A node that is registered in the store or has sent a heartbeat.

  Attributes:
    node: Name of the node.
    zone: Its availability zone.
    state: "starting", "serving" or "leaving".
    caller_address: IP:port for callers.
    peer_address: IP:port for nodes.
    capacity: Processor cores that it may use.
    demand: Processor cores that its requests use; 0 until its first
      heartbeat.
    reaches_upstreams: False while it reaches none of the upstreams.
  """

  node: str
  zone: str
  state: str
  caller_address: str
  peer_address: str
  capacity: float = 1.0
  demand: float = 0.0
  reaches_upstreams: bool = True

  @classmethod
  def from_heartbeat(cls, heartbeat: messages.Heartbeat) -> Self:
    """Creates a member from the heartbeat that it sent."""
    return cls(
      node=heartbeat.node,
      zone=heartbeat.zone,
      state=heartbeat.state,
      caller_address=heartbeat.caller_address,
      peer_address=heartbeat.peer_address,
      capacity=heartbeat.capacity,
      demand=heartbeat.demand,
      reaches_upstreams=heartbeat.reaches_upstreams,
    )


def choose_neighbours(own_member: Member, others: list[Member]) -> list[Member]:
  """Chooses the neighbours of a node among its peers.

  In a small fleet all peers are neighbours. In a large one the neighbours are
  the nodes at distances 1, 2, 4, ... in both directions of a ring, so that an
  update reaches all nodes in a logarithmic number of hops.

  Args:
    own_member: The node.
    others: Its peers.

  Returns:
    The neighbours.
  """
  if len(others) < MAX_FULL_MESH_NODES:
    return others
  ring = sorted([*others, own_member], key=lambda member: member.node)
  position = ring.index(own_member)
  steps = [1 << bit for bit in range((len(ring) // 2).bit_length())]
  distances = [*steps, *(-step for step in steps)]
  neighbour_indices = {
    (position + distance) % len(ring) for distance in distances
  }
  return [ring[index] for index in sorted(neighbour_indices - {position})]


class Membership:
  """The nodes of the fleet, as far as this node knows them.

  Attributes:
    own_member: This node.
  """

  def __init__(
    self,
    own_member: Member,
    freshness_limit_s: Seconds,
    heartbeat_timeout_s: Seconds = defaults.HEARTBEAT_TIMEOUT_S,
  ) -> None:
    """Creates a membership of this node alone.

    Args:
      own_member: This node.
      freshness_limit_s: Age of the last contact with the store up to which
        this node's configuration counts as current.
      heartbeat_timeout_s: Age of the last heartbeat up to which a node counts
        as alive.
    """
    self.own_member = own_member
    self._heartbeat_timeout_s = heartbeat_timeout_s
    self._freshness_limit_s = freshness_limit_s
    self._registered_members: dict[str, Member] = {}
    self._heartbeat_members: dict[str, Member] = {}
    self._alive_at: dict[str, Seconds] = {}
    self._sent_at_by_node: dict[str, Seconds] = {}
    self._reported_store_contact_at: Seconds | None = None
    self._own_store_contact_at: Seconds | None = None

  def set_state(self, state: str) -> None:
    """Sets the state of this node."""
    self.own_member = attrs.evolve(self.own_member, state=state)

  def set_demand(self, demand: float) -> None:
    """Sets how many processor cores this node's requests use."""
    self.own_member = attrs.evolve(self.own_member, demand=demand)

  def set_reach(self, reaches_upstreams: bool) -> None:
    """Sets whether this node reaches any upstream."""
    self.own_member = attrs.evolve(
      self.own_member, reaches_upstreams=reaches_upstreams
    )

  def register(self, member: Member) -> None:
    """Adds or replaces a member after its entry in the store was written."""
    self._registered_members[member.node] = member

  def unregister(self, node: str) -> None:
    """Removes a member after its entry in the store was deleted."""
    self._registered_members.pop(node, None)
    self._heartbeat_members.pop(node, None)
    self._alive_at.pop(node, None)
    self._sent_at_by_node.pop(node, None)

  def record_store_contact(self, requested_at: Seconds) -> None:
    """Records that the store has answered a call of this node.

    Args:
      requested_at: Monotonic time at which the call began. The time of the
        reply does not count: after a pause of the process the reply may have
        been in a buffer for long.
    """
    self._own_store_contact_at = max(
      self._own_store_contact_at or requested_at, requested_at
    )

  def record_heartbeat(
    self, heartbeat: messages.Heartbeat, config_revision: int
  ) -> None:
    """Records a heartbeat.

    The age of a heartbeat is taken from its echo, not from its arrival: the
    heartbeat was sent after this node had sent the one that it echoes. A node
    that leaves is a member only while it is registered, since it sends
    heartbeats after the end of its registration.

    Args:
      heartbeat: The heartbeat.
      config_revision: Revision of the newest change that this node has
        applied. The store contact of a sender that has a newer revision does
        not make this node current.
    """
    member = Member.from_heartbeat(heartbeat)
    has_left = (
      member.state == LEAVING and member.node not in self._registered_members
    )
    if has_left:
      self.unregister(member.node)
      return
    self._heartbeat_members[member.node] = member
    self._sent_at_by_node[member.node] = heartbeat.sent_at
    if heartbeat.echo is None:
      return
    alive_at = self._alive_at.get(member.node, heartbeat.echo)
    self._alive_at[member.node] = max(alive_at, heartbeat.echo)
    if heartbeat.platform_age_s is None:
      return
    if heartbeat.config_revision <= config_revision:
      requested_at = heartbeat.echo - heartbeat.platform_age_s
      previous = self._reported_store_contact_at
      self._reported_store_contact_at = max(
        previous or requested_at, requested_at
      )

  def get_own_store_contact_age(self, now: Seconds) -> Seconds | None:
    """Returns the time since this node itself reached the store."""
    if self._own_store_contact_at is None:
      return None
    return now - self._own_store_contact_at

  def get_reported_store_contact_age(self, now: Seconds) -> Seconds | None:
    """Returns the time since the newest store contact that a peer reported.

    A peer with a newer revision is ignored, so this node has all changes that
    the store held at that time.
    """
    if self._reported_store_contact_at is None:
      return None
    return now - self._reported_store_contact_at

  def get_echo(self, node: str) -> Seconds | None:
    """Returns the time that a heartbeat to a node must echo."""
    return self._sent_at_by_node.get(node)

  def make_heartbeat(
    self,
    receiver: str,
    store_contact_age_s: Seconds | None,
    config_revision: int,
    digest: int,
    now: Seconds,
  ) -> messages.Heartbeat:
    """Creates a heartbeat of this node.

    Args:
      receiver: Name of the node that gets it; its last heartbeat is echoed.
      store_contact_age_s: Time since the store was reached.
      config_revision: Revision of the newest change applied.
      digest: Digest of the reports that this node has.
      now: Monotonic time.
    """
    return messages.Heartbeat(
      node=self.own_member.node,
      zone=self.own_member.zone,
      state=self.own_member.state,
      caller_address=self.own_member.caller_address,
      peer_address=self.own_member.peer_address,
      platform_age_s=store_contact_age_s,
      config_revision=config_revision,
      digest=digest,
      sent_at=now,
      echo=self.get_echo(receiver),
      capacity=self.own_member.capacity,
      demand=self.own_member.demand,
      reaches_upstreams=self.own_member.reaches_upstreams,
    )

  def get_store_contact_age(self, now: Seconds) -> Seconds | None:
    """Returns the time since this node or a peer reached the store."""
    ages = (
      self.get_own_store_contact_age(now),
      self.get_reported_store_contact_age(now),
    )
    return min((age_s for age_s in ages if age_s is not None), default=None)

  def list_others(self) -> list[Member]:
    """Lists the other nodes, whether alive or not, by name."""
    members = self._registered_members | self._heartbeat_members
    members.pop(self.own_member.node, None)
    return [members[name] for name in sorted(members)]

  def is_alive(self, node: str, now: Seconds) -> bool:
    """True when a recent heartbeat shows that a node is alive."""
    if node == self.own_member.node:
      return True
    alive_at = self._alive_at.get(node)
    if alive_at is None:
      return False
    return now - alive_at < self._heartbeat_timeout_s

  def list_serving(self, now: Seconds) -> list[Member]:
    """Lists the alive, serving nodes, this one included if it serves."""
    others = [
      member
      for member in self.list_others()
      if member.state == SERVING and self.is_alive(member.node, now)
    ]
    own_members = [self.own_member] if self.own_member.state == SERVING else []
    return own_members + others

  def list_useful(self, now: Seconds) -> list[Member]:
    """Lists the serving nodes that reach upstreams; all if none does.

    If no node reaches them, the upstreams are gone, not the paths to them.

    Args:
      now: Monotonic time.
    """
    serving = self.list_serving(now)
    return [m for m in serving if m.reaches_upstreams] or serving

  def is_partial_mesh(self) -> bool:
    """True when updates reach some nodes only through other nodes."""
    return len(self.list_others()) >= MAX_FULL_MESH_NODES

  def list_neighbours(self) -> list[Member]:
    """Lists the nodes to which this node sends heartbeats and updates.

    A small fleet is a full mesh, a large one a ring with chords.
    """
    return choose_neighbours(self.own_member, self.list_others())

  def assess_contact(self, now: Seconds) -> FleetContact:
    """Assesses how current this node's configuration can be.

    Args:
      now: The monotonic time.

    Returns:
      The contact. After a pause of the process a node with peers is isolated
      until the store was reached, or most nodes are known to be alive again.
    """
    age_s = self.get_store_contact_age(now)
    if age_s is not None and age_s < self._freshness_limit_s:
      return FleetContact.CURRENT
    others = self.list_others()
    alive = sum(self.is_alive(member.node, now) for member in others)
    if alive == len(others):
      return FleetContact.OUTAGE_SEEN_BY_ALL
    if 2 * (alive + 1) > len(others) + 1:
      return FleetContact.OUTAGE_SEEN_BY_MOST
    return FleetContact.ISOLATED
