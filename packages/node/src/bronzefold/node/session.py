"""This node's session with the store: lease, registration and watch."""

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

_VM_POLL_PERIOD_S = 1.0

_logger = logging.getLogger(__name__)


@attrs.frozen
class NodeLease:
  """The lease of this node.

  Attributes:
    lease_id: Number of the lease.
    valid_until: Monotonic time before which the lease cannot have lapsed.
  """

  lease_id: int
  valid_until: clock.Seconds


class StoreSession:
  """Maintains this node's lease and registration, and watches shared keys.

  Attributes:
    leaving_vm_addresses: Addresses of the VMs that are about to leave.
  """

  def __init__(
    self,
    node_settings: settings.Settings,
    client: store.StoreClient,
    config: configuration.Configuration,
    members: membership.Membership,
  ) -> None:
    """Creates a session; its ``run_`` methods are tasks of the node.

    Args:
      node_settings: Settings of this node.
      client: Client of the store.
      config: The configuration, to which changes are applied.
      members: The nodes of the fleet.
    """
    self._settings = node_settings
    self._client = client
    self._config = config
    self._members = members
    self._lease: NodeLease | None = None
    self._is_revoked = False
    self._registered_state = ""
    self._registered_revision = 0
    self._is_store_reachable = True
    self._watch_scope: anyio.CancelScope | None = None
    self._is_listing_current = False
    self._era: int | None = None
    self._claims_from: clock.Seconds = 0.0
    self.leaving_vm_addresses: frozenset[str] = frozenset()

  def get_lease(self, now: clock.Seconds) -> NodeLease | None:
    """Returns the lease, None if it may have lapsed.

    The lease is withheld until this node is registered under it, so that every
    claim attached to it has a higher revision than the registration.
    """
    lease = self._lease
    if (
      lease is None or now >= lease.valid_until or not self._registered_revision
    ):
      return None
    return lease

  def get_lease_for_claims(self, now: clock.Seconds) -> NodeLease | None:
    """Returns the lease for new claims; None if it may have lapsed.

    It is also withheld for the lifetime of a lease after the store was
    restored: the restored copy may lack claims on which former owners rely
    until their leases have lapsed.
    """
    return self.get_lease(now) if now >= self._claims_from else None

  def is_under_lease(self, revision: int) -> bool:
    """True when a claim of this revision is attached to the present lease.

    Older claims that name this node belong to an earlier process of the same
    name; they may be deleted at any moment, when the lease of that process
    lapses.
    """
    return 0 < self._registered_revision < revision

  async def run_lease(self) -> None:
    """Renews the lease and the registration until the lease is revoked."""
    iteration_started_at = clock.read_monotonic()
    while not self._is_revoked:
      self._restart_watch_after_pause(
        iteration_started_at, clock.read_monotonic()
      )
      iteration_started_at = clock.read_monotonic()
      is_new = self._lease is None
      try:
        await self._renew_lease()
        if self._is_revoked:
          break
        await self._register_node()
        self._record_store_reply(iteration_started_at)
      except exceptions.LeaseLapsedError:
        events.LEASE_LAPSED.log(_logger, node=self._settings.node)
        self._lease = None
        if is_new:
          await anyio.sleep(defaults.STORE_RETRY_DELAY_S)
        continue
      except exceptions.StoreError as error:
        self._record_store_failure(error)
      await anyio.sleep(self._settings.lease_renewal_s)

  async def run_watch(self) -> None:
    """Applies changes of the shared keys until cancelled."""
    while True:
      with anyio.CancelScope() as self._watch_scope:
        await self._watch_changes()

  async def _watch_changes(self) -> None:
    """Lists all shared keys, then applies their changes until a failure."""
    requested_at = clock.read_monotonic()
    try:
      listing = await self._client.list_prefix(keys.SHARED_PREFIX)
      self._config.apply_listing(listing)
      self._is_listing_current = True
      while True:
        self._record_store_reply(requested_at)
        await self._restore_lost_documents()
        requested_at = clock.read_monotonic()
        listing = await self._client.watch(
          keys.SHARED_PREFIX, self._config.revision, defaults.WATCH_WAIT_S
        )
        self._config.apply_changes(listing.entries, listing.revision)
    except exceptions.StoreError as error:
      self._record_store_failure(error)
      await anyio.sleep(defaults.STORE_RETRY_DELAY_S)

  async def _restore_lost_documents(self) -> None:
    """Writes documents again that the restored store lacks.

    All nodes try; the first write wins, and the watch delivers it to them.
    """
    for lost in self._config.list_lost_documents():
      try:
        await self._client.put(lost.key, lost.value, lost.restored_revision)
      except exceptions.ConflictError:
        continue

  def _restart_watch_after_pause(
    self, previous_at: clock.Seconds, now: clock.Seconds
  ) -> None:
    """Restarts the watch with a new listing after the process was paused.

    Until the listing is applied, no store reply makes this node current.
    """
    if (
      now - previous_at
      > self._settings.lease_renewal_s + defaults.MIN_PROCESS_PAUSE_S
    ):
      self._is_listing_current = False
      if self._watch_scope is not None:
        self._watch_scope.cancel()

  async def run_vm_poll(self) -> None:
    """Polls the store's list of VMs until cancelled."""
    while True:
      try:
        listing = await self._client.list_vms()
        self.leaving_vm_addresses = frozenset(
          vm.address for vm in listing.vms if vm.state == "leaving"
        )
      except exceptions.StoreError as error:
        self._record_store_failure(error)
      await anyio.sleep(_VM_POLL_PERIOD_S)

  async def revoke_lease(self) -> None:
    """Revokes the lease, which deletes the registration and all claims."""
    self._is_revoked = True
    lease, self._lease = self._lease, None
    if lease is None:
      return
    try:
      await self._client.revoke_lease(lease.lease_id)
    except exceptions.StoreError as error:
      self._record_store_failure(error)

  async def _renew_lease(self) -> None:
    # The lifetime is counted from before the call, since the store counts it
    # from the arrival of the call.
    requested_at = clock.read_monotonic()
    if self._lease is None:
      created = await self._client.create_lease(self._settings.lease_ttl_s)
      lease_id = created.lease
      self._registered_state = ""
      self._registered_revision = 0
    else:
      lease_id = self._lease.lease_id
      await self._client.renew_lease(lease_id)
    if self._is_revoked:
      await self._client.revoke_lease(lease_id)
      return
    valid_s = self._settings.lease_ttl_s - defaults.OWNERSHIP_MARGIN_S
    self._lease = NodeLease(lease_id, requested_at + valid_s)

  async def _register_node(self) -> None:
    member = self._members.own_member
    if self._registered_state == member.state:
      return
    lease_id = self._lease.lease_id  # may be revoked during the calls
    key = keys.NODE_PREFIX + member.node
    value = msgspec.json.encode(member).decode()
    current = await self._client.get(key)
    expected = current.revision if current else 0
    revision = await self._client.put(key, value, expected, lease_id)
    self._registered_state = member.state
    # The first revision under this lease stays: claims made since are newer.
    self._registered_revision = self._registered_revision or revision

  def _record_store_reply(self, requested_at: clock.Seconds) -> None:
    if self._client.era != self._era:
      if self._era is not None:
        now = clock.read_monotonic()
        self._claims_from = now + self._settings.lease_ttl_s
      self._era = self._client.era
    if self._is_listing_current:
      self._members.record_store_contact(requested_at)
    if not self._is_store_reachable:
      self._is_store_reachable = True
      events.PLATFORM_FOUND.log(_logger)

  def _record_store_failure(self, error: exceptions.StoreError) -> None:
    if self._is_store_reachable:
      self._is_store_reachable = False
      events.PLATFORM_LOST.log(_logger, reason=error.detail)
