"""Pauses between calls to a store that does not serve them.

Answers an outage of the store: all nodes notice it at once, and hundreds of
them would call it several times a second until it returns.
"""

from __future__ import annotations

import attrs

from bronzefold.core.clock import Seconds

_MAX_DOUBLINGS = 16  # the power of a large number would not be a float
_MIN_JITTER_SHARE = 0.5


@attrs.define
class Backoff:
  """Pauses that grow with each failure in a row, up to a limit.

  Attributes:
    first_s: Longest pause after the first failure, in seconds.
    max_s: Longest pause, in seconds.
    failures: Number of failures since the last success.
  """

  first_s: Seconds
  max_s: Seconds
  failures: int = 0

  def record_success(self) -> None:
    """Records a call that was served."""
    self.failures = 0

  def record_failure(self, random_share: float) -> Seconds:
    """Records a call that was not served.

    Args:
      random_share: Random number from 0 to 1, so that nodes which failed
        together do not return together.

    Returns:
      The pause until the next call, in seconds.
    """
    doublings = min(self.failures, _MAX_DOUBLINGS)
    longest_s = min(self.max_s, self.first_s * 2.0**doublings)
    self.failures += 1
    return longest_s * (
      _MIN_JITTER_SHARE + (1.0 - _MIN_JITTER_SHARE) * random_share
    )


@attrs.define
class SharedProbes:
  """Rare calls of many nodes that together keep to a rate.

  Attributes:
    rate_per_s: Calls a second of all nodes together.
    min_period_s: Least time between two calls of one node, in seconds.
    next_at: Monotonic time of this node's next call; None before the first.
  """

  rate_per_s: float
  min_period_s: Seconds
  next_at: Seconds | None = None

  def reset(self) -> None:
    """Ends a series of calls; the next series begins at a random time."""
    self.next_at = None

  def try_start(
    self, node_count: int, random_share: float, now: Seconds
  ) -> bool:
    """Returns whether to call now, and plans the next call.

    Args:
      node_count: Number of nodes that share the rate.
      random_share: Random number from 0 to 1, for the time of the first call.
      now: Monotonic time.
    """
    period_s = max(self.min_period_s, node_count / self.rate_per_s)
    if self.next_at is None:
      self.next_at = now + period_s * random_share
    if now < self.next_at:
      return False
    self.next_at = now + period_s
    return True
