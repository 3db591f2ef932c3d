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
from bronzefold.core import defaults
from bronzefold.core import documents
from bronzefold.core import exceptions
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
_RETRY_PAUSE_S = 0.004
_ADMITTED_SHARE = 0.4
_SEARCH_PATH = "/v1/search"

# Errors of exchanges that no upstream has worked on.
_WITHOUT_WORK = (
  exceptions.NotOwnerError,
  exceptions.NoUpstreamError,
  exceptions.ConnectFailedError,
  exceptions.UpstreamDrainingError,
)


@attrs.frozen
class SearchRequest:
  """A search as a caller asks for it.

  Attributes:
    request: Id of the request.
    document: Document of the service.
    route: Name of the route.
    query: The query, JSON.
    options: The part of the query that merges read.
    deadline: Monotonic time of the deadline.
    complete: True when only a complete answer will do.
  """

  request: str
  document: documents.Document
  route: str
  query: bytes
  options: merges.MergeOptions
  deadline: clock.Seconds
  complete: bool


@attrs.frozen
class SearchAnswer:
  """The answer to a search.

  Attributes:
    request: Id of the request that it answers.
    snapshot: Number of the snapshot.
    taken_at: Time of the snapshot, seconds since the Unix epoch.
    coverage: What the answer covers.
    result: The merged result.
    hedges: Hedges sent for it.
    retries: Retries sent for it.
  """

  request: str
  snapshot: int
  taken_at: float
  coverage: ranges.Coverage
  result: merges.Part
  hedges: int
  retries: int


@attrs.define
class ServiceBudgets:
  """What bounds the extra work that searches of one service make.

  Attributes:
    hedges: Hedges as a share of exchanges.
    retries: Retries as a share of successes.
    latency: Latency after which an exchange is hedged.
  """

  hedges: budgets.ShareBudget
  retries: budgets.ShareBudget
  latency: budgets.LatencyQuantile

  @classmethod
  def from_limits(cls, limits: documents.Limits) -> ServiceBudgets:
    """Returns budgets for a service's limits."""
    return cls(
      hedges=budgets.ShareBudget(limits.hedge_share),
      retries=budgets.ShareBudget(limits.retry_share),
      latency=budgets.LatencyQuantile(defaults.HEDGE_QUANTILE),
    )


@attrs.frozen
class _Group:
  """Shards that are asked for in one exchange.

  Attributes:
    usable: The upstream.
    shards: Numbers of the shards.
  """

  usable: selection.UsableUpstream
  shards: tuple[int, ...]


class Searcher:
  """Runs searches; one instance serves the whole node."""

  def __init__(
    self,
    selector: selection.Selector,
    known: directory.UpstreamDirectory,
    dispatcher: dispatch.Dispatcher,
    traffic: versions.VersionRouter,
    policy: routing.Policy,
    generator: random.Random,
  ) -> None:
    """Creates a searcher.

    Args:
      selector: Finds usable upstreams.
      known: Reports of upstreams and manifests.
      dispatcher: Sends requests.
      traffic: Chooses versions and observes them.
      policy: Chooses among replicas.
      generator: Source of random choices.
    """
    self.selector = selector
    self.known = known
    self.dispatcher = dispatcher
    self.traffic = traffic
    self.policy = policy
    self.generator = generator
    self.outliers = outliers.OutlierDetector()
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
      The answer with the best coverage found before the deadline, from one
      snapshot, or an error when no snapshot can be read or the caller wants
      a complete answer and none was found.
    """
    refusal = self._find_refusal(request)
    if refusal is not None:
      return Error(refusal)
    best: _SearchRun | None = None
    newest = -1
    for _ in range(_MAX_SNAPSHOTS):
      pin = self._pin(request, newest)
      if pin is None:
        break
      run = _SearchRun(self, request, pin)
      await run.run()
      if best is None or run.covered_share > best.covered_share:
        best = run
      if run.complete or not run.snapshot_gone:
        break
      newest = pin.manifest.snapshot
    if best is None:
      return Error(exceptions.NoUpstreamError(request.document.service))
    answer = best.make_answer()
    if request.complete and not answer.coverage.is_complete:
      detail = f"{answer.coverage.covered} of {answer.coverage.total} records"
      return Error(exceptions.IncompleteError(detail))
    return Ok(answer)

  def _find_refusal(
    self, request: SearchRequest
  ) -> exceptions.OverloadedError | None:
    """Refuses at once a search that cannot be complete by its deadline."""
    now = clock.read_monotonic()
    usable = self.selector.list_usable(request.document, now)
    candidates = [self.selector.make_candidate(u, 0.0, now) for u in usable]
    wait_s = admission.estimate_wait(candidates)
    if wait_s <= (request.deadline - now) * _ADMITTED_SHARE:
      return None
    return exceptions.OverloadedError(f"would wait for {wait_s:.3f} s")

  def _pin(
    self, request: SearchRequest, newer_than: int
  ) -> selection.PinnedSnapshot | None:
    now = clock.read_monotonic()
    if now >= request.deadline:
      return None
    usable = self.selector.list_usable(request.document, now)
    manifests = self.known.get_manifests(request.document.service)
    return selection.pin_snapshot(usable, manifests, newer_than)


class _SearchRun:
  """One pass of a search over one snapshot."""

  def __init__(
    self,
    searcher: Searcher,
    request: SearchRequest,
    pin: selection.PinnedSnapshot,
  ) -> None:
    self._searcher = searcher
    self._request = request
    self._pin = pin
    self._budgets = searcher.get_budgets(request.document)
    self._entries = {entry.shard: entry for entry in pin.manifest.shards}
    self._merge = request.document.routes[request.route].merge
    self._priority = request.document.routes[request.route].priority
    self._parts: dict[int, merges.Part] = {}
    self._tried: dict[int, set[str]] = {}
    self._version = searcher.traffic.choose_version(
      request.document, request.request
    )
    self._deadline = _reserve_merge_time(request.deadline)
    self._hedges = 0
    self._retries = 0
    self.snapshot_gone = False

  @property
  def complete(self) -> bool:
    """True when every shard has answered."""
    return len(self._parts) == len(self._entries)

  @property
  def covered_share(self) -> float:
    """Share of the snapshot's records that is covered."""
    covered = sum(self._entries[shard].records for shard in self._parts)
    return covered / max(1, self._pin.manifest.records)

  async def run(self) -> None:
    """Asks all shards; ends at the deadline at the latest."""
    timeout_s = self._deadline - clock.read_monotonic()
    with anyio.move_on_after(max(0.0, timeout_s)):
      async with anyio.create_task_group() as tasks:
        for group in self._plan(self._pin.holders, prefer_version=True):
          tasks.start_soon(self._fetch, group, 1)

  def make_answer(self) -> SearchAnswer:
    """Merges the parts that are there."""
    manifest = self._pin.manifest
    parts = [self._parts[shard] for shard in sorted(self._parts)]
    return SearchAnswer(
      request=self._request.request,
      snapshot=manifest.snapshot,
      taken_at=manifest.taken_at,
      coverage=ranges.compute_coverage(manifest, self._parts),
      result=merges.merge_parts(self._merge, parts, self._request.options),
      hedges=self._hedges,
      retries=self._retries,
    )

  def _plan(self, shards: Iterable[int], prefer_version: bool) -> list[_Group]:
    """Chooses an upstream for each shard that has an untried one."""
    by_holders = itertools.groupby(
      sorted(shards, key=self._list_names), key=self._list_names
    )
    planned: dict[str, int] = {}
    groups = []
    size = self._choose_group_size()
    for names, alike in by_holders:
      if not names:
        continue
      for chunk in ranges.split_into_chunks(alike, size):
        usable = self._choose(chunk[0], planned, prefer_version)
        planned[usable.entry.name] = planned.get(usable.entry.name, 0) + 1
        groups.append(_Group(usable, chunk))
    return groups

  def _choose_group_size(self) -> int:
    """Chooses so many shards that the exchanges fill the slots just once."""
    usable = {u.entry.name: u for h in self._pin.holders.values() for u in h}
    slots = sum(u.report.state.limit for u in usable.values())
    size = -(-len(self._entries) // max(1, slots))
    return min(size, self._request.document.limits.shards_per_request)

  def _list_untried(self, shard: int) -> list[selection.UsableUpstream]:
    tried = self._tried.get(shard, ())
    holders = self._pin.holders.get(shard, ())
    return [u for u in holders if u.entry.name not in tried]

  def _list_names(self, shard: int) -> tuple[str, ...]:
    return tuple(usable.entry.name for usable in self._list_untried(shard))

  def _choose(
    self, shard: int, planned: dict[str, int], prefer_version: bool
  ) -> selection.UsableUpstream:
    version = self._version if prefer_version else None
    now = clock.read_monotonic()
    healthy = self._searcher.outliers.filter_upstreams(
      self._list_untried(shard), now
    )
    narrowed = self._searcher.traffic.filter_upstreams(
      self._request.document, healthy, version
    )
    by_name = {u.entry.name: u for u in narrowed}
    candidates = [
      self._searcher.selector.make_candidate(u, planned.get(name, 0), now)
      for name, u in by_name.items()
    ]
    chosen = self._searcher.policy(candidates, self._searcher.generator)
    return by_name[chosen.upstream]

  async def _fetch(self, group: _Group, attempt: int) -> None:
    """Gets the parts of a group, with a hedge and with retries."""
    errors: list[exceptions.BronzefoldError] = []
    await self._attempt_with_hedge(group, errors)
    missing = [shard for shard in group.shards if shard not in self._parts]
    if not missing or attempt >= _MAX_ATTEMPTS:
      return
    groups = self._plan(missing, prefer_version=False)
    if not groups or not self._may_retry(errors):
      return
    self._retries += len(groups)
    await anyio.sleep(
      _RETRY_PAUSE_S * attempt * self._searcher.generator.random()
    )
    async with anyio.create_task_group() as tasks:
      for retried in groups:
        tasks.start_soon(self._fetch, retried, attempt + 1)

  def _may_retry(self, errors: list[exceptions.BronzefoldError]) -> bool:
    """True when a retry makes no extra work, or the budget allows it."""
    if all(isinstance(error, _WITHOUT_WORK) for error in errors):
      return True
    return self._budgets.retries.try_spend()

  async def _attempt_with_hedge(
    self, group: _Group, errors: list[exceptions.BronzefoldError]
  ) -> None:
    done = anyio.Event()
    async with anyio.create_task_group() as tasks:
      tasks.start_soon(self._attempt, group, done, errors)
      with anyio.move_on_after(self._get_hedge_delay()):
        await done.wait()
      if not done.is_set():
        for hedge in self._plan_hedge(group):
          tasks.start_soon(self._attempt, hedge, done, errors)
        await done.wait()
      if self._has_all(group):
        tasks.cancel_scope.cancel()

  def _has_all(self, group: _Group) -> bool:
    return all(shard in self._parts for shard in group.shards)

  def _get_hedge_delay(self) -> clock.Seconds:
    estimate = self._budgets.latency.get_estimate()
    if estimate is None:
      return defaults.DEADLINE_MS / 1e3
    return max(defaults.MIN_HEDGE_DELAY_S, estimate)

  def _plan_hedge(self, group: _Group) -> list[_Group]:
    missing = [shard for shard in group.shards if shard not in self._parts]
    groups = self._plan(missing, prefer_version=False)
    if len(groups) != 1 or not self._budgets.hedges.try_spend():
      return []
    self._hedges += 1
    return groups

  async def _attempt(
    self,
    group: _Group,
    done: anyio.Event,
    errors: list[exceptions.BronzefoldError],
  ) -> None:
    """Makes one exchange and keeps its parts if they are right."""
    for shard in group.shards:
      self._tried.setdefault(shard, set()).add(group.usable.entry.name)
    started = clock.read_monotonic()
    exchange = uuid.uuid4().hex
    try:
      outcome = await self._searcher.dispatcher.send(
        self._make_dispatch(group, exchange), started
      )
    except anyio.get_cancelled_exc_class():
      self._observe_cancelled(group, started)
      raise
    now = clock.read_monotonic()
    expected = replies.Expected(
      exchange,
      self._pin.manifest.snapshot,
      tuple(self._entries[shard] for shard in group.shards),
      self._merge,
    )
    checked = outcome.bind(
      lambda delivered: replies.check_reply(delivered, expected)
    )
    took_s = outcome.ok.took_s if outcome.is_ok() else 0.0
    self._observe(group, checked, took_s, now)
    if checked.is_ok():
      self._budgets.latency.record(now - started)
    if checked.is_ok():
      self._parts.update(checked.ok)
    else:
      errors.append(checked.error)
    if checked.is_error() or self._has_all(group):
      done.set()

  def _make_dispatch(
    self, group: _Group, exchange: str
  ) -> dispatch.UpstreamRequest:
    body = messages.SearchBody(
      request=exchange,
      route=self._request.route,
      snapshot=self._pin.manifest.snapshot,
      shards=group.shards,
      query=msgspec.Raw(self._request.query),
    )
    return dispatch.UpstreamRequest(
      request=exchange,
      upstream=group.usable.entry.name,
      path=_SEARCH_PATH,
      body=msgspec.json.encode(body),
      deadline=self._deadline,
      priority=self._priority,
    )

  def _observe(
    self,
    group: _Group,
    checked: Result[dict[int, merges.Part], exceptions.BronzefoldError],
    took_s: clock.Seconds,
    now: clock.Seconds,
  ) -> None:
    self._budgets.hedges.earn()
    error = checked.error if checked.is_error() else None
    self._searcher.outliers.record_reply(group.usable.entry.name, error, now)
    if error is None:
      self._budgets.retries.earn()
    elif isinstance(error, exceptions.SnapshotGoneError):
      self.snapshot_gone = True
    self._searcher.traffic.record_exchange(
      self._request.document,
      group.usable.entry.version,
      self._request.route,
      error,
      took_s if group.usable.report.state.warm else 0.0,
      now,
    )

  def _observe_cancelled(self, group: _Group, started: clock.Seconds) -> None:
    """Takes note of an exchange that lost against its hedge."""
    now = clock.read_monotonic()
    took_s = now - started
    if took_s >= self._get_hedge_delay():
      self._searcher.traffic.record_exchange(
        self._request.document,
        group.usable.entry.version,
        self._request.route,
        None,
        took_s if group.usable.report.state.warm else 0.0,
        now,
      )


def _reserve_merge_time(deadline: clock.Seconds) -> clock.Seconds:
  return deadline - defaults.MERGE_RESERVE_MS / 1e3
