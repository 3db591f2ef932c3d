"""The central object: decides what becomes of each request."""

from __future__ import annotations

import logging

from anyio import abc
import attrs

from bronzefold.core import budgets
from bronzefold.core import clock
from bronzefold.core import events
from bronzefold.core import metrics
from bronzefold.core.clock import Seconds
from bronzefold.gateway import changes
from bronzefold.gateway import fanout
from bronzefold.gateway import inventory
from bronzefold.gateway import merges
from bronzefold.gateway import model
from bronzefold.gateway import rollouts
from bronzefold.gateway import routing
from bronzefold.gateway import selection
from bronzefold.gateway import sending
from bronzefold.gateway import settings

HOLD_S = 1.4  # 3 s to be in force, less 0.8 s between watches and a margin
HEDGE_QUANTILE = 0.87  # hedges 13% of the sends; the users allow 20% extra
RETRY_AFTER_S = 0.05  # below the shortest objective in use, 56 ms
NOT_READY_RETRY_AFTER_S = 0.3  # a start takes about as long
CONNECTION_SHARE = 0.95  # 0.65 left too few: quiet days lost 0.01 of worth
EXTRA_SHARE = 0.95  # the rest covers arrivals at reused addresses
SLACK_SHARE = 0.75  # likewise; 135 arrivals were counted for our 89 once

_logger = logging.getLogger(__name__)


@attrs.frozen
class _HeldConfiguration:
  configuration: model.Configuration
  since: Seconds


class Gateway:
  """Serves requests by the configuration and the upstreams that it knows.

  Attributes:
    configuration: The configuration in force; None before the first.
    upstreams: The upstreams.
    rollouts: Moves of services to other versions.
    share: Part of each limit that this node may use.
    sends: Count of all requests sent to upstreams.
    metrics: What it counts.
  """

  def __init__(
    self,
    own: settings.GatewaySettings,
    protocol: sending.UpstreamProtocol,
    tasks: abc.TaskGroup,
  ) -> None:
    """Creates a gateway without a configuration.

    Args:
      own: Settings of this node.
      protocol: Wire format towards upstreams.
      tasks: Task group for work that outlives a request.
    """
    self.configuration: model.Configuration | None = None
    self.upstreams = inventory.Inventory(self._share_connections)
    self.rollouts = rollouts.Rollouts()
    self.limit_share = 1.0 / own.assumed_nodes
    self.send_count = 0
    self.metrics = metrics.Metrics()
    self._own = own
    self._started_at = clock.read_monotonic()
    self._held: _HeldConfiguration | None = None
    self._table: routing.RouteTable | None = None
    self._splits = routing.WeightedRoundRobin()
    self._budgets: dict[str, budgets.WindowBudget] = {}
    self._latencies: dict[str, budgets.LatencyQuantile] = {}
    self._means = fanout.Dependencies(
      sending.Sender(protocol, tasks),
      self.upstreams,
      self.rollouts,
      own.zone,
      self._get_budget,
      self._latencies,
    )

  def get_caller_limits(self) -> model.CallerLimits:
    """Returns the limits in force on what callers may send."""
    known = self.configuration
    return known.limits if known is not None else model.CallerLimits()

  def set_limit_share(self, share: float) -> None:
    """Uses this part of each limit from now on."""
    if share == self.limit_share:
      return
    self.limit_share = share
    self.upstreams.update_connection_limits()
    for budget in self._budgets.values():
      budget.slack = self._share_slack()

  def update_settings(self, own: settings.GatewaySettings) -> None:
    """Puts changed bounds in force."""
    self._own = own
    for budget in self._budgets.values():
      budget.ratio = EXTRA_SHARE * own.retry_ratio
      budget.slack = self._share_slack()

  def apply(self, change: changes.Change, now: Seconds) -> bool:
    """Applies a change that the store has acknowledged.

    Returns:
      True when it changed what this node believes.
    """
    return changes.apply_change(self, change, now)

  def set_configuration(
    self, configuration: model.Configuration, now: Seconds
  ) -> bool:
    """Puts a configuration in force unless it is older than the present one.

    One that names shards whose upstreams are not usable yet waits for them for
    ``HOLD_S``, while the shards before still serve. All of it waits, since no
    request may be handled by an older version after one by a newer.

    Args:
      configuration: The configuration.
      now: Monotonic time at which it was learned.

    Returns:
      True when it was newer.
    """
    newest = self._held.configuration if self._held else self.configuration
    if newest is not None and configuration.version <= newest.version:
      return False
    since = self._held.since if self._held else now
    self._held = _HeldConfiguration(configuration, since)
    self.apply_pending_configuration(now)
    return True

  def apply_pending_configuration(self, now: Seconds) -> None:
    """Puts a held configuration in force once its upstreams are usable."""
    held = self._held
    if held is None:
      return
    if now - held.since < HOLD_S and self._must_wait(held.configuration, now):
      return
    self._held = None
    replaced = self.configuration
    self.configuration = held.configuration
    self._table = routing.RouteTable(held.configuration)
    self.upstreams.update_connection_limits()
    events.ROUTES_APPLIED.log(
      _logger,
      version=held.configuration.version,
      routes=len(held.configuration.routes),
      replaced=replaced.version if replaced else None,
      held_ms=round((now - held.since) * 1e3),
    )

  def _must_wait(self, new: model.Configuration, now: Seconds) -> bool:
    if self.configuration is None:
      return False
    shards_before = {
      route.name: route.shards for route in self.configuration.routes
    }
    return any(
      route.shards
      and shards_before.get(route.name, route.shards) != route.shards
      and not all(self._has_usable(name, now) for name in route.shards)
      for route in new.routes
    )

  def _has_usable(self, service: str, now: Seconds) -> bool:
    candidates = self.upstreams.list_candidates(service, now)
    return bool(selection.list_usable(candidates, (), now))

  async def handle(self, request: model.Request) -> model.Response:
    """Answers a request.

    Args:
      request: The request, read whole.

    Returns:
      The answer. A refusal with 503 promises that the request did not run.
    """
    now = clock.read_monotonic()
    self.apply_pending_configuration(now)
    if self._table is None:
      refusal = _refuse("no_configuration", NOT_READY_RETRY_AFTER_S)
      return self._note_refusal(request, refusal)
    if request.head_bytes > self.configuration.limits.max_head_bytes:
      refusal = model.Response(431, outcome="head_too_large")
      return self._note_refusal(request, refusal)
    route = self._table.find(request.host, request.path)
    if route is None:
      refusal = model.Response(404, outcome="no_route")
      return self._note_refusal(request, refusal)
    budget_s = min(route.timeout_s, request.budget_s or route.timeout_s)
    deadline = request.received_at + budget_s
    services = route.shards or (self._splits.choose(route),)
    if route.name not in self._latencies:
      self._latencies[route.name] = budgets.LatencyQuantile(HEDGE_QUANTILE)
    query = fanout.FanOut(self._means, request, route, services, deadline)
    await query.run(now)
    answer = (
      _answer_search(query, route) if route.shards else _answer_plain(query)
    )
    self._record(request, route, query, answer)
    return answer

  def update_metrics(self) -> None:
    """Sets the metrics of the present state."""
    version = self.configuration.version if self.configuration else 0
    self.metrics.set_gauge("configuration_version", version)
    self.metrics.set_gauge("upstreams", self.upstreams.count_upstreams())
    self.metrics.set_gauge("limit_share", self.limit_share)

  def _note_refusal(
    self, request: model.Request, answer: model.Response
  ) -> model.Response:
    """Logs and counts a request that has no route."""
    events.REQUEST_REFUSED.log(
      _logger,
      request=request.id.decode("latin-1"),
      status=answer.status,
      outcome=answer.outcome,
      version=self.configuration.version if self.configuration else None,
    )
    took_s = clock.read_monotonic() - request.received_at
    self.metrics.record_request("gateway", "", answer.outcome, took_s)
    return answer

  def _record(
    self,
    request: model.Request,
    route: model.Route,
    query: fanout.FanOut,
    answer: model.Response,
  ) -> None:
    """Logs and counts a request that has its answer."""
    took_s = clock.read_monotonic() - request.received_at
    told = [
      shard
      for shard in query.shards
      if shard.part is None or len(shard.attempts) > 1
    ]
    events.REQUEST_ANSWERED.log(
      _logger,
      request=request.id.decode("latin-1"),
      route=route.name,
      version=self.configuration.version,
      outcome=answer.outcome,
      status=answer.status,
      took_ms=round(took_s * 1e3, 1),
      parts=len(query.parts),
      missing=answer.missing,
      hedges=query.hedges,
      retries=query.retries,
      withheld=query.withheld,
      tries=[_describe(shard) for shard in told],
    )
    self.metrics.record_request("gateway", route.name, answer.outcome, took_s)
    if answer.missing is not None:
      share = len(query.parts) / len(query.shards)
      self.metrics.record_coverage(route.name, share)
    sends = sum(len(shard.attempts) for shard in query.shards)
    self.send_count += sends
    self.metrics.record_sends("first", sends - query.hedges - query.retries)
    self.metrics.record_sends("hedge", query.hedges)
    self.metrics.record_sends("retry", query.retries)
    for reason, count in query.withheld.items():
      self.metrics.record_sends(f"withheld {reason}", count)

  def _share_connections(self, service: str) -> int:
    known = self.configuration and self.configuration.services.get(service)
    if not known:
      return 1
    return max(
      1, int(CONNECTION_SHARE * known.max_connections * self.limit_share)
    )

  def _share_slack(self) -> float:
    return SLACK_SHARE * self._own.retry_slack * self.limit_share

  def _get_budget(self, service: str) -> budgets.WindowBudget:
    budget = self._budgets.get(service)
    if budget is None:
      budget = self._budgets[service] = budgets.WindowBudget(
        EXTRA_SHARE * self._own.retry_ratio,
        self._share_slack(),
        self._own.retry_window_s,
        None if self._own.is_first_start else self._started_at,
      )
    return budget


def _describe(shard: fanout.ShardRequest) -> list[str]:
  return [shard.service, *map(_describe_attempt, shard.attempts)]


def _describe_attempt(attempt: sending.Attempt) -> str:
  told = f"{attempt.upstream.instance.id}:{attempt.outcome.value}"
  return f"{told}:{attempt.error.code}" if attempt.error else told


def _refuse(outcome: str, retry_after_s: Seconds) -> model.Response:
  return model.Response(503, retry_after_s=retry_after_s, outcome=outcome)


def _answer_search(query: fanout.FanOut, route: model.Route) -> model.Response:
  parts = [shard.part for shard in query.parts]
  if not parts or len(parts) < route.min_coverage * len(query.shards) - 1e-9:
    return _refuse("coverage_too_small", RETRY_AFTER_S)
  missing = len(query.shards) - len(parts)
  return model.Response(
    200,
    body=merges.merge_parts((part.body for part in parts), route.top_k),
    seals=tuple(part.seal for part in parts),
    missing=missing,
    outcome="partial" if missing else "served",
  )


def _answer_plain(query: fanout.FanOut) -> model.Response:
  (shard,) = query.shards
  if shard.part is not None:
    return _pass_on(shard.part, "served")
  failures = [a for a in shard.attempts if a.outcome is sending.Outcome.FAILED]
  if failures:
    return _pass_on(failures[-1].response, "upstream_failed")
  if not shard.may_have_run:
    return _refuse("not_run", RETRY_AFTER_S)
  if shard.has_pending:
    return model.Response(504, outcome="timed_out")
  return model.Response(502, outcome="answer_lost")


def _pass_on(reply: model.UpstreamResponse, outcome: str) -> model.Response:
  return model.Response(
    reply.status, reply.headers, reply.body, reply.seal, outcome=outcome
  )
