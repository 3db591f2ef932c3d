"""Which node owns which upstream, and the holders of this node's own."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import logging

from anyio import abc
import attrs
import msgspec
import xxhash

from bronzefold import store
from bronzefold import upstreams
from bronzefold.core import clock
from bronzefold.core import documents
from bronzefold.core import events
from bronzefold.core import exceptions
from bronzefold.core import ranges
from bronzefold.core import settings
from bronzefold.node import configuration
from bronzefold.node import directory
from bronzefold.node import selection
from bronzefold.node import session
from bronzefold.node import status
from bronzefold.peers import membership
from bronzefold.peers import messages
from bronzefold.store import keys

_STABLE_S = 1.0
_MAX_CLAIMS_PER_ROUND = 32
_LATENCY_STEP = 1.5

_logger = logging.getLogger(__name__)


def choose_owner(
  upstream: documents.UpstreamEntry, members: Sequence[membership.Member]
) -> str | None:
  """Chooses the node that should own an upstream, by rendezvous hashing.

  Args:
    upstream: The upstream.
    members: The nodes that may own it.

  Returns:
    Name of the node, one of the upstream's availability zone if there is any;
    None without nodes.
  """
  near = [m for m in members if m.zone == upstream.zone]
  return max(
    (member.node for member in near or members),
    key=lambda node: _hash_pair(node, upstream.name),
    default=None,
  )


def _hash_pair(node: str, upstream: str) -> int:
  return xxhash.xxh3_64_intdigest(f"{node}/{upstream}".encode())


@attrs.define
class _Held:
  """An upstream that this node owns.

  Attributes:
    holder: Its holder.
    term: Revision at which this node claimed it.
    report: The last report sent.
    label: The state last logged.
    unwanted_since: Time since when another node should own it.
  """

  holder: upstreams.UpstreamExecutor
  term: int
  report: messages.UpstreamReport | None = None
  label: str = ""
  unwanted_since: clock.Seconds | None = None


class Ownership:
  """Claims and gives up upstreams, and runs the holders of the claimed ones.

  An upstream's claim is a key on the platform attached to its owner's lease,
  so that at most one node at a time can hold it.
  """

  def __init__(
    self,
    own: settings.Settings,
    client: store.StoreClient,
    held_session: session.StoreSession,
    config: configuration.Configuration,
    known: directory.UpstreamDirectory,
    members: membership.Membership,
    selector: selection.Selector,
    publish: Callable[[messages.UpstreamReport], None],
    publish_manifest: Callable[[str, ranges.Manifest], None],
  ) -> None:
    """Creates an ownership of nothing.

    Args:
      own: Settings of this node.
      client: The platform.
      held_session: This node's session with the platform.
      config: The configuration in force.
      known: Reports of upstreams.
      members: The nodes.
      selector: Tells which upstreams may get work.
      publish: Sends a report to the other nodes.
      publish_manifest: Sends a manifest to the other nodes.
    """
    self._own = own
    self._client = client
    self._session = held_session
    self._config = config
    self._known = known
    self._members = members
    self._selector = selector
    self._publish = publish
    self._publish_manifest = publish_manifest
    self._held: dict[str, _Held] = {}
    self._releasing: set[str] = set()
    self._given_up: dict[str, int] = {}
    self._undeleted: dict[str, int] = {}

  def get_executor(self, upstream: str) -> upstreams.UpstreamExecutor | None:
    """Returns the holder of an upstream that this node owns."""
    held = self._held.get(upstream)
    return held.holder if held else None

  def list_executors(self) -> list[upstreams.UpstreamExecutor]:
    """Lists the holders of all upstreams that this node owns."""
    return [held.holder for held in self._held.values()]

  async def reconcile(self, tasks: abc.TaskGroup, now: clock.Seconds) -> None:
    """Compares what this node owns with what it should own.

    Args:
      tasks: Task group in which holders run.
      now: The monotonic time.
    """
    entries = self._list_entries()
    self._known.retain(entries)
    for name in [name for name in self._held if name not in entries]:
      tasks.start_soon(self._release, name)
    for name, (document, entry) in entries.items():
      self._refresh(name, document, entry, tasks, now)
    await self._delete_given_up()
    await self._claim_missing(entries, tasks, now)
    self._report_changes()

  async def release_all(self, tasks: abc.TaskGroup) -> None:
    """Gives up every upstream, each after its requests have ended."""
    for name in list(self._held):
      tasks.start_soon(self._release, name)

  def describe_upstreams(self) -> Iterable[status.UpstreamStatus]:
    """Describes the upstreams that this node owns."""
    for name, held in sorted(self._held.items()):
      holder = held.holder
      yield status.UpstreamStatus(
        upstream=name,
        service=holder.service,
        state=holder.get_label(),
        limit=holder.ramp.limit,
        in_progress=holder.in_progress,
        most_in_progress=holder.most_in_progress,
        queued=holder.get_queued(),
        sent=holder.sent,
      )

  def _list_entries(
    self,
  ) -> dict[str, tuple[documents.Document, documents.UpstreamEntry]]:
    return {
      entry.name: (document, entry)
      for document in self._config.documents.values()
      for entry in document.upstreams
    }

  def _choose_owner(
    self, entry: documents.UpstreamEntry, now: clock.Seconds
  ) -> str | None:
    if self._own.direct:
      return self._own.node
    return choose_owner(entry, self._members.list_serving(now))

  def _refresh(
    self,
    name: str,
    document: documents.Document,
    entry: documents.UpstreamEntry,
    tasks: abc.TaskGroup,
    now: clock.Seconds,
  ) -> None:
    held = self._held.get(name)
    if held is None or name in self._releasing:
      return
    owner = self._config.owners.get(name)
    if not self._own.direct and self._is_lost(held, owner):
      self._drop(name)
      return
    if not held.holder.matches(entry, document.limits):
      tasks.start_soon(self._release, name)
      return
    held.holder.set_usable(self._selector.is_eligible(document, entry), now)
    self._check_wanted(name, held, entry, tasks, now)

  def _is_lost(self, held: _Held, owner: configuration.Owned | None) -> bool:
    if owner is None:
      # The claim may be newer than the last change that this node has seen.
      return self._config.revision >= held.term
    return owner.node != self._own.node and owner.term > held.term

  def _check_wanted(
    self,
    name: str,
    held: _Held,
    entry: documents.UpstreamEntry,
    tasks: abc.TaskGroup,
    now: clock.Seconds,
  ) -> None:
    wanted = self._choose_owner(entry, now)
    if wanted in (self._own.node, None):
      held.unwanted_since = None
    elif held.unwanted_since is None:
      held.unwanted_since = now
    elif now - held.unwanted_since > _STABLE_S:
      tasks.start_soon(self._release, name)

  async def _claim_missing(
    self,
    entries: dict[str, tuple[documents.Document, documents.UpstreamEntry]],
    tasks: abc.TaskGroup,
    now: clock.Seconds,
  ) -> None:
    missing = [
      (document, entry)
      for name, (document, entry) in entries.items()
      if name not in self._held
      and (self._own.direct or name not in self._config.owners)
      and name not in self._undeleted
      and self._choose_owner(entry, now) == self._own.node
    ]
    for document, entry in missing[:_MAX_CLAIMS_PER_ROUND]:
      if not await self._claim(document, entry, tasks):
        return

  async def _claim(
    self,
    document: documents.Document,
    entry: documents.UpstreamEntry,
    tasks: abc.TaskGroup,
  ) -> bool:
    """Claims an upstream; returns False while the platform does not answer."""
    if self._own.direct:
      self._start(document, entry, 1, tasks)
      return True
    lease = self._session.get_lease(clock.read_monotonic())
    if lease is None:
      return False
    key = keys.OWNER_PREFIX + entry.name
    record = configuration.OwnerRecord(self._own.node)
    value = msgspec.json.encode(record).decode()
    try:
      revision = await self._client.put(key, value, 0, lease.lease)
    except exceptions.ConflictError:
      return True
    except exceptions.StoreError:
      # A claim that took effect all the same shows up in the watch.
      return False
    self._start(document, entry, revision, tasks)
    return True

  def adopt_claims(self, tasks: abc.TaskGroup) -> None:
    """Starts holders for claims whose replies were lost."""
    for name, (document, entry) in self._list_entries().items():
      owner = self._config.owners.get(name)
      if owner is None or owner.node != self._own.node:
        continue
      if owner.term <= self._given_up.get(name, 0):
        continue
      if not self._session.is_under_lease(owner.term):
        continue
      if name not in self._held and name not in self._releasing:
        self._start(document, entry, owner.term, tasks)

  def _start(
    self,
    document: documents.Document,
    entry: documents.UpstreamEntry,
    term: int,
    tasks: abc.TaskGroup,
  ) -> None:
    holder = upstreams.UpstreamExecutor(
      document.service,
      entry,
      document.limits,
      lambda now, warm: self.find_refusal(entry.name, now, warm),
      self._publish_manifest,
    )
    report = self._known.get_report(entry.name)
    if report is not None and report.state.warm:
      holder.ramp.expect_warm(report.state.instance, report.state.latency_s)
    self._held[entry.name] = _Held(holder, term)
    tasks.start_soon(holder.run)
    events.UPSTREAM_CLAIMED.log(_logger, upstream=entry.name, term=term)

  def find_refusal(
    self, upstream: str, now: clock.Seconds, warm: bool
  ) -> exceptions.NotRunError | None:
    """Finds the reason why nothing may be sent to an upstream now.

    Args:
      upstream: Name of the upstream.
      now: The monotonic time.
      warm: True when the upstream bears its full work.

    Returns:
      The reason, None when a request may be sent.
    """
    contact = self._members.assess_contact(now)
    if contact is membership.StoreContact.ISOLATED:
      return exceptions.NotReadyError("cut off from the platform and peers")
    held = self._held.get(upstream)
    if held is None:
      return exceptions.NotOwnerError(upstream)
    if self._own.direct:
      return self._check_admitted(upstream)
    if self._session.get_lease(now) is not None:
      if self._session.is_under_lease(held.term):
        return self._check_admitted(upstream)
      return exceptions.NotOwnerError(f"{upstream}: claimed by an old lease")
    if contact is membership.StoreContact.CURRENT:
      return exceptions.NotOwnerError(f"{upstream}: the lease has lapsed")
    if not warm and contact is not membership.StoreContact.OUTAGE_SEEN_BY_ALL:
      # Another node may have claimed it; a warm upstream bears both.
      return exceptions.NotOwnerError(f"{upstream}: cold without a lease")
    return self._check_admitted(upstream)

  def _check_admitted(self, upstream: str) -> exceptions.NotRunError | None:
    listed = self._list_entry(upstream)
    if listed is None or not self._selector.is_eligible(*listed):
      return exceptions.NoUpstreamError(upstream)
    return None

  def _list_entry(
    self, upstream: str
  ) -> tuple[documents.Document, documents.UpstreamEntry] | None:
    held = self._held[upstream].holder
    document = self._config.documents.get(held.service)
    if document is None:
      return None
    for entry in document.upstreams:
      if entry.name == upstream:
        return document, entry
    return None

  def _drop(self, name: str) -> None:
    """Stops at once to serve an upstream whose claim is gone."""
    held = self._held.pop(name)
    self._given_up[name] = held.term
    held.holder.abort()
    events.UPSTREAM_RELEASED.log(_logger, upstream=name, term=held.term)

  async def _release(self, name: str) -> None:
    """Gives up an upstream after its requests in progress have ended."""
    if name in self._releasing or name not in self._held:
      return
    self._releasing.add(name)
    held = self._held[name]
    await held.holder.stop()
    self._given_up[name] = held.term
    if not self._own.direct:
      self._undeleted[name] = held.term
    self._held.pop(name, None)
    self._releasing.discard(name)
    events.UPSTREAM_RELEASED.log(_logger, upstream=name, term=held.term)
    await self._delete_given_up()

  async def _delete_given_up(self) -> None:
    """Deletes the claims of the upstreams that were given up."""
    for name, term in list(self._undeleted.items()):
      try:
        await self._client.delete(keys.OWNER_PREFIX + name, term)
      except exceptions.ConflictError:
        # Deleted already, or claimed by another node.
        pass
      except exceptions.StoreError:
        return
      self._undeleted.pop(name, None)

  def _report_changes(self) -> None:
    for name, held in self._held.items():
      self._log_label(name, held)
      state = held.holder.get_state()
      if held.report is not None and not _is_news(held.report.state, state):
        continue
      number = held.report.number + 1 if held.report else 1
      held.report = messages.UpstreamReport(
        name, held.holder.service, self._own.node, held.term, number, state
      )
      self._known.record_report(held.report)
      if not self._own.direct:
        self._publish(held.report)

  def _log_label(self, name: str, held: _Held) -> None:
    label = held.holder.get_label()
    if label != held.label:
      held.label = label
      events.UPSTREAM_CHANGED.log(_logger, upstream=name, state=label)


def _is_news(
  reported: upstreams.UpstreamState, current: upstreams.UpstreamState
) -> bool:
  same_latency = (
    current.latency_s <= reported.latency_s * _LATENCY_STEP
    and reported.latency_s <= current.latency_s * _LATENCY_STEP
  )
  same = attrs.evolve(current, latency_s=reported.latency_s) == reported
  return not (same and same_latency)
