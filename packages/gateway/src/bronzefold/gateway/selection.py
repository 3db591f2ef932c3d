"""Choice among the upstreams of a service."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import itertools
import math

from bronzefold.core.clock import Seconds
from bronzefold.gateway import inventory

_DEFAULT_LATENCY_S = 0.02
_CROSS_ZONE_PENALTY_S = 0.03
# A rate limit announces that the upstream is overloaded.
_RATE_LIMIT_PENALTY_S = 0.03

RequestTokens = Callable[[inventory.Upstream, Seconds], None]


def choose_upstream(
  candidates: list[inventory.Upstream],
  excluded: Collection[str],
  zone: str,
  request_tokens: RequestTokens,
  now: Seconds,
) -> inventory.Upstream | None:
  """Chooses the upstream for a request.

  Upstreams that are not leaving are preferred to leaving ones, then responsive
  upstreams to stalled or failing ones. Among equals the lowest expected
  latency wins; it grows with the requests in flight, and traffic between zones
  has a penalty. One whose rate limit leaves this node no token is passed over,
  and tokens are requested for later.

  Args:
    candidates: Upstreams to choose from.
    excluded: Ids of upstreams that were already tried.
    zone: Availability zone of this node.
    request_tokens: Requests tokens for an upstream with a rate limit.
    now: Monotonic time.

  Returns:
    The upstream; None when all are excluded, down, cold, or without a free
    connection or a token.
  """
  available = [
    upstream
    for upstream in list_usable(candidates, excluded, now)
    if upstream.pool.has_capacity
  ]
  if len(available) < 2:
    is_free = available and has_token(available[0], request_tokens, now)
    return available[0] if is_free else None
  default_s = get_default_latency(available)

  def rank(upstream: inventory.Upstream) -> tuple[bool, bool, float]:
    health = upstream.health
    queue_factor = len(health.in_flight) / max(1, upstream.instance.slots)
    expected_s = health.estimate_latency(default_s, now) * (1.0 + queue_factor)
    if upstream.instance.zone != zone:
      expected_s += _CROSS_ZONE_PENALTY_S
    if upstream.rate_limit is not None:
      expected_s += _RATE_LIMIT_PENALTY_S
    return (
      upstream.leaving_since is not None,
      health.is_stalled(now) or health.failures > 0,
      expected_s,
    )

  while available:
    chosen = min(available, key=rank)
    if has_token(chosen, request_tokens, now):
      return chosen
    available.remove(chosen)
  return None


def has_token(
  upstream: inventory.Upstream, request_tokens: RequestTokens, now: Seconds
) -> bool:
  """Returns whether an upstream's rate limit permits a request now.

  Args:
    upstream: The upstream.
    request_tokens: Requests tokens if this node has none.
    now: Monotonic time.
  """
  limit = upstream.rate_limit
  if limit is None or limit.has_token(now):
    return True
  request_tokens(upstream, now)
  return limit.has_token(now)


def get_token_wait(
  upstreams: Iterable[inventory.Upstream], now: Seconds
) -> Seconds:
  """Returns the least time until the rate limit of one permits a request.

  Args:
    upstreams: Upstreams to choose from.
    now: Monotonic time.

  Returns:
    The time in seconds; infinite without upstreams.
  """
  waits = (
    0.0 if upstream.rate_limit is None else upstream.rate_limit.get_wait(now)
    for upstream in upstreams
  )
  return min(waits, default=math.inf)


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
