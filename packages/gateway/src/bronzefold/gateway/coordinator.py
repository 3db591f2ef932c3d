"""Exchange of heartbeats, changes and version counts between nodes."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import math
import random
from typing import Any

import anyio
import attrs

from bronzefold import peers
from bronzefold.core import clock
from bronzefold.core import evidence
from bronzefold.core.clock import Seconds
from bronzefold.gateway import backoff
from bronzefold.gateway import contact
from bronzefold.gateway import crashreports
from bronzefold.gateway import directory
from bronzefold.gateway import follower
from bronzefold.gateway import gateway as gateways
from bronzefold.gateway import relay
from bronzefold.gateway import replica
from bronzefold.gateway import rollouts
from bronzefold.gateway import tokens
from bronzefold.gateway import topology
from bronzefold.peers import membership
from bronzefold.peers import messages

HEARTBEAT_TIMEOUT_S = 1.3  # two heartbeat periods and the delay of a slow one
# Calls a second with which all spokes together look whether the store serves
# them, while it serves none of their hubs.
SPOKE_PROBES_PER_S = 10.0
# A watch of a store in which nothing changes takes 5 s.
MAX_REMOVAL_CONTACT_AGE_S = 8.0
# Nodes without hubs are many, and should not remove the same entries at once.
MAX_SPOKE_REMOVAL_RANK = 16
MIN_GREETING_PAUSE_S = 0.02  # more than a round trip between nodes
SYNC_RETRY_PAUSE_S = 0.4  # a reply takes a few ms; a lost one needs a retry
# Covers about the retry window of 10 s plus the stop limit of 6 s.
SHARE_WINDOW_S = 15.0
CORE_S_PER_SEND = 0.0003  # processor time of a send, see docs/CAPACITY.md

_DEMAND_SMOOTHING = 0.2  # a value's weight halves in three heartbeats


class FleetCoordinator:
  """Coordinates this node with the other nodes of the fleet.

  Exchanges heartbeats with the neighbours, forwards changes of the store to
  spokes, relays version counts, and computes this node's share of all limits.

  Attributes:
    relay: Serves requests of nodes that reach no upstream.
  """

  def __init__(
    self,
    members: membership.Membership,
    network: peers.PeerNetwork,
    store_replica: replica.Replica,
    gateway: gateways.Gateway,
    seeds: tuple[str, ...],
  ) -> None:
    """Creates a coordinator; ``run`` is a task.

    Args:
      members: The nodes of the fleet, this one included.
      network: Connections to the other nodes.
      store_replica: This node's replica of the store.
      gateway: Gateway whose share of the limits is set.
      seeds: Peer addresses to connect to while no other node is known.
    """
    self._members = members
    self._network = network
    self._replica = store_replica
    self._gateway = gateway
    self._seeds = seeds
    self._sync_requested_at = 0.0
    self._requested_version = 0
    self._greeted_at: dict[str, Seconds] = {}
    self._recent_members: dict[str, tuple[membership.Member, Seconds]] = {}
    self._recent_shares: collections.deque[tuple[Seconds, float]] = (
      collections.deque()
    )
    self._last_send_count = 0
    self._store_probes = backoff.SharedProbes(
      SPOKE_PROBES_PER_S, contact.UPDATE_TIMEOUT_S
    )
    self._directory = directory.EntryDirectory(members, HEARTBEAT_TIMEOUT_S)
    self._last_topology_inputs: tuple[tuple[str, str, float], ...] = ()
    self._topology = topology.Topology(is_hub=True, neighbours=())
    self._tokens = tokens.TokenExchange(
      members, network, gateway.upstreams, lambda: self._topology
    )
    gateway.token_source = self._tokens
    self.relay = relay.Relay(
      members,
      network,
      lambda: self._topology,
      gateway,
      self._request_configuration,
    )
    gateway.relay = self.relay
    self._crash_reports = crashreports.CrashReportExchange(
      network,
      gateway.suspects,
      gateway.upstreams,
      lambda: self._topology,
      members.own_member.node,
    )

  async def run(self) -> None:
    """Sends heartbeats until cancelled.

    Neighbours get one each period, new ones at once; spokes also get one at
    once when the replica has changed.
    """
    due_at = clock.read_monotonic()
    while True:
      now = clock.read_monotonic()
      if now >= due_at:
        self._run_periodic_work(now)
        due_at = now + contact.HEARTBEAT_PERIOD_S
      elif self._update_topology():
        self._update_connections()
        self._send_heartbeats(self._topology.neighbours, now)
      else:
        self._send_heartbeats(self._topology.receivers, now)
      update_event = self._replica.update_event
      with anyio.move_on_after(max(0.0, due_at - now)):
        await update_event.wait()

  def must_read_store(self, now: Seconds) -> bool:
    """Decides whether this node reads the store's changes itself.

    While the store seems to be down, nodes look now and then whether it is.

    Args:
      now: Monotonic time.
    """
    must_read = contact.must_read(self._members, self._topology, now)
    if must_read is None:
      node_count = len(self._members.list_others())
      return self._store_probes.try_start(node_count, random.random(), now)
    self._store_probes.reset()
    return must_read

  def get_watch_wait(self, now: Seconds) -> Seconds:
    """Returns how long a watch of this node waits for a change.

    Args:
      now: Monotonic time.
    """
    return contact.get_watch_wait(self._topology, self.get_write_rank(now))

  def get_write_rank(self, now: Seconds) -> int | None:
    """Returns how many live hubs write records before this node.

    Args:
      now: Monotonic time.

    Returns:
      The number of hubs; None if this node is not a hub.
    """
    if not self._topology.is_hub:
      return None
    own_name = self._members.own_member.node
    return sum(
      hub < own_name and self._members.is_alive(hub, now)
      for hub in self._topology.hubs
    )

  def get_removal_rank(self, now: Seconds) -> int | None:
    """Returns how many nodes remove entries of departed nodes before this one.

    Hubs do, and a node that has lost all its hubs.

    Args:
      now: Monotonic time.

    Returns:
      The number of nodes; None if this node does not remove entries, or has not
      reached the store lately, so that it may be the one that is cut off.
    """
    age_s = self._members.get_store_contact_age(now)
    if age_s is None or age_s > MAX_REMOVAL_CONTACT_AGE_S:
      return None
    rank = self.get_write_rank(now)
    if rank is not None:
      return rank
    if any(self._members.is_alive(hub, now) for hub in self._topology.hubs):
      return None
    own_hash = topology.hash_names(self._members.own_member.node, "")
    return own_hash[0] % MAX_SPOKE_REMOVAL_RANK

  def list_silent_nodes(self, now: Seconds) -> list[str]:
    """Lists the neighbours that are not alive.

    Args:
      now: Monotonic time.

    Returns:
      Their names.
    """
    return [
      member.node
      for member in self._topology.neighbours
      if not self._members.is_alive(member.node, now)
    ]

  def leave(self, now: Seconds) -> None:
    """Announces to all neighbours that this node leaves."""
    self._members.set_state(membership.LEAVING)
    self._send_heartbeats(self._topology.neighbours, now)

  def set_reach(self, is_lost: bool, now: Seconds) -> None:
    """Announces to all neighbours whether this node reaches upstreams.

    Args:
      is_lost: True if it reaches none.
      now: Monotonic time.
    """
    self._members.set_reach(not is_lost)
    self._send_heartbeats(self._topology.neighbours, now)

  def list_entry_addresses(self, now: Seconds) -> list[str]:
    """Lists the caller addresses of the entry nodes.

    Args:
      now: Monotonic time.
    """
    return self._directory.list_addresses(self._topology.is_hub, now)

  async def handle_message(self, sender: str, message: Any) -> None:
    """Handles a message of another node.

    Args:
      sender: Name of the node that sent it.
      message: The decoded message; types that the gateway does not use are
        ignored.
    """
    now = clock.read_monotonic()
    if isinstance(message, messages.Heartbeat):
      self._handle_heartbeat(sender, message, now)
    elif isinstance(message, messages.SyncRequest):
      self._network.send(
        sender, self._replica.make_changes_message(message.after)
      )
    elif isinstance(message, messages.Changes):
      self._replica.apply_peer_changes(message, now)
    elif isinstance(message, messages.Samples):
      self._handle_version_counts(sender, message, now)
    elif isinstance(message, messages.RateLimitNotice):
      self._tokens.handle_notice(message, now)
    elif isinstance(message, messages.TokenRequest):
      self._tokens.handle_request(sender, message, now)
    elif isinstance(message, messages.TokenGrant):
      self._tokens.handle_grant(message, now)
    elif isinstance(message, relay.RelayedRequest):
      await self.relay.handle_request(sender, message, now)
    elif isinstance(message, messages.Cancel):
      self.relay.cancel(message.request)
    elif isinstance(message, messages.CrashReports):
      self._crash_reports.handle_message(message, now)

  def _run_periodic_work(self, now: Seconds) -> None:
    self._update_topology()
    self._update_connections()
    self._update_demand()
    if self._replica.revision:
      self._update_share(now)
    if self._topology.is_hub:
      self._gateway.rollouts.advance(now)
    self._send_heartbeats(self._topology.neighbours, now)
    self._send_version_counts(now)
    self._crash_reports.repeat(now)
    if not self._topology.neighbours:
      self._send_heartbeats_to_connected(now)
    if not self._replica.revision:
      self._request_sync(self._network.list_linked(), now)

  def _update_topology(self) -> bool:
    """Plans the topology again if the known nodes have changed.

    Returns:
      True if they have.
    """
    others = self._members.list_others()
    inputs = tuple((m.node, m.zone, m.capacity) for m in others)
    if inputs == self._last_topology_inputs:
      return False
    self._last_topology_inputs = inputs
    self._topology = topology.plan_topology(self._members.own_member, others)
    return True

  def _handle_heartbeat(
    self, sender: str, heartbeat: messages.Heartbeat, now: Seconds
  ) -> None:
    if heartbeat.node != sender or sender == self._members.own_member.node:
      return
    was_alive = self._members.is_alive(sender, now)
    is_known = self._members.get_echo(sender) is not None
    self._members.record_heartbeat(heartbeat, self._replica.revision)
    for status in heartbeat.rollouts:
      self._gateway.rollouts.merge_status(status, now)
    if heartbeat.entry_addresses:
      self._directory.record_report(sender, heartbeat.entry_addresses, now)
    self._network.connect(sender, heartbeat.peer_address)
    has_restarted = is_known and heartbeat.echo is None
    if has_restarted:
      self._network.renew(sender)
    if not was_alive or heartbeat.echo is None:
      self._greet(sender, now)
    if heartbeat.echo is None:
      self._crash_reports.greet(sender, now)
    age_s = self._members.get_own_store_contact_age(now)
    is_stale = age_s is None or age_s > follower.MAX_STORE_AGE_S
    if is_stale and self._replica.needs_listing(now):
      self._request_sync([sender], now, after=0)
    elif is_stale and heartbeat.config_revision > self._replica.revision:
      self._request_sync([sender], now)

  def _greet(self, node: str, now: Seconds) -> None:
    """Answers a node that has started or returned, not at the next period.

    Each then knows with one round trip that the other is alive.
    """
    if now - self._greeted_at.get(node, -math.inf) >= MIN_GREETING_PAUSE_S:
      self._greeted_at[node] = now
      self._network.send(node, self._make_heartbeat(node, now))

  def _handle_version_counts(
    self, sender: str, samples: messages.Samples, now: Seconds
  ) -> None:
    counts = evidence.ExchangeCounts(samples.good, samples.failed, samples.slow)
    version_counts = rollouts.VersionCounts(
      samples.service, samples.version, samples.route, counts
    )
    should_relay = self._topology.is_hub and sender not in self._topology.hubs
    self._gateway.rollouts.add_peer_counts(version_counts, should_relay, now)

  def _send_version_counts(self, now: Seconds) -> None:
    """Sends new version counts: a hub to all linked hubs, others to one hub."""
    hubs = [
      member.node
      for member in self._topology.neighbours
      if member.node in self._topology.hubs
    ]
    alive_hubs = [hub for hub in hubs if self._members.is_alive(hub, now)]
    targets = hubs if self._topology.is_hub else (alive_hubs or hubs)[:1]
    for version_counts in self._gateway.rollouts.pop_unsent_counts():
      counts = version_counts.counts
      samples = messages.Samples(
        version_counts.service,
        version_counts.version,
        version_counts.route,
        counts.good,
        counts.failed,
        counts.slow,
      )
      for node in targets:
        self._network.send(node, samples)

  def _request_sync(
    self, nodes: Iterable[str], now: Seconds, after: int | None = None
  ) -> None:
    """Requests missing changes unless that was done a short time ago.

    Args:
      nodes: Names of the nodes to ask.
      now: Monotonic time.
      after: Revision after which changes are missing; None for that of the
        replica.
    """
    if now - self._sync_requested_at < SYNC_RETRY_PAUSE_S:
      return
    self._sync_requested_at = now
    if after is None:
      after = self._replica.revision
    request = messages.SyncRequest(after, reports=False)
    for node in nodes:
      self._network.send(node, request)

  def _request_configuration(self, node: str, version: int) -> None:
    """Requests missing changes, for a newer version at once.

    Args:
      node: Name of the node to ask.
      version: Version of the configuration that this node lacks.
    """
    if version > self._requested_version:
      self._requested_version = version
      self._sync_requested_at = -math.inf
    self._request_sync([node], clock.read_monotonic())

  def _update_demand(self) -> None:
    """Estimates how many processor cores this node's requests use."""
    sent = self._gateway.send_count - self._last_send_count
    self._last_send_count = self._gateway.send_count
    current = sent * CORE_S_PER_SEND / contact.HEARTBEAT_PERIOD_S
    previous = self._members.own_member.demand
    demand = previous + _DEMAND_SMOOTHING * (current - previous)
    self._members.set_demand(round(demand, 4))

  def _update_share(self, now: Seconds) -> None:
    """Sets the gateway's share to the smallest in ``SHARE_WINDOW_S``.

    When this node's share grows, other nodes may for ``SHARE_WINDOW_S`` still
    use the part of the limits that it did not have before. Nodes known within
    that window are counted, since they may still use their shares.

    Args:
      now: Monotonic time.
    """
    own_member = self._members.own_member
    self._recent_members.update(
      (member.node, (member, now)) for member in self._members.list_others()
    )
    self._recent_members = {
      node: (member, seen_at)
      for node, (member, seen_at) in self._recent_members.items()
      if now - seen_at < SHARE_WINDOW_S
    }
    recent = [member for member, _ in self._recent_members.values()]
    demand = directory.sum_demand(self._members.list_serving(now))
    share = topology.compute_limit_share(
      own_member, [own_member, *recent], demand
    )
    self._recent_shares.append((now, share))
    while now - self._recent_shares[0][0] >= SHARE_WINDOW_S:
      self._recent_shares.popleft()
    self._gateway.set_limit_share(
      min(share for _, share in self._recent_shares)
    )

  def _send_heartbeats(
    self, targets: Iterable[membership.Member], now: Seconds
  ) -> None:
    spokes = {member.node for member in self._topology.spokes}
    entry_addresses = tuple(self.list_entry_addresses(now)) if spokes else ()
    for member in targets:
      heartbeat = self._make_heartbeat(member.node, now)
      if member.node in spokes:
        heartbeat = attrs.evolve(heartbeat, entry_addresses=entry_addresses)
      self._network.send(member.node, heartbeat)

  def _send_heartbeats_to_connected(self, now: Seconds) -> None:
    """Sends heartbeats to all connected nodes while no neighbour is known."""
    for node in self._network.list_linked():
      self._network.send(node, self._make_heartbeat(node, now))

  def _make_heartbeat(self, receiver: str, now: Seconds) -> messages.Heartbeat:
    age_s = contact.get_stated_age(self._members, self._topology, now)
    heartbeat = self._members.make_heartbeat(
      receiver, age_s, self._replica.effective_revision, 0, now
    )
    statuses = self._gateway.rollouts.list_statuses(now)
    return attrs.evolve(heartbeat, rollouts=statuses) if statuses else heartbeat

  def _update_connections(self) -> None:
    """Connects to the neighbours, or to the seeds while there are none."""
    addresses = {
      member.node: member.peer_address for member in self._topology.neighbours
    }
    own_address = self._members.own_member.peer_address
    seeds = [seed for seed in self._seeds if seed != own_address]
    self._network.update_links(addresses, seeds)
