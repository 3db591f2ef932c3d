"""Order of the requests that wait for a connection to an upstream.

Answers a load above what the upstreams of a service accept from this node, as
when one replica of a shard is left. A connection that becomes free goes to the
waiting request for which it is worth most.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

import attrs

from bronzefold.core.clock import Seconds

# Waiting requests to which a free connection is offered, at most. One declines
# only if it may not send any more, or if the upstream has become unusable.
MAX_OFFERS = 4
# Share of its latency objective after which a waiting request precedes new ones
# of the next priority, so that the less urgent ones are served too.
AGING_SHARE = 0.5


@attrs.define(eq=False)
class Waiter:
  """A request that waits for a connection to an upstream of a service.

  Attributes:
    service: Name of the service.
    upstream_ids: Ids of the upstreams that it may use, as of its last look.
    priority: Priority of its route; 0 is the most urgent.
    is_optional: Returns True if the caller can be answered without it, as far
      as is known by then.
    latency_objective_s: Latency objective of its route, in seconds.
    latest_start_at: Monotonic time after which its caller's response would be
      late.
    since: Monotonic time since which it waits.
    accept: Called with the monotonic time when a connection is free; returns
      True if the request was sent.
  """

  service: str
  upstream_ids: frozenset[str]
  priority: int
  is_optional: Callable[[], bool]
  latency_objective_s: Seconds
  latest_start_at: Seconds
  since: Seconds
  accept: Callable[[Seconds], bool]


def compute_rank(
  waiter: Waiter, now: Seconds
) -> tuple[bool, bool, float, Seconds]:
  """Computes the rank of a waiting request; the least is served first.

  Requests that their callers need precede those that they can do without. Then
  those precede that can still be in time: under a lasting overload, an order
  of arrival would make nearly all of them late. Then the priority counts.

  Args:
    waiter: The request.
    now: Monotonic time.
  """
  aging_s = max(1e-3, AGING_SHARE * waiter.latency_objective_s)
  is_late = now > waiter.latest_start_at
  priority = waiter.priority - (now - waiter.since) / aging_s
  return waiter.is_optional(), is_late, priority, waiter.latest_start_at


class SlotQueues:
  """Requests of this node that wait for connections, by service."""

  def __init__(self) -> None:
    self._waiters: dict[str, list[Waiter]] = collections.defaultdict(list)

  def add(self, waiter: Waiter) -> None:
    """Adds a waiting request."""
    self._waiters[waiter.service].append(waiter)

  def discard(self, waiter: Waiter) -> None:
    """Removes a request if it still waits."""
    waiters = self._waiters.get(waiter.service, [])
    if waiter in waiters:
      waiters.remove(waiter)

  def must_wait(self, waiter: Waiter, upstream_id: str, now: Seconds) -> bool:
    """True if a request that waits precedes a new one at an upstream.

    Args:
      waiter: The new request.
      upstream_id: Id of the upstream.
      now: Monotonic time.
    """
    waiters = self._list_waiters(waiter.service, upstream_id)
    if not waiters:
      return False
    rank = compute_rank(waiter, now)
    return any(compute_rank(other, now) <= rank for other in waiters)

  def offer(self, service: str, upstream_id: str, now: Seconds) -> None:
    """Offers a connection that became free to the waiting requests in order.

    Args:
      service: Name of the service of the connection's upstream.
      upstream_id: Id of that upstream.
      now: Monotonic time.
    """
    waiters = self._list_waiters(service, upstream_id)
    ordered = sorted(waiters, key=lambda waiter: compute_rank(waiter, now))
    for waiter in ordered[:MAX_OFFERS]:
      if waiter.accept(now):
        self.discard(waiter)
        return

  def _list_waiters(self, service: str, upstream_id: str) -> list[Waiter]:
    """Lists the waiting requests that may use an upstream."""
    return [
      waiter
      for waiter in self._waiters.get(service, ())
      if upstream_id in waiter.upstream_ids
    ]

  def count_waiting(self) -> int:
    """Counts the waiting requests of all services."""
    return sum(map(len, self._waiters.values()))
