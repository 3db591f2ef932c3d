"""What a node still accepts during a graceful stop.

Answers the requests that arrive on connections that callers keep, after the
stop has begun and before the node closes them.
"""

from __future__ import annotations

import math

import attrs

from bronzefold.core.clock import Seconds

RUNNING: Seconds = math.inf  # time of the last response while no stop has begun
# Share of a latency objective that a request needs to be likely to finish; a
# request that may not be repeated needs more, since its caller can't recover.
_NEEDED_OBJECTIVES = 1.0
_NEEDED_OBJECTIVES_ONCE = 4.0


@attrs.frozen
class Demand:
  """What a request needs of a node that stops.

  Attributes:
    latency_objective_s: Latency objective of its route, in seconds.
    timeout_s: Longest time that it may take, in seconds.
    is_repeatable: True if it may run more than once.
  """

  latency_objective_s: Seconds
  timeout_s: Seconds
  is_repeatable: bool


def may_accept(demand: Demand, answer_by: Seconds, now: Seconds) -> bool:
  """Returns whether a request can be expected to finish before the stop.

  Args:
    demand: What the request needs.
    answer_by: Monotonic time of the last response; ``RUNNING`` without a stop.
    now: Monotonic time.
  """
  objectives = (
    _NEEDED_OBJECTIVES if demand.is_repeatable else _NEEDED_OBJECTIVES_ONCE
  )
  needed_s = min(demand.timeout_s, objectives * demand.latency_objective_s)
  return now + needed_s <= answer_by


def limit_deadline(deadline: Seconds, answer_by: Seconds) -> Seconds:
  """Returns the deadline of a request that was accepted.

  It ends with the last response of the node, so that the caller gets an answer
  and no closed connection.

  Args:
    deadline: Monotonic time at which the caller's own time ends.
    answer_by: Monotonic time of the last response; ``RUNNING`` without a stop.
  """
  return min(deadline, answer_by)
