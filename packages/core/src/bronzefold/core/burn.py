"""Burn of error budgets: counts of requests over time, and burn rates."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from bronzefold.core import documents
from bronzefold.core.clock import Seconds

FINE_BUCKET_S = 60
COARSE_BUCKET_S = 3600
FINE_RETENTION_S = 6 * 3600
COARSE_RETENTION_S = 3 * 24 * 3600

WINDOWS_S = {"5m": 300, "1h": 3600, "6h": 6 * 3600, "3d": 3 * 24 * 3600}
FAST_BURN_RATE = 14.4
SLOW_BURN_RATE = 1.0


@attrs.frozen
class RequestCounts:
  """Counts of the requests of one route.

  Attributes:
    total: All requests.
    failed: Requests that ended with an error.
    slow: Requests answered later than the objective.
    incomplete: Searches that did not cover all records.
  """

  total: int = 0
  failed: int = 0
  slow: int = 0
  incomplete: int = 0

  def __add__(self, other: RequestCounts) -> RequestCounts:
    """Returns the sums of both counts."""
    return RequestCounts(
      self.total + other.total,
      self.failed + other.failed,
      self.slow + other.slow,
      self.incomplete + other.incomplete,
    )


@attrs.frozen
class Bucket:
  """Counts of requests in a span of time.

  Attributes:
    start: Start of the span, seconds since the Unix epoch.
    length_s: Length of the span.
    routes: Counts by route.
  """

  start: int
  length_s: int
  routes: dict[str, RequestCounts]


@attrs.frozen
class History:
  """Counts of one service, by minute for the last hours, by hour before.

  Attributes:
    buckets: Buckets in no particular order, without overlaps.
  """

  buckets: tuple[Bucket, ...] = ()


@attrs.frozen
class BurnRate:
  """How fast an objective's error budget is spent.

  Attributes:
    route: Name of the route.
    objective: "availability", "latency" or "coverage".
    window: Name of the window.
    total: Requests in the window that the objective applies to.
    bad: Requests that missed the objective.
    rate: Share of bad requests over the share that the objective allows; at 1
      the budget is spent exactly by the end of its period.
  """

  route: str
  objective: str
  window: str
  total: int
  bad: int
  rate: float


@attrs.frozen
class Alert:
  """An objective whose error budget is spent too fast.

  Attributes:
    route: Name of the route.
    objective: Name of the objective.
    speed: "fast" or "slow".
  """

  route: str
  objective: str
  speed: str


def add_counts(
  history: History, counts: dict[str, RequestCounts], now_wall: Seconds
) -> History:
  """Adds counts at the present time and compacts old buckets.

  Args:
    history: The history.
    counts: Counts by route.
    now_wall: Time since the Unix epoch.

  Returns:
    The new history.
  """
  start = int(now_wall) // FINE_BUCKET_S * FINE_BUCKET_S
  new_bucket = Bucket(start, FINE_BUCKET_S, counts)
  compacted = (
    _compact_bucket(bucket, now_wall)
    for bucket in (*history.buckets, new_bucket)
    if bucket.start > now_wall - COARSE_RETENTION_S
  )
  merged: dict[tuple[int, int], dict[str, RequestCounts]] = {}
  for bucket in compacted:
    routes = merged.setdefault((bucket.start, bucket.length_s), {})
    for route, route_counts in bucket.routes.items():
      routes[route] = routes.get(route, RequestCounts()) + route_counts
  return History(
    tuple(
      Bucket(start, length_s, routes)
      for (start, length_s), routes in sorted(merged.items())
    )
  )


def compute_rates(
  history: History, objectives: documents.Objectives, now_wall: Seconds
) -> list[BurnRate]:
  """Computes the burn rates of every route, objective and window.

  Args:
    history: The history.
    objectives: The service's objectives.
    now_wall: Time since the Unix epoch.

  Returns:
    The rates; a rate is 0 where the window has no requests.
  """
  routes = sorted({route for b in history.buckets for route in b.routes})
  return [
    rate
    for route in routes
    for window, length_s in WINDOWS_S.items()
    for rate in _compute_window(
      route,
      window,
      _sum_counts(history, route, now_wall - length_s),
      objectives,
    )
  ]


def find_alerts(rates: Iterable[BurnRate]) -> list[Alert]:
  """Finds the objectives whose error budgets are spent too fast.

  A fast burn exceeds its limit in both the last 5 minutes and the last hour, a
  slow one in both the last 6 hours and the last 3 days.

  Args:
    rates: Burn rates.

  Returns:
    The alerts.
  """
  by_window = {(r.route, r.objective, r.window): r.rate for r in rates}
  pairs = sorted({(route, objective) for route, objective, _ in by_window})
  conditions = (
    ("fast", ("5m", "1h"), FAST_BURN_RATE),
    ("slow", ("6h", "3d"), SLOW_BURN_RATE),
  )
  return [
    Alert(route, objective, speed)
    for route, objective in pairs
    for speed, windows, limit in conditions
    if all(by_window[route, objective, w] > limit for w in windows)
  ]


def _compact_bucket(bucket: Bucket, now_wall: Seconds) -> Bucket:
  """Turns an old fine bucket into the coarse one of its hour."""
  is_fine = bucket.length_s == FINE_BUCKET_S
  if is_fine and bucket.start < now_wall - FINE_RETENTION_S:
    start = bucket.start // COARSE_BUCKET_S * COARSE_BUCKET_S
    return Bucket(start, COARSE_BUCKET_S, bucket.routes)
  return bucket


def _sum_counts(history: History, route: str, since: Seconds) -> RequestCounts:
  """Sums a route's counts of all buckets that end after a time."""
  counts = (
    bucket.routes[route]
    for bucket in history.buckets
    if bucket.start + bucket.length_s > since and route in bucket.routes
  )
  return sum(counts, RequestCounts())


def _compute_window(
  route: str,
  window: str,
  counts: RequestCounts,
  objectives: documents.Objectives,
) -> Iterable[BurnRate]:
  """Yields the burn rate of each objective in a window."""
  answered = counts.total - counts.failed
  for objective, bad, total, wanted_share in (
    (
      "availability",
      counts.failed,
      counts.total,
      objectives.availability_share,
    ),
    ("latency", counts.slow, answered, objectives.latency_share),
    ("coverage", counts.incomplete, answered, objectives.coverage_share),
  ):
    rate = bad / total / (1.0 - wanted_share) if total else 0.0
    yield BurnRate(route, objective, window, total, bad, rate)
