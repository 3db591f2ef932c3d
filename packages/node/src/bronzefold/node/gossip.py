"""Exchange of heartbeats, reports and changes with the other nodes."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio

from bronzefold import peers
from bronzefold.core import clock
from bronzefold.core import evidence
from bronzefold.core import quarantine
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

# Least time between repeats of what a node knows of suspected searches.
_REPORT_PERIOD_S = 2.0

_Handler = Callable[["Gossip", str, Any], Awaitable[None]]
_HANDLERS: dict[type, _Handler] = {}


def register_handler(message_type: type) -> Callable[[_Handler], _Handler]:
  """Registers the method that handles a type of message."""

  def decorate(handle: _Handler) -> _Handler:
    _HANDLERS[message_type] = handle
    return handle

  return decorate


class Gossip:
  """Replicates state between the nodes, also while the store is down."""

  def __init__(
    self,
    node_settings: settings.Settings,
    config: configuration.Configuration,
    upstream_directory: directory.UpstreamDirectory,
    members: membership.Membership,
    network: peers.PeerNetwork,
    version_router: versions.VersionRouter,
    dispatcher: dispatch.Dispatcher,
    burn_recorder: burn.BurnRecorder,
    suspects: quarantine.Quarantine,
  ) -> None:
    """Creates the gossip of this node; ``run`` sends heartbeats.

    Args:
      node_settings: Settings of this node.
      config: The configuration in force.
      upstream_directory: Reports of upstreams.
      members: The nodes of the fleet.
      network: Links to the other nodes.
      version_router: Records suspicions and exchanges of versions.
      dispatcher: Runs the calls of other nodes.
      burn_recorder: Request counts for the burn report.
      suspects: Searches that are suspected of crashing upstreams.
    """
    self._settings = node_settings
    self._config = config
    self._directory = upstream_directory
    self._members = members
    self._network = network
    self._version_router = version_router
    self._dispatcher = dispatcher
    self._burn_recorder = burn_recorder
    self._suspects = suspects
    self._reports_repeated_at: clock.Seconds = 0.0
    suspects.on_change = self._publish_crash_report
    suspects.node = node_settings.node
    self._nodes_with_other_digest: set[str] = set()
    config.add_listener(self._apply_registration)

  async def run(self) -> None:
    """Sends heartbeats until cancelled."""
    while True:
      self._connect_members()
      self.send_heartbeats()
      self._repeat_crash_reports(clock.read_monotonic())
      self._request_initial_sync()
      await anyio.sleep(self._settings.heartbeat_s)

  def send_heartbeats(self) -> None:
    """Sends a heartbeat to each neighbour, or to the seeds if there is none."""
    targets = [member.node for member in self._members.list_neighbours()]
    for node in targets or self._list_seeds():
      self._network.send(node, self._make_heartbeat(node))

  def publish(self, message: Any) -> None:
    """Sends an update to all neighbours.

    In a partial mesh they relay it if it is new to them.
    """
    for member in self._members.list_neighbours():
      self._network.send(member.node, message)

  def _publish_crash_report(
    self, report: quarantine.CrashReport, now: clock.Seconds
  ) -> None:
    del now
    self.publish(messages.CrashReports((report,)))

  async def handle(self, sender: str, message: Any) -> None:
    """Handles a message from another node; unknown types are ignored."""
    handler = _HANDLERS.get(type(message))
    if handler is not None:
      await handler(self, sender, message)

  def _make_heartbeat(self, receiver: str) -> messages.Heartbeat:
    now = clock.read_monotonic()
    return self._members.make_heartbeat(
      receiver,
      self._members.get_store_contact_age(now),
      self._config.revision,
      self._directory.digest,
      now,
    )

  def _connect_members(self) -> None:
    addresses = {
      member.node: member.peer_address for member in self._members.list_others()
    }
    own_address = self._settings.peer_address
    seeds = [seed for seed in self._settings.seed_peers if seed != own_address]
    self._network.update_links(addresses, seeds)
    self._nodes_with_other_digest &= addresses.keys()

  def _list_seeds(self) -> list[str]:
    connected = self._network.list_linked()
    return [
      node for node in connected if node.startswith(links.SEED_LINK_PREFIX)
    ]

  def _request_initial_sync(self) -> None:
    if self._config.revision == 0:
      for node in self._network.list_linked():
        self._network.send(node, messages.SyncRequest(0, True))

  def _apply_registration(self, entry: Any) -> None:
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
    if heartbeat.node != sender or sender == self._settings.node:
      return
    self._members.record_heartbeat(heartbeat, self._config.revision)
    if heartbeat.echo is None:
      self._send_crash_reports(sender)
    self._network.connect(sender, heartbeat.peer_address)
    is_behind = heartbeat.config_revision > self._config.revision
    lacks_reports = self._has_lasting_difference(heartbeat)
    if is_behind or lacks_reports:
      request = messages.SyncRequest(self._config.revision, lacks_reports)
      self._network.send(sender, request)

  def _has_lasting_difference(self, heartbeat: messages.Heartbeat) -> bool:
    """True when the digest differs in two successive heartbeats of a node.

    A single difference may be an update that is still in transit.
    """
    if self._settings.direct or heartbeat.digest == self._directory.digest:
      self._nodes_with_other_digest.discard(heartbeat.node)
      return False
    if heartbeat.node not in self._nodes_with_other_digest:
      self._nodes_with_other_digest.add(heartbeat.node)
      return False
    self._nodes_with_other_digest.discard(heartbeat.node)
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
      for update in [
        *self._directory.list_manifests(),
        *self._directory.list_reports(),
      ]:
        self._network.send(sender, update)

  @register_handler(messages.Changes)
  async def _on_changes(self, _: str, changes: messages.Changes) -> None:
    self._config.apply_changes(changes.entries, changes.revision)

  @register_handler(messages.UpstreamReport)
  async def _on_report(self, _: str, report: messages.UpstreamReport) -> None:
    if self._settings.direct:
      return
    if (
      self._directory.record_report(report) and self._members.is_partial_mesh()
    ):
      self.publish(report)

  @register_handler(messages.ManifestReport)
  async def _on_manifest(self, _: str, report: messages.ManifestReport) -> None:
    is_new = self._directory.record_manifest(report.service, report.manifest)
    if is_new and self._members.is_partial_mesh():
      self.publish(report)

  @register_handler(messages.Suspicion)
  async def _on_suspicion(self, _: str, suspicion: messages.Suspicion) -> None:
    rollout = versions.Rollout(
      suspicion.service, suspicion.version, suspicion.start, suspicion.by
    )
    is_new = self._version_router.record_suspicion(rollout, suspicion.reason)
    if is_new and self._members.is_partial_mesh():
      self.publish(suspicion)

  def _repeat_crash_reports(self, now: clock.Seconds) -> None:
    """Tells nodes that were cut off which searches are suspected."""
    if now - self._reports_repeated_at < _REPORT_PERIOD_S:
      return
    self._reports_repeated_at = now
    reports = self._suspects.list_reports(now)
    if reports:
      self.publish(messages.CrashReports(tuple(reports)))

  def _send_crash_reports(self, node: str) -> None:
    """Tells a node that has just started which searches are suspected."""
    reports = self._suspects.list_reports(clock.read_monotonic())
    if reports:
      self._network.send(node, messages.CrashReports(tuple(reports)))

  @register_handler(messages.CrashReports)
  async def _on_crash_reports(
    self, _: str, message: messages.CrashReports
  ) -> None:
    for report in message.reports:
      self._suspects.merge(report, clock.read_monotonic())

  @register_handler(messages.Samples)
  async def _on_samples(self, _: str, samples: messages.Samples) -> None:
    self._version_router.record_counts(
      samples.service,
      samples.version,
      samples.route,
      evidence.ExchangeCounts(samples.good, samples.failed, samples.slow),
      clock.read_monotonic(),
    )

  @register_handler(messages.BurnCounts)
  async def _on_burn_counts(
    self, _: str, burn_counts: messages.BurnCounts
  ) -> None:
    self._burn_recorder.record_counts(
      burn_counts.service, burn_counts.route, burn_counts.counts
    )

  @register_handler(messages.Call)
  async def _on_call(self, sender: str, call: messages.Call) -> None:
    await self._dispatcher.run_peer_call(sender, call)

  @register_handler(messages.Cancel)
  async def _on_cancel(self, _: str, cancel: messages.Cancel) -> None:
    self._dispatcher.cancel_peer_call(cancel.request)
