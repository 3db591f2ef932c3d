"""The shared state kept on the platform, as far as this node has applied it."""

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

_MAX_DELETED_KEYS = 20_000

_T = TypeVar("_T")

_logger = logging.getLogger(__name__)


@attrs.frozen
class OwnerRecord:
  """Claim of an upstream; attached to the lease of its owner."""

  node: str


@attrs.frozen
class ZoneRecord:
  """State of an availability zone for all services, "in" or "out"."""

  state: str


@attrs.frozen
class LeaderRecord:
  """Claim of the decisions about versions; attached to a lease."""

  node: str


@attrs.frozen
class RolloutRecord:
  """How far a version's move has come.

  Attributes:
    version: The version that moves.
    start: Start of the move, as in the document.
    by: End of the move, as in the document.
    state: "moving", "done" or "taken_back".
    share: Share of the traffic that the version carries.
    reason: Why it was taken back, or what it waits for.
    leader_term: Revision at which the deciding leader was elected.
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
class Owned:
  """An owner record with the revision of the claim."""

  node: str
  term: int


Listener = Callable[[store.Entry], None]


class Configuration:
  """Applies changes in any order; no key ever goes back to an older revision.

  Attributes:
    revision: Platform revision up to which all changes are applied, 0 before
      the first listing.
    documents: Documents by service.
    zones: State of availability zones for all services.
    owners: Owners by upstream.
    nodes: Registered nodes by name.
    rollouts: Moves of versions by service.
    leader: The leader, None when there is none.
  """

  def __init__(self) -> None:
    self.revision = 0
    self.documents: dict[str, documents.Document] = {}
    self.zones: dict[str, str] = {}
    self.owners: dict[str, Owned] = {}
    self.nodes: dict[str, membership.Member] = {}
    self.rollouts: dict[str, RolloutRecord] = {}
    self.leader: Owned | None = None
    self._entries: dict[str, store.Entry] = {}
    self._listeners: list[Listener] = []

  def add_listener(self, listener: Listener) -> None:
    """Adds a function that is called after each change."""
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
    """Lists the entries changed after a revision, deleted ones included."""
    changed = [e for e in self._entries.values() if e.revision > after]
    return tuple(sorted(changed, key=lambda entry: entry.revision))

  def apply_listing(self, listing: store.Listing) -> None:
    """Applies a listing of all keys; keys that it lacks were deleted."""
    present = {entry.key for entry in listing.entries}
    deleted = [
      store.Entry(key, None, listing.revision)
      for key, entry in self._entries.items()
      if key not in present
      and entry.value is not None
      and entry.revision <= listing.revision
    ]
    self.apply_changes([*listing.entries, *deleted], listing.revision)

  def apply_changes(
    self, entries: Iterable[store.Entry], revision: int
  ) -> None:
    """Applies changes.

    Args:
      entries: Changed keys; older ones than those in force are passed over.
      revision: Platform revision up to which the changes are complete.
    """
    for entry in sorted(entries, key=lambda entry: entry.revision):
      self._apply_entry(entry)
    before = self.revision
    self.revision = max(self.revision, revision)
    assert self.revision >= before, "configuration never reverts"
    self._prune()

  def _apply_entry(self, entry: store.Entry) -> None:
    known = self._entries.get(entry.key)
    if known is not None and known.revision >= entry.revision:
      return
    problem = self._interpret(entry)
    if problem is not None:
      events.CONFIG_REFUSED.log(
        _logger, key=entry.key, revision=entry.revision, reason=problem
      )
      return
    self._entries[entry.key] = entry
    events.CONFIG_APPLIED.log(_logger, key=entry.key, revision=entry.revision)
    for listener in self._listeners:
      listener(entry)

  def _interpret(self, entry: store.Entry) -> str | None:
    """Takes over an entry; returns why its value is invalid, if it is."""
    for prefix, interpret in _INTERPRETERS.items():
      if entry.key.startswith(prefix):
        try:
          interpret(self, entry.key.removeprefix(prefix), entry)
        except (msgspec.MsgspecError, _InvalidValueError) as error:
          return str(error)
    return None

  def _prune(self) -> None:
    deleted = [e for e in self._entries.values() if e.value is None]
    if len(deleted) <= _MAX_DELETED_KEYS:
      return
    deleted.sort(key=lambda entry: entry.revision)
    for entry in deleted[: _MAX_DELETED_KEYS // 2]:
      del self._entries[entry.key]


class _InvalidValueError(Exception):
  pass


_Interpreter = Callable[[Configuration, str, store.Entry], None]
_INTERPRETERS: dict[str, _Interpreter] = {}


def register_interpreter(prefix: str) -> Callable[[_Interpreter], _Interpreter]:
  """Registers the function that takes over keys with a prefix."""

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
    raise _InvalidValueError(f"describes {result.ok.document.service!r}")
  configuration.documents[name] = result.ok.document


@register_interpreter(keys.ZONE_PREFIX)
def _interpret_zone(
  configuration: Configuration, name: str, entry: store.Entry
) -> None:
  record = _decode(entry, ZoneRecord)
  if record is not None and record.state not in documents.ZONE_STATES:
    raise _InvalidValueError(f"state {record.state!r}")
  _set_or_remove(configuration.zones, name, record and record.state)


@register_interpreter(keys.OWNER_PREFIX)
def _interpret_owner(
  configuration: Configuration, name: str, entry: store.Entry
) -> None:
  record = _decode(entry, OwnerRecord)
  owned = record and Owned(record.node, entry.revision)
  _set_or_remove(configuration.owners, name, owned)


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
  configuration.leader = record and Owned(record.node, entry.revision)


def _decode(entry: store.Entry, kind: type[_T]) -> _T | None:
  """Decodes an entry's value; None when the key was deleted."""
  if entry.value is None:
    return None
  return msgspec.json.decode(entry.value, type=kind)


def _set_or_remove(mapping: dict[str, _T], name: str, value: _T | None) -> None:
  if value is None:
    mapping.pop(name, None)
  else:
    mapping[name] = value
