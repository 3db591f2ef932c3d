"""Choice among the upstreams of a service."""

from __future__ import annotations

from collections.abc import Collection
import itertools

from bronzefold.core.clock import Seconds
from bronzefold.gateway import inventory

_USUAL_LATENCY_S = 0.02
_ZONE_PENALTY_S = 0.03


def choose_upstream(
  candidates: list[inventory.Upstream],
  excluded: Collection[str],
  zone: str,
  now: Seconds,
) -> inventory.Upstream | None:
  """Chooses an upstream.

  Upstreams that stay go before those that leave, answering ones before
  stalled ones; then the least expected latency, with a penalty for bytes
  between zones.

  Args:
    candidates: Upstreams that may be used.
    excluded: Ids of upstreams that were tried.
    zone: Availability zone of this node.
    now: Monotonic time.

  Returns:
    The upstream; None when all are excluded, down, cold or without a free
    connection.
  """
  usable = [
    upstream
    for upstream in list_usable(candidates, excluded, now)
    if upstream.pool.has_room
  ]
  if len(usable) < 2:
    return usable[0] if usable else None
  usual_s = get_usual_latency(usable)

  def rank(upstream: inventory.Upstream) -> tuple[bool, bool, float]:
    seen = upstream.health
    waiting = len(seen.in_flight) / max(1, upstream.instance.slots)
    expected_s = seen.estimate_latency(usual_s, now) * (1.0 + waiting)
    if upstream.instance.zone != zone:
      expected_s += _ZONE_PENALTY_S
    return (
      upstream.leaving_since is not None,
      seen.is_stalled(now) or seen.failures > 0,
      expected_s,
    )

  return min(usable, key=rank)


def list_usable(
  candidates: list[inventory.Upstream], excluded: Collection[str], now: Seconds
) -> list[inventory.Upstream]:
  """Lists the candidates that are neither excluded nor down nor cold."""
  return [
    upstream
    for upstream in candidates
    if upstream.instance.id not in excluded
    and not upstream.health.is_down(now)
    and upstream.instance.cold_until <= now
  ]


def get_usual_latency(upstreams: list[inventory.Upstream]) -> Seconds:
  """Returns the latency to expect of an upstream that was not observed."""
  seen = (upstream.health.latency_s for upstream in upstreams)
  known = (latency_s for latency_s in seen if latency_s is not None)
  return min(itertools.chain(known, (_USUAL_LATENCY_S,)))
