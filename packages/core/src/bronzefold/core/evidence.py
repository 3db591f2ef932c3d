"""Counts of exchanges by version, and the test of a version for regressions."""

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
class ExchangeCounts:
  """Exchanges of a version on one route.

  Attributes:
    good: Exchanges that succeeded and were not slow.
    failed: Exchanges that failed.
    slow: Exchanges that succeeded but took much longer than the baseline.
  """

  good: int = 0
  failed: int = 0
  slow: int = 0

  @property
  def total(self) -> int:
    """Count of all exchanges."""
    return self.good + self.failed + self.slow

  def add(self, other: ExchangeCounts) -> None:
    """Adds other counts to these."""
    self.good += other.good
    self.failed += other.failed
    self.slow += other.slow


class Evidence:
  """Recent counts of a service's exchanges by version and route."""

  def __init__(self, window_s: Seconds = defaults.ROLLOUT_WINDOW_S) -> None:
    """Creates an instance without counts.

    Args:
      window_s: Age at which counts are dropped.
    """
    self._window_s = window_s
    self._buckets: collections.deque[tuple[Seconds, dict]] = collections.deque()

  def record(
    self, version: str, route: str, counts: ExchangeCounts, now: Seconds
  ) -> None:
    """Adds counts of a version on a route at the present time."""
    bucket_s = self._window_s / 10
    if not self._buckets or now - self._buckets[-1][0] >= bucket_s:
      self._buckets.append((now, {}))
    bucket = self._buckets[-1][1]
    bucket.setdefault((version, route), ExchangeCounts()).add(counts)

  def sum_counts(
    self, version: str, route: str, now: Seconds
  ) -> ExchangeCounts:
    """Sums the recent counts of a version on a route."""
    while self._buckets and now - self._buckets[0][0] > self._window_s:
      self._buckets.popleft()
    total = ExchangeCounts()
    for _, bucket in self._buckets:
      counts = bucket.get((version, route))
      if counts is not None:
        total.add(counts)
    return total

  def list_versions(self) -> set[str]:
    """Lists the versions that have recent counts."""
    return {version for _, bucket in self._buckets for version, _ in bucket}

  def find_regression(
    self,
    version: str,
    baseline_versions: Iterable[str],
    routes: Iterable[str],
    now: Seconds,
  ) -> str | None:
    """Compares a version with the baseline versions on each route.

    Args:
      version: The version that is rolled out.
      baseline_versions: Names of the versions to compare it with.
      routes: Names of the routes.
      now: The monotonic time.

    Returns:
      A description of the version's first regression, None if there is none.
    """
    stable_versions = tuple(baseline_versions)
    for route in routes:
      suspect = self.sum_counts(version, route, now)
      baseline = ExchangeCounts()
      for name in stable_versions:
        baseline.add(self.sum_counts(name, route, now))
      regression = _describe_regression(suspect, baseline)
      if regression is not None:
        return f"route {route}: {regression}"
    return None


def _describe_regression(
  suspect: ExchangeCounts, baseline: ExchangeCounts
) -> str | None:
  """Describes a regression against the baseline; None if there is none."""
  has_failure_excess = _is_significant_excess(
    suspect.failed,
    suspect.total,
    baseline.failed,
    baseline.total,
    _MIN_FAILED_EXCESS,
  )
  if has_failure_excess:
    return f"{suspect.failed} of {suspect.total} exchanges failed"
  has_slow_excess = _is_significant_excess(
    suspect.slow, suspect.total, baseline.slow, baseline.total, _MIN_SLOW_EXCESS
  )
  if has_slow_excess:
    return f"{suspect.slow} of {suspect.total} exchanges were slow"
  return None


def _is_significant_excess(
  hits: int,
  total: int,
  baseline_hits: int,
  baseline_total: int,
  min_excess: float,
) -> bool:
  """True when a version has a significantly higher share of hits."""
  if hits < _MIN_HITS or not baseline_total:
    return False
  if hits / total - baseline_hits / baseline_total < min_excess:
    return False
  probability = significance.compute_excess_probability(
    hits, total, baseline_hits, baseline_total
  )
  return probability < defaults.ROLLOUT_SIGNIFICANCE
