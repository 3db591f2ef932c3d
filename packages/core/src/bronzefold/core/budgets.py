"""Budgets of requests, and the latency estimate that times hedges."""

from __future__ import annotations

import collections
import math

import attrs

from bronzefold.core import defaults
from bronzefold.core.clock import Seconds

_QUANTILE_SAMPLES = 512
_QUANTILE_REFRESH_SAMPLES = 64
_WINDOW_SLICES = 20


class ShareBudget:
  """Allows extra requests up to a share of the ordinary ones."""

  def __init__(
    self, share: float, burst: float = defaults.BUDGET_BURST_REQUESTS
  ) -> None:
    """Creates a full budget.

    Args:
      share: Extra requests allowed for each ordinary one.
      burst: Most extra requests that the budget can hold.
    """
    self._share = share
    self._burst = burst
    self._tokens = burst

  def earn(self) -> None:
    """Adds the share that an ordinary request earns."""
    self._tokens = min(self._burst, self._tokens + self._share)

  def try_spend(self) -> bool:
    """Spends one extra request; False when none is left."""
    if self._tokens < 1.0:
      return False
    self._tokens -= 1.0
    return True


class LatencyQuantile:
  """Estimates quantiles of the most recent latencies."""

  def __init__(self, quantile: float) -> None:
    """Creates an estimator without samples.

    Args:
      quantile: The quantile that is returned if none is named, 0 to 1.
    """
    self._quantile = quantile
    self._samples: collections.deque[Seconds] = collections.deque(
      maxlen=_QUANTILE_SAMPLES
    )
    self._samples_since_refresh = 0
    self._ordered: list[Seconds] = []

  def record(self, latency_s: Seconds) -> None:
    """Adds a latency."""
    self._samples.append(latency_s)
    self._samples_since_refresh += 1
    if (
      not self._ordered
      or self._samples_since_refresh >= _QUANTILE_REFRESH_SAMPLES
    ):
      self._refresh()

  def get_estimate(self, quantile: float | None = None) -> Seconds | None:
    """Returns a quantile, None without samples.

    Args:
      quantile: The quantile, 0 to 1; None for the one named at creation.
    """
    if not self._ordered:
      return None
    share = self._quantile if quantile is None else quantile
    count = len(self._ordered)
    return self._ordered[min(count - 1, int(count * share))]

  def _refresh(self) -> None:
    self._ordered = sorted(self._samples)
    self._samples_since_refresh = 0


class TokenBucket:
  """Tokens that accrue at a rate, up to a burst; it starts empty."""

  def __init__(self, now: Seconds) -> None:
    """Creates an empty bucket in which nothing accrues until ``set_rate``."""
    self._rate_per_s = 0.0
    self._burst = 0.0
    self._tokens = 0.0
    self._updated_at = now

  def set_rate(self, rate_per_s: float, burst: float, now: Seconds) -> None:
    """Sets the rate from now on.

    Args:
      rate_per_s: Tokens that accrue in a second.
      burst: Most tokens that the bucket holds.
      now: Monotonic time.
    """
    self._update(now)
    self._rate_per_s = rate_per_s
    self._burst = burst
    self._tokens = min(self._tokens, burst)

  def take(self, count: int, now: Seconds) -> int:
    """Takes up to ``count`` tokens; returns their number."""
    self._update(now)
    taken = min(count, int(self._tokens))
    self._tokens -= taken
    return taken

  def get_wait(self, now: Seconds) -> Seconds:
    """Returns the time until a whole token is there, in seconds."""
    self._update(now)
    missing = max(0.0, 1.0 - self._tokens)
    return missing / self._rate_per_s if self._rate_per_s else math.inf

  def _update(self, now: Seconds) -> None:
    accrued = self._rate_per_s * max(0.0, now - self._updated_at)
    self._tokens = min(self._burst, self._tokens + accrued)
    self._updated_at = max(self._updated_at, now)


class WindowBudget:
  """Bounds extra requests in every window of a fixed length.

  In any window the extra requests stay within a ratio of the ordinary ones
  plus a constant. Requests are counted in slices. Of a slice that lies partly
  in the window, all extra requests count and no ordinary ones.

  Attributes:
    ratio: Extra requests for each ordinary one.
    slack: Extra requests allowed in each window besides the ratio.
  """

  def __init__(
    self,
    ratio: float,
    slack: float,
    window_s: Seconds,
    grows_from: Seconds | None = None,
  ) -> None:
    """Creates a budget.

    Args:
      ratio: Extra requests for each ordinary one.
      slack: Extra requests allowed besides.
      window_s: Length of the window.
      grows_from: Monotonic time from which the slack grows from 0 to its full
        size in the length of a window, because a previous process may have
        spent it; None if it is full from the start.
    """
    self._grows_from = grows_from
    self.ratio = ratio
    self.slack = slack
    self._window_s = window_s
    self._slice_s = window_s / _WINDOW_SLICES
    self._slices: collections.deque[_Slice] = collections.deque()

  def earn(self, now: Seconds) -> None:
    """Counts an ordinary request."""
    self._get_slice(now).ordinary += 1

  def try_spend(self, now: Seconds, share: float = 1.0) -> bool:
    """Spends one extra request; False when none is left.

    Args:
      now: Monotonic time.
      share: Share of the budget up to which requests of this kind may spend.
    """
    current = self._get_slice(now)
    window_start = now - self._window_s
    ordinary = sum(
      part.ordinary for part in self._slices if part.started_at >= window_start
    )
    extra = sum(part.extra for part in self._slices)
    allowed = self.ratio * ordinary + self._get_slack(now)
    if extra + 1 > share * allowed:
      return False
    current.extra += 1
    return True

  def _get_slack(self, now: Seconds) -> float:
    if self._grows_from is None:
      return self.slack
    grown_share = (now - self._grows_from) / self._window_s
    return self.slack * min(1.0, max(0.0, grown_share))

  def _get_slice(self, now: Seconds) -> _Slice:
    expired_at = now - self._window_s - self._slice_s
    while self._slices and self._slices[0].started_at <= expired_at:
      self._slices.popleft()
    newest = self._slices[-1] if self._slices else None
    if newest is None or newest.started_at <= now - self._slice_s:
      newest = _Slice(now)
      self._slices.append(newest)
    return newest


@attrs.define
class _Slice:
  """Counts of a short span of time.

  Attributes:
    started_at: Monotonic time at which the span starts.
    ordinary: Count of ordinary requests.
    extra: Count of extra requests.
  """

  started_at: Seconds
  ordinary: int = 0
  extra: int = 0
