"""Counts of good, failed and slow exchanges, and the test of one version."""

from __future__ import annotations

import collections
from collections.abc import Iterable

import attrs

from bronzefold.core import defaults
from bronzefold.core import significance
from bronzefold.core.clock import Seconds

_MIN_FAILED_EXCESS = 0.01
_MIN_SLOW_EXCESS = 0.10
_MIN_HITS = 3


@attrs.define
class Counts:
  """Exchanges of a version on one route.

  Attributes:
    good: Exchanges that ended well in usual time.
    failed: Exchanges that failed.
    slow: Exchanges that ended well but took unusually long.
  """

  good: int = 0
  failed: int = 0
  slow: int = 0

  @property
  def total(self) -> int:
    """Count of all exchanges."""
    return self.good + self.failed + self.slow

  def add(self, other: Counts) -> None:
    """Adds the counts of another one."""
    self.good += other.good
    self.failed += other.failed
    self.slow += other.slow


class Evidence:
  """Counts of the last seconds for each version and route of a service."""

  def __init__(self, window_s: Seconds = defaults.ROLLOUT_WINDOW_S) -> None:
    """Creates evidence without counts.

    Args:
      window_s: Age at which counts are dropped.
    """
    self._window_s = window_s
    self._buckets: collections.deque[tuple[Seconds, dict]] = collections.deque()

  def record(
    self, version: str, route: str, counts: Counts, now: Seconds
  ) -> None:
    """Adds counts."""
    bucket_s = self._window_s / 10
    if not self._buckets or now - self._buckets[-1][0] >= bucket_s:
      self._buckets.append((now, {}))
    bucket = self._buckets[-1][1]
    bucket.setdefault((version, route), Counts()).add(counts)

  def sum_counts(self, version: str, route: str, now: Seconds) -> Counts:
    """Adds up the counts of a version on a route."""
    while self._buckets and now - self._buckets[0][0] > self._window_s:
      self._buckets.popleft()
    total = Counts()
    for _, bucket in self._buckets:
      counts = bucket.get((version, route))
      if counts is not None:
        total.add(counts)
    return total

  def list_versions(self) -> set[str]:
    """Lists the versions that have counts."""
    return {version for _, bucket in self._buckets for version, _ in bucket}

  def find_regression(
    self,
    version: str,
    stable: Iterable[str],
    routes: Iterable[str],
    now: Seconds,
  ) -> str | None:
    """Compares a version with the stable ones on each route.

    Args:
      version: The version that moves.
      stable: Names of the versions to compare it with.
      routes: Names of the routes.
      now: The monotonic time.

    Returns:
      What is wrong with the version, None if nothing is.
    """
    stable_versions = tuple(stable)
    for route in routes:
      suspect = self.sum_counts(version, route, now)
      base = Counts()
      for name in stable_versions:
        base.add(self.sum_counts(name, route, now))
      fault = _compare(suspect, base)
      if fault is not None:
        return f"route {route}: {fault}"
    return None


def _compare(suspect: Counts, base: Counts) -> str | None:
  failed = _is_excess(
    suspect.failed, suspect.total, base.failed, base.total, _MIN_FAILED_EXCESS
  )
  if failed:
    return f"{suspect.failed} of {suspect.total} exchanges failed"
  slow = _is_excess(
    suspect.slow, suspect.total, base.slow, base.total, _MIN_SLOW_EXCESS
  )
  if slow:
    return f"{suspect.slow} of {suspect.total} exchanges were slow"
  return None


def _is_excess(
  hits: int, total: int, base_hits: int, base_total: int, min_excess: float
) -> bool:
  if hits < _MIN_HITS or not base_total:
    return False
  if hits / total - base_hits / base_total < min_excess:
    return False
  probability = significance.compute_excess_probability(
    hits, total, base_hits, base_total
  )
  return probability < defaults.ROLLOUT_SIGNIFICANCE
