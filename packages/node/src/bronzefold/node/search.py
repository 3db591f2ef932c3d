"""Searches over all shards of one snapshot."""

from __future__ import annotations

from collections.abc import Iterable
import itertools
import random
import uuid

import anyio
import attrs
from expression import Error
from expression import Ok
from expression import Result
import msgspec

from bronzefold.core import budgets
from bronzefold.core import clock
from bronzefold.core import containment
from bronzefold.core import defaults
from bronzefold.core import documents
from bronzefold.core import exceptions
from bronzefold.core import fingerprints
from bronzefold.core import quarantine
from bronzefold.core import ranges
from bronzefold.node import admission
from bronzefold.node import directory
from bronzefold.node import dispatch
from bronzefold.node import merges
from bronzefold.node import outliers
from bronzefold.node import replies
from bronzefold.node import routing
from bronzefold.node import selection
from bronzefold.node import versions
from bronzefold.upstreams import messages

_MAX_ATTEMPTS = 4
_MAX_SNAPSHOTS = 3
_RETRY_DELAY_STEP_S = 0.004
# Largest estimated duration of an admitted search, as a share of its remaining
# time.
_MAX_DURATION_SHARE = 0.4
_SEARCH_PATH = "/v1/search"

# Errors of exchanges on which no upstream has worked. A retry after one of
# them adds no load and needs no retry budget.
_UNEXECUTED_ERRORS = (
  exceptions.NotOwnerError,
  exceptions.NoUpstreamError,
  exceptions.ConnectFailedError,
  exceptions.UpstreamDrainingError,
)
# Errors of exchanges that upstreams themselves reported, so they have run them.
_SURVIVED_ERRORS = (
  exceptions.UpstreamFailedError,
  exceptions.SnapshotGoneError,
)


@attrs.frozen
class SearchRequest:
  """A search requested by a caller.

  Attributes:
    request_id: Id of the request.
    document: Document of the service.
    route: Name of the route.
    query: The query, JSON.
    options: Merge options of the query.
    deadline: Monotonic time of the deadline, in seconds.
    requires_complete: Whether an incomplete answer is an error.
  """

  request_id: str
  document: documents.Document
  route: str
  query: bytes
  options: merges.MergeOptions
  deadline: clock.Seconds
  requires_complete: bool

  @property
  def fingerprint(self) -> str:
    """Digest of all that decides what upstreams do with the search."""
    return fingerprints.compute_fingerprint(
      self.document.service.encode(), self.route.encode(), self.query
    )


@attrs.frozen
class SearchAnswer:
  """The answer to a search.

  Attributes:
    request_id: Id of the request.
    snapshot: Number of the snapshot.
    taken_at: Time of the snapshot, seconds since the Unix epoch.
    coverage: Records of the snapshot that the answer covers.
    result: The merged result.
    hedges: Number of hedges sent.
    retries: Number of retries sent.
  """

  request_id: str
  snapshot: int
  taken_at: float
  coverage: ranges.Coverage
  result: merges.Part
  hedges: int
  retries: int


@attrs.define
class ServiceBudgets:
  """Budgets that limit the hedges and retries of one service's searches.

  Attributes:
    hedges: Limits hedges to a share of all exchanges.
    retries: Limits retries to a share of successful exchanges.
    latency: Estimates the hedge delay, a quantile of the latency.
  """

  hedges: budgets.ShareBudget
  retries: budgets.ShareBudget
  latency: budgets.LatencyQuantile

  @classmethod
  def from_limits(cls, limits: documents.Limits) -> ServiceBudgets:
    """Creates budgets from the limits of a service."""
    return cls(
      hedges=budgets.ShareBudget(limits.hedge_share),
      retries=budgets.ShareBudget(limits.retry_share),
      latency=budgets.LatencyQuantile(defaults.HEDGE_QUANTILE),
    )


@attrs.frozen
class _ShardGroup:
  """Shards that one exchange requests from an upstream.

  Attributes:
    upstream: The upstream.
    shards: Numbers of the shards.
  """

  upstream: selection.UsableUpstream
  shards: tuple[int, ...]


class Searcher:
  """Runs the searches of a node, which has one searcher."""

  def __init__(
    self,
    selector: selection.Selector,
    upstream_directory: directory.UpstreamDirectory,
    dispatcher: dispatch.Dispatcher,
    version_router: versions.VersionRouter,
    policy: routing.Policy,
    generator: random.Random,
  ) -> None:
    """Creates a searcher.

    Args:
      selector: Lists usable upstreams.
      upstream_directory: Reports and manifests of upstreams.
      dispatcher: Sends requests to upstreams.
      version_router: Chooses the version for a request and records the
        exchanges of each version.
      policy: Chooses one of several replicas.
      generator: Source of random choices.
    """
    self.selector = selector
    self.upstream_directory = upstream_directory
    self.dispatcher = dispatcher
    self.version_router = version_router
    self.policy = policy
    self.generator = generator
    self.outliers = outliers.OutlierDetector()
    self.suspects = quarantine.Quarantine(clock.read_monotonic())
    self._budgets: dict[str, ServiceBudgets] = {}

  def get_budgets(self, document: documents.Document) -> ServiceBudgets:
    """Returns the budgets of a service."""
    service = document.service
    if service not in self._budgets:
      self._budgets[service] = ServiceBudgets.from_limits(document.limits)
    return self._budgets[service]

  async def search(
    self, request: SearchRequest
  ) -> Result[SearchAnswer, exceptions.BronzefoldError]:
    """Runs a search.

    Args:
      request: The search.

    Returns:
      The answer with the best coverage found before the deadline, read from
      one snapshot. An error if no snapshot can be read, if the upstreams are
      overloaded, if the search has crashed upstreams, or if the caller
      requires a complete answer and none was found.
    """
    refusal = self._check_load(request)
    if refusal is not None:
      return Error(refusal)
    now = clock.read_monotonic()
    fingerprint = request.fingerprint
    verdict = self.suspects.judge(fingerprint, now)
    if verdict is quarantine.Verdict.REJECT:
      return Error(exceptions.QuarantinedError(fingerprint))
    caution = containment.choose_caution(
      verdict, is_alert=self.suspects.is_alert(now)
    )
    try:
      return await self._search_snapshots(request, caution)
    finally:
      if verdict is quarantine.Verdict.PROBE:
        self.suspects.end_probe(fingerprint)

  async def _search_snapshots(
    self, request: SearchRequest, caution: containment.Caution
  ) -> Result[SearchAnswer, exceptions.BronzefoldError]:
    """Searches snapshots, the newest first, until one of them is served."""
    contained = containment.Containment(caution, shard_count=0)
    best: _SnapshotSearch | None = None
    newer_than = -1
    for _ in range(_MAX_SNAPSHOTS):
      pinned = self._pin_snapshot(request, newer_than)
      if pinned is None:
        break
      snapshot_search = _SnapshotSearch(self, request, pinned, contained)
      await snapshot_search.run()
      if best is None or snapshot_search.covered_share > best.covered_share:
        best = snapshot_search
      if snapshot_search.is_complete or not snapshot_search.snapshot_gone:
        break
      newer_than = pinned.manifest.snapshot
    if best is None:
      return Error(exceptions.NoUpstreamError(request.document.service))
    answer = best.make_answer()
    if request.requires_complete and not answer.coverage.is_complete:
      detail = f"{answer.coverage.covered} of {answer.coverage.total} records"
      return Error(exceptions.IncompleteError(detail))
    return Ok(answer)

  def _check_load(
    self, request: SearchRequest
  ) -> exceptions.OverloadedError | None:
    """Checks whether a search can be complete by its deadline.

    Args:
      request: The search.

    Returns:
      The error with which to refuse the search at once, None to admit it.
    """
    now = clock.read_monotonic()
    usable = self.selector.list_usable(request.document, now)
    candidates = [
      self.selector.make_candidate(upstream, 0.0, now) for upstream in usable
    ]
    duration_s = admission.estimate_duration(candidates)
    if duration_s <= (request.deadline - now) * _MAX_DURATION_SHARE:
      return None
    return exceptions.OverloadedError(
      f"the search would take {duration_s:.3f} s, too much of the time left"
    )

  def _pin_snapshot(
    self, request: SearchRequest, newer_than: int
  ) -> selection.PinnedSnapshot | None:
    now = clock.read_monotonic()
    if now >= request.deadline:
      return None
    usable = self.selector.list_usable(request.document, now)
    manifests = self.upstream_directory.get_manifests(request.document.service)
    return selection.pin_snapshot(usable, manifests, newer_than)


class _SnapshotSearch:
  """One pass of a search, which reads one snapshot."""

  def __init__(
    self,
    searcher: Searcher,
    request: SearchRequest,
    pinned: selection.PinnedSnapshot,
    contained: containment.Containment,
  ) -> None:
    contained.shard_count = len(pinned.manifest.shards)
    self._containment = contained
    self._has_progress = anyio.Event()
    self._searcher = searcher
    self._request = request
    self._pinned = pinned
    self._budgets = searcher.get_budgets(request.document)
    self._manifest_entries = {
      entry.shard: entry for entry in pinned.manifest.shards
    }
    self._merge_name = request.document.routes[request.route].merge
    self._priority = request.document.routes[request.route].priority
    self._parts: dict[int, merges.Part] = {}
    self._tried_upstreams: dict[int, set[str]] = {}
    self._version = searcher.version_router.choose_version(
      request.document, request.request_id
    )
    self._deadline = _reserve_merge_time(request.deadline)
    self._hedges = 0
    self._retries = 0
    self.snapshot_gone = False

  @property
  def is_complete(self) -> bool:
    """Whether the parts of all shards have been received."""
    return len(self._parts) == len(self._manifest_entries)

  @property
  def covered_share(self) -> float:
    """Share of the snapshot's records that the received parts cover."""
    covered = sum(
      self._manifest_entries[shard].records for shard in self._parts
    )
    return covered / max(1, self._pinned.manifest.records)

  async def run(self) -> None:
    """Requests the parts of all shards, until the deadline at the latest."""
    timeout_s = self._deadline - clock.read_monotonic()
    with anyio.move_on_after(max(0.0, timeout_s)):
      async with anyio.create_task_group() as tasks:
        for group in self._plan_exchanges(
          self._pinned.upstreams_by_shard, prefer_version=True
        ):
          tasks.start_soon(self._fetch_group, group, 1)

  def make_answer(self) -> SearchAnswer:
    """Merges the received parts into an answer."""
    manifest = self._pinned.manifest
    parts = [self._parts[shard] for shard in sorted(self._parts)]
    return SearchAnswer(
      request_id=self._request.request_id,
      snapshot=manifest.snapshot,
      taken_at=manifest.taken_at,
      coverage=ranges.compute_coverage(manifest, self._parts),
      result=merges.merge_parts(self._merge_name, parts, self._request.options),
      hedges=self._hedges,
      retries=self._retries,
    )

  def _plan_exchanges(
    self, shards: Iterable[int], prefer_version: bool
  ) -> list[_ShardGroup]:
    """Plans exchanges for shards, with upstreams that were not yet tried.

    Args:
      shards: Numbers of the shards.
      prefer_version: Whether to prefer upstreams of the request's version.

    Returns:
      Groups of shards with the same untried upstreams. A shard without an
      untried upstream is in no group.
    """
    shards_by_upstreams = itertools.groupby(
      sorted(shards, key=self._list_untried_names), key=self._list_untried_names
    )
    planned_counts: dict[str, int] = {}
    groups = []
    group_size = self._choose_group_size()
    for upstream_names, alike_shards in shards_by_upstreams:
      if not upstream_names:
        continue
      for chunk in ranges.split_into_chunks(alike_shards, group_size):
        upstream = self._choose_upstream(
          chunk[0], planned_counts, prefer_version
        )
        planned_counts[upstream.entry.name] = (
          planned_counts.get(upstream.entry.name, 0) + 1
        )
        groups.append(_ShardGroup(upstream, chunk))
    return groups

  def _choose_group_size(self) -> int:
    """Chooses the count of shards per exchange.

    Returns:
      The count with which the exchanges for all shards fill the slots of all
      upstreams once, at most the limit of the service.
    """
    usable = {
      upstream.entry.name: upstream
      for upstreams in self._pinned.upstreams_by_shard.values()
      for upstream in upstreams
    }
    slots = sum(upstream.report.state.limit for upstream in usable.values())
    # Rounded up.
    size = -(-len(self._manifest_entries) // max(1, slots))
    return min(size, self._request.document.limits.shards_per_request)

  def _list_untried_upstreams(
    self, shard: int
  ) -> list[selection.UsableUpstream]:
    tried = self._tried_upstreams.get(shard, ())
    upstreams = self._pinned.upstreams_by_shard.get(shard, ())
    return [
      upstream for upstream in upstreams if upstream.entry.name not in tried
    ]

  def _list_untried_names(self, shard: int) -> tuple[str, ...]:
    return tuple(
      upstream.entry.name for upstream in self._list_untried_upstreams(shard)
    )

  def _choose_upstream(
    self, shard: int, planned_counts: dict[str, int], prefer_version: bool
  ) -> selection.UsableUpstream:
    version = self._version if prefer_version else None
    now = clock.read_monotonic()
    healthy = self._searcher.outliers.filter_upstreams(
      self._list_untried_upstreams(shard), now
    )
    filtered = self._searcher.version_router.filter_upstreams(
      self._request.document, healthy, version
    )
    by_name = {upstream.entry.name: upstream for upstream in filtered}
    candidates = [
      self._searcher.selector.make_candidate(
        upstream, planned_counts.get(name, 0), now
      )
      for name, upstream in by_name.items()
    ]
    chosen = self._searcher.policy(candidates, self._searcher.generator)
    return by_name[chosen.upstream]

  async def _fetch_group(self, group: _ShardGroup, attempt: int) -> None:
    """Fetches the parts of a group, with hedging and retries."""
    errors: list[exceptions.BronzefoldError] = []
    if not await self._wait_until_allowed():
      return
    await self._run_with_hedge(group, errors)
    missing = [shard for shard in group.shards if shard not in self._parts]
    if not missing or attempt >= _MAX_ATTEMPTS:
      return
    groups = self._plan_exchanges(missing, prefer_version=False)
    if not groups or not self._may_retry(errors):
      return
    self._retries += len(groups)
    await anyio.sleep(
      _RETRY_DELAY_STEP_S * attempt * self._searcher.generator.random()
    )
    async with anyio.create_task_group() as tasks:
      for group_to_retry in groups:
        tasks.start_soon(self._fetch_group, group_to_retry, attempt + 1)

  async def _wait_until_allowed(self) -> bool:
    """Waits until another upstream may get the search; False if none may.

    The attempt that follows at once is counted.
    """
    while not self._containment.may_send():
      if self._containment.must_give_up:
        return False
      await self._has_progress.wait()
    self._containment.record_start()
    return True

  def _record_end(
    self, *, has_crashed: bool = False, has_survived: bool = False
  ) -> None:
    """Records the end of an attempt and wakes those that wait for it."""
    self._containment.record_end(
      has_crashed=has_crashed, has_survived=has_survived
    )
    self._has_progress.set()
    self._has_progress = anyio.Event()

  def _may_retry(self, errors: list[exceptions.BronzefoldError]) -> bool:
    """Returns whether a retry is allowed, and charges it to the budget.

    A retry is free if no upstream has worked on the failed exchanges.
    """
    if all(isinstance(error, _UNEXECUTED_ERRORS) for error in errors):
      return True
    return self._budgets.retries.try_spend()

  async def _run_with_hedge(
    self, group: _ShardGroup, errors: list[exceptions.BronzefoldError]
  ) -> None:
    """Runs an exchange, and hedges it if it outlasts the hedge delay.

    Args:
      group: The shards and the upstream of the exchange.
      errors: Receives the errors of the exchange and of its hedge.
    """
    done = anyio.Event()
    async with anyio.create_task_group() as tasks:
      tasks.start_soon(self._run_exchange, group, done, errors)
      with anyio.move_on_after(self._get_hedge_delay()):
        await done.wait()
      while not done.is_set() and not self._containment.may_hedge():
        await self._has_progress.wait()
      if not done.is_set():
        for hedge in self._plan_hedge(group):
          self._containment.record_start()
          tasks.start_soon(self._run_exchange, hedge, done, errors)
        await done.wait()
      if self._has_all_parts(group):
        tasks.cancel_scope.cancel()

  def _has_all_parts(self, group: _ShardGroup) -> bool:
    return all(shard in self._parts for shard in group.shards)

  def _get_hedge_delay(self) -> clock.Seconds:
    """Returns the time after which an exchange is hedged.

    It is the default deadline as long as there is no latency estimate.
    """
    estimate = self._budgets.latency.get_estimate()
    if estimate is None:
      return defaults.DEADLINE_MS / 1e3
    return max(defaults.MIN_HEDGE_DELAY_S, estimate)

  def _plan_hedge(self, group: _ShardGroup) -> list[_ShardGroup]:
    """Plans the hedge of an exchange, and charges it to the budget.

    Returns:
      The hedge in a list. An empty list if no single upstream that was not yet
      tried holds all missing shards, or if the budget is used up.
    """
    missing = [shard for shard in group.shards if shard not in self._parts]
    groups = self._plan_exchanges(missing, prefer_version=False)
    if len(groups) != 1 or not self._budgets.hedges.try_spend():
      return []
    self._hedges += 1
    return groups

  async def _run_exchange(
    self,
    group: _ShardGroup,
    done: anyio.Event,
    errors: list[exceptions.BronzefoldError],
  ) -> None:
    """Runs one exchange and stores the parts of a valid reply."""
    for shard in group.shards:
      self._tried_upstreams.setdefault(shard, set()).add(
        group.upstream.entry.name
      )
    started = clock.read_monotonic()
    exchange_id = uuid.uuid4().hex
    try:
      outcome = await self._searcher.dispatcher.send(
        self._make_upstream_request(group, exchange_id), started
      )
    except anyio.get_cancelled_exc_class():
      self._record_end()
      self._record_cancelled_exchange(group, started)
      raise
    now = clock.read_monotonic()
    expected = replies.ExpectedReply(
      exchange_id,
      self._pinned.manifest.snapshot,
      tuple(self._manifest_entries[shard] for shard in group.shards),
      self._merge_name,
    )
    self._record_crash_or_survival(group, outcome, started, now)
    checked = outcome.bind(lambda reply: replies.check_reply(reply, expected))
    took_s = outcome.ok.took_s if outcome.is_ok() else 0.0
    self._record_exchange(group, checked, took_s, now)
    if checked.is_ok():
      self._budgets.latency.record(now - started)
    if checked.is_ok():
      self._parts.update(checked.ok)
    else:
      errors.append(checked.error)
    if checked.is_error() or self._has_all_parts(group):
      done.set()
    error = outcome.error if outcome.is_error() else None
    self._record_end(
      has_crashed=isinstance(error, exceptions.UpstreamCrashedError),
      has_survived=error is None or isinstance(error, _SURVIVED_ERRORS),
    )

  def _record_crash_or_survival(
    self,
    group: _ShardGroup,
    outcome: dispatch.Outcome,
    started: clock.Seconds,
    now: clock.Seconds,
  ) -> None:
    """Records what an exchange says about the search for the quarantine."""
    suspects = self._searcher.suspects
    error = outcome.error if outcome.is_error() else None
    if isinstance(error, exceptions.UpstreamCrashedError):
      suspects.record_crash(
        self._request.fingerprint,
        group.upstream.report.state.instance,
        started,
        now,
      )
    elif error is None or isinstance(error, _SURVIVED_ERRORS):
      suspects.record_survival(self._request.fingerprint, now)

  def _make_upstream_request(
    self, group: _ShardGroup, exchange_id: str
  ) -> dispatch.UpstreamRequest:
    body = messages.SearchBody(
      request=exchange_id,
      route=self._request.route,
      snapshot=self._pinned.manifest.snapshot,
      shards=group.shards,
      query=msgspec.Raw(self._request.query),
    )
    return dispatch.UpstreamRequest(
      exchange_id=exchange_id,
      upstream=group.upstream.entry.name,
      path=_SEARCH_PATH,
      body=msgspec.json.encode(body),
      deadline=self._deadline,
      priority=self._priority,
    )

  def _record_exchange(
    self,
    group: _ShardGroup,
    checked: Result[dict[int, merges.Part], exceptions.BronzefoldError],
    took_s: clock.Seconds,
    now: clock.Seconds,
  ) -> None:
    self._budgets.hedges.earn()
    error = checked.error if checked.is_error() else None
    has_crashed = isinstance(error, exceptions.UpstreamCrashedError)
    # The search is to blame then, not the upstream or its version.
    if has_crashed and self._searcher.suspects.is_suspected(
      self._request.fingerprint
    ):
      return
    self._searcher.outliers.record_exchange(
      group.upstream.entry.name, error, now
    )
    if error is None:
      self._budgets.retries.earn()
    elif isinstance(error, exceptions.SnapshotGoneError):
      self.snapshot_gone = True
    self._searcher.version_router.record_exchange(
      self._request.document,
      group.upstream.entry.version,
      self._request.route,
      error,
      took_s if group.upstream.report.state.warm else 0.0,
      now,
    )

  def _record_cancelled_exchange(
    self, group: _ShardGroup, started: clock.Seconds
  ) -> None:
    """Records the duration of an exchange that was cancelled.

    Its hedge was faster, or the search has ended.

    An exchange that ran for less than the hedge delay is not recorded.
    """
    now = clock.read_monotonic()
    took_s = now - started
    if took_s >= self._get_hedge_delay():
      self._searcher.version_router.record_exchange(
        self._request.document,
        group.upstream.entry.version,
        self._request.route,
        None,
        took_s if group.upstream.report.state.warm else 0.0,
        now,
      )


def _reserve_merge_time(deadline: clock.Seconds) -> clock.Seconds:
  """Returns the deadline of exchanges that leaves time to merge parts."""
  return deadline - defaults.MERGE_RESERVE_MS / 1e3
