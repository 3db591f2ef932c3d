"""Selection of the upstreams and the snapshot for a request."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

import attrs

from bronzefold.core import documents
from bronzefold.core import ranges
from bronzefold.core.clock import Seconds
from bronzefold.node import configuration
from bronzefold.node import directory
from bronzefold.node import routing
from bronzefold.peers import membership
from bronzefold.peers import messages


@attrs.frozen
class UsableUpstream:
  """An upstream that may get new requests, with its newest report.

  Attributes:
    entry: Entry of the upstream in its service's document.
    report: Newest report of the upstream's owner.
  """

  entry: documents.UpstreamEntry
  report: messages.UpstreamReport

  def list_shards(self, snapshot: int) -> tuple[int, ...]:
    """Lists the shards of a snapshot that the upstream holds."""
    for served in self.report.state.snapshots:
      if served.snapshot == snapshot:
        return served.shards
    return ()


@attrs.frozen
class PinnedSnapshot:
  """The snapshot from which a search reads all its parts.

  Attributes:
    manifest: The snapshot's manifest.
    upstreams_by_shard: Usable upstreams that hold each shard; a shard that no
      usable upstream holds is absent.
  """

  manifest: ranges.Manifest
  upstreams_by_shard: dict[int, tuple[UsableUpstream, ...]]


class Selector:
  """Selects upstreams by the documents and the reports of their owners."""

  def __init__(
    self,
    config: configuration.Configuration,
    upstream_directory: directory.UpstreamDirectory,
    members: membership.Membership,
    is_rolled_back: Callable[[str, str], bool],
  ) -> None:
    """Creates a selector.

    Args:
      config: The configuration in force.
      upstream_directory: Reports of upstreams.
      members: The nodes of the fleet.
      is_rolled_back: Called with a service and a version; returns whether the
        version must get no traffic.
    """
    self._config = config
    self._upstream_directory = upstream_directory
    self._members = members
    self._is_rolled_back = is_rolled_back
    self._leaving_addresses: frozenset[str] = frozenset()

  def set_leaving_addresses(self, addresses: Iterable[str]) -> None:
    """Sets the IP addresses of the VMs that the store lists as leaving."""
    self._leaving_addresses = frozenset(addresses)

  def get_zone_state(self, document: documents.Document, zone: str) -> str:
    """Returns the state of an availability zone for a service.

    Args:
      document: The service's document.
      zone: Name of the zone.

    Returns:
      "out" if the zone is out for all services or for this one, or if the
      document does not list it; otherwise "in".
    """
    if self._config.zones.get(zone) == "out":
      return "out"
    return document.zones.get(zone, "out")

  def is_eligible(
    self, document: documents.Document, entry: documents.UpstreamEntry
  ) -> bool:
    """Returns whether an upstream may get new requests.

    Args:
      document: The service's document.
      entry: Entry of the upstream in the document.

    Returns:
      False if the upstream or its VM is leaving, its zone is out, or its
      version must get no traffic; otherwise True.
    """
    host = entry.address.partition(":")[0]
    return (
      not entry.leaving
      and host not in self._leaving_addresses
      and self.get_zone_state(document, entry.zone) == "in"
      and not self._is_rolled_back(document.service, entry.version)
    )

  def list_usable(
    self, document: documents.Document, now: Seconds
  ) -> list[UsableUpstream]:
    """Lists the upstreams of a service that may get new requests.

    Args:
      document: The service's document.
      now: Monotonic time, in seconds.

    Returns:
      Upstreams that are eligible, up, not draining, and owned by a node that
      is alive.
    """
    usable = (
      UsableUpstream(entry, report)
      for entry in document.upstreams
      if self.is_eligible(document, entry)
      and (report := self._upstream_directory.get_report(entry.name))
      is not None
    )
    return [
      upstream
      for upstream in usable
      if self._is_available(upstream.report, now)
    ]

  def _is_available(
    self, report: messages.UpstreamReport, now: Seconds
  ) -> bool:
    state = report.state
    if not state.up or state.draining:
      return False
    return self._members.is_alive(report.owner, now)

  def make_candidate(
    self, upstream: UsableUpstream, planned_requests: float, now: Seconds
  ) -> routing.Candidate:
    """Creates the candidate that describes an upstream to a routing policy.

    Args:
      upstream: The upstream.
      planned_requests: Requests to the upstream that are planned but not yet
        sent.
      now: Monotonic time, in seconds.

    Returns:
      The candidate.
    """
    name = upstream.entry.name
    return routing.Candidate(
      upstream=name,
      version=upstream.entry.version,
      same_zone=upstream.entry.zone == self._members.own_member.zone,
      load=self._upstream_directory.get_load(name, now) + planned_requests,
      limit=upstream.report.state.limit,
      latency_s=upstream.report.state.latency_s,
    )


def pin_snapshot(
  usable: Collection[UsableUpstream],
  manifests: dict[int, ranges.Manifest],
  newer_than: int = -1,
) -> PinnedSnapshot | None:
  """Chooses the snapshot for a search.

  Args:
    usable: The usable upstreams of the service.
    manifests: Manifests by the number of their snapshot.
    newer_than: Only snapshots with a higher number are considered.

  Returns:
    The newest snapshot of which the upstreams hold every shard. If there is
    none, the snapshot of which they hold the largest share of records. None
    if they hold no shard of any snapshot.
  """
  pinned_snapshots = [
    _make_pinned_snapshot(usable, manifests[snapshot])
    for snapshot in sorted(manifests, reverse=True)
    if snapshot > newer_than
  ]
  pinned_snapshots = [
    pinned for pinned in pinned_snapshots if pinned.upstreams_by_shard
  ]
  complete = [
    pinned
    for pinned in pinned_snapshots
    if len(pinned.upstreams_by_shard) == len(pinned.manifest.shards)
  ]
  if complete:
    return complete[0]
  return max(pinned_snapshots, key=_compute_covered_share, default=None)


def _make_pinned_snapshot(
  usable: Collection[UsableUpstream], manifest: ranges.Manifest
) -> PinnedSnapshot:
  manifest_shards = {entry.shard for entry in manifest.shards}
  upstreams_by_shard: dict[int, list[UsableUpstream]] = {}
  for upstream in usable:
    for shard in upstream.list_shards(manifest.snapshot):
      if shard in manifest_shards:
        upstreams_by_shard.setdefault(shard, []).append(upstream)
  frozen = {
    shard: tuple(upstreams) for shard, upstreams in upstreams_by_shard.items()
  }
  return PinnedSnapshot(manifest, frozen)


def _compute_covered_share(pinned: PinnedSnapshot) -> float:
  covered_records = sum(
    entry.records
    for entry in pinned.manifest.shards
    if entry.shard in pinned.upstreams_by_shard
  )
  return covered_records / max(1, pinned.manifest.records)
