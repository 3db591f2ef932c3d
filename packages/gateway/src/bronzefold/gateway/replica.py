"""Replica of the store's entries, kept current by watches or by other nodes."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import logging
import math

import anyio
import attrs
import msgspec

from bronzefold import store
from bronzefold.core import events
from bronzefold.core.clock import Seconds
from bronzefold.gateway import changes
from bronzefold.gateway import gateway as gateways
from bronzefold.peers import membership
from bronzefold.peers import messages

NODE_PREFIX = "bronzefold/nodes/"
REMOVED_RETENTION_S = 30.0  # for removed entries and upstreams
# Operators and upstreams write lost entries again within 2 s of the store's
# return; the rest is a margin for a late first read.
RESTORE_GRACE_S = 2.5

_MAX_LOGGED_KEYS = 5

_logger = logging.getLogger(__name__)

ReadChange = Callable[[store.Entry, Seconds], changes.Change | None]


@attrs.frozen
class _Removal:
  """A removed entry.

  Attributes:
    revision: Store revision of the removal.
    removed_at: Monotonic time at which this node applied the removal.
  """

  revision: int
  removed_at: Seconds


class Replica:
  """A copy of the store's entries, whose changes are applied to a gateway.

  Entries come from the store or from other nodes. For each key the entry with
  the higher revision wins, so a replaced value never comes into force again.

  Attributes:
    revision: Store revision from which changes are followed.
    effective_revision: Revision of the newest entry that changed the state of
      this node. Most entries are reports that repeat the previous one.
    update_event: Set, and replaced by a new event, when
      ``effective_revision`` has grown.
  """

  def __init__(
    self,
    gateway: gateways.Gateway,
    members: membership.Membership,
    read_change: ReadChange,
  ) -> None:
    """Creates an empty replica.

    Args:
      gateway: Gateway to which changes are applied.
      members: The nodes of the fleet.
      read_change: Translates an entry to a change; returns None for keys that
        the gateway does not use.
    """
    self.revision = 0
    self.effective_revision = 0
    self.update_event = anyio.Event()
    self._gateway = gateway
    self._members = members
    self._read_change = read_change
    self._entries: dict[str, store.Entry] = {}
    self._removals: dict[str, _Removal] = {}
    self._effective_revisions: dict[str, int] = {}
    self._expired_revision = 0
    self._restore_grace_until: Seconds | None = None
    self._holds_back = False
    # Highest number of a revision known before restores whose grace runs.
    self._last_number = 0

  def needs_listing(self, now: Seconds) -> bool:
    """True once all entries must be read again after the store was restored."""
    until = self._restore_grace_until
    return until is not None and now >= until

  def get_listing_wait(self, now: Seconds) -> Seconds:
    """Returns the time until all entries must be read again, infinite if never.

    Args:
      now: Monotonic time.
    """
    until = self._restore_grace_until
    return math.inf if until is None else max(0.0, until - now)

  def get_node_entry(self, node: str) -> store.Entry | None:
    """Returns the entry of a node; None if it is not registered."""
    return self._entries.get(NODE_PREFIX + node)

  def apply_listing(self, listing: store.Listing, now: Seconds) -> None:
    """Applies a listing of all entries of the store.

    The first listing after the store was restored from a copy may lack entries
    or have old ones that are about to be written again. Until another listing,
    after ``RESTORE_GRACE_S``, what this node knows stays in force, unless an
    entry is certainly newer.

    Args:
      listing: All entries; known keys that it lacks count as removed.
      now: Monotonic time.
    """
    events.STORE_LISTED.log(
      _logger,
      era=listing.era,
      revision=listing.revision,
      known_revision=self.revision,
      entries=len(listing.entries),
    )
    if self._is_of_later_era(listing.revision) or self._is_in_grace(now):
      self._apply_restored_listing(listing, now)
      return
    if not self.revision:
      # Removals before the first listing are unknown.
      self._expired_revision = listing.revision
    elif self._restore_grace_until is not None:
      # Other nodes may know lost entries that this node never had.
      self._expired_revision = listing.revision
    has_been_restored = self._restore_grace_until is not None
    self._apply_whole_listing(listing, now)
    if has_been_restored:
      self._announce(listing.revision)

  def _apply_restored_listing(
    self, listing: store.Listing, now: Seconds
  ) -> None:
    """Applies the entries of a restored store that are certainly newer."""
    self._holds_back = True
    number = store.eras.get_number(self.revision)
    self._last_number = max(self._last_number, number)
    certain: list[store.Entry] = []
    held_back: list[store.Entry] = []
    for entry in listing.entries:
      is_certain = self._is_certainly_newer(entry, now)
      (certain if is_certain else held_back).append(entry)
    if held_back:
      events.ENTRIES_HELD_BACK.log(
        _logger,
        count=len(held_back),
        keys=[entry.key for entry in held_back[:_MAX_LOGGED_KEYS]],
      )
    self.apply_changes(certain, listing.revision, now)

  def _is_in_grace(self, now: Seconds) -> bool:
    """True while lost entries may still be written again after a restore."""
    until = self._restore_grace_until
    return until is not None and now < until

  def _is_of_later_era(self, revision: int) -> bool:
    """True if the store was restored since the last change that is known."""
    known_era = store.eras.get_era(self.revision)
    return bool(self.revision) and store.eras.get_era(revision) > known_era

  def _is_certainly_newer(self, entry: store.Entry, now: Seconds) -> bool:
    """True unless an entry of a restored store may be older than known ones."""
    known_revision = self._get_revision(entry.key)
    if not known_revision or not self._differs(entry):
      return True
    if store.eras.get_number(entry.revision) > self._last_number:
      return True
    change = self._read_change(entry, now)
    return change is not None and changes.is_certainly_newer(
      self._gateway, change
    )

  def _apply_whole_listing(self, listing: store.Listing, now: Seconds) -> None:
    """Applies a listing; known keys that it lacks count as removed.

    It ends the time after a restore in which entries are held back.
    """
    self._restore_grace_until = None
    self._holds_back = False
    self._last_number = 0
    present = {entry.key for entry in listing.entries}
    removed = [
      store.Entry(key, None, listing.revision)
      for key in self._entries
      if key not in present
    ]
    self.apply_changes([*listing.entries, *removed], listing.revision, now)

  def apply_changes(
    self, entries: Iterable[store.Entry], revision: int, now: Seconds
  ) -> None:
    """Applies changed entries.

    Args:
      entries: The changed entries; removed ones have no value.
      revision: Store revision up to which the entries are complete.
      now: Monotonic time.
    """
    if self._is_of_later_era(revision):
      self._restore_grace_until = now + RESTORE_GRACE_S
    age_s = self._members.get_store_contact_age(now)
    self._gateway.known_until = -math.inf if age_s is None else now - age_s
    previous_revision = self.effective_revision
    ignored: list[store.Entry] = []
    for entry in entries:
      if entry.revision > self._get_revision(entry.key):
        self._store_entry(entry, now)
      elif self._differs(entry):
        ignored.append(entry)
    if ignored:
      events.CHANGES_IGNORED.log(
        _logger,
        count=len(ignored),
        key=ignored[0].key,
        revision=ignored[0].revision,
        known_revision=self._get_revision(ignored[0].key),
      )
    self.revision = max(self.revision, revision)
    self._gateway.apply_pending_configuration(now)
    if self.effective_revision > previous_revision:
      self._announce(self.effective_revision)

  def _announce(self, revision: int) -> None:
    """Has other nodes told that this node has changes up to a revision."""
    self.effective_revision = max(self.effective_revision, revision)
    self.update_event.set()
    self.update_event = anyio.Event()

  def make_changes_message(self, after: int) -> messages.Changes:
    """Makes a message with the changes that another node lacks.

    Reports that repeat the previous one are left out. If removals after
    ``after`` have already expired, the message lists all present entries. It is
    partial while entries of a restored store are held back.

    Args:
      after: Store revision up to which the other node is complete.

    Returns:
      The message.
    """
    is_whole = after < self._expired_revision
    entries = [
      entry
      for key, entry in self._entries.items()
      if is_whole or self._effective_revisions[key] > after
    ]
    removed = [
      store.Entry(key, None, removal.revision)
      for key, removal in self._removals.items()
      if removal.revision > after
    ]
    return messages.Changes(
      self.revision,
      (*entries, *removed),
      is_whole=is_whole,
      is_partial=self._holds_back,
    )

  def apply_peer_changes(self, message: messages.Changes, now: Seconds) -> None:
    """Applies the changes in a message of another node.

    Args:
      message: The message.
      now: Monotonic time.
    """
    is_first = not self.revision
    has_waited = self.needs_listing(now)
    if message.is_whole:
      listing = store.Listing(message.revision, message.entries)
      if is_first:
        self._expired_revision = listing.revision
      self._apply_whole_listing(listing, now)
    else:
      is_of_known_era = not is_first and not self._is_of_later_era(
        message.revision
      )
      # The next watch must return what the sender holds back.
      keeps_position = message.is_partial and is_of_known_era
      revision = self.revision if keeps_position else message.revision
      self.apply_changes(message.entries, revision, now)
    if message.is_partial:
      self._holds_back = True
      if is_first:
        self._restore_grace_until = now + RESTORE_GRACE_S
    elif has_waited:
      self._restore_grace_until = None
      self._holds_back = False

  def expire(self, now: Seconds) -> None:
    """Drops removed entries and upstreams after ``REMOVED_RETENTION_S``."""
    self._gateway.upstreams.expire(now, REMOVED_RETENTION_S)
    expired_keys = [
      key
      for key, removal in self._removals.items()
      if now - removal.removed_at >= REMOVED_RETENTION_S
    ]
    for key in expired_keys:
      revision = self._removals.pop(key).revision
      self._expired_revision = max(self._expired_revision, revision)

  def _differs(self, entry: store.Entry) -> bool:
    """True if an entry has another value than the one that is known."""
    known = self._entries.get(entry.key)
    return entry.value != (known.value if known else None)

  def _get_revision(self, key: str) -> int:
    """Returns the revision of a key's last change; 0 if it is unknown."""
    last_change = self._entries.get(key) or self._removals.get(key)
    return last_change.revision if last_change else 0

  def _store_entry(self, entry: store.Entry, now: Seconds) -> None:
    """Stores an entry or its removal and applies it to this node."""
    is_known = entry.key in self._entries
    differs = self._differs(entry)
    if entry.value is None:
      self._entries.pop(entry.key, None)
      self._effective_revisions.pop(entry.key, None)
      self._removals[entry.key] = _Removal(entry.revision, now)
    else:
      self._removals.pop(entry.key, None)
      self._entries[entry.key] = entry
    has_effect = self._apply_entry(entry, differs, now)
    if has_effect or entry.value is None or not is_known:
      self.effective_revision = max(self.effective_revision, entry.revision)
      if entry.value is not None:
        self._effective_revisions[entry.key] = entry.revision

  def _apply_entry(
    self, entry: store.Entry, differs: bool, now: Seconds
  ) -> bool:
    """Applies an entry to this node.

    Args:
      entry: The entry.
      differs: True if its value is not the one that was known.
      now: Monotonic time.

    Returns:
      True if that changed the state of this node.
    """
    if entry.key.startswith(NODE_PREFIX):
      self._apply_node(entry)
      return differs
    change = self._read_change(entry, now)
    return change is not None and self._gateway.apply_change(change, now)

  def _apply_node(self, entry: store.Entry) -> None:
    """Registers or unregisters the node that an entry names."""
    # Nodes that register under a lease add a nonce to their key.
    name = entry.key.removeprefix(NODE_PREFIX).partition("/")[0]
    if entry.value is None:
      if self.get_node_entry(name) is not None:
        return
      self._members.unregister(name)
      events.NODE_CHANGED.log(_logger, member=name, state="unregistered")
      return
    try:
      member = msgspec.json.decode(entry.value, type=membership.Member)
    except (msgspec.MsgspecError, RecursionError) as error:
      events.ENTRY_REFUSED.log(_logger, key=entry.key, reason=str(error))
      return
    self._members.register(member)
    events.NODE_CHANGED.log(_logger, member=name, state="registered")
