"""This node's session with the platform: lease, registration and watch."""

from __future__ import annotations

import logging

import anyio
import attrs
import msgspec

from bronzefold import store
from bronzefold.core import clock
from bronzefold.core import defaults
from bronzefold.core import events
from bronzefold.core import exceptions
from bronzefold.core import settings
from bronzefold.node import configuration
from bronzefold.peers import membership
from bronzefold.store import keys

_VM_LIST_PERIOD_S = 1.0

_logger = logging.getLogger(__name__)


@attrs.frozen
class HeldLease:
  """The lease of this node.

  Attributes:
    lease: Number of the lease.
    valid_until: Monotonic time until which it surely has not lapsed.
  """

  lease: int
  valid_until: clock.Seconds


class StoreSession:
  """Keeps this node's lease and registration, and follows the changes."""

  def __init__(
    self,
    own: settings.Settings,
    client: store.StoreClient,
    config: configuration.Configuration,
    members: membership.Membership,
  ) -> None:
    """Creates a session; its ``run_`` methods are tasks of the node.

    Args:
      own: Settings of this node.
      client: The platform.
      config: The configuration, to which changes are applied.
      members: The nodes.
    """
    self._own = own
    self._client = client
    self._config = config
    self._members = members
    self._lease: HeldLease | None = None
    self._registered_state = ""
    self._registered_at = 0
    self._reachable = True
    self._watch_scope: anyio.CancelScope | None = None
    self._confirmed = False
    self.leaving_vm_addresses: frozenset[str] = frozenset()

  def get_lease(self, now: clock.Seconds) -> HeldLease | None:
    """Returns the lease, None unless it surely has not lapsed.

    It is withheld until this node is registered under it, so that every claim
    attached to it has a higher revision than the registration.
    """
    lease = self._lease
    if lease is None or now >= lease.valid_until or not self._registered_at:
      return None
    return lease

  def is_under_lease(self, revision: int) -> bool:
    """True when a claim of this revision is attached to the present lease.

    Claims that name this node but are older belong to an earlier process of
    the same name; they may vanish at any moment.
    """
    return 0 < self._registered_at < revision

  async def run_lease(self) -> None:
    """Renews the lease and the registration until cancelled."""
    woken_at = clock.read_monotonic()
    while True:
      self._notice_pause(woken_at, clock.read_monotonic())
      woken_at = clock.read_monotonic()
      try:
        await self._renew()
        await self._register()
        self._note_reachable(woken_at)
      except exceptions.LeaseLapsedError:
        events.LEASE_LAPSED.log(_logger, node=self._own.node)
        self._lease = None
        continue
      except exceptions.StoreError as error:
        self._note_unreachable(error)
      await anyio.sleep(self._own.lease_renewal_s)

  async def run_watch(self) -> None:
    """Applies changes of the shared keys until cancelled."""
    while True:
      with anyio.CancelScope() as self._watch_scope:
        await self._follow_changes()

  async def _follow_changes(self) -> None:
    """Reads all shared keys, then their changes."""
    asked_at = clock.read_monotonic()
    try:
      listing = await self._client.list_prefix(keys.SHARED_PREFIX)
      self._config.apply_listing(listing)
      self._confirmed = True
      while True:
        self._note_reachable(asked_at)
        asked_at = clock.read_monotonic()
        listing = await self._client.watch(
          keys.SHARED_PREFIX, self._config.revision, defaults.WATCH_WAIT_S
        )
        self._config.apply_changes(listing.entries, listing.revision)
    except exceptions.StoreError as error:
      self._note_unreachable(error)
      await anyio.sleep(defaults.STORE_RETRY_S)

  def _notice_pause(self, last_at: clock.Seconds, now: clock.Seconds) -> None:
    """Reads everything anew after the process was paused.

    Until then no reply of the platform makes this node current.
    """
    if now - last_at > self._own.lease_renewal_s + defaults.MIN_PROCESS_PAUSE_S:
      self._confirmed = False
      if self._watch_scope is not None:
        self._watch_scope.cancel()

  async def run_vm_poll(self) -> None:
    """Follows the platform's list of VMs until cancelled."""
    while True:
      try:
        listing = await self._client.list_vms()
        self.leaving_vm_addresses = frozenset(
          vm.address for vm in listing.vms if vm.state == "leaving"
        )
      except exceptions.StoreError as error:
        self._note_unreachable(error)
      await anyio.sleep(_VM_LIST_PERIOD_S)

  async def revoke_lease(self) -> None:
    """Ends the lease, and with it the registration and all claims."""
    lease, self._lease = self._lease, None
    if lease is None:
      return
    try:
      await self._client.revoke_lease(lease.lease)
    except exceptions.StoreError as error:
      self._note_unreachable(error)

  async def _renew(self) -> None:
    # Counted from before the call: the platform counts from later.
    started = clock.read_monotonic()
    if self._lease is None:
      created = await self._client.create_lease(self._own.lease_ttl_s)
      number = created.lease
      self._registered_state = ""
      self._registered_at = 0
    else:
      number = self._lease.lease
      await self._client.renew_lease(number)
    valid_s = self._own.lease_ttl_s - defaults.OWNERSHIP_MARGIN_S
    self._lease = HeldLease(number, started + valid_s)

  async def _register(self) -> None:
    own = self._members.own_member
    if self._registered_state == own.state:
      return
    key = keys.NODE_PREFIX + own.node
    value = msgspec.json.encode(own).decode()
    current = await self._client.get(key)
    expected = current.revision if current else 0
    revision = await self._client.put(key, value, expected, self._lease.lease)
    self._registered_state = own.state
    self._registered_at = self._registered_at or revision

  def _note_reachable(self, asked_at: clock.Seconds) -> None:
    if self._confirmed:
      self._members.record_store_contact(asked_at)
    if not self._reachable:
      self._reachable = True
      events.PLATFORM_FOUND.log(_logger)

  def _note_unreachable(self, error: exceptions.StoreError) -> None:
    if self._reachable:
      self._reachable = False
      events.PLATFORM_LOST.log(_logger, reason=error.detail)
