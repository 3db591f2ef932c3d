"""Changes that operators and upstreams make, and what they do to a gateway."""

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
class ConfigurationSet:
  """The operators have put a configuration in force."""

  configuration: model.Configuration


@attrs.frozen
class InstanceSet:
  """An upstream has registered or reported."""

  instance: model.Instance


@attrs.frozen
class InstanceRemoved:
  """A registration has vanished."""

  id: str


@attrs.frozen
class ZoneSet:
  """The operators took a zone out, or back in."""

  zone: str
  is_out: bool


@attrs.frozen
class OrderSet:
  """The operators order a service's move to another version."""

  order: rollouts.Order


@attrs.frozen
class OrderRemoved:
  """The operators have withdrawn such an order."""

  service: str


@attrs.frozen
class RecordSet:
  """A node has written how far a move has come."""

  record: rollouts.Record


@attrs.frozen
class RecordRemoved:
  """Such a record has vanished."""

  service: str


@attrs.frozen
class EntryRefused:
  """An entry that cannot be used.

  Attributes:
    key: Its key in the store.
    instance_id: The upstream that it would name, empty for other entries.
    reason: What is wrong.
  """

  key: str
  instance_id: str
  reason: str


Change = (
  ConfigurationSet
  | InstanceSet
  | InstanceRemoved
  | ZoneSet
  | OrderSet
  | OrderRemoved
  | RecordSet
  | RecordRemoved
  | EntryRefused
)

_T = TypeVar("_T")
_Applier = Callable[["gateways.Gateway", Any, Seconds], bool]
_appliers: dict[type, _Applier] = {}


def _register(kind: type[_T]) -> Callable[[_Applier], _Applier]:
  def decorate(applier: _Applier) -> _Applier:
    _appliers[kind] = applier
    return applier

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
    True when it changed what the gateway believes.
  """
  return _appliers[type(change)](gateway, change, now)


@_register(ConfigurationSet)
def _set_configuration(
  gateway: gateways.Gateway, change: ConfigurationSet, now: Seconds
) -> bool:
  return gateway.set_configuration(change.configuration, now)


@_register(InstanceSet)
def _set_instance(
  gateway: gateways.Gateway, change: InstanceSet, now: Seconds
) -> bool:
  instance = change.instance
  is_news = gateway.upstreams.apply(instance, now)
  if is_news:
    events.INSTANCE_CHANGED.log(
      _logger,
      instance=instance.id,
      service=instance.service,
      address=instance.address,
      state="draining" if instance.draining else "ready",
      cold_ms=max(0, round((instance.cold_until - now) * 1e3)),
    )
  return is_news


@_register(InstanceRemoved)
def _remove_instance(
  gateway: gateways.Gateway, change: InstanceRemoved, now: Seconds
) -> bool:
  is_news = gateway.upstreams.remove(change.id, now)
  if is_news:
    events.INSTANCE_CHANGED.log(_logger, instance=change.id, state="removed")
  return is_news


@_register(ZoneSet)
def _set_zone(gateway: gateways.Gateway, change: ZoneSet, now: Seconds) -> bool:
  del now
  evacuated = gateway.upstreams.evacuated
  if change.is_out == (change.zone in evacuated):
    return False
  if change.is_out:
    evacuated.add(change.zone)
  else:
    evacuated.discard(change.zone)
  events.ZONE_CHANGED.log(_logger, zone=change.zone, is_out=change.is_out)
  return True


@_register(OrderSet)
def _set_order(
  gateway: gateways.Gateway, change: OrderSet, now: Seconds
) -> bool:
  order = change.order
  is_news = gateway.rollouts.set_order(order, now)
  if is_news:
    events.VERSION_MOVED.log(
      _logger,
      service=order.service,
      version=order.version,
      state="ordered",
      duration_s=order.duration_s,
    )
  return is_news


@_register(OrderRemoved)
def _remove_order(
  gateway: gateways.Gateway, change: OrderRemoved, now: Seconds
) -> bool:
  del now
  is_news = gateway.rollouts.cancel_order(change.service)
  if is_news:
    events.VERSION_MOVED.log(_logger, service=change.service, state="withdrawn")
  return is_news


@_register(RecordSet)
def _set_record(
  gateway: gateways.Gateway, change: RecordSet, now: Seconds
) -> bool:
  del now
  record = change.record
  is_news = gateway.rollouts.set_record(record)
  if is_news:
    events.VERSION_MOVED.log(
      _logger,
      service=record.service,
      version=record.version,
      state=record.state.value,
    )
  return is_news


@_register(RecordRemoved)
def _remove_record(
  gateway: gateways.Gateway, change: RecordRemoved, now: Seconds
) -> bool:
  del now
  return gateway.rollouts.remove_record(change.service)


@_register(EntryRefused)
def _refuse_entry(
  gateway: gateways.Gateway, change: EntryRefused, now: Seconds
) -> bool:
  events.ENTRY_REFUSED.log(_logger, key=change.key, reason=change.reason)
  if not change.instance_id:
    return False
  return gateway.upstreams.remove(change.instance_id, now)
