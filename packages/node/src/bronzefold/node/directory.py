"""Reports and manifests of all upstreams, as received by this node."""

from __future__ import annotations

import collections
from collections.abc import Collection

import xxhash

from bronzefold.core import ranges
from bronzefold.core.clock import Seconds
from bronzefold.peers import messages

_MAX_QUEUE_LENGTH_AGE_S = 0.03


class UpstreamDirectory:
  """Newest reports of upstreams, manifests, and this node's open requests.

  Attributes:
    digest: Hash of the reports and manifests; equal on nodes that have the
      same reports and manifests.
    outstanding: Count of this node's requests in progress, by upstream.
  """

  def __init__(self) -> None:
    self.digest = 0
    self.outstanding: collections.Counter[str] = collections.Counter()
    self._queue_lengths: dict[str, tuple[int, Seconds]] = {}
    self._reports: dict[str, messages.UpstreamReport] = {}
    self._manifests: dict[str, dict[int, ranges.Manifest]] = {}

  def __len__(self) -> int:
    return len(self._reports)

  def record_report(self, report: messages.UpstreamReport) -> bool:
    """Stores a report unless the present one is as new or newer.

    Args:
      report: The report.

    Returns:
      True when the report was stored.
    """
    current = self._reports.get(report.upstream)
    if current and (current.term, current.number) >= (
      report.term,
      report.number,
    ):
      return False
    if current:
      self._toggle_in_digest(_hash_report(current))
    self._reports[report.upstream] = report
    self._toggle_in_digest(_hash_report(report))
    return True

  def get_report(self, upstream: str) -> messages.UpstreamReport | None:
    """Returns the newest report of an upstream, None if there is none."""
    return self._reports.get(upstream)

  def list_reports(self) -> list[messages.UpstreamReport]:
    """Lists the newest report of every upstream."""
    return list(self._reports.values())

  def record_queue_length(
    self, upstream: str, queue_length: int, now: Seconds
  ) -> None:
    """Records the queue length that an upstream's owner has reported.

    Args:
      upstream: Name of the upstream.
      queue_length: Requests queued or in progress at the owner.
      now: The monotonic time.
    """
    self._queue_lengths[upstream] = (queue_length, now)

  def get_load(self, upstream: str, now: Seconds) -> int:
    """Returns the count of requests that wait for an upstream or run on it.

    It is the larger of this node's count of open requests and, while recent,
    the queue length that the owner reported.
    """
    queued, recorded_at = self._queue_lengths.get(upstream, (0, 0.0))
    if now - recorded_at > _MAX_QUEUE_LENGTH_AGE_S:
      queued = 0
    return max(self.outstanding[upstream], queued)

  def retain_upstreams(self, upstreams: Collection[str]) -> None:
    """Drops reports of other upstreams, and old manifests.

    Manifests older than the oldest snapshot that is served are dropped, and
    none of a service while no snapshot of it is served.

    Args:
      upstreams: Names of the upstreams in the documents.
    """
    for upstream in [name for name in self._reports if name not in upstreams]:
      self._toggle_in_digest(_hash_report(self._reports.pop(upstream)))
      self._queue_lengths.pop(upstream, None)
    for service in self._manifests:
      self._prune_manifests(service)

  def record_manifest(self, service: str, manifest: ranges.Manifest) -> bool:
    """Stores the manifest of a snapshot.

    Args:
      service: Name of the service.
      manifest: A validated manifest.

    Returns:
      True when the manifest was new.
    """
    manifests = self._manifests.setdefault(service, {})
    if manifest.snapshot in manifests:
      return False
    manifests[manifest.snapshot] = manifest
    self._toggle_in_digest(_hash_manifest(service, manifest))
    return True

  def get_manifests(self, service: str) -> dict[int, ranges.Manifest]:
    """Returns the manifests of a service by snapshot."""
    return self._manifests.get(service, {})

  def list_manifests(self) -> list[messages.ManifestReport]:
    """Lists all manifests."""
    return [
      messages.ManifestReport(service, manifest)
      for service, manifests in self._manifests.items()
      for manifest in manifests.values()
    ]

  def _prune_manifests(self, service: str) -> None:
    manifests = self._manifests[service]
    served_snapshots = {
      snapshot.snapshot
      for report in self._reports.values()
      if report.service == service
      for snapshot in report.state.snapshots
    }
    if not served_snapshots:
      return
    oldest = min(served_snapshots)
    for snapshot in [s for s in manifests if s < oldest]:
      self._toggle_in_digest(_hash_manifest(service, manifests.pop(snapshot)))

  def _toggle_in_digest(self, item_hash: int) -> None:
    self.digest ^= item_hash


def _hash_report(report: messages.UpstreamReport) -> int:
  text = f"{report.upstream}/{report.term}/{report.number}"
  return xxhash.xxh3_64_intdigest(text.encode())


def _hash_manifest(service: str, manifest: ranges.Manifest) -> int:
  text = f"{service}/{manifest.snapshot}"
  return xxhash.xxh3_64_intdigest(text.encode())
