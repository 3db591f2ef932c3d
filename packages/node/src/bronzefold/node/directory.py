"""What this node knows of all upstreams, from their owners' reports."""

from __future__ import annotations

import collections
from collections.abc import Collection

import xxhash

from bronzefold.core import ranges
from bronzefold.core.clock import Seconds
from bronzefold.peers import messages

_QUEUED_MAX_AGE_S = 0.03


class UpstreamDirectory:
  """Reports of upstreams, manifests, and this node's own work with them.

  Attributes:
    digest: Equal on nodes that know the same reports and manifests.
    outstanding: Count of this node's requests in progress, by upstream.
  """

  def __init__(self) -> None:
    self.digest = 0
    self.outstanding: collections.Counter[str] = collections.Counter()
    self._queued: dict[str, tuple[int, Seconds]] = {}
    self._reports: dict[str, messages.UpstreamReport] = {}
    self._manifests: dict[str, dict[int, ranges.Manifest]] = {}

  def __len__(self) -> int:
    return len(self._reports)

  def record_report(self, report: messages.UpstreamReport) -> bool:
    """Takes over a report unless a newer one is known.

    Args:
      report: The report.

    Returns:
      True when the report was news.
    """
    known = self._reports.get(report.upstream)
    if known and (known.term, known.number) >= (report.term, report.number):
      return False
    if known:
      self._toggle(_hash_report(known))
    self._reports[report.upstream] = report
    self._toggle(_hash_report(report))
    return True

  def get_report(self, upstream: str) -> messages.UpstreamReport | None:
    """Returns the newest report of an upstream."""
    return self._reports.get(upstream)

  def list_reports(self) -> list[messages.UpstreamReport]:
    """Lists the newest report of every upstream."""
    return list(self._reports.values())

  def record_queued(self, upstream: str, queued: int, now: Seconds) -> None:
    """Takes note of the requests that an upstream's owner holds."""
    self._queued[upstream] = (queued, now)

  def get_load(self, upstream: str, now: Seconds) -> int:
    """Returns the requests known to wait for an upstream or run on it."""
    queued, recorded_at = self._queued.get(upstream, (0, 0.0))
    if now - recorded_at > _QUEUED_MAX_AGE_S:
      queued = 0
    return max(self.outstanding[upstream], queued)

  def retain(self, upstreams: Collection[str]) -> None:
    """Drops what no longer serves: other upstreams and their manifests.

    Args:
      upstreams: Names of the upstreams that documents name.
    """
    for upstream in [name for name in self._reports if name not in upstreams]:
      self._toggle(_hash_report(self._reports.pop(upstream)))
      self._queued.pop(upstream, None)
    for service in self._manifests:
      self._prune_manifests(service)

  def record_manifest(self, service: str, manifest: ranges.Manifest) -> bool:
    """Takes over the manifest of a snapshot.

    Args:
      service: Name of the service.
      manifest: A checked manifest.

    Returns:
      True when the manifest was news.
    """
    manifests = self._manifests.setdefault(service, {})
    if manifest.snapshot in manifests:
      return False
    manifests[manifest.snapshot] = manifest
    self._toggle(_hash_manifest(service, manifest))
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
    served = {
      snapshot.snapshot
      for report in self._reports.values()
      if report.service == service
      for snapshot in report.state.snapshots
    }
    if not served:
      return
    oldest = min(served)
    for snapshot in [s for s in manifests if s < oldest]:
      self._toggle(_hash_manifest(service, manifests.pop(snapshot)))

  def _toggle(self, item: int) -> None:
    self.digest ^= item


def _hash_report(report: messages.UpstreamReport) -> int:
  text = f"{report.upstream}/{report.term}/{report.number}"
  return xxhash.xxh3_64_intdigest(text.encode())


def _hash_manifest(service: str, manifest: ranges.Manifest) -> int:
  text = f"{service}/{manifest.snapshot}"
  return xxhash.xxh3_64_intdigest(text.encode())
