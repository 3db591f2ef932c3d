"""This node's copy of what operators, upstreams and nodes keep in the store."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import logging

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
FORGET_AFTER_S = 30.0

_logger = logging.getLogger(__name__)

ReadChange = Callable[[store.Entry, Seconds], changes.Change | None]


@attrs.frozen
class _Removal:
  revision: int
  at: Seconds


class Replica:
  """Applies entries in the order of their revisions.

  Entries come from the store or from other nodes; whichever is newer wins, so
  nothing that was in force comes back.

  Attributes:
    revision: Store revision up to which the copy is complete.
    news_revision: Revision of the newest entry that changed what this node
      believes; most entries are reports that say the same as before.
    news: Set, and replaced, when ``news_revision`` has grown.
  """

  def __init__(
    self,
    gateway: gateways.Gateway,
    members: membership.Membership,
    read_change: ReadChange,
  ) -> None:
    """Creates an empty copy.

    Args:
      gateway: Where changes are applied.
      members: The nodes of the fleet.
      read_change: Translates an entry; None for keys without meaning here.
    """
    self.revision = 0
    self.effective_revision = 0
    self.update_event = anyio.Event()
    self._gateway = gateway
    self._members = members
    self._read_change = read_change
    self._entries: dict[str, store.Entry] = {}
    self._removals: dict[str, _Removal] = {}
    self._news: dict[str, int] = {}
    self._forgotten_revision = 0

  def apply_listing(self, listing: store.Listing, now: Seconds) -> None:
    """Applies everything that the store holds."""
    if not self.revision:
      self._forgotten_revision = listing.revision
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
    """Applies changes that are complete up to a revision."""
    known = self.effective_revision
    for entry in entries:
      if entry.revision > self._get_revision(entry.key):
        self._apply(entry, now)
    self.revision = max(self.revision, revision)
    self._gateway.apply_pending_configuration(now)
    if self.effective_revision > known:
      self.update_event.set()
      self.update_event = anyio.Event()

  def make_changes(self, after: int) -> messages.Changes:
    """Tells another node what is new behind the revision that it knows.

    Reports that say the same as before are left out. When removals behind
    ``after`` are forgotten, everything that is present is told.
    """
    is_whole = after < self._forgotten_revision
    entries = [
      entry
      for key, entry in self._entries.items()
      if is_whole or self._news[key] > after
    ]
    removed = [
      store.Entry(key, None, removal.revision)
      for key, removal in self._removals.items()
      if removal.revision > after
    ]
    return messages.Changes(
      self.revision, (*entries, *removed), is_whole=is_whole
    )

  def apply_peer_changes(self, told: messages.Changes, now: Seconds) -> None:
    """Applies what another node has told."""
    if told.is_whole:
      self.apply_listing(store.Listing(told.revision, told.entries), now)
    else:
      self.apply_changes(told.entries, told.revision, now)

  def expire(self, now: Seconds) -> None:
    """Forgets what was removed long ago."""
    self._gateway.upstreams.expire(now, FORGET_AFTER_S)
    forgotten = [
      key
      for key, removal in self._removals.items()
      if now - removal.at >= FORGET_AFTER_S
    ]
    for key in forgotten:
      revision = self._removals.pop(key).revision
      self._forgotten_revision = max(self._forgotten_revision, revision)

  def _get_revision(self, key: str) -> int:
    known = self._entries.get(key) or self._removals.get(key)
    return known.revision if known else 0

  def _apply(self, entry: store.Entry, now: Seconds) -> None:
    is_known = entry.key in self._entries
    if entry.value is None:
      self._entries.pop(entry.key, None)
      self._news.pop(entry.key, None)
      self._removals[entry.key] = _Removal(entry.revision, now)
    else:
      self._removals.pop(entry.key, None)
      self._entries[entry.key] = entry
    if self._change(entry, now) or entry.value is None or not is_known:
      self.effective_revision = max(self.effective_revision, entry.revision)
      if entry.value is not None:
        self._news[entry.key] = entry.revision

  def _change(self, entry: store.Entry, now: Seconds) -> bool:
    """Returns True when an entry changed what this node believes."""
    if entry.key.startswith(NODE_PREFIX):
      self._apply_node(entry)
      return True
    change = self._read_change(entry, now)
    return change is not None and self._gateway.apply(change, now)

  def _apply_node(self, entry: store.Entry) -> None:
    name = entry.key.removeprefix(NODE_PREFIX).partition("/")[0]
    if entry.value is None:
      start = f"{NODE_PREFIX}{name}/"
      if not any(key.startswith(start) for key in self._entries):
        self._members.unregister(name)
        events.NODE_CHANGED.log(_logger, node=name, state="unregistered")
      return
    try:
      member = msgspec.json.decode(entry.value, type=membership.Member)
    except msgspec.MsgspecError as error:
      events.ENTRY_REFUSED.log(_logger, key=entry.key, reason=str(error))
      return
    self._members.register(member)
    events.NODE_CHANGED.log(_logger, node=name, state="registered")
