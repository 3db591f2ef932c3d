"""When a response is due at a caller, seen from this node."""

from __future__ import annotations

import math

from bronzefold.core.clock import Seconds
from bronzefold.gateway import model

# Time to merge and write a response, and to wait for the processor.
RESPONSE_RESERVE_S = 0.008
# Share of the latency objective. A caller that has spent more of it is sending
# the request again, or chose a shorter deadline than the route's timeout.
MAX_ELAPSED_SHARE = 0.5


def compute_response_time(
  request: model.Request, route: model.Route
) -> Seconds:
  """Computes when to send a response that reaches its caller in time.

  The latency objective counts from the moment at which the caller started. By
  then it had not yet found a node, connected, and sent the request. A caller
  whose deadline is shorter than the route's timeout states how long that took.

  Args:
    request: The caller's request.
    route: Its route.

  Returns:
    The monotonic time; for a caller that has spent most of the objective, as
    if it had just started.
  """
  objective_s = route.latency_objective_s
  elapsed_s = estimate_elapsed(request, route)
  if elapsed_s > MAX_ELAPSED_SHARE * objective_s:
    elapsed_s = 0.0
  left_s = objective_s - elapsed_s - request.round_trip_s - RESPONSE_RESERVE_S
  return request.received_at + max(0.0, left_s)


def estimate_elapsed(request: model.Request, route: model.Route) -> Seconds:
  """Estimates how long before it sent the request its caller had started.

  Args:
    request: The caller's request.
    route: Its route.

  Returns:
    The time in seconds; 0 if the request states no deadline.
  """
  stated_s = math.inf if request.timeout_s is None else request.timeout_s
  return max(0.0, route.timeout_s - stated_s)
