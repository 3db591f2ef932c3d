"""Follows the store: configuration, upstreams, and the nodes of the fleet."""

from __future__ import annotations

from collections.abc import Callable
import logging
import secrets

import anyio

from bronzefold import store
from bronzefold.core import clock
from bronzefold.core import events
from bronzefold.core import exceptions
from bronzefold.gateway import changes
from bronzefold.gateway import fleet
from bronzefold.gateway import gateway as gateways
from bronzefold.gateway import settings

WATCH_WAIT_S = 5.0
WATCH_PAUSE_S = 0.8
RETRY_PAUSE_S = 0.25
LEASE_TTL_S = 4.0
RENEWAL_S = 1.3
FORGET_AFTER_S = 30.0

NODE_PREFIX = "bronzefold/nodes/"

_logger = logging.getLogger(__name__)

ReadChange = Callable[[store.Entry, float], changes.Change | None]


class StoreFollower:
  """Applies what the store holds, and keeps this node registered."""

  def __init__(
    self,
    own: settings.GatewaySettings,
    client: store.StoreClient,
    gateway: gateways.Gateway,
    members: fleet.Fleet,
    read_change: ReadChange,
  ) -> None:
    """Creates a follower; its ``run_`` methods are tasks.

    Args:
      own: Settings of this node.
      client: The store.
      gateway: Where changes are applied.
      members: The nodes of the fleet.
      read_change: Translates an entry; None for keys without meaning here.
    """
    self._own = own
    self._client = client
    self._gateway = gateway
    self._members = members
    self._read_change = read_change
    self._revision = 0
    self._lease: int | None = None
    self._key = f"{NODE_PREFIX}{own.node}/{secrets.token_hex(4)}"
    self._is_registered = False
    self._is_reachable = True
    self._is_leaving = False

  async def run_watch(self) -> None:
    """Applies the store's content and then its changes, until cancelled.

    Upstreams report about every second each; the pause gathers many reports
    into one call.
    """
    while True:
      try:
        await self._read_all()
        while True:
          await anyio.sleep(WATCH_PAUSE_S)
          await self._read_changes()
      except exceptions.PlatformError as error:
        self._note_unreachable(error)
      await anyio.sleep(RETRY_PAUSE_S)

  async def run_lease(self) -> None:
    """Keeps this node's registration until it leaves."""
    while not self._is_leaving:
      try:
        await self._renew()
      except exceptions.LeaseLapsedError:
        events.LEASE_LAPSED.log(_logger, node=self._own.node)
        self._lease = None
        self._is_registered = False
        continue
      except exceptions.PlatformError as error:
        self._note_unreachable(error)
        await anyio.sleep(RETRY_PAUSE_S)
        continue
      await anyio.sleep(RENEWAL_S)

  async def leave(self) -> None:
    """Ends the registration."""
    self._is_leaving = True
    if self._lease is None:
      return
    try:
      await self._client.revoke_lease(self._lease)
    except exceptions.PlatformError as error:
      self._note_unreachable(error)

  async def _read_all(self) -> None:
    if self._revision:
      try:
        await self._read_changes()
        return
      except exceptions.HistoryGoneError as error:
        events.HISTORY_GONE.log(_logger, reason=error.detail)
    listing = await self._client.list_prefix("")
    self._note_reachable()
    now = clock.read_monotonic()
    for entry in listing.entries:
      self._apply(entry, now)
    self._drop_missing(listing, now)
    self._revision = listing.revision

  def _drop_missing(self, listing: store.Listing, now: float) -> None:
    named = {
      change.instance.id
      for change in (self._read_change(e, now) for e in listing.entries)
      if isinstance(change, changes.InstanceSet)
    }
    for instance in self._gateway.upstreams.retain(named, now):
      events.INSTANCE_CHANGED.log(_logger, instance=instance, state="missing")
    zones = {
      change.zone
      for change in (self._read_change(e, now) for e in listing.entries)
      if isinstance(change, changes.ZoneSet)
    }
    for zone in self._gateway.upstreams.evacuated - zones:
      self._gateway.apply(changes.ZoneSet(zone, is_out=False), now)
    keys = {entry.key for entry in listing.entries}
    self._members.retain(keys)

  async def _read_changes(self) -> None:
    listing = await self._client.watch("", self._revision, WATCH_WAIT_S)
    self._note_reachable()
    now = clock.read_monotonic()
    for entry in listing.entries:
      self._apply(entry, now)
    self._revision = max(self._revision, listing.revision)
    self._gateway.upstreams.expire(now, FORGET_AFTER_S)

  def _apply(self, entry: store.Entry, now: float) -> None:
    if entry.key.startswith(NODE_PREFIX):
      self._members.apply(entry)
      self._gateway.set_node_count(self._members.count_nodes(now))
      return
    change = self._read_change(entry, now)
    if change is not None:
      self._gateway.apply(change, now)

  async def _renew(self) -> None:
    if self._lease is None:
      self._lease = (await self._client.create_lease(LEASE_TTL_S)).lease
    else:
      await self._client.renew_lease(self._lease)
    if not self._is_registered and not self._is_leaving:
      value = self._members.encode_own()
      try:
        await self._client.put(self._key, value, 0, self._lease)
      except exceptions.ConflictError:
        # The reply to an earlier write was lost; it may hang on another lease.
        self._key = f"{NODE_PREFIX}{self._own.node}/{secrets.token_hex(4)}"
        return
      self._is_registered = True

  def _note_reachable(self) -> None:
    if not self._is_reachable:
      self._is_reachable = True
      events.PLATFORM_FOUND.log(_logger)

  def _note_unreachable(self, error: exceptions.PlatformError) -> None:
    if self._is_reachable:
      self._is_reachable = False
      events.PLATFORM_LOST.log(_logger, reason=error.detail)
