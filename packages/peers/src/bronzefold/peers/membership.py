"""Which nodes there are, and what contact this one has with the rest."""

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


class StoreContact(enum.Enum):
  """How current this node's knowledge can be.

  Members:
    CURRENT: The platform was reached, directly or by way of a peer.
    OUTAGE_SEEN_BY_ALL: Every node is heard and none reaches the platform.
    OUTAGE_SEEN_BY_MOST: More than half of the nodes are heard and none of
      them reaches the platform.
    ISOLATED: Others may know what this node does not.
  """

  CURRENT = "current"
  OUTAGE_SEEN_BY_ALL = "outage_seen_by_all"
  OUTAGE_SEEN_BY_MOST = "outage_seen_by_most"
  ISOLATED = "isolated"


@attrs.frozen
class Member:
  """A node that is registered on the platform or was heard.

  Attributes:
    node: Name of the node.
    zone: Its availability zone.
    state: "starting", "serving" or "leaving".
    caller_address: IP:port for callers.
    peer_address: IP:port for nodes.
    capacity: Processor cores that it may use.
    demand: Processor cores that its requests take; 0 until it was heard.
  """

  node: str
  zone: str
  state: str
  caller_address: str
  peer_address: str
  capacity: float = 1.0
  demand: float = 0.0

  @classmethod
  def from_heartbeat(cls, heartbeat: messages.Heartbeat) -> Self:
    """Returns the sender of a heartbeat."""
    return cls(
      node=heartbeat.node,
      zone=heartbeat.zone,
      state=heartbeat.state,
      caller_address=heartbeat.caller_address,
      peer_address=heartbeat.peer_address,
      capacity=heartbeat.capacity,
      demand=heartbeat.demand,
    )


def choose_neighbours(own: Member, others: list[Member]) -> list[Member]:
  """Chooses the neighbours of a node among its peers.

  Few nodes are all neighbours. Of many, those at distances 1, 2, 4, ... to
  both sides on a ring are, so that news reaches all nodes in a logarithmic
  count of steps.
  """
  if len(others) < MAX_FULL_MESH_NODES:
    return others
  ring = sorted([*others, own], key=lambda member: member.node)
  position = ring.index(own)
  steps = [1 << bit for bit in range((len(ring) // 2).bit_length())]
  distances = [*steps, *(-step for step in steps)]
  near = {(position + distance) % len(ring) for distance in distances}
  return [ring[index] for index in sorted(near - {position})]


class Membership:
  """The nodes of the fleet, as far as this one knows.

  Attributes:
    own: This node.
  """

  def __init__(
    self,
    own: Member,
    freshness_limit_s: Seconds,
    alive_s: Seconds = defaults.HEARTBEAT_TIMEOUT_S,
  ) -> None:
    """Creates a membership of this node alone.

    Args:
      own: This node.
      freshness_limit_s: Age of the last contact with the platform up to
        which knowledge counts as current.
      alive_s: Age of the last heartbeat up to which a node counts as alive.
    """
    self.own_member = own
    self._alive_s = alive_s
    self._freshness_limit_s = freshness_limit_s
    self._registered: dict[str, Member] = {}
    self._heard: dict[str, Member] = {}
    self._heard_at: dict[str, Seconds] = {}
    self._echoes: dict[str, Seconds] = {}
    self._told_platform_at: Seconds | None = None
    self._own_platform_at: Seconds | None = None

  def set_state(self, state: str) -> None:
    """Changes the state of this node."""
    self.own_member = attrs.evolve(self.own_member, state=state)

  def set_demand(self, demand: float) -> None:
    """Changes how many cores this node's requests take."""
    self.own_member = attrs.evolve(self.own_member, demand=demand)

  def register(self, member: Member) -> None:
    """Takes over a member's entry on the platform."""
    self._registered[member.node] = member

  def unregister(self, node: str) -> None:
    """Takes over that a member's entry has vanished."""
    self._registered.pop(node, None)
    self._heard.pop(node, None)
    self._heard_at.pop(node, None)
    self._echoes.pop(node, None)

  def record_store_contact(self, asked_at: Seconds) -> None:
    """Takes note that the platform has answered this node.

    Args:
      asked_at: Monotonic time at which the call began. The reply may have
        waited for long in a buffer of a paused process.
    """
    self._own_platform_at = max(self._own_platform_at or asked_at, asked_at)

  def record_heartbeat(
    self, heartbeat: messages.Heartbeat, config_revision: int
  ) -> None:
    """Takes note of a heartbeat.

    Its echo, not its arrival, tells how recent it is: it was sent after this
    node had sent what it echoes.

    Args:
      heartbeat: The heartbeat.
      config_revision: Revision of the newest change this node has applied. A
        sender that knows a newer one does not make this node current.
    """
    member = Member.from_heartbeat(heartbeat)
    self._heard[member.node] = member
    self._echoes[member.node] = heartbeat.sent_at
    if heartbeat.echo is None:
      return
    heard_at = self._heard_at.get(member.node, heartbeat.echo)
    self._heard_at[member.node] = max(heard_at, heartbeat.echo)
    if heartbeat.platform_age_s is None:
      return
    if heartbeat.config_revision <= config_revision:
      asked_at = heartbeat.echo - heartbeat.platform_age_s
      known_at = self._told_platform_at
      self._told_platform_at = max(known_at or asked_at, asked_at)

  def get_own_store_age(self, now: Seconds) -> Seconds | None:
    """Returns the time since this node itself reached the platform."""
    if self._own_platform_at is None:
      return None
    return now - self._own_platform_at

  def get_reported_store_age(self, now: Seconds) -> Seconds | None:
    """Returns the time since the platform of which other nodes have told all.

    What happened there before, this node knows from them.
    """
    if self._told_platform_at is None:
      return None
    return now - self._told_platform_at

  def get_echo(self, node: str) -> Seconds | None:
    """Returns what a heartbeat to a node must echo."""
    return self._echoes.get(node)

  def make_heartbeat(
    self,
    receiver: str,
    platform_age_s: Seconds | None,
    config_revision: int,
    digest: int,
    now: Seconds,
  ) -> messages.Heartbeat:
    """Makes a heartbeat of this node.

    Args:
      receiver: Name of the node that gets it; its last one is echoed.
      platform_age_s: Time since the platform was reached.
      config_revision: Revision of the newest change applied.
      digest: Digest of the reports that this node knows.
      now: Monotonic time.
    """
    return messages.Heartbeat(
      node=self.own_member.node,
      zone=self.own_member.zone,
      state=self.own_member.state,
      caller_address=self.own_member.caller_address,
      peer_address=self.own_member.peer_address,
      platform_age_s=platform_age_s,
      config_revision=config_revision,
      digest=digest,
      sent_at=now,
      echo=self.get_echo(receiver),
      capacity=self.own_member.capacity,
      demand=self.own_member.demand,
    )

  def get_store_age(self, now: Seconds) -> Seconds | None:
    """Returns the time since any known node reached the platform."""
    ages = (self.get_own_store_age(now), self.get_reported_store_age(now))
    return min((age_s for age_s in ages if age_s is not None), default=None)

  def list_others(self) -> list[Member]:
    """Lists the other nodes, whether alive or not, by name."""
    known = self._registered | self._heard
    known.pop(self.own_member.node, None)
    return [known[name] for name in sorted(known)]

  def is_alive(self, node: str, now: Seconds) -> bool:
    """True when a node was heard a short time ago."""
    if node == self.own_member.node:
      return True
    heard_at = self._heard_at.get(node)
    if heard_at is None:
      return False
    return now - heard_at < self._alive_s

  def list_serving(self, now: Seconds) -> list[Member]:
    """Lists the nodes that are alive and not leaving, this one included."""
    others = [
      member
      for member in self.list_others()
      if member.state == SERVING and self.is_alive(member.node, now)
    ]
    own = [self.own_member] if self.own_member.state == SERVING else []
    return own + others

  def is_partial_mesh(self) -> bool:
    """True when news reaches some nodes only by way of others."""
    return len(self.list_others()) >= MAX_FULL_MESH_NODES

  def list_neighbours(self) -> list[Member]:
    """Lists the nodes that get this one's heartbeats and news.

    A small fleet is a full mesh, a large one a ring with chords.
    """
    return choose_neighbours(self.own_member, self.list_others())

  def assess_contact(self, now: Seconds) -> StoreContact:
    """Assesses how current this node's knowledge can be.

    Args:
      now: The monotonic time.

    Returns:
      The contact. A node that was paused is isolated until it hears of the
      platform again.
    """
    age_s = self.get_store_age(now)
    if age_s is not None and age_s < self._freshness_limit_s:
      return StoreContact.CURRENT
    others = self.list_others()
    alive = sum(self.is_alive(member.node, now) for member in others)
    if alive == len(others):
      return StoreContact.OUTAGE_SEEN_BY_ALL
    if 2 * (alive + 1) > len(others) + 1:
      return StoreContact.OUTAGE_SEEN_BY_MOST
    return StoreContact.ISOLATED
