"""Follows the store's changes."""

from __future__ import annotations

from collections.abc import Callable
import logging
import random

import anyio

from bronzefold import store
from bronzefold.core import clock
from bronzefold.core import events
from bronzefold.core import exceptions
from bronzefold.core.clock import Seconds
from bronzefold.gateway import backoff
from bronzefold.gateway import contact
from bronzefold.gateway import replica
from bronzefold.peers import membership

# After a failure, the next watch returns at once, since its response tells
# whether the store was restored.
PROBE_WAIT_S = 0.01
WATCH_PAUSE_S = 0.8  # each call has a cost; drains must be known within 3 s
RETRY_PAUSE_S = 0.1
# The platform's shortest limit for applying a configuration is 3 s.
MAX_WATCH_RETRY_PAUSE_S = 1.0
MAX_STORE_AGE_S = 2.0  # two watch pauses and their calls
READ_CHECK_PERIOD_S = 0.4  # half a watch pause

_logger = logging.getLogger(__name__)


class StoreFollower:
  """Keeps a node's replica of the store current."""

  def __init__(
    self,
    client: store.StoreClient,
    store_replica: replica.Replica,
    members: membership.Membership,
    must_read: Callable[[Seconds], bool],
    get_watch_wait: Callable[[Seconds], Seconds],
  ) -> None:
    """Creates a follower; ``run`` is a task.

    Args:
      client: Client of the store.
      store_replica: Replica to which changes are applied.
      members: The nodes of the fleet, this one included.
      must_read: Returns, for a monotonic time, whether this node reads the
        store's changes, as no other node sends them.
      get_watch_wait: Returns, for a monotonic time, how long a watch waits for
        a change.
    """
    self._client = client
    self._replica = store_replica
    self._members = members
    self._must_read = must_read
    self._get_watch_wait = get_watch_wait
    self._is_store_reachable = True
    self._watch_backoff = backoff.Backoff(
      RETRY_PAUSE_S, MAX_WATCH_RETRY_PAUSE_S
    )

  async def run(self) -> None:
    """Applies the store's content and then its changes, until cancelled.

    The pause between watches batches the reports of many upstreams into one
    call.
    """
    has_failed = False
    while True:
      now = clock.read_monotonic()
      if self._replica.revision and not self._must_read(now):
        self._replica.expire(now)
        await anyio.sleep(READ_CHECK_PERIOD_S)
        continue
      try:
        if not self._replica.revision or self._replica.needs_listing(now):
          await self._read_all()
        else:
          wait_s = PROBE_WAIT_S if has_failed else self._get_watch_wait(now)
          listing_wait_s = self._replica.get_listing_wait(now)
          await self._read_changes(min(wait_s, listing_wait_s))
        self._watch_backoff.record_success()
        has_failed = False
      except exceptions.HistoryGoneError as error:
        events.HISTORY_GONE.log(_logger, reason=error.detail)
        await self._try_read_all()
      except exceptions.StoreError as error:
        self._record_store_failure(error)
        has_failed = True
        pause_s = self._watch_backoff.record_failure(random.random())
        await anyio.sleep(pause_s)
        continue
      listing_wait_s = self._replica.get_listing_wait(clock.read_monotonic())
      await anyio.sleep(min(WATCH_PAUSE_S, listing_wait_s))

  async def _try_read_all(self) -> None:
    try:
      await self._read_all()
    except exceptions.StoreError as error:
      self._record_store_failure(error)

  async def _read_all(self) -> None:
    asked_at = clock.read_monotonic()
    listing = await self._client.list_prefix("")
    # Changes are applied first: they may be as old as the previous contact.
    self._replica.apply_listing(listing, clock.read_monotonic())
    self._record_store_reply(asked_at)

  async def _read_changes(self, wait_s: Seconds) -> None:
    asked_at = clock.read_monotonic()
    listing = await self._client.watch("", self._replica.revision, wait_s)
    now = clock.read_monotonic()
    if contact.has_waited(asked_at, now):
      self._record_store_reply(asked_at)
    self._replica.apply_changes(listing.entries, listing.revision, now)
    self._record_store_reply(
      contact.date_watch(asked_at, wait_s, bool(listing.entries), now)
    )
    self._replica.expire(now)

  def _record_store_reply(self, reached_at: Seconds) -> None:
    self._members.record_store_contact(reached_at)
    if not self._is_store_reachable:
      self._is_store_reachable = True
      events.PLATFORM_FOUND.log(_logger)

  def _record_store_failure(self, error: exceptions.StoreError) -> None:
    if self._is_store_reachable:
      self._is_store_reachable = False
      events.PLATFORM_LOST.log(_logger, reason=error.detail)
