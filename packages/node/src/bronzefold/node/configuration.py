"""This node's copy of the shared state in the store."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import logging
from typing import TypeVar

import attrs
import msgspec

from bronzefold import store
from bronzefold.core import documents
from bronzefold.core import events
from bronzefold.peers import membership
from bronzefold.store import keys

_MAX_TOMBSTONES = 20_000

_T = TypeVar("_T")

_logger = logging.getLogger(__name__)


@attrs.frozen
class OwnerRecord:
  """Stored claim of an upstream, attached to the lease of its owner."""

  node: str


@attrs.frozen
class ZoneRecord:
  """Stored state of an availability zone for all services, "in" or "out"."""

  state: str


@attrs.frozen
class LeaderRecord:
  """Stored claim of the leadership, attached to the lease of the leader."""

  node: str


@attrs.frozen
class RolloutRecord:
  """Stored progress of a version's rollout.

  Attributes:
    version: The version that is rolled out.
    start: Start of the rollout as in the document, seconds since the Unix
      epoch.
    by: End of the rollout as in the document, seconds since the Unix epoch.
    state: "moving", "done" or "taken_back" (rolled back).
    share: Share of the traffic that the version gets, 0 to 1.
    reason: Why the version was rolled back, or what the rollout waits for.
    leader_term: Store revision at which the deciding leader was elected.
    changed_at: Time of the last change, seconds since the Unix epoch.
  """

  version: str
  start: float
  by: float
  state: str
  share: float
  reason: str
  leader_term: int
  changed_at: float


@attrs.frozen
class NodeClaim:
  """A node's claim of an upstream or of the leadership.

  Attributes:
    node: Name of the node.
    term: Store revision of the claim.
  """

  node: str
  term: int


@attrs.frozen
class LostDocument:
  """A document that a restored store lacks or has in an older form.

  Attributes:
    key: Its key.
    value: Its value before the restore.
    restored_revision: Revision of the older form, 0 if there is none.
  """

  key: str
  value: str
  restored_revision: int


Listener = Callable[[store.Entry], None]


class Configuration:
  """Shared state; changes may arrive in any order.

  No key returns to an older revision.

  Attributes:
    revision: Store revision up to which all changes are applied, 0 before the
      first listing.
    documents: Documents by service.
    zones: State of availability zones for all services, "in" or "out".
    owners: Claims of upstreams by upstream.
    nodes: Registered nodes by name.
    rollouts: Records of rollouts by service.
    leader: The leader's claim, None when there is no leader.
  """

  def __init__(self) -> None:
    self.revision = 0
    self.documents: dict[str, documents.Document] = {}
    self.zones: dict[str, str] = {}
    self.owners: dict[str, NodeClaim] = {}
    self.nodes: dict[str, membership.Member] = {}
    self.rollouts: dict[str, RolloutRecord] = {}
    self.leader: NodeClaim | None = None
    self._entries: dict[str, store.Entry] = {}
    self._listeners: list[Listener] = []
    self._lost_documents: dict[str, LostDocument] = {}
    self._listed_era: int | None = None

  def add_listener(self, listener: Listener) -> None:
    """Adds a function that is called with each entry after it is applied."""
    self._listeners.append(listener)

  def get_entry(self, key: str) -> store.Entry | None:
    """Returns the entry of a key, None if it does not exist."""
    entry = self._entries.get(key)
    return entry if entry and entry.value is not None else None

  def get_revision(self, key: str) -> int:
    """Returns the revision of an existing key, 0 if it does not exist."""
    entry = self.get_entry(key)
    return entry.revision if entry else 0

  def list_changes(self, after: int) -> tuple[store.Entry, ...]:
    """Lists entries changed after a revision, including tombstones."""
    changed = [e for e in self._entries.values() if e.revision > after]
    return tuple(sorted(changed, key=lambda entry: entry.revision))

  def apply_listing(self, listing: store.Listing) -> None:
    """Applies a listing of all keys; keys missing from it were deleted.

    In the first listing after the store was restored, documents that are older
    than those in force are left out; see ``list_lost_documents``.
    """
    era = store.eras.get_era(listing.revision)
    if self._listed_era is not None and era > self._listed_era:
      self._lost_documents = self._find_lost_documents(listing)
    self._listed_era = era
    entries = [
      entry
      for entry in listing.entries
      if not self._is_lost(entry.key, entry.revision)
    ]
    present = {entry.key for entry in entries} | self._lost_documents.keys()
    deleted = [
      store.Entry(key, None, listing.revision)
      for key, entry in self._entries.items()
      if key not in present
      and entry.value is not None
      and entry.revision <= listing.revision
    ]
    self.apply_changes([*entries, *deleted], listing.revision)

  def list_lost_documents(self) -> list[LostDocument]:
    """Lists documents in force that the restored store does not hold yet."""
    return list(self._lost_documents.values())

  def _is_lost(self, key: str, revision: int) -> bool:
    """True if an entry is the older form of a lost document."""
    lost = self._lost_documents.get(key)
    return lost is not None and lost.restored_revision == revision

  def _find_lost_documents(
    self, listing: store.Listing
  ) -> dict[str, LostDocument]:
    """Finds the documents in force that are newer than those of a listing."""
    listed = {entry.key: entry for entry in listing.entries}
    known = (
      entry
      for key, entry in self._entries.items()
      if key.startswith(keys.DOCUMENT_PREFIX) and entry.value is not None
    )
    return {
      entry.key: LostDocument(
        entry.key,
        entry.value,
        listed[entry.key].revision if entry.key in listed else 0,
      )
      for entry in known
      if entry.key not in listed
      or _read_change_time(listed[entry.key]) < _read_change_time(entry)
    }

  def apply_changes(
    self, entries: Iterable[store.Entry], revision: int
  ) -> None:
    """Applies changes.

    Args:
      entries: Changed keys; entries older than those in force are ignored.
      revision: Store revision up to which the changes are complete.
    """
    for entry in sorted(entries, key=lambda entry: entry.revision):
      self._apply_entry(entry)
    previous = self.revision
    self.revision = max(self.revision, revision)
    assert self.revision >= previous, "the revision never decreases"
    self._prune_tombstones()

  def _apply_entry(self, entry: store.Entry) -> None:
    current = self._entries.get(entry.key)
    if current is not None and current.revision >= entry.revision:
      return
    if self._is_of_unlisted_era(entry) and _is_older_document(entry, current):
      self._lost_documents[entry.key] = LostDocument(
        entry.key, current.value, entry.revision
      )
      return
    problem = self._interpret(entry)
    if problem is not None:
      events.CONFIG_REFUSED.log(
        _logger, key=entry.key, revision=entry.revision, reason=problem
      )
      return
    self._entries[entry.key] = entry
    self._lost_documents.pop(entry.key, None)
    events.CONFIG_APPLIED.log(_logger, key=entry.key, revision=entry.revision)
    for listener in self._listeners:
      listener(entry)

  def _is_of_unlisted_era(self, entry: store.Entry) -> bool:
    """True if a peer tells of a restore that this node does not know yet."""
    era = store.eras.get_era(entry.revision)
    return self._listed_era is not None and era > self._listed_era

  def _interpret(self, entry: store.Entry) -> str | None:
    """Applies an entry; returns why its value is invalid, if it is."""
    for prefix, interpret in _INTERPRETERS.items():
      if entry.key.startswith(prefix):
        try:
          interpret(self, entry.key.removeprefix(prefix), entry)
        except (
          msgspec.MsgspecError,
          _InvalidValueError,
          RecursionError,
        ) as error:
          return str(error)
    return None

  def _prune_tombstones(self) -> None:
    tombstones = [e for e in self._entries.values() if e.value is None]
    if len(tombstones) <= _MAX_TOMBSTONES:
      return
    tombstones.sort(key=lambda entry: entry.revision)
    for entry in tombstones[: _MAX_TOMBSTONES // 2]:
      del self._entries[entry.key]


class _InvalidValueError(Exception):
  pass


_Interpreter = Callable[[Configuration, str, store.Entry], None]
_INTERPRETERS: dict[str, _Interpreter] = {}


def register_interpreter(prefix: str) -> Callable[[_Interpreter], _Interpreter]:
  """Registers the function that applies entries whose key has a prefix."""

  def decorate(interpreter: _Interpreter) -> _Interpreter:
    _INTERPRETERS[prefix] = interpreter
    return interpreter

  return decorate


@register_interpreter(keys.DOCUMENT_PREFIX)
def _interpret_document(
  configuration: Configuration, name: str, entry: store.Entry
) -> None:
  if entry.value is None:
    configuration.documents.pop(name, None)
    return
  result = documents.read_document_record(entry.value, entry.key)
  if result.is_error():
    raise _InvalidValueError(result.error.detail)
  if result.ok.document.service != name:
    raise _InvalidValueError(
      f"document names service {result.ok.document.service!r}"
    )
  configuration.documents[name] = result.ok.document


@register_interpreter(keys.ZONE_PREFIX)
def _interpret_zone(
  configuration: Configuration, name: str, entry: store.Entry
) -> None:
  record = _decode(entry, ZoneRecord)
  if record is not None and record.state not in documents.ZONE_STATES:
    raise _InvalidValueError(f"unknown zone state {record.state!r}")
  _set_or_remove(configuration.zones, name, record and record.state)


@register_interpreter(keys.OWNER_PREFIX)
def _interpret_owner(
  configuration: Configuration, name: str, entry: store.Entry
) -> None:
  record = _decode(entry, OwnerRecord)
  claim = record and NodeClaim(record.node, entry.revision)
  _set_or_remove(configuration.owners, name, claim)


@register_interpreter(keys.NODE_PREFIX)
def _interpret_node(
  configuration: Configuration, name: str, entry: store.Entry
) -> None:
  _set_or_remove(configuration.nodes, name, _decode(entry, membership.Member))


@register_interpreter(keys.ROLLOUT_PREFIX)
def _interpret_rollout(
  configuration: Configuration, name: str, entry: store.Entry
) -> None:
  _set_or_remove(configuration.rollouts, name, _decode(entry, RolloutRecord))


@register_interpreter(keys.LEADER_KEY)
def _interpret_leader(
  configuration: Configuration, _: str, entry: store.Entry
) -> None:
  record = _decode(entry, LeaderRecord)
  configuration.leader = record and NodeClaim(record.node, entry.revision)


def _is_older_document(entry: store.Entry, current: store.Entry | None) -> bool:
  """True if an entry is an older form of a document that is known."""
  return (
    entry.key.startswith(keys.DOCUMENT_PREFIX)
    and entry.value is not None
    and current is not None
    and current.value is not None
    and _read_change_time(entry) < _read_change_time(current)
  )


def _read_change_time(entry: store.Entry) -> float:
  """Returns the Unix time of a document's change; 0 if it is invalid."""
  result = documents.read_document_record(entry.value, entry.key)
  return 0.0 if result.is_error() else result.ok.at


def _decode(entry: store.Entry, record_type: type[_T]) -> _T | None:
  """Decodes an entry's value; returns None when the key was deleted."""
  if entry.value is None:
    return None
  return msgspec.json.decode(entry.value, type=record_type)


def _set_or_remove(mapping: dict[str, _T], name: str, value: _T | None) -> None:
  if value is None:
    mapping.pop(name, None)
  else:
    mapping[name] = value
