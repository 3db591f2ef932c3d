"""Budgets and estimates that bound extra work on upstreams."""

from __future__ import annotations

import collections

from bronzefold.core import defaults
from bronzefold.core.clock import Seconds

_QUANTILE_SAMPLES = 512
_QUANTILE_REFRESH = 64


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
