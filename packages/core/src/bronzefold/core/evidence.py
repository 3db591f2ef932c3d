"""Counts of exchanges by version, and the test of a version for regressions."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import math

import attrs

from bronzefold.core import defaults
from bronzefold.core import significance
from bronzefold.core.clock import Seconds

_MIN_FAILED_EXCESS = 0.01
_MIN_SLOW_EXCESS = 0.10


@attrs.frozen
class Criterion:
  """How strong the evidence against a version must be.

  Attributes:
    min_hits: Least number of exchanges that failed, or were slow.
    max_probability: Highest probability of as many of them in a version that
      is no worse than the others.
  """

  min_hits: int
  max_probability: float


REGRESSION = Criterion(3, defaults.ROLLOUT_SIGNIFICANCE)
# A version about which there is doubt needs more exchanges.
DOUBT = Criterion(2, 0.05)


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

  @property
  def failed_share(self) -> float:
    """Share of the exchanges that failed; 0 without exchanges."""
    return self.failed / self.total if self.total else 0.0

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
    self._bucket_s = window_s / 10
    self._buckets: collections.deque[tuple[Seconds, dict]] = collections.deque()

  def record(
    self, version: str, route: str, counts: ExchangeCounts, now: Seconds
  ) -> None:
    """Adds counts of a version on a route at the present time."""
    if not self._buckets or now - self._buckets[-1][0] >= self._bucket_s:
      self._buckets.append((now, {}))
    bucket = self._buckets[-1][1]
    bucket.setdefault((version, route), ExchangeCounts()).add(counts)

  def keep(self) -> None:
    """Drops no counts from now on.

    Otherwise those of the other versions would be missing some time after all
    traffic has shifted to a new one.
    """
    self._window_s = math.inf

  def sum_counts(
    self, version: str, route: str, now: Seconds
  ) -> ExchangeCounts:
    """Sums the recent counts of a version on a route."""
    self._drop_old_buckets(now)
    total = ExchangeCounts()
    for _, bucket in self._buckets:
      counts = bucket.get((version, route))
      if counts is not None:
        total.add(counts)
    return total

  def sum_version(self, version: str, now: Seconds) -> ExchangeCounts:
    """Sums the recent counts of a version on all routes."""
    total = ExchangeCounts()
    for route in self.list_routes():
      total.add(self.sum_counts(version, route, now))
    return total

  def count_all(self, now: Seconds) -> int:
    """Counts the recent exchanges of all versions on all routes."""
    self._drop_old_buckets(now)
    return sum(
      counts.total for _, bucket in self._buckets for counts in bucket.values()
    )

  def list_routes(self) -> set[str]:
    """Lists the routes that have recent counts."""
    return {route for _, bucket in self._buckets for _, route in bucket}

  def list_versions(self) -> set[str]:
    """Lists the versions that have recent counts."""
    return {version for _, bucket in self._buckets for version, _ in bucket}

  def _drop_old_buckets(self, now: Seconds) -> None:
    while self._buckets and now - self._buckets[0][0] > self._window_s:
      self._buckets.popleft()

  def find_regression(
    self,
    version: str,
    baseline_versions: Iterable[str],
    routes: Iterable[str],
    now: Seconds,
    criterion: Criterion = REGRESSION,
  ) -> str | None:
    """Compares a version with the baseline versions on each route.

    Args:
      version: The version that is rolled out.
      baseline_versions: Names of the versions to compare it with.
      routes: Names of the routes.
      now: The monotonic time.
      criterion: How strong the evidence must be.

    Returns:
      A description of the version's first regression, None if there is none.
    """
    stable_versions = tuple(baseline_versions)
    for route in routes:
      suspect = self.sum_counts(version, route, now)
      baseline = ExchangeCounts()
      for name in stable_versions:
        baseline.add(self.sum_counts(name, route, now))
      regression = _describe_regression(suspect, baseline, criterion)
      if regression is not None:
        return f"route {route}: {regression}"
    return None


def _describe_regression(
  suspect: ExchangeCounts, baseline: ExchangeCounts, criterion: Criterion
) -> str | None:
  """Describes a regression against the baseline; None if there is none."""
  has_failure_excess = _is_significant_excess(
    suspect.failed,
    suspect.total,
    baseline.failed,
    baseline.total,
    _MIN_FAILED_EXCESS,
    criterion,
  )
  if has_failure_excess:
    return f"{suspect.failed} of {suspect.total} exchanges failed"
  has_slow_excess = _is_significant_excess(
    suspect.slow,
    suspect.total,
    baseline.slow,
    baseline.total,
    _MIN_SLOW_EXCESS,
    criterion,
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
  criterion: Criterion,
) -> bool:
  """True when a version has a significantly higher share of hits."""
  if hits < criterion.min_hits or not baseline_total:
    return False
  if hits / total - baseline_hits / baseline_total < min_excess:
    return False
  probability = significance.compute_excess_probability(
    hits, total, baseline_hits, baseline_total
  )
  return probability < criterion.max_probability
