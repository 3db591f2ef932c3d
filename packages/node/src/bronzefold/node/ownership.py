"""Assignment of upstreams to nodes, and the executors of owned upstreams."""

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
from bronzefold.core import defaults
from bronzefold.core import documents
from bronzefold.core import events
from bronzefold.core import exceptions
from bronzefold.core import memory
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

# Time for which another node must remain the intended owner before a release.
_RELEASE_DELAY_S = 1.0
_MAX_CLAIMS_PER_ROUND = 32
# A change of latency alone is published only if it exceeds this factor.
_MIN_REPORTED_LATENCY_FACTOR = 1.5

_logger = logging.getLogger(__name__)


def choose_owner(
  upstream: documents.UpstreamEntry, members: Sequence[membership.Member]
) -> str | None:
  """Chooses the node that should own an upstream, by rendezvous hashing.

  Args:
    upstream: The upstream.
    members: The nodes that may own it.

  Returns:
    Name of the node, preferably one in the upstream's availability zone; None
    when ``members`` is empty.
  """
  same_zone = [m for m in members if m.zone == upstream.zone]
  return max(
    (member.node for member in same_zone or members),
    key=lambda node: _hash_pair(node, upstream.name),
    default=None,
  )


def _hash_pair(node: str, upstream: str) -> int:
  return xxhash.xxh3_64_intdigest(f"{node}/{upstream}".encode())


@attrs.define
class _OwnedUpstream:
  """An upstream that this node owns.

  Attributes:
    executor: Sends the upstream's requests.
    term: Store revision at which this node claimed the upstream.
    last_published_report: The last report published.
    last_logged_label: The state label last logged.
    misplaced_since: Monotonic time since which another node has been the
      intended owner; None while this node is.
  """

  executor: upstreams.UpstreamExecutor
  term: int
  last_published_report: messages.UpstreamReport | None = None
  last_logged_label: str = ""
  misplaced_since: clock.Seconds | None = None


class Ownership:
  """Claims and releases upstreams, and runs executors for claimed ones.

  An upstream's claim is a store key attached to its owner's lease, so that at
  most one node at a time can hold it.
  """

  def __init__(
    self,
    node_settings: settings.Settings,
    client: store.StoreClient,
    store_session: session.StoreSession,
    config: configuration.Configuration,
    upstream_directory: directory.UpstreamDirectory,
    members: membership.Membership,
    selector: selection.Selector,
    publish_report: Callable[[messages.UpstreamReport], None],
    publish_manifest: Callable[[str, ranges.Manifest], None],
  ) -> None:
    """Creates an ownership without upstreams.

    Args:
      node_settings: Settings of this node.
      client: Client of the store.
      store_session: This node's session with the store.
      config: The configuration in force.
      upstream_directory: Reports of upstreams.
      members: The nodes of the fleet.
      selector: Decides which upstreams are eligible for new work.
      publish_report: Sends a report to the other nodes.
      publish_manifest: Sends a manifest to the other nodes.
    """
    self._settings = node_settings
    self._client = client
    self._session = store_session
    self._config = config
    self._directory = upstream_directory
    self._members = members
    self._selector = selector
    self._publish_report = publish_report
    self._publish_manifest = publish_manifest
    self._memory = memory.MemoryBudget(defaults.MAX_MESSAGE_MEMORY_BYTES)
    self._owned: dict[str, _OwnedUpstream] = {}
    self._releasing: set[str] = set()
    self._released_terms: dict[str, int] = {}
    self._pending_deletes: dict[str, int] = {}

  def get_executor(self, upstream: str) -> upstreams.UpstreamExecutor | None:
    """Returns the executor of an upstream, None if owned elsewhere."""
    owned = self._owned.get(upstream)
    return owned.executor if owned else None

  def list_executors(self) -> list[upstreams.UpstreamExecutor]:
    """Lists the executors of all upstreams that this node owns."""
    return [owned.executor for owned in self._owned.values()]

  async def reconcile(self, tasks: abc.TaskGroup, now: clock.Seconds) -> None:
    """Runs one round of claims and releases to match the assignment.

    It claims at most ``_MAX_CLAIMS_PER_ROUND`` upstreams, and publishes the
    reports of upstreams whose state has changed.

    Args:
      tasks: Task group in which executors run.
      now: The monotonic time.
    """
    entries = self._list_entries()
    self._directory.retain_upstreams(entries)
    for name in [name for name in self._owned if name not in entries]:
      tasks.start_soon(self._release, name)
    for name, (document, entry) in entries.items():
      self._reconcile_owned(name, document, entry, tasks, now)
    await self._delete_released_claims()
    await self._claim_unowned(entries, tasks, now)
    self._publish_changed_reports()

  async def release_all(self, tasks: abc.TaskGroup) -> None:
    """Starts the release of every upstream; requests in progress end first."""
    for name in list(self._owned):
      tasks.start_soon(self._release, name)

  def describe_upstreams(self) -> Iterable[status.UpstreamStatus]:
    """Returns the status of each upstream that this node owns, by name."""
    for name, owned in sorted(self._owned.items()):
      executor = owned.executor
      yield status.UpstreamStatus(
        upstream=name,
        service=executor.service,
        state=executor.get_state_label(),
        limit=executor.ramp.limit,
        in_progress=executor.in_progress,
        most_in_progress=executor.most_in_progress,
        queued=executor.count_pending(),
        sent=executor.sent,
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
    if self._settings.direct:
      return self._settings.node
    return choose_owner(entry, self._members.list_useful(now))

  def _reconcile_owned(
    self,
    name: str,
    document: documents.Document,
    entry: documents.UpstreamEntry,
    tasks: abc.TaskGroup,
    now: clock.Seconds,
  ) -> None:
    owned = self._owned.get(name)
    if owned is None or name in self._releasing:
      return
    claim = self._config.owners.get(name)
    if not self._settings.direct and self._is_claim_lost(owned, claim):
      self._drop_lost_upstream(name)
      return
    if not owned.executor.matches(entry, document.limits):
      tasks.start_soon(self._release, name)
      return
    owned.executor.set_usable(self._selector.is_eligible(document, entry), now)
    self._release_if_misplaced(name, owned, entry, tasks, now)

  def _is_claim_lost(
    self, owned: _OwnedUpstream, claim: configuration.NodeClaim | None
  ) -> bool:
    if claim is None:
      # A claim newer than the applied revision is not in the configuration yet,
      # and not lost.
      return self._config.revision >= owned.term
    return claim.node != self._settings.node and claim.term > owned.term

  def _release_if_misplaced(
    self,
    name: str,
    owned: _OwnedUpstream,
    entry: documents.UpstreamEntry,
    tasks: abc.TaskGroup,
    now: clock.Seconds,
  ) -> None:
    intended_owner = self._choose_owner(entry, now)
    if intended_owner in (self._settings.node, None):
      owned.misplaced_since = None
    elif owned.misplaced_since is None:
      owned.misplaced_since = now
    elif now - owned.misplaced_since > _RELEASE_DELAY_S:
      tasks.start_soon(self._release, name)

  async def _claim_unowned(
    self,
    entries: dict[str, tuple[documents.Document, documents.UpstreamEntry]],
    tasks: abc.TaskGroup,
    now: clock.Seconds,
  ) -> None:
    unowned = [
      (document, entry)
      for name, (document, entry) in entries.items()
      if name not in self._owned
      and (self._settings.direct or name not in self._config.owners)
      and name not in self._pending_deletes
      and self._choose_owner(entry, now) == self._settings.node
    ]
    for document, entry in unowned[:_MAX_CLAIMS_PER_ROUND]:
      if not await self._claim(document, entry, tasks):
        return

  async def _claim(
    self,
    document: documents.Document,
    entry: documents.UpstreamEntry,
    tasks: abc.TaskGroup,
  ) -> bool:
    """Claims an upstream; returns False without a lease or a store reply."""
    if self._settings.direct:
      # There is no claim in the store, so the term is always 1.
      self._start_executor(document, entry, 1, tasks)
      return True
    lease = self._session.get_lease_for_claims(clock.read_monotonic())
    if lease is None:
      return False
    key = keys.OWNER_PREFIX + entry.name
    record = configuration.OwnerRecord(self._settings.node)
    value = msgspec.json.encode(record).decode()
    try:
      revision = await self._client.put(key, value, 0, lease.lease_id)
    except exceptions.ConflictError:
      return True
    except exceptions.StoreError:
      # If the write took effect, the watch delivers the claim and
      # ``adopt_claims`` starts its executor.
      return False
    self._start_executor(document, entry, revision, tasks)
    return True

  def adopt_claims(self, tasks: abc.TaskGroup) -> None:
    """Starts executors for claims whose replies from the store were lost."""
    for name, (document, entry) in self._list_entries().items():
      claim = self._config.owners.get(name)
      if claim is None or claim.node != self._settings.node:
        continue
      if claim.term <= self._released_terms.get(name, 0):
        continue
      if not self._session.is_under_lease(claim.term):
        continue
      if name not in self._owned and name not in self._releasing:
        self._start_executor(document, entry, claim.term, tasks)

  def _start_executor(
    self,
    document: documents.Document,
    entry: documents.UpstreamEntry,
    term: int,
    tasks: abc.TaskGroup,
  ) -> None:
    executor = upstreams.UpstreamExecutor(
      document.service,
      entry,
      document.limits,
      lambda now, warm: self.find_refusal(entry.name, now, warm),
      self._publish_manifest,
      self._memory,
    )
    report = self._directory.get_report(entry.name)
    if report is not None and report.state.warm:
      executor.ramp.expect_warm(report.state.instance, report.state.latency_s)
    self._owned[entry.name] = _OwnedUpstream(executor, term)
    tasks.start_soon(executor.run)
    events.UPSTREAM_CLAIMED.log(_logger, upstream=entry.name, term=term)

  def find_refusal(
    self, upstream: str, now: clock.Seconds, warm: bool
  ) -> exceptions.NotRunError | None:
    """Returns the error that forbids requests to an upstream now.

    Args:
      upstream: Name of the upstream.
      now: The monotonic time.
      warm: True when the upstream can handle its full load.

    Returns:
      The error; None when a request may be sent.
    """
    contact = self._members.assess_contact(now)
    if contact is membership.FleetContact.ISOLATED:
      return exceptions.NotReadyError(
        "no recent contact with the store, and at most half of the"
        " fleet's nodes are alive"
      )
    owned = self._owned.get(upstream)
    if owned is None:
      return exceptions.NotOwnerError(upstream)
    if self._settings.direct:
      return self._check_eligible(upstream)
    if self._session.get_lease(now) is not None:
      if self._session.is_under_lease(owned.term):
        return self._check_eligible(upstream)
      return exceptions.NotOwnerError(
        f"{upstream}: claimed under an earlier lease"
      )
    if contact is membership.FleetContact.CURRENT:
      return exceptions.NotOwnerError(
        f"{upstream}: the lease of this node has lapsed"
      )
    if not warm and contact is not membership.FleetContact.OUTAGE_SEEN_BY_ALL:
      # Another node may have claimed the upstream; only a warm upstream can
      # handle the requests of both nodes. If all nodes are alive and no
      # contact with the store is known, a cold one is used as well.
      return exceptions.NotOwnerError(
        f"{upstream}: cold, and this node has no lease"
      )
    return self._check_eligible(upstream)

  def _check_eligible(self, upstream: str) -> exceptions.NotRunError | None:
    found = self._find_entry(upstream)
    if found is None or not self._selector.is_eligible(*found):
      return exceptions.NoUpstreamError(upstream)
    return None

  def _find_entry(
    self, upstream: str
  ) -> tuple[documents.Document, documents.UpstreamEntry] | None:
    executor = self._owned[upstream].executor
    document = self._config.documents.get(executor.service)
    if document is None:
      return None
    for entry in document.upstreams:
      if entry.name == upstream:
        return document, entry
    return None

  def _drop_lost_upstream(self, name: str) -> None:
    """Drops an upstream whose claim is lost, and aborts its requests."""
    owned = self._owned.pop(name)
    self._released_terms[name] = owned.term
    owned.executor.abort()
    events.UPSTREAM_RELEASED.log(_logger, upstream=name, term=owned.term)

  async def _release(self, name: str) -> None:
    """Releases an upstream after its requests in progress have ended."""
    if name in self._releasing or name not in self._owned:
      return
    self._releasing.add(name)
    owned = self._owned[name]
    await owned.executor.stop()
    self._released_terms[name] = owned.term
    if not self._settings.direct:
      self._pending_deletes[name] = owned.term
    self._owned.pop(name, None)
    self._releasing.discard(name)
    events.UPSTREAM_RELEASED.log(_logger, upstream=name, term=owned.term)
    await self._delete_released_claims()

  async def _delete_released_claims(self) -> None:
    """Deletes the claims of released upstreams from the store."""
    for name, term in list(self._pending_deletes.items()):
      try:
        await self._client.delete(keys.OWNER_PREFIX + name, term)
      except exceptions.ConflictError:
        # The claim is deleted already, or another node has claimed the
        # upstream.
        pass
      except exceptions.StoreError:
        return
      self._pending_deletes.pop(name, None)

  def _publish_changed_reports(self) -> None:
    for name, owned in self._owned.items():
      self._log_label_change(name, owned)
      state = owned.executor.get_state()
      if owned.last_published_report is not None and not _is_reportable(
        owned.last_published_report.state, state
      ):
        continue
      number = (
        owned.last_published_report.number + 1
        if owned.last_published_report
        else 1
      )
      owned.last_published_report = messages.UpstreamReport(
        name,
        owned.executor.service,
        self._settings.node,
        owned.term,
        number,
        state,
      )
      self._directory.record_report(owned.last_published_report)
      if not self._settings.direct:
        self._publish_report(owned.last_published_report)

  def _log_label_change(self, name: str, owned: _OwnedUpstream) -> None:
    label = owned.executor.get_state_label()
    if label != owned.last_logged_label:
      owned.last_logged_label = label
      events.UPSTREAM_CHANGED.log(_logger, upstream=name, state=label)


def _is_reportable(
  reported: upstreams.UpstreamState, current: upstreams.UpstreamState
) -> bool:
  is_similar_latency = (
    current.latency_s <= reported.latency_s * _MIN_REPORTED_LATENCY_FACTOR
    and reported.latency_s <= current.latency_s * _MIN_REPORTED_LATENCY_FACTOR
  )
  is_same_otherwise = (
    attrs.evolve(current, latency_s=reported.latency_s) == reported
  )
  return not (is_same_otherwise and is_similar_latency)
