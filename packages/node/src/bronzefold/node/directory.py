"""What this node knows of all upstreams, from their owners' reports."""

from __future__ import annotations

import collections

from bronzefold.core import ranges
from bronzefold.core.clock import Seconds
from bronzefold.peers import messages

_QUEUED_MAX_AGE_S = 0.25


class Directory:
  """Reports of upstreams, manifests, and this node's own work with them.

  Attributes:
    outstanding: Count of this node's requests in progress, by upstream.
  """

  def __init__(self) -> None:
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
    self._reports[report.upstream] = report
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

  def forget(self, upstream: str) -> None:
    """Drops an upstream that no document names any longer."""
    self._reports.pop(upstream, None)
    self._queued.pop(upstream, None)

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
    self._prune_manifests(service)
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
      del manifests[snapshot]
