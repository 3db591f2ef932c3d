"""Registered upstreams and their state as observed by this node."""

from __future__ import annotations

import collections
from collections.abc import Callable
import logging

import attrs

from bronzefold.core import defaults
from bronzefold.core import events
from bronzefold.core import memory
from bronzefold.core.clock import Seconds
from bronzefold.gateway import health
from bronzefold.gateway import model
from bronzefold.gateway import ratelimits
from bronzefold.upstreams import channel

# The platform's limit of 3 s for requests to a leaving upstream, less up to
# 0.8 s until this node knows that it leaves, and 1 s of margin.
LEAVING_GRACE_S = 1.2
MAX_REPORT_DELAY_S = 2.0  # report period of 1.2 s and watch pause of 0.8 s


_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class Upstream:
  """A registered upstream and this node's observations of it.

  Attributes:
    instance: The last registration of the upstream.
    pool: Connections to the upstream.
    health: Estimates of latency and availability.
    leaving_since: Monotonic time at which this node was informed that the
      upstream leaves or has left; None while it stays.
    is_replaced: True once another upstream answered at the same address.
    announcement: The newest announcement of its rate limit.
    rate_limit: Its rate limit; None while it announces none.
    sent_count: Number of requests that this node has sent to it.
  """

  instance: model.Instance
  pool: channel.ChannelPool
  health: health.Health = attrs.field(factory=health.Health)
  leaving_since: Seconds | None = None
  is_replaced: bool = False
  announcement: ratelimits.Announcement = ratelimits.Announcement(None, 0.0)
  rate_limit: ratelimits.RateLimit | None = None
  sent_count: int = 0


class Inventory:
  """All upstreams and the evacuated zones.

  Upstreams that left a short time ago are included until ``expire``.

  Attributes:
    evacuated_zones: Availability zones that get no requests.
    limited_ids: Ids of the upstreams that announce a rate limit.
  """

  def __init__(
    self,
    get_connection_limit: Callable[[str], int],
    budget: memory.MemoryBudget | None = None,
  ) -> None:
    """Creates an empty inventory.

    Args:
      get_connection_limit: Returns, for the name of a service, how many
        connections this node may open to each of its upstreams.
      budget: The memory of all messages of this process; None for one of the
        default size.
    """
    self.evacuated_zones: set[str] = set()
    self.limited_ids: set[str] = set()
    self._get_connection_limit = get_connection_limit
    self._budget = budget or memory.MemoryBudget(
      defaults.MAX_MESSAGE_MEMORY_BYTES
    )
    self._upstreams: dict[str, Upstream] = {}
    self._by_service: dict[str, dict[str, Upstream]] = collections.defaultdict(
      dict
    )

  def list_candidates(self, service: str, now: Seconds) -> list[Upstream]:
    """Lists a service's upstreams that are not replaced, evacuated or gone.

    Leaving upstreams are included for ``LEAVING_GRACE_S``, for services that
    have no other upstream.

    Args:
      service: Name of the service.
      now: Monotonic time.

    Returns:
      The upstreams, including those that are down or cold.
    """
    return [
      upstream
      for upstream in self._by_service.get(service, {}).values()
      if upstream.instance.zone not in self.evacuated_zones
      and not upstream.is_replaced
      and (
        upstream.leaving_since is None
        or now - upstream.leaving_since < LEAVING_GRACE_S
      )
    ]

  def list_all(self) -> list[Upstream]:
    """Lists the upstreams that are registered."""
    return [
      upstream
      for upstream in self._upstreams.values()
      if upstream.leaving_since is None
    ]

  def find(self, instance_id: str) -> Upstream | None:
    """Returns the upstream of an instance; None if it is unknown."""
    return self._upstreams.get(instance_id)

  def apply_announcement(
    self, upstream: Upstream, announcement: ratelimits.Announcement
  ) -> bool:
    """Applies what an upstream said about its rate limit.

    Args:
      upstream: The upstream.
      announcement: The announcement, of a response to this node or to a peer.

    Returns:
      True if the limit has changed.
    """
    previous = upstream.announcement
    if announcement.observed_at <= previous.observed_at:
      return False
    upstream.announcement = announcement
    limit_per_s = announcement.limit_per_s
    if limit_per_s == previous.limit_per_s:
      return False
    if limit_per_s is None:
      upstream.rate_limit = None
      self.limited_ids.discard(upstream.instance.id)
    elif upstream.rate_limit is None:
      upstream.rate_limit = ratelimits.RateLimit(limit_per_s)
      self.limited_ids.add(upstream.instance.id)
    else:
      upstream.rate_limit.limit_per_s = limit_per_s
    events.RATE_LIMIT_CHANGED.log(
      _logger,
      instance=upstream.instance.id,
      service=upstream.instance.service,
      limit_per_s=limit_per_s,
      previous_per_s=previous.limit_per_s,
      sent=upstream.sent_count,
    )
    return True

  def register(self, instance: model.Instance, now: Seconds) -> bool:
    """Adds an upstream, or updates it by a new registration.

    Observations are kept unless the registration is of another process.

    Args:
      instance: The registration.
      now: Monotonic time.

    Returns:
      True if the registration differs from the previous one, apart from the
      remaining warm-up time.
    """
    existing = self._upstreams.get(instance.id)
    if existing is not None and _is_same_process(existing.instance, instance):
      previous = existing.instance
      cold_until = _merge_warm_up(previous.cold_until, instance.cold_until)
      instance = attrs.evolve(instance, cold_until=cold_until)
      existing.instance = instance
      if not instance.is_draining:
        existing.leaving_since = None
      elif existing.leaving_since is None:
        existing.leaving_since = now
      return attrs.evolve(previous, cold_until=instance.cold_until) != instance
    if existing is not None:
      self._remove(instance.id)
    limit = self._get_connection_limit(instance.service)
    pool = channel.ChannelPool(instance.address, limit, self._budget)
    upstream = Upstream(instance, pool)
    upstream.leaving_since = now if instance.is_draining else None
    self._upstreams[instance.id] = upstream
    self._by_service[instance.service][instance.id] = upstream
    return True

  def unregister(self, instance_id: str, now: Seconds) -> bool:
    """Marks an upstream as leaving because its registration is gone.

    Args:
      instance_id: Id of the instance.
      now: Monotonic time.

    Returns:
      True if the upstream was known and not yet leaving.
    """
    upstream = self._upstreams.get(instance_id)
    if upstream is None or upstream.leaving_since is not None:
      return False
    upstream.leaving_since = now
    return True

  def expire(self, now: Seconds, keep_s: Seconds) -> None:
    """Removes upstreams that left long ago and have no attempts in flight.

    Args:
      now: Monotonic time.
      keep_s: How long an upstream is kept after it left, in seconds.
    """
    expired_ids = [
      instance_id
      for instance_id, upstream in self._upstreams.items()
      if upstream.leaving_since is not None
      and now - upstream.leaving_since > keep_s
      and not upstream.health.in_flight
    ]
    for instance_id in expired_ids:
      self._remove(instance_id)

  def update_connection_limits(self) -> None:
    """Recomputes the connection limit of every pool.

    Must be called when this node's limit share or the configuration changed.
    """
    for upstream in self._upstreams.values():
      upstream.pool.limit = self._get_connection_limit(
        upstream.instance.service
      )

  def count_upstreams(self) -> int:
    """Counts all upstreams, including those that left a short time ago."""
    return len(self._upstreams)

  def _remove(self, instance_id: str) -> None:
    """Removes an upstream and closes its connections."""
    upstream = self._upstreams.pop(instance_id)
    upstream.pool.close()
    self.limited_ids.discard(instance_id)
    del self._by_service[upstream.instance.service][instance_id]


def _merge_warm_up(known_until: Seconds, reported_until: Seconds) -> Seconds:
  """Merges two estimates of the time at which an upstream is warm.

  A report states the time left when it was written, and is read later, so
  every estimate is late by that delay and the earliest one is the most
  accurate. A much later one means that the upstream has turned cold again.

  Args:
    known_until: Estimate so far, in monotonic time.
    reported_until: Estimate of the new report, in monotonic time.

  Returns:
    The merged estimate, in monotonic time.
  """
  if reported_until > known_until + MAX_REPORT_DELAY_S:
    return reported_until
  return min(known_until, reported_until)


def _is_same_process(old: model.Instance, new: model.Instance) -> bool:
  """True unless address, service or a known start time differ."""
  return (
    old.address == new.address
    and old.service == new.service
    and (old.born_ms == new.born_ms or not new.born_ms or not old.born_ms)
  )
