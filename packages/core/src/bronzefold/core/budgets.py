"""Budgets and estimates that bound extra work on upstreams."""

from __future__ import annotations

import collections

from bronzefold.core import defaults
from bronzefold.core.clock import Seconds

_QUANTILE_SAMPLES = 512
_QUANTILE_REFRESH = 64
_WINDOW_SLICES = 10


class ShareBudget:
  """Allows extra requests as a share of ordinary ones."""

  def __init__(
    self, share: float, burst: float = defaults.BUDGET_BURST
  ) -> None:
    """Creates a full budget.

    Args:
      share: Extra requests allowed for each ordinary one.
      burst: Most extra requests that can be saved up.
    """
    self._share = share
    self._burst = burst
    self._tokens = burst

  def earn(self) -> None:
    """Takes note of an ordinary request."""
    self._tokens = min(self._burst, self._tokens + self._share)

  def try_spend(self) -> bool:
    """Spends one extra request; False when none is left."""
    if self._tokens < 1.0:
      return False
    self._tokens -= 1.0
    return True


class LatencyQuantile:
  """A quantile of the most recent latencies."""

  def __init__(self, quantile: float) -> None:
    """Creates an estimate without samples.

    Args:
      quantile: The quantile, 0 to 1.
    """
    self._quantile = quantile
    self._samples: collections.deque[Seconds] = collections.deque(
      maxlen=_QUANTILE_SAMPLES
    )
    self._since_refresh = 0
    self._estimate: Seconds | None = None

  def record(self, latency_s: Seconds) -> None:
    """Adds a latency."""
    self._samples.append(latency_s)
    self._since_refresh += 1
    if self._estimate is None or self._since_refresh >= _QUANTILE_REFRESH:
      self._refresh()

  def get_estimate(self) -> Seconds | None:
    """Returns the quantile, None without samples."""
    return self._estimate

  def _refresh(self) -> None:
    ordered = sorted(self._samples)
    index = min(len(ordered) - 1, int(len(ordered) * self._quantile))
    self._estimate = ordered[index]
    self._since_refresh = 0


class WindowBudget:
  """Bounds extra requests in every span of a window's length.

  The extra requests of a window stay within a share of the ordinary ones in
  it and a constant. Counts are kept in slices of a tenth of the window.
  """

  def __init__(self, ratio: float, slack: float, window_s: Seconds) -> None:
    """Creates a budget.

    Args:
      ratio: Extra requests for each ordinary one.
      slack: Extra requests besides.
      window_s: Length of the window.
    """
    self.ratio = ratio
    self.slack = slack
    self._window_s = window_s
    self._slice_s = window_s / _WINDOW_SLICES
    self._slices: collections.deque[list[float]] = collections.deque()

  def earn(self, now: Seconds) -> None:
    """Takes note of an ordinary request."""
    self._get_slice(now)[1] += 1

  def try_spend(self, now: Seconds) -> bool:
    """Spends one extra request; False when none is left."""
    current = self._get_slice(now)
    ordinary = sum(counts[1] for counts in self._slices)
    extra = sum(counts[2] for counts in self._slices)
    if extra + 1 > self.ratio * ordinary + self.slack:
      return False
    current[2] += 1
    return True

  def _get_slice(self, now: Seconds) -> list[float]:
    while self._slices and self._slices[0][0] <= now - self._window_s:
      self._slices.popleft()
    if not self._slices or self._slices[-1][0] <= now - self._slice_s:
      self._slices.append([now, 0.0, 0.0])
    return self._slices[-1]
