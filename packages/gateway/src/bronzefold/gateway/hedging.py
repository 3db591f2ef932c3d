"""When a hedge is sent, and how much of the budget it may spend.

Answers a load in which most attempts succeed in time and a few do not: each
upstream pauses now and then, and some are slow for seconds. A search over many
shards always meets some of them, while the budget of extra requests covers a
fraction of its shards.
"""

from __future__ import annotations

import math

import attrs

from bronzefold.core import budgets
from bronzefold.core.clock import Seconds

EARLIEST_QUANTILE = 0.87
# A hedge that is sent this quantile of the latency before the response is due
# arrives in time, unless its upstream is late too.
LATE_QUANTILE = 0.97
LATE_FACTOR = 2.0  # times that quantile; few attempts that take longer end soon
MIN_DELAY_S = 0.008  # below all observed latency quantiles
# Share of the latency objective; the response to a later hedge would miss it.
MAX_DELAY_SHARE = 0.5
# Share of the latency objective, until latencies have been observed.
INITIAL_DELAY_SHARE = 0.3
# The rest of the budget is for shards without which a search fails.
OPTIONAL_BUDGET_SHARE = 0.85
# Share of the open shards that are expected not to respond in time.
SPARE_SHARE = 0.25


@attrs.frozen
class HedgePlan:
  """When the attempts of one request are hedged.

  Attributes:
    min_delay_s: Least time from the start of an attempt to its hedge.
    late_after_s: Time from its start after which an attempt counts as late.
    last_at: Monotonic time at which an attempt is hedged although it does not
      count as late.
  """

  min_delay_s: Seconds
  late_after_s: Seconds
  last_at: Seconds

  def get_time(self, started_at: Seconds, is_urgent: bool) -> Seconds:
    """Returns when to hedge an attempt.

    Args:
      started_at: Monotonic time at which the attempt started.
      is_urgent: True if its upstream is known not to respond at present, or if
        the search is likely to fail without its shard.

    Returns:
      The monotonic time.
    """
    earliest_at = started_at + self.min_delay_s
    if is_urgent:
      return earliest_at
    late_at = min(started_at + self.late_after_s, self.last_at)
    return max(earliest_at, late_at)


def plan_hedges(
  objective_s: Seconds,
  latencies: budgets.LatencyQuantile | None,
  respond_at: Seconds | None,
) -> HedgePlan:
  """Plans when the attempts of a request are hedged.

  Most attempts that are pending at ``EARLIEST_QUANTILE`` end soon after. A
  search waits for them until they are late, or until a hedge would no longer
  arrive in time, and keeps its budget for those that do not end. A plain
  request is not one of many shards, so it is hedged at the earliest time.

  Args:
    objective_s: Latency objective of the route, in seconds.
    latencies: Latencies of served attempts of the route.
    respond_at: Monotonic time at which the response to a search is due; None
      for a plain request.

  Returns:
    The plan.
  """
  earliest = latencies and latencies.get_estimate(EARLIEST_QUANTILE)
  if earliest is None:
    min_delay_s = INITIAL_DELAY_SHARE * objective_s
  else:
    min_delay_s = min(max(MIN_DELAY_S, earliest), MAX_DELAY_SHARE * objective_s)
  slow_s = latencies and latencies.get_estimate(LATE_QUANTILE)
  if respond_at is None or slow_s is None:
    return HedgePlan(min_delay_s, 0.0, -math.inf)
  return HedgePlan(min_delay_s, LATE_FACTOR * slow_s, respond_at - slow_s)


def is_needed(part_count: int, open_count: int, min_parts: int) -> bool:
  """Returns whether a search is likely to fail without an open shard.

  Args:
    part_count: Number of parts received.
    open_count: Number of shards that may still be served.
    min_parts: Number of parts without which the search fails.
  """
  spare_count = part_count + open_count - min_parts
  return part_count < min_parts and spare_count < SPARE_SHARE * open_count
