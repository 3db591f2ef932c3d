"""Heartbeats between nodes, and what they tell: who runs, what has changed."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import anyio

from bronzefold import peers
from bronzefold.core import clock
from bronzefold.core.clock import Seconds
from bronzefold.gateway import following
from bronzefold.gateway import gateway as gateways
from bronzefold.gateway import replica
from bronzefold.peers import membership
from bronzefold.peers import messages

HEARTBEAT_S = 0.5  # 0.4 s cost 0.003 of the worth more in bytes between zones
ALIVE_S = 1.3  # two heartbeats and a slow one
SYNC_PAUSE_S = 1.0  # as often as the store would be asked
COUNTED_S = 15.0  # the users' window of 10 s and their stop limit of 6 s
MAX_ADDRESSES = 64  # the users' limit


class Fleet:
  """Knows which nodes run, and passes changes on to those cut off."""

  def __init__(
    self,
    members: membership.Membership,
    network: peers.PeerNetwork,
    copy: replica.Replica,
    gateway: gateways.Gateway,
    seeds: tuple[str, ...],
  ) -> None:
    """Creates a fleet; ``run`` sends heartbeats.

    Args:
      members: The nodes.
      network: Links to the nodes.
      copy: This node's copy of the store.
      gateway: Is told how many nodes share its limits.
      seeds: Peer addresses to try while no other node is known.
    """
    self._members = members
    self._network = network
    self._copy = copy
    self._gateway = gateway
    self._seeds = seeds
    self._asked_at = 0.0
    self._last_known: dict[str, Seconds] = {}

  async def run(self) -> None:
    """Sends heartbeats until cancelled."""
    while True:
      now = clock.read_monotonic()
      self._connect()
      self._count_nodes(now)
      self._send_heartbeats(now)
      if not self._copy.revision:
        self._ask(self._network.list_connected(), now)
      await anyio.sleep(HEARTBEAT_S)

  def leave(self, now: Seconds) -> None:
    """Tells all neighbours at once that this node leaves."""
    self._members.set_state(membership.LEAVING)
    self._send_heartbeats(now)

  def list_addresses(self, now: Seconds) -> list[str]:
    """Lists where callers should send requests, at most 64 addresses."""
    serving = self._members.list_serving(now)
    return [member.caller_address for member in serving[:MAX_ADDRESSES]]

  async def handle(self, sender: str, message: Any) -> None:
    """Handles a message from another node."""
    now = clock.read_monotonic()
    if isinstance(message, messages.Heartbeat):
      self._take_heartbeat(sender, message, now)
    elif isinstance(message, messages.SyncRequest):
      entries = self._copy.list_changes(message.after)
      changes = messages.Changes(self._copy.revision, entries)
      self._network.send(sender, changes)
    elif isinstance(message, messages.Changes):
      self._copy.apply_changes(message.entries, message.revision, now)

  def _take_heartbeat(
    self, sender: str, heartbeat: messages.Heartbeat, now: Seconds
  ) -> None:
    if heartbeat.node != sender or sender == self._members.own.node:
      return
    self._members.record_heartbeat(heartbeat, self._copy.revision)
    self._network.connect(sender, heartbeat.peer_address)
    age_s = self._members.get_own_platform_age(now)
    is_stale = age_s is None or age_s > following.FRESH_S
    if is_stale and heartbeat.config_revision > self._copy.revision:
      self._ask([sender], now)

  def _ask(self, nodes: Iterable[str], now: Seconds) -> None:
    """Asks nodes for what this one lacks, not more often than a pause."""
    if now - self._asked_at < SYNC_PAUSE_S:
      return
    self._asked_at = now
    request = messages.SyncRequest(self._copy.revision, reports=False)
    for node in nodes:
      self._network.send(node, request)

  def _count_nodes(self, now: Seconds) -> None:
    """Counts nodes that were known lately: they may still use their shares."""
    self._last_known.update(
      (member.node, now) for member in self._members.list_others()
    )
    count = sum(now - seen < COUNTED_S for seen in self._last_known.values())
    if self._copy.revision:
      self._gateway.set_node_count(count + 1)

  def _send_heartbeats(self, now: Seconds) -> None:
    targets = [member.node for member in self._members.list_neighbours()]
    for node in targets or self._network.list_connected():
      self._network.send(node, self._make_heartbeat(node, now))

  def _make_heartbeat(self, receiver: str, now: Seconds) -> messages.Heartbeat:
    age_s = self._members.get_own_platform_age(now)
    return self._members.make_heartbeat(
      receiver, age_s, self._copy.revision, 0, now
    )

  def _connect(self) -> None:
    addresses = {
      member.node: member.peer_address for member in self._members.list_others()
    }
    own = self._members.own.peer_address
    seeds = [seed for seed in self._seeds if seed != own]
    self._network.connect_all(addresses, seeds)
