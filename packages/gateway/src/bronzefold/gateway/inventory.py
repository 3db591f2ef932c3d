"""The upstreams that may be used, as they have registered themselves."""

from __future__ import annotations

import collections
from collections.abc import Callable

import attrs

from bronzefold.core.clock import Seconds
from bronzefold.gateway import health
from bronzefold.gateway import model
from bronzefold.upstreams import channel

LEAVING_GRACE_S = 1.2  # the users' 3 s, less 0.8 s to learn and 1 s to spare
MAX_REPORT_DELAY_S = 2.0  # heartbeat of 1.2 s and pause of a watch of 0.8 s


@attrs.define(eq=False)
class Upstream:
  """A registered upstream with what this node has seen of it.

  Attributes:
    instance: Its last registration.
    pool: Connections to it.
    health: Estimates.
    leaving_since: Monotonic time at which its leaving was learned.
    is_replaced: True once another upstream answered at its address.
  """

  instance: model.Instance
  pool: channel.ChannelPool
  health: health.Health = attrs.field(factory=health.Health)
  leaving_since: Seconds | None = None
  is_replaced: bool = False


class Inventory:
  """All registered upstreams and the zones that are taken out.

  Attributes:
    evacuated: Availability zones that get no requests.
  """

  def __init__(self, get_limit: Callable[[str], int]) -> None:
    """Creates an empty inventory.

    Args:
      get_limit: Returns this node's share of the connections of an upstream
        of a service.
    """
    self.evacuated_zones: set[str] = set()
    self._get_limit = get_limit
    self._upstreams: dict[str, Upstream] = {}
    self._by_service: dict[str, dict[str, Upstream]] = collections.defaultdict(
      dict
    )

  def list_candidates(self, service: str, now: Seconds) -> list[Upstream]:
    """Lists the upstreams of a service that may get a request now.

    Those that leave are among them for ``LEAVING_GRACE_S``, for services
    that have no other.
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

  def register(self, instance: model.Instance, now: Seconds) -> bool:
    """Applies a registration.

    Returns:
      True when it changed what this node believes.
    """
    known = self._upstreams.get(instance.id)
    if known is not None and _is_same_process(known.instance, instance):
      before = known.instance
      cold_until = _merge_warm_up(before.cold_until, instance.cold_until)
      instance = attrs.evolve(instance, cold_until=cold_until)
      known.instance = instance
      if not instance.draining:
        known.leaving_since = None
      elif known.leaving_since is None:
        known.leaving_since = now
      return attrs.evolve(before, cold_until=instance.cold_until) != instance
    if known is not None:
      self._drop(instance.id)
    limit = self._get_limit(instance.service)
    pool = channel.ChannelPool(instance.address, limit)
    upstream = Upstream(instance, pool)
    upstream.leaving_since = now if instance.draining else None
    self._upstreams[instance.id] = upstream
    self._by_service[instance.service][instance.id] = upstream
    return True

  def unregister(self, instance_id: str, now: Seconds) -> bool:
    """Takes note that a registration is gone.

    Returns:
      True when it changed what this node believes.
    """
    upstream = self._upstreams.get(instance_id)
    if upstream is None or upstream.leaving_since is not None:
      return False
    upstream.leaving_since = now
    return True

  def expire(self, now: Seconds, keep_s: Seconds) -> None:
    """Forgets upstreams that left longer than ``keep_s`` ago."""
    gone = [
      instance_id
      for instance_id, upstream in self._upstreams.items()
      if upstream.leaving_since is not None
      and now - upstream.leaving_since > keep_s
      and not upstream.health.in_flight
    ]
    for instance_id in gone:
      self._drop(instance_id)

  def update_connection_limits(self) -> None:
    """Applies a changed number of nodes or configuration to all pools."""
    for upstream in self._upstreams.values():
      upstream.pool.limit = self._get_limit(upstream.instance.service)

  def count_upstreams(self) -> int:
    """Counts the registered upstreams."""
    return len(self._upstreams)

  def _drop(self, instance_id: str) -> None:
    upstream = self._upstreams.pop(instance_id)
    upstream.pool.close()
    del self._by_service[upstream.instance.service][instance_id]


def _merge_warm_up(known_until: Seconds, told_until: Seconds) -> Seconds:
  """Returns when an upstream is warm, from two reports of it.

  A report tells the time left at its writing and is read later, so the
  earliest estimate is the truest, unless the upstream has turned cold again.
  """
  if told_until > known_until + MAX_REPORT_DELAY_S:
    return told_until
  return min(known_until, told_until)


def _is_same_process(old: model.Instance, new: model.Instance) -> bool:
  return (
    old.address == new.address
    and old.service == new.service
    and (old.born_ms == new.born_ms or not new.born_ms or not old.born_ms)
  )
