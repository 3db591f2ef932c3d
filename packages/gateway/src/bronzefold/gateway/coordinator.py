"""Heartbeats between nodes, and what they tell: who runs, what has changed."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Any

import anyio

from bronzefold import peers
from bronzefold.core import clock
from bronzefold.core import evidence
from bronzefold.core.clock import Seconds
from bronzefold.gateway import follower
from bronzefold.gateway import gateway as gateways
from bronzefold.gateway import replica
from bronzefold.gateway import rollouts
from bronzefold.gateway import topology
from bronzefold.peers import membership
from bronzefold.peers import messages

HEARTBEAT_S = 0.5  # 0.4 s cost 0.003 of the worth more in bytes between zones
ALIVE_TIMEOUT_S = 1.3  # two heartbeats and a slow one
# 0.8 s between watches, two heartbeats, 0.5 s to spare. After 1.9 s nodes read
# the store themselves although their hubs were well (26 calls where 24 may be).
HUB_SILENCE_S = 2.4
ASK_PAUSE_S = 0.4  # an answer takes some ms; a lost one is asked for again
COUNTED_S = 15.0  # the users' window of 10 s and their stop limit of 6 s
MAX_ADDRESSES = 64  # the users' limit
SEND_CORE_S = 0.0003  # processor time of a send, docs/CAPACITY.md

_DEMAND_GAIN = 0.2  # an old value counts half after three heartbeats


class FleetCoordinator:
  """Knows which nodes run, and passes changes on to those that need them."""

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
      gateway: Is told which part of the limits is this node's.
      seeds: Peer addresses to try while no other node is known.
    """
    self._members = members
    self._network = network
    self._copy = copy
    self._gateway = gateway
    self._seeds = seeds
    self._asked_at = 0.0
    self._last_known: dict[str, tuple[membership.Member, Seconds]] = {}
    self._shares: collections.deque[tuple[Seconds, float]] = collections.deque()
    self._counted_sends = 0
    self._planned_for: tuple[tuple[str, str, float], ...] = ()
    self._topology = topology.Topology(is_hub=True, neighbours=())

  async def run(self) -> None:
    """Sends heartbeats until cancelled, and at once to spokes on news."""
    due_at = clock.read_monotonic()
    while True:
      now = clock.read_monotonic()
      if now >= due_at:
        self._beat(now)
        due_at = now + HEARTBEAT_S
      else:
        self._send_heartbeats(self._topology.spokes, now)
      news = self._copy.update_event
      with anyio.move_on_after(max(0.0, due_at - now)):
        await news.wait()

  def is_updated_by_hubs(self, now: Seconds) -> bool:
    """True while hubs tell this node what the store holds."""
    age_s = self._members.get_reported_store_age(now)
    return (
      not self._topology.is_hub and age_s is not None and age_s < HUB_SILENCE_S
    )

  def get_write_rank(self, now: Seconds) -> int | None:
    """Returns how many hubs write before this node; None if it is no hub."""
    if not self._topology.is_hub:
      return None
    own = self._members.own_member.node
    return sum(
      hub < own and self._members.is_alive(hub, now)
      for hub in self._topology.hubs
    )

  def leave(self, now: Seconds) -> None:
    """Tells all neighbours at once that this node leaves."""
    self._members.set_state(membership.LEAVING)
    self._send_heartbeats(self._topology.neighbours, now)

  def list_entry_addresses(self, now: Seconds) -> list[str]:
    """Lists where callers should send requests, at most 64 addresses."""
    serving = self._members.list_serving(now)
    carriers = topology.choose_entry_nodes(serving, _sum_demand(serving))
    return [member.caller_address for member in carriers[:MAX_ADDRESSES]]

  async def handle_message(self, sender: str, message: Any) -> None:
    """Handles a message from another node."""
    now = clock.read_monotonic()
    if isinstance(message, messages.Heartbeat):
      self._take_heartbeat(sender, message, now)
    elif isinstance(message, messages.SyncRequest):
      self._network.send(sender, self._copy.make_changes(message.after))
    elif isinstance(message, messages.Changes):
      self._copy.apply_peer_changes(message, now)
    elif isinstance(message, messages.Samples):
      self._take_samples(sender, message, now)

  def _beat(self, now: Seconds) -> None:
    self._plan()
    self._connect()
    self._measure_demand()
    if self._copy.revision:
      self._update_share(now)
    self._send_heartbeats(self._topology.neighbours, now)
    self._send_samples()
    if not self._topology.neighbours:
      self._greet_seeds(now)
    if not self._copy.revision:
      self._ask(self._network.list_connected(), now)

  def _plan(self) -> None:
    others = self._members.list_others()
    known = tuple((m.node, m.zone, m.capacity) for m in others)
    if known != self._planned_for:
      self._planned_for = known
      self._topology = topology.plan_topology(self._members.own_member, others)

  def _take_heartbeat(
    self, sender: str, heartbeat: messages.Heartbeat, now: Seconds
  ) -> None:
    if heartbeat.node != sender or sender == self._members.own_member.node:
      return
    self._members.record_heartbeat(heartbeat, self._copy.revision)
    self._network.connect(sender, heartbeat.peer_address)
    age_s = self._members.get_own_store_age(now)
    is_stale = age_s is None or age_s > follower.MAX_STORE_AGE_S
    if is_stale and heartbeat.config_revision > self._copy.revision:
      self._ask([sender], now)

  def _take_samples(
    self, sender: str, samples: messages.Samples, now: Seconds
  ) -> None:
    counts = evidence.Counts(samples.good, samples.failed, samples.slow)
    observation = rollouts.Observation(
      samples.service, samples.version, samples.route, counts
    )
    passes_on = self._topology.is_hub and sender not in self._topology.hubs
    self._gateway.rollouts.add_observation(observation, passes_on, now)

  def _send_samples(self) -> None:
    """Tells what was observed of versions: a hub all hubs, others one hub."""
    hubs = [
      member.node
      for member in self._topology.neighbours
      if member.node in self._topology.hubs
    ]
    targets = hubs if self._topology.is_hub else hubs[:1]
    for told in self._gateway.rollouts.pop_unsent():
      counts = told.counts
      samples = messages.Samples(
        told.service,
        told.version,
        told.route,
        counts.good,
        counts.failed,
        counts.slow,
      )
      for node in targets:
        self._network.send(node, samples)

  def _ask(self, nodes: Iterable[str], now: Seconds) -> None:
    """Asks nodes for what this one lacks, not more often than a pause."""
    if now - self._asked_at < ASK_PAUSE_S:
      return
    self._asked_at = now
    request = messages.SyncRequest(self._copy.revision, reports=False)
    for node in nodes:
      self._network.send(node, request)

  def _measure_demand(self) -> None:
    """Estimates the cores that this node's requests take."""
    sent = self._gateway.send_count - self._counted_sends
    self._counted_sends = self._gateway.send_count
    present = sent * SEND_CORE_S / HEARTBEAT_S
    known = self._members.own_member.demand
    demand = known + _DEMAND_GAIN * (present - known)
    self._members.set_demand(round(demand, 4))

  def _update_share(self, now: Seconds) -> None:
    """Takes the least share of the last seconds.

    Others may have counted on the rest of the limits for as long. Nodes that
    were known lately may still use their shares.
    """
    own = self._members.own_member
    self._last_known.update(
      (member.node, (member, now)) for member in self._members.list_others()
    )
    self._last_known = {
      node: (member, seen_at)
      for node, (member, seen_at) in self._last_known.items()
      if now - seen_at < COUNTED_S
    }
    lately = [member for member, _ in self._last_known.values()]
    demand = _sum_demand(self._members.list_serving(now))
    share = topology.compute_limit_share(own, [own, *lately], demand)
    self._shares.append((now, share))
    while now - self._shares[0][0] >= COUNTED_S:
      self._shares.popleft()
    self._gateway.set_limit_share(min(share for _, share in self._shares))

  def _send_heartbeats(
    self, targets: Iterable[membership.Member], now: Seconds
  ) -> None:
    for member in targets:
      heartbeat = self._make_heartbeat(member.node, now)
      self._network.send(member.node, heartbeat)

  def _greet_seeds(self, now: Seconds) -> None:
    """Sends heartbeats to whoever there is while no other node is known."""
    for node in self._network.list_connected():
      self._network.send(node, self._make_heartbeat(node, now))

  def _make_heartbeat(self, receiver: str, now: Seconds) -> messages.Heartbeat:
    age_s = self._members.get_own_store_age(now)
    return self._members.make_heartbeat(
      receiver, age_s, self._copy.effective_revision, 0, now
    )

  def _connect(self) -> None:
    addresses = {
      member.node: member.peer_address for member in self._topology.neighbours
    }
    own = self._members.own_member.peer_address
    seeds = [seed for seed in self._seeds if seed != own]
    self._network.update_links(addresses, seeds)


def _sum_demand(members: Iterable[membership.Member]) -> float:
  return sum(member.demand for member in members)
