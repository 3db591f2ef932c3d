"""Choice among the upstreams of a service."""

from __future__ import annotations

from collections.abc import Collection
import itertools

from bronzefold.core.clock import Seconds
from bronzefold.gateway import inventory

_DEFAULT_LATENCY_S = 0.02
_CROSS_ZONE_PENALTY_S = 0.03


def choose_upstream(
  candidates: list[inventory.Upstream],
  excluded: Collection[str],
  zone: str,
  now: Seconds,
) -> inventory.Upstream | None:
  """Chooses the upstream for a request.

  Upstreams that are not leaving are preferred to leaving ones, then responsive
  upstreams to stalled or failing ones. Among equals the lowest expected
  latency wins; it grows with the requests in flight, and traffic between zones
  has a penalty.

  Args:
    candidates: Upstreams to choose from.
    excluded: Ids of upstreams that were already tried.
    zone: Availability zone of this node.
    now: Monotonic time.

  Returns:
    The upstream; None when all are excluded, down, cold or without a free
    connection.
  """
  available = [
    upstream
    for upstream in list_usable(candidates, excluded, now)
    if upstream.pool.has_capacity
  ]
  if len(available) < 2:
    return available[0] if available else None
  default_s = get_default_latency(available)

  def rank(upstream: inventory.Upstream) -> tuple[bool, bool, float]:
    health = upstream.health
    queue_factor = len(health.in_flight) / max(1, upstream.instance.slots)
    expected_s = health.estimate_latency(default_s, now) * (1.0 + queue_factor)
    if upstream.instance.zone != zone:
      expected_s += _CROSS_ZONE_PENALTY_S
    return (
      upstream.leaving_since is not None,
      health.is_stalled(now) or health.failures > 0,
      expected_s,
    )

  return min(available, key=rank)


def list_usable(
  candidates: list[inventory.Upstream], excluded: Collection[str], now: Seconds
) -> list[inventory.Upstream]:
  """Lists the candidates that are not excluded, down or cold.

  Args:
    candidates: Upstreams to choose from.
    excluded: Ids of upstreams to leave out.
    now: Monotonic time.
  """
  return [
    upstream
    for upstream in candidates
    if upstream.instance.id not in excluded
    and not upstream.health.is_down(now)
    and upstream.instance.cold_until <= now
  ]


def get_default_latency(upstreams: list[inventory.Upstream]) -> Seconds:
  """Returns the latency to assume for an upstream without observations.

  It is the lowest observed latency of the given upstreams, at most 20 ms.
  """
  latencies = (upstream.health.latency_s for upstream in upstreams)
  observed = (latency_s for latency_s in latencies if latency_s is not None)
  return min(itertools.chain(observed, (_DEFAULT_LATENCY_S,)))
