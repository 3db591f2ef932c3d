"""Changes read from the store, and how each is applied to a gateway."""

from __future__ import annotations

from collections.abc import Callable
import logging
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import attrs

from bronzefold.core import events
from bronzefold.core.clock import Seconds
from bronzefold.gateway import model
from bronzefold.gateway import rollouts

if TYPE_CHECKING:
  from bronzefold.gateway import gateway as gateways

_logger = logging.getLogger(__name__)


@attrs.frozen
class ConfigurationUpdate:
  """A configuration written by the operators.

  Attributes:
    configuration: The configuration.
  """

  configuration: model.Configuration


@attrs.frozen
class InstanceUpdate:
  """A registration or report of an upstream.

  Attributes:
    instance: The upstream as registered.
  """

  instance: model.Instance


@attrs.frozen
class InstanceRemoval:
  """The removal of an upstream's registration.

  Attributes:
    id: Id of the instance.
  """

  id: str


@attrs.frozen
class ZoneUpdate:
  """The evacuation of a zone by the operators, or the end of it.

  Attributes:
    zone: Name of the availability zone.
    is_evacuated: True while the zone gets no requests.
  """

  zone: str
  is_evacuated: bool


@attrs.frozen
class OrderUpdate:
  """An order of the operators to roll out a version of a service.

  Attributes:
    order: The order.
  """

  order: rollouts.RolloutOrder


@attrs.frozen
class OrderRemoval:
  """The withdrawal of a rollout order by the operators.

  Attributes:
    service: Name of the service.
  """

  service: str


@attrs.frozen
class RecordUpdate:
  """The state of a rollout, written by a node.

  Attributes:
    record: The record.
  """

  record: rollouts.RolloutRecord


@attrs.frozen
class RecordRemoval:
  """The removal of a rollout's record.

  Attributes:
    service: Name of the service.
  """

  service: str


@attrs.frozen
class InvalidEntry:
  """An entry of the store that cannot be decoded.

  Attributes:
    key: Key of the entry in the store.
    instance_id: Id of the upstream that the key names; empty for other
      entries.
    reason: Why the entry is invalid.
  """

  key: str
  instance_id: str
  reason: str


Change = (
  ConfigurationUpdate
  | InstanceUpdate
  | InstanceRemoval
  | ZoneUpdate
  | OrderUpdate
  | OrderRemoval
  | RecordUpdate
  | RecordRemoval
  | InvalidEntry
)

_T = TypeVar("_T")
_Applier = Callable[["gateways.Gateway", Any, Seconds], bool]
_Comparer = Callable[["gateways.Gateway", Any], bool]
_appliers: dict[type, _Applier] = {}
_comparers: dict[type, _Comparer] = {}


def _register(kind: type[_T]) -> Callable[[_Applier], _Applier]:
  def decorate(applier: _Applier) -> _Applier:
    _appliers[kind] = applier
    return applier

  return decorate


def _register_comparer(
  kind: type[_T],
) -> Callable[[_Comparer], _Comparer]:
  def decorate(comparer: _Comparer) -> _Comparer:
    _comparers[kind] = comparer
    return comparer

  return decorate


def apply_change(
  gateway: gateways.Gateway, change: Change, now: Seconds
) -> bool:
  """Applies a change to a gateway.

  Args:
    gateway: The gateway.
    change: The change.
    now: Monotonic time.

  Returns:
    True if the change had an effect on the gateway's state.
  """
  return _appliers[type(change)](gateway, change, now)


def is_certainly_newer(gateway: gateways.Gateway, change: Change) -> bool:
  """Returns whether a change is newer than what a gateway knows by its content.

  The revisions of a store that was restored from a copy do not tell that.

  Args:
    gateway: The gateway.
    change: A change that differs from the one that the gateway knows.

  Returns:
    True if it is newer; False if it may be older.
  """
  compare = _comparers.get(type(change))
  return compare is not None and compare(gateway, change)


@_register_comparer(ConfigurationUpdate)
def _has_higher_version(
  gateway: gateways.Gateway, change: ConfigurationUpdate
) -> bool:
  newest_version = gateway.newest_version
  return newest_version is None or change.configuration.version > newest_version


@_register_comparer(InstanceUpdate)
def _has_started_later(
  gateway: gateways.Gateway, change: InstanceUpdate
) -> bool:
  """True for a later start, and for one that leaves, which it never undoes."""
  known = gateway.upstreams.find(change.instance.id)
  if known is None:
    return False
  instance = change.instance
  if instance.born_ms == known.instance.born_ms:
    return instance.is_draining
  return instance.born_ms > known.instance.born_ms > 0


@_register(ConfigurationUpdate)
def _set_configuration(
  gateway: gateways.Gateway, change: ConfigurationUpdate, now: Seconds
) -> bool:
  return gateway.set_configuration(change.configuration, now)


@_register(InstanceUpdate)
def _set_instance(
  gateway: gateways.Gateway, change: InstanceUpdate, now: Seconds
) -> bool:
  instance = change.instance
  has_effect = gateway.upstreams.register(instance, now)
  if has_effect:
    events.INSTANCE_CHANGED.log(
      _logger,
      instance=instance.id,
      service=instance.service,
      address=instance.address,
      state="draining" if instance.is_draining else "ready",
      cold_ms=max(0, round((instance.cold_until - now) * 1e3)),
    )
  return has_effect


@_register(InstanceRemoval)
def _remove_instance(
  gateway: gateways.Gateway, change: InstanceRemoval, now: Seconds
) -> bool:
  has_effect = gateway.upstreams.unregister(change.id, now)
  if has_effect:
    events.INSTANCE_CHANGED.log(_logger, instance=change.id, state="removed")
  return has_effect


@_register(ZoneUpdate)
def _set_zone(
  gateway: gateways.Gateway, change: ZoneUpdate, now: Seconds
) -> bool:
  del now
  evacuated_zones = gateway.upstreams.evacuated_zones
  if change.is_evacuated == (change.zone in evacuated_zones):
    return False
  if change.is_evacuated:
    evacuated_zones.add(change.zone)
  else:
    evacuated_zones.discard(change.zone)
  events.ZONE_CHANGED.log(_logger, zone=change.zone, is_out=change.is_evacuated)
  return True


@_register(OrderUpdate)
def _set_order(
  gateway: gateways.Gateway, change: OrderUpdate, now: Seconds
) -> bool:
  order = change.order
  has_effect = gateway.rollouts.set_order(order, now)
  if has_effect:
    events.VERSION_MOVED.log(
      _logger,
      service=order.service,
      version=order.version,
      state="ordered",
      duration_s=order.duration_s,
    )
  return has_effect


@_register(OrderRemoval)
def _remove_order(
  gateway: gateways.Gateway, change: OrderRemoval, now: Seconds
) -> bool:
  del now
  has_effect = gateway.rollouts.cancel_order(change.service)
  if has_effect:
    events.VERSION_MOVED.log(_logger, service=change.service, state="withdrawn")
  return has_effect


@_register(RecordUpdate)
def _set_record(
  gateway: gateways.Gateway, change: RecordUpdate, now: Seconds
) -> bool:
  del now
  record = change.record
  has_effect = gateway.rollouts.set_record(record)
  if has_effect:
    events.VERSION_MOVED.log(
      _logger,
      service=record.service,
      version=record.version,
      state=record.state.value,
    )
  return has_effect


@_register(RecordRemoval)
def _remove_record(
  gateway: gateways.Gateway, change: RecordRemoval, now: Seconds
) -> bool:
  del now
  return gateway.rollouts.remove_record(change.service)


@_register(InvalidEntry)
def _refuse_entry(
  gateway: gateways.Gateway, change: InvalidEntry, now: Seconds
) -> bool:
  """Logs an invalid entry; an upstream that it names is unregistered."""
  events.ENTRY_REFUSED.log(_logger, key=change.key, reason=change.reason)
  if not change.instance_id:
    return False
  return gateway.upstreams.unregister(change.instance_id, now)
