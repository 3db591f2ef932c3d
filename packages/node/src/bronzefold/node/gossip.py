"""Exchange of heartbeats, reports and changes with the other nodes."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio

from bronzefold import peers
from bronzefold.core import clock
from bronzefold.core import evidence
from bronzefold.core import settings
from bronzefold.node import burn
from bronzefold.node import configuration
from bronzefold.node import directory
from bronzefold.node import dispatch
from bronzefold.node import versions
from bronzefold.peers import links
from bronzefold.peers import membership
from bronzefold.peers import messages
from bronzefold.store import keys

_Handle = Callable[["Gossip", str, Any], Awaitable[None]]
_HANDLERS: dict[type, _Handle] = {}


def register_handler(message_type: type) -> Callable[[_Handle], _Handle]:
  """Registers the method that handles a type of message."""

  def decorate(handle: _Handle) -> _Handle:
    _HANDLERS[message_type] = handle
    return handle

  return decorate


class Gossip:
  """Keeps the nodes' knowledge alike, with and without the platform."""

  def __init__(
    self,
    own: settings.Settings,
    config: configuration.Configuration,
    known: directory.UpstreamDirectory,
    members: membership.Membership,
    network: peers.PeerNetwork,
    traffic: versions.VersionRouter,
    dispatcher: dispatch.Dispatcher,
    recorder: burn.BurnRecorder,
  ) -> None:
    """Creates a gossip; ``run`` sends heartbeats.

    Args:
      own: Settings of this node.
      config: The configuration in force.
      known: Reports of upstreams.
      members: The nodes.
      network: Links to the nodes.
      traffic: Suspicions and evidence about versions.
      dispatcher: Runs the calls of other nodes.
      recorder: Counts for the burn report.
    """
    self._own = own
    self._config = config
    self._known = known
    self._members = members
    self._network = network
    self._traffic = traffic
    self._dispatcher = dispatcher
    self._recorder = recorder
    self._differing: set[str] = set()
    config.add_listener(self._follow_registration)

  async def run(self) -> None:
    """Sends heartbeats until cancelled."""
    while True:
      self._connect()
      self.send_heartbeats()
      self._ask_when_empty()
      await anyio.sleep(self._own.heartbeat_s)

  def send_heartbeats(self) -> None:
    """Sends a heartbeat to each neighbour."""
    targets = [member.node for member in self._members.list_neighbours()]
    for node in targets or self._list_seeds():
      self._network.send(node, self._make_heartbeat(node))

  def publish(self, message: Any) -> None:
    """Sends news to all neighbours, which pass it on if it is news to them."""
    for member in self._members.list_neighbours():
      self._network.send(member.node, message)

  async def handle(self, sender: str, message: Any) -> None:
    """Handles a message from another node."""
    handler = _HANDLERS.get(type(message))
    if handler is not None:
      await handler(self, sender, message)

  def _make_heartbeat(self, receiver: str) -> messages.Heartbeat:
    now = clock.read_monotonic()
    return self._members.make_heartbeat(
      receiver,
      self._members.get_store_age(now),
      self._config.revision,
      self._known.digest,
      now,
    )

  def _connect(self) -> None:
    addresses = {
      member.node: member.peer_address for member in self._members.list_others()
    }
    own = self._own.peer_address
    seeds = [seed for seed in self._own.seed_peers if seed != own]
    self._network.update_links(addresses, seeds)
    self._differing &= addresses.keys()

  def _list_seeds(self) -> list[str]:
    connected = self._network.list_connected()
    return [
      node for node in connected if node.startswith(links.SEED_LINK_PREFIX)
    ]

  def _ask_when_empty(self) -> None:
    if self._config.revision == 0:
      for node in self._network.list_connected():
        self._network.send(node, messages.SyncRequest(0, True))

  def _follow_registration(self, entry: Any) -> None:
    prefix = keys.NODE_PREFIX
    if not entry.key.startswith(prefix):
      return
    node = entry.key.removeprefix(prefix)
    member = self._config.nodes.get(node)
    if member is None:
      self._members.unregister(node)
    else:
      self._members.register(member)

  @register_handler(messages.Heartbeat)
  async def _on_heartbeat(
    self, sender: str, heartbeat: messages.Heartbeat
  ) -> None:
    if heartbeat.node != sender or sender == self._own.node:
      return
    self._members.record_heartbeat(heartbeat, self._config.revision)
    self._network.connect(sender, heartbeat.peer_address)
    behind = heartbeat.config_revision > self._config.revision
    lacking = self._differs_for_long(heartbeat)
    if behind or lacking:
      request = messages.SyncRequest(self._config.revision, lacking)
      self._network.send(sender, request)

  def _differs_for_long(self, heartbeat: messages.Heartbeat) -> bool:
    """True when two heartbeats in a row show other reports than known here.

    A single difference may be news that is still on its way.
    """
    if self._own.direct or heartbeat.digest == self._known.digest:
      self._differing.discard(heartbeat.node)
      return False
    if heartbeat.node not in self._differing:
      self._differing.add(heartbeat.node)
      return False
    self._differing.discard(heartbeat.node)
    return True

  @register_handler(messages.SyncRequest)
  async def _on_sync_request(
    self, sender: str, request: messages.SyncRequest
  ) -> None:
    entries = self._config.list_changes(request.after)
    if self._config.revision > request.after:
      changes = messages.Changes(self._config.revision, entries)
      self._network.send(sender, changes)
    if request.reports:
      for news in [*self._known.list_manifests(), *self._known.list_reports()]:
        self._network.send(sender, news)

  @register_handler(messages.Changes)
  async def _on_changes(self, _: str, changes: messages.Changes) -> None:
    self._config.apply_changes(changes.entries, changes.revision)

  @register_handler(messages.UpstreamReport)
  async def _on_report(self, _: str, report: messages.UpstreamReport) -> None:
    if self._own.direct:
      return
    if self._known.record_report(report) and self._members.is_partial_mesh():
      self.publish(report)

  @register_handler(messages.ManifestReport)
  async def _on_manifest(self, _: str, report: messages.ManifestReport) -> None:
    news = self._known.record_manifest(report.service, report.manifest)
    if news and self._members.is_partial_mesh():
      self.publish(report)

  @register_handler(messages.Suspicion)
  async def _on_suspicion(self, _: str, suspicion: messages.Suspicion) -> None:
    move = versions.Rollout(
      suspicion.service, suspicion.version, suspicion.start, suspicion.by
    )
    news = self._traffic.record_suspicion(move, suspicion.reason)
    if news and self._members.is_partial_mesh():
      self.publish(suspicion)

  @register_handler(messages.Samples)
  async def _on_samples(self, _: str, samples: messages.Samples) -> None:
    self._traffic.record_counts(
      samples.service,
      samples.version,
      samples.route,
      evidence.Counts(samples.good, samples.failed, samples.slow),
      clock.read_monotonic(),
    )

  @register_handler(messages.BurnCounts)
  async def _on_burn(self, _: str, burnt: messages.BurnCounts) -> None:
    self._recorder.record_counts(burnt.service, burnt.route, burnt.counts)

  @register_handler(messages.Call)
  async def _on_call(self, sender: str, call: messages.Call) -> None:
    await self._dispatcher.run_peer_call(sender, call)

  @register_handler(messages.Cancel)
  async def _on_cancel(self, _: str, cancel: messages.Cancel) -> None:
    self._dispatcher.cancel_peer_call(cancel.request)
