"""Which upstreams may serve a request, and from which snapshot."""

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
  """An upstream that may get new work, with its newest report.

  Attributes:
    entry: The upstream in its service's document.
    report: Its owner's newest report.
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
  """The snapshot that a whole query reads.

  Attributes:
    manifest: The snapshot's manifest.
    holders: Usable upstreams by shard.
  """

  manifest: ranges.Manifest
  holders: dict[int, tuple[UsableUpstream, ...]]


class Selector:
  """Finds the upstreams that the documents and reports allow."""

  def __init__(
    self,
    config: configuration.Configuration,
    known: directory.UpstreamDirectory,
    members: membership.Membership,
    is_suspected: Callable[[str, str], bool],
  ) -> None:
    """Creates a selector.

    Args:
      config: The configuration in force.
      known: Reports of upstreams.
      members: The nodes.
      is_suspected: Tells whether a service's version must get no traffic.
    """
    self._config = config
    self._known = known
    self._members = members
    self._is_suspected = is_suspected
    self._leaving_addresses: frozenset[str] = frozenset()

  def set_leaving_addresses(self, addresses: Iterable[str]) -> None:
    """Takes over the IP numbers of VMs that the platform says are leaving."""
    self._leaving_addresses = frozenset(addresses)

  def get_zone_state(self, document: documents.Document, zone: str) -> str:
    """Returns "out" if a zone is out for a service or for all services."""
    if self._config.zones.get(zone) == "out":
      return "out"
    return document.zones.get(zone, "out")

  def is_eligible(
    self, document: documents.Document, entry: documents.UpstreamEntry
  ) -> bool:
    """True when the documents let an upstream have new work."""
    host = entry.address.partition(":")[0]
    return (
      not entry.leaving
      and host not in self._leaving_addresses
      and self.get_zone_state(document, entry.zone) == "in"
      and not self._is_suspected(document.service, entry.version)
    )

  def list_usable(
    self, document: documents.Document, now: Seconds
  ) -> list[UsableUpstream]:
    """Lists the upstreams of a service that may get new work.

    Args:
      document: The service's document.
      now: The monotonic time.

    Returns:
      Upstreams that are admitted, up, and owned by a node that is alive.
    """
    usable = (
      UsableUpstream(entry, report)
      for entry in document.upstreams
      if self.is_eligible(document, entry)
      and (report := self._known.get_report(entry.name)) is not None
    )
    return [u for u in usable if self._is_reachable(u.report, now)]

  def _is_reachable(
    self, report: messages.UpstreamReport, now: Seconds
  ) -> bool:
    state = report.state
    if not state.up or state.draining:
      return False
    return self._members.is_alive(report.owner, now)

  def make_candidate(
    self, usable: UsableUpstream, extra: float, now: Seconds
  ) -> routing.Candidate:
    """Describes an upstream to a routing policy.

    Args:
      usable: The upstream.
      extra: Requests that the current plan already sends to it.
      now: The monotonic time.

    Returns:
      The candidate.
    """
    name = usable.entry.name
    return routing.Candidate(
      upstream=name,
      version=usable.entry.version,
      same_zone=usable.entry.zone == self._members.own_member.zone,
      load=self._known.get_load(name, now) + extra,
      limit=usable.report.state.limit,
      latency_s=usable.report.state.latency_s,
    )


def pin_snapshot(
  usable: Collection[UsableUpstream],
  manifests: dict[int, ranges.Manifest],
  newer_than: int = -1,
) -> PinnedSnapshot | None:
  """Chooses the snapshot for a query.

  Args:
    usable: The upstreams that may serve it.
    manifests: Manifests by snapshot.
    newer_than: Only snapshots with a higher number are considered.

  Returns:
    The newest snapshot of which every shard is held; if there is none, the
    one of which most records are held; None when no snapshot is known.
  """
  pins = [
    _pin(usable, manifests[snapshot])
    for snapshot in sorted(manifests, reverse=True)
    if snapshot > newer_than
  ]
  pins = [pin for pin in pins if pin.holders]
  complete = [p for p in pins if len(p.holders) == len(p.manifest.shards)]
  if complete:
    return complete[0]
  return max(pins, key=_count_held_share, default=None)


def _pin(
  usable: Collection[UsableUpstream], manifest: ranges.Manifest
) -> PinnedSnapshot:
  known = {entry.shard for entry in manifest.shards}
  holders: dict[int, list[UsableUpstream]] = {}
  for candidate in usable:
    for shard in candidate.list_shards(manifest.snapshot):
      if shard in known:
        holders.setdefault(shard, []).append(candidate)
  frozen = {shard: tuple(held) for shard, held in holders.items()}
  return PinnedSnapshot(manifest, frozen)


def _count_held_share(pin: PinnedSnapshot) -> float:
  held = sum(e.records for e in pin.manifest.shards if e.shard in pin.holders)
  return held / max(1, pin.manifest.records)
