"""When callers should return whose request was refused.

Answers callers of shards that no replica can serve at present. If all are told
the same short time, they return together and too early, and spend the few
attempts that they have left.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import math

from bronzefold.core.clock import Seconds
from bronzefold.gateway import inventory

# Without an upstream that may return, as long as a registration takes to be
# known.
UNKNOWN_WAIT_S = 0.4
MIN_WAIT_S = 0.02
MAX_WAIT_S = 1.0  # an upstream may return earlier than expected
SPREAD_SHARE = 0.5  # of the wait


def estimate_wait(
  shards: Iterable[Sequence[inventory.Upstream]],
  needed_count: int,
  now: Seconds,
) -> Seconds:
  """Estimates how long it takes until enough shards may be served.

  Args:
    shards: The upstreams of each shard that was not served.
    needed_count: Number of these shards that the request needs.
    now: Monotonic time.

  Returns:
    The time in seconds.
  """
  waits = sorted(_estimate_shard_wait(upstreams, now) for upstreams in shards)
  if not waits:
    return MIN_WAIT_S
  wait_s = waits[min(max(needed_count, 1), len(waits)) - 1]
  return UNKNOWN_WAIT_S if math.isinf(wait_s) else wait_s


def spread_return(
  wait_s: Seconds, priority: int, random_share: float
) -> Seconds:
  """Chooses when one of many refused callers returns.

  Urgent requests return over the whole spread, less urgent ones in its later
  part, when the urgent ones have been served.

  Args:
    wait_s: Time until the request may be served, in seconds.
    priority: Priority of the request; 0 is the most urgent.
    random_share: Random number from 0 to 1.

  Returns:
    The time in seconds.
  """
  position = 1.0 - (1.0 - random_share) / (1.0 + max(0, priority))
  bounded_s = min(max(MIN_WAIT_S, wait_s), MAX_WAIT_S)
  return bounded_s * (1.0 + SPREAD_SHARE * position)


def _estimate_shard_wait(
  upstreams: Sequence[inventory.Upstream], now: Seconds
) -> Seconds:
  return min(
    (_estimate_upstream_wait(upstream, now) for upstream in upstreams),
    default=math.inf,
  )


def _estimate_upstream_wait(
  upstream: inventory.Upstream, now: Seconds
) -> Seconds:
  """Returns when an upstream is tried again, or has served another request."""
  usable_at = max(upstream.health.down_until, upstream.instance.cold_until)
  return max(usable_at - now, upstream.health.latency_s or 0.0)
