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
class ConfigurationUpdate:
  """The operators have put a configuration in force."""

  configuration: model.Configuration


@attrs.frozen
class InstanceUpdate:
  """An upstream has registered or reported."""

  instance: model.Instance


@attrs.frozen
class InstanceRemoval:
  """A registration has vanished."""

  id: str


@attrs.frozen
class ZoneUpdate:
  """The operators took a zone out, or back in."""

  zone: str
  is_out: bool


@attrs.frozen
class OrderUpdate:
  """The operators order a service's move to another version."""

  order: rollouts.RolloutOrder


@attrs.frozen
class OrderRemoval:
  """The operators have withdrawn such an order."""

  service: str


@attrs.frozen
class RecordUpdate:
  """A node has written how far a move has come."""

  record: rollouts.RolloutRecord


@attrs.frozen
class RecordRemoval:
  """Such a record has vanished."""

  service: str


@attrs.frozen
class InvalidEntry:
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
  is_news = gateway.upstreams.register(instance, now)
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


@_register(InstanceRemoval)
def _remove_instance(
  gateway: gateways.Gateway, change: InstanceRemoval, now: Seconds
) -> bool:
  is_news = gateway.upstreams.unregister(change.id, now)
  if is_news:
    events.INSTANCE_CHANGED.log(_logger, instance=change.id, state="removed")
  return is_news


@_register(ZoneUpdate)
def _set_zone(
  gateway: gateways.Gateway, change: ZoneUpdate, now: Seconds
) -> bool:
  del now
  evacuated = gateway.upstreams.evacuated_zones
  if change.is_out == (change.zone in evacuated):
    return False
  if change.is_out:
    evacuated.add(change.zone)
  else:
    evacuated.discard(change.zone)
  events.ZONE_CHANGED.log(_logger, zone=change.zone, is_out=change.is_out)
  return True


@_register(OrderUpdate)
def _set_order(
  gateway: gateways.Gateway, change: OrderUpdate, now: Seconds
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


@_register(OrderRemoval)
def _remove_order(
  gateway: gateways.Gateway, change: OrderRemoval, now: Seconds
) -> bool:
  del now
  is_news = gateway.rollouts.cancel_order(change.service)
  if is_news:
    events.VERSION_MOVED.log(_logger, service=change.service, state="withdrawn")
  return is_news


@_register(RecordUpdate)
def _set_record(
  gateway: gateways.Gateway, change: RecordUpdate, now: Seconds
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
  events.ENTRY_REFUSED.log(_logger, key=change.key, reason=change.reason)
  if not change.instance_id:
    return False
  return gateway.upstreams.unregister(change.instance_id, now)
