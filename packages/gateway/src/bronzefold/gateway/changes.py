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
  ConfigurationSet | InstanceSet | InstanceRemoved | ZoneSet | EntryRefused
)

_T = TypeVar("_T")
_Applier = Callable[["gateways.Gateway", Any, Seconds], None]
_appliers: dict[type, _Applier] = {}


def _register(kind: type[_T]) -> Callable[[_Applier], _Applier]:
  def decorate(applier: _Applier) -> _Applier:
    _appliers[kind] = applier
    return applier

  return decorate


def apply_change(
  gateway: gateways.Gateway, change: Change, now: Seconds
) -> None:
  """Applies a change to a gateway.

  Args:
    gateway: The gateway.
    change: The change.
    now: Monotonic time.
  """
  _appliers[type(change)](gateway, change, now)


@_register(ConfigurationSet)
def _set_configuration(
  gateway: gateways.Gateway, change: ConfigurationSet, now: Seconds
) -> None:
  gateway.set_configuration(change.configuration, now)


@_register(InstanceSet)
def _set_instance(
  gateway: gateways.Gateway, change: InstanceSet, now: Seconds
) -> None:
  instance = change.instance
  if gateway.upstreams.apply(instance, now):
    events.INSTANCE_CHANGED.log(
      _logger,
      instance=instance.id,
      service=instance.service,
      address=instance.address,
      state="draining" if instance.draining else "ready",
      cold_ms=max(0, round((instance.cold_until - now) * 1e3)),
    )


@_register(InstanceRemoved)
def _remove_instance(
  gateway: gateways.Gateway, change: InstanceRemoved, now: Seconds
) -> None:
  if gateway.upstreams.remove(change.id, now):
    events.INSTANCE_CHANGED.log(_logger, instance=change.id, state="removed")


@_register(ZoneSet)
def _set_zone(gateway: gateways.Gateway, change: ZoneSet, now: Seconds) -> None:
  del now
  evacuated = gateway.upstreams.evacuated
  if change.is_out == (change.zone in evacuated):
    return
  if change.is_out:
    evacuated.add(change.zone)
  else:
    evacuated.discard(change.zone)
  events.ZONE_CHANGED.log(_logger, zone=change.zone, is_out=change.is_out)


@_register(EntryRefused)
def _refuse_entry(
  gateway: gateways.Gateway, change: EntryRefused, now: Seconds
) -> None:
  events.ENTRY_REFUSED.log(_logger, key=change.key, reason=change.reason)
  if change.instance_id:
    gateway.upstreams.remove(change.instance_id, now)
