"""Budgets and estimates that bound extra work on upstreams."""

from __future__ import annotations

import collections

import attrs

from bronzefold.core import defaults
from bronzefold.core.clock import Seconds

_QUANTILE_SAMPLES = 512
_QUANTILE_REFRESH = 64
_WINDOW_SLICES = 20


class ShareBudget:
  """Allows extra requests as a share of ordinary ones."""

  def __init__(
    self, share: float, burst: float = defaults.BUDGET_BURST_REQUESTS
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

  The extra requests of any window stay within a share of the ordinary ones
  in it and a constant. Counts are kept in slices; a slice that a window cuts
  counts in full as extra and not at all as ordinary.
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
      slack: Extra requests besides.
      window_s: Length of the window.
      grows_from: Monotonic time from which the slack grows to its full size
        within a window; None if it is full from the start. An earlier process
        may have spent it.
    """
    self._grows_from = grows_from
    self.ratio = ratio
    self.slack = slack
    self._window_s = window_s
    self._slice_s = window_s / _WINDOW_SLICES
    self._slices: collections.deque[_Slice] = collections.deque()

  def earn(self, now: Seconds) -> None:
    """Takes note of an ordinary request."""
    self._get_slice(now).ordinary += 1

  def try_spend(self, now: Seconds, share: float = 1.0) -> bool:
    """Spends one extra request; False when none is left.

    Args:
      now: Monotonic time.
      share: Part of the budget that requests of this kind may use up.
    """
    current = self._get_slice(now)
    whole_since = now - self._window_s
    ordinary = sum(
      kept.ordinary for kept in self._slices if kept.started_at >= whole_since
    )
    extra = sum(kept.extra for kept in self._slices)
    allowed = self.ratio * ordinary + self._get_slack(now)
    if extra + 1 > share * allowed:
      return False
    current.extra += 1
    return True

  def _get_slack(self, now: Seconds) -> float:
    if self._grows_from is None:
      return self.slack
    grown = (now - self._grows_from) / self._window_s
    return self.slack * min(1.0, max(0.0, grown))

  def _get_slice(self, now: Seconds) -> _Slice:
    cut_off = now - self._window_s - self._slice_s
    while self._slices and self._slices[0].started_at <= cut_off:
      self._slices.popleft()
    newest = self._slices[-1] if self._slices else None
    if newest is None or newest.started_at <= now - self._slice_s:
      newest = _Slice(now)
      self._slices.append(newest)
    return newest


@attrs.define
class _Slice:
  started_at: Seconds
  ordinary: int = 0
  extra: int = 0
