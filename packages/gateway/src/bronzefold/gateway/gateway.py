"""The gateway: routes requests to upstreams and builds the responses."""

from __future__ import annotations

import logging
import math
import random
from typing import Protocol

from anyio import abc
import attrs

from bronzefold.core import budgets
from bronzefold.core import clock
from bronzefold.core import containment
from bronzefold.core import events
from bronzefold.core import memory
from bronzefold.core import metrics
from bronzefold.core import quarantine
from bronzefold.core import stopping
from bronzefold.core.clock import Seconds
from bronzefold.gateway import changes
from bronzefold.gateway import fanout
from bronzefold.gateway import hedging
from bronzefold.gateway import inventory
from bronzefold.gateway import merges
from bronzefold.gateway import model
from bronzefold.gateway import ratelimits
from bronzefold.gateway import reach
from bronzefold.gateway import relay
from bronzefold.gateway import rollouts
from bronzefold.gateway import routing
from bronzefold.gateway import selection
from bronzefold.gateway import sending
from bronzefold.gateway import settings

MAX_PENDING_S = 1.4  # upstreams of a new shard are usable within about 1 s
# The rest of the limit is for the change's way from the store to this node.
APPLY_MARGIN_S = 0.3
MAX_RETRY_AFTER_S = 1.0  # a rate limit may end at any moment
RETRY_AFTER_S = 0.05  # another node serves the request at once
NOT_READY_RETRY_AFTER_S = 0.3  # about as long as a node takes to start
# A node whose upstreams have been silent for so long takes no requests from
# others; half of ``reach.SILENCE_S``, as it may not know of a cut yet.
MAX_RELAY_SILENCE_S = 0.12
# Statuses that promise callers that a request did not run.
_PROMISING_STATUSES = frozenset({408, 421, 429, 503})
# Refusals for want of upstreams, whose return is estimated.
_UNSERVED_OUTCOMES = frozenset({"coverage_too_small", "not_run"})
# Outcomes of requests that were sent and got no response.
_LOST_OUTCOMES = frozenset({"answer_lost", "timed_out"})
# With 0.65, nodes had too few connections, which lowered the benchmark's score
# by 0.01 on quiet days.
CONNECTION_LIMIT_SHARE = 0.95
# The rest is for the interpreter, its modules, and copies of messages.
MESSAGE_MEMORY_SHARE = 0.2
# The rest of the retry budget covers requests that reach another service's
# upstream at a reused address.
RETRY_RATIO_SHARE = 0.95
# Likewise; once 135 extra requests were counted where the nodes had sent 89.
RETRY_SLACK_SHARE = 0.75

_logger = logging.getLogger(__name__)


@attrs.frozen
class _PendingConfiguration:
  """A configuration that waits for its upstreams.

  Attributes:
    configuration: The configuration.
    pending_since: Monotonic time since which the node holds back a
      configuration, this one or an older one that it superseded.
    apply_by: Monotonic time at which it is put in force in any case.
  """

  configuration: model.Configuration
  pending_since: Seconds
  apply_by: Seconds


class TokenSource(Protocol):
  """Source of tokens for upstreams that announce a rate limit."""

  def request_tokens(self, upstream: inventory.Upstream, now: Seconds) -> None:
    """Requests tokens, unless a request is pending or was just denied."""

  def announce(self, upstream: inventory.Upstream, now: Seconds) -> None:
    """Informs other nodes that an upstream's rate limit has changed."""


class _LocalTokenSource:
  """Allocates tokens to a node that has no peers."""

  def request_tokens(self, upstream: inventory.Upstream, now: Seconds) -> None:
    limit = upstream.rate_limit
    if limit.may_request(now):
      granted, wait_s = limit.allocate(limit.start_request(now), 1.0, now)
      limit.record_grant(granted, wait_s, now, now)

  def announce(self, upstream: inventory.Upstream, now: Seconds) -> None:
    del upstream, now


class Gateway:
  """Serves requests by the configuration and the upstreams known to the node.

  Attributes:
    configuration: The configuration in force; None before the first.
    known_until: Monotonic time until which all changes were known before those
      that are being applied now, which are younger.
    upstreams: The inventory of upstreams.
    rollouts: Rollouts of service versions.
    limit_share: Share of each fleet-wide limit that this node may use.
    send_count: Number of requests sent to upstreams, all attempts included.
    metrics: Metrics of this node.
    token_source: Source of tokens for upstreams with a rate limit.
    suspects: Requests that are suspected of crashing upstreams.
    path: Path to the upstreams.
    relay: Has requests served by nodes that reach upstreams; None on a node
      that has no peers.
    answer_by: Monotonic time of the last response of a graceful stop.
    memory: The memory of all messages of this process.
  """

  def __init__(
    self,
    node_settings: settings.GatewaySettings,
    protocol: sending.UpstreamProtocol,
    tasks: abc.TaskGroup,
  ) -> None:
    """Creates a gateway without a configuration.

    Args:
      node_settings: Settings of this node.
      protocol: Wire format towards upstreams.
      tasks: Task group for work that outlives a request.
    """
    self.configuration: model.Configuration | None = None
    self.known_until: Seconds = -math.inf
    self.memory = memory.MemoryBudget(_get_message_memory(node_settings))
    self.upstreams = inventory.Inventory(
      self._get_connection_limit, self.memory
    )
    self.rollouts = rollouts.Rollouts()
    self.limit_share = 1.0 / node_settings.assumed_nodes
    self.send_count = 0
    self.metrics = metrics.Metrics()
    self.token_source: TokenSource = _LocalTokenSource()
    self.suspects = quarantine.Quarantine(clock.read_monotonic())
    self.path = reach.Reach()
    self.relay: relay.Relay | None = None
    self.answer_by: Seconds = stopping.RUNNING
    self._settings = node_settings
    self._started_at = clock.read_monotonic()
    self._pending: _PendingConfiguration | None = None
    self._relayed_version = 0
    self._route_table: routing.RouteTable | None = None
    self._traffic_split = routing.WeightedRoundRobin()
    self._retry_budgets: dict[str, budgets.WindowBudget] = {}
    self._latency_quantiles: dict[str, budgets.LatencyQuantile] = {}
    self._dependencies = fanout.Dependencies(
      sending.Sender(protocol, tasks, self._record_rate_limit, self.path),
      self.upstreams,
      self.rollouts,
      node_settings.zone,
      self._get_retry_budget,
      self._latency_quantiles,
      lambda upstream, now: self.token_source.request_tokens(upstream, now),
      suspects=self.suspects,
    )

  @property
  def newest_version(self) -> int | None:
    """Version of the newest configuration, in force or pending."""
    newest = (
      self._pending.configuration if self._pending else self.configuration
    )
    return newest.version if newest is not None else None

  def get_caller_limits(self) -> model.CallerLimits:
    """Returns the limits in force on what callers may send."""
    configuration = self.configuration
    return (
      configuration.limits
      if configuration is not None
      else model.CallerLimits()
    )

  @property
  def least_version(self) -> int:
    """Least version by which requests of callers may be handled.

    That of the configuration in force, or by which other nodes handle requests
    of this node if that is newer; 0 before the first configuration.
    """
    if self.configuration is None:
      return self._relayed_version
    return max(self.configuration.version, self._relayed_version)

  def require_version(self, version: int) -> None:
    """Has no caller's request handled by an older version from now on.

    Until this node has such a configuration, other nodes serve its requests.

    Args:
      version: Version by which another node is about to handle a request.
    """
    self._relayed_version = max(self._relayed_version, version)

  def set_limit_share(self, share: float) -> None:
    """Sets this node's share of each limit and adjusts limits and budgets."""
    if share == self.limit_share:
      return
    self.limit_share = share
    self.upstreams.update_connection_limits()
    for budget in self._retry_budgets.values():
      budget.slack = self._get_retry_slack()

  def update_settings(self, node_settings: settings.GatewaySettings) -> None:
    """Applies a changed retry ratio and slack, and changed memory.

    A changed retry window applies to budgets that are created later.

    Args:
      node_settings: The changed settings.
    """
    self._settings = node_settings
    self.memory.limit_bytes = _get_message_memory(node_settings)
    for budget in self._retry_budgets.values():
      budget.ratio = RETRY_RATIO_SHARE * node_settings.retry_ratio
      budget.slack = self._get_retry_slack()

  def apply_change(self, change: changes.Change, now: Seconds) -> bool:
    """Applies a change that was read from the store.

    Args:
      change: The change.
      now: Monotonic time.

    Returns:
      True if it changed the state of this node.
    """
    return changes.apply_change(self, change, now)

  def set_configuration(
    self, configuration: model.Configuration, now: Seconds
  ) -> bool:
    """Puts a configuration in force unless it is obsolete.

    It is obsolete unless it is newer than the current or pending one.

    A configuration that changes the shards of a search route to ones without
    usable upstreams is held back for up to ``MAX_PENDING_S`` until they are
    usable; the previous shards serve meanwhile. The wait ends earlier if the
    configuration may have been acknowledged long before this node read it.
    It is held back as a whole, since no request may be handled by an older
    version after another one was handled by a newer version. For the same
    reason it is not held back once other nodes handle requests of this node by
    a newer version than the one in force.

    Args:
      configuration: The configuration.
      now: Monotonic time at which it was received.

    Returns:
      True if it was newer.
    """
    newest_version = self.newest_version
    if newest_version is not None and configuration.version <= newest_version:
      return False
    apply_limit_s = self._settings.configuration_limit_s - APPLY_MARGIN_S
    apply_by = min(now + MAX_PENDING_S, self.known_until + apply_limit_s)
    pending_since = now
    if self._pending is not None:
      pending_since = self._pending.pending_since
      apply_by = min(apply_by, self._pending.apply_by)
    self._pending = _PendingConfiguration(
      configuration, pending_since, apply_by
    )
    self.apply_pending_configuration(now)
    return True

  def apply_pending_configuration(self, now: Seconds) -> None:
    """Puts a pending configuration in force once its upstreams are usable.

    Args:
      now: Monotonic time.
    """
    pending = self._pending
    if pending is None:
      return
    if (
      now < pending.apply_by
      and not self._is_outdated()
      and self._must_hold_back(pending.configuration, now)
    ):
      return
    self._pending = None
    replaced = self.configuration
    self.configuration = pending.configuration
    self._route_table = routing.RouteTable(pending.configuration)
    self._traffic_split.retain(pending.configuration.routes)
    self.upstreams.update_connection_limits()
    events.ROUTES_APPLIED.log(
      _logger,
      version=pending.configuration.version,
      routes=len(pending.configuration.routes),
      replaced=replaced.version if replaced else None,
      held_ms=round((now - pending.pending_since) * 1e3),
    )

  def _is_outdated(self) -> bool:
    """True if requests may not be handled by the configuration in force."""
    return (
      self.configuration is not None
      and self.configuration.version < self._relayed_version
    )

  def _must_hold_back(self, new: model.Configuration, now: Seconds) -> bool:
    """True if a search route changes to shards that are not all usable."""
    if self.configuration is None:
      return False
    shards_before = {
      route.name: route.shards for route in self.configuration.routes
    }
    return any(
      route.shards
      and shards_before.get(route.name, route.shards) != route.shards
      and not all(self._has_usable_upstream(name, now) for name in route.shards)
      for route in new.routes
    )

  def _has_usable_upstream(self, service: str, now: Seconds) -> bool:
    candidates = self.upstreams.list_candidates(service, now)
    return bool(selection.list_usable(candidates, (), now))

  async def serve_relayed(
    self, message: relay.RelayedRequest
  ) -> model.Response:
    """Handles a request of another node; it goes to no further one.

    Args:
      message: The request, with the times of this node.

    Returns:
      The response; a refusal if this node may be cut off as well, or if its
      configuration is not one by which the request may be handled.
    """
    now = clock.read_monotonic()
    self.apply_pending_configuration(now)
    refusal = _make_refusal(relay.UNREACHABLE, RETRY_AFTER_S)
    version = self.configuration.version if self.configuration else 0
    if version < message.version:
      return attrs.evolve(refusal, version=version)
    if self.path.is_doubtful(
      self.upstreams.list_all(), now, MAX_RELAY_SILENCE_S, may_be_few=False
    ):
      return refusal
    if version > message.version and message.must_match:
      return attrs.evolve(refusal, version=version)
    response = await self._handle_request(
      message.content, message.max_attempts, now
    )
    return attrs.evolve(response, version=version)

  async def handle_request(self, request: model.Request) -> model.Response:
    """Handles a caller's request.

    Args:
      request: The complete request.

    Returns:
      The response. A refusal with status 503 guarantees that the request did
      not run, unless its upstream itself sent the 503.
    """
    now = clock.read_monotonic()
    self.apply_pending_configuration(now)
    return await self._handle_request(request, None, now)

  async def _handle_request(
    self,
    request: model.Request,
    max_relayed_attempts: int | None,
    now: Seconds,
  ) -> model.Response:
    """Handles a request by the configuration in force.

    Args:
      request: The complete request.
      max_relayed_attempts: Number of upstreams on which a request of another
        node may run, for each shard; None for a request of a caller.
      now: Monotonic time.

    Returns:
      The response.
    """
    if self._route_table is None:
      refusal = _make_refusal("no_configuration", NOT_READY_RETRY_AFTER_S)
      return self._record_refusal(request, refusal)
    if request.head_bytes > self.configuration.limits.max_head_bytes:
      refusal = model.Response(431, outcome="head_too_large")
      return self._record_refusal(request, refusal)
    route = self._route_table.find(request.host, request.path)
    may_relay = max_relayed_attempts is None
    if route is None:
      refusal = model.Response(404, outcome="no_route")
      if may_relay and self._is_outdated():
        refusal = _make_refusal(relay.UNREACHABLE, RETRY_AFTER_S)
      return self._record_refusal(request, refusal)
    if max_relayed_attempts is not None:
      max_attempts = min(route.max_attempts, max_relayed_attempts)
      route = attrs.evolve(route, max_attempts=max_attempts)
    timeout_s = min(route.timeout_s, request.timeout_s or route.timeout_s)
    demand = stopping.Demand(
      route.latency_objective_s, timeout_s, route.is_idempotent
    )
    if not stopping.may_accept(demand, self.answer_by, now):
      refusal = _make_refusal("leaving", RETRY_AFTER_S)
      return self._record_refusal(request, refusal)
    verdict = quarantine.Verdict.ADMIT
    if not self.suspects.is_empty:
      verdict = self.suspects.judge(request.fingerprint, now)
    if verdict is quarantine.Verdict.REJECT:
      wait_s = self.suspects.get_wait(request.fingerprint, now, random.random())
      refusal = _make_refusal("quarantined", round(wait_s, 3))
      return self._record_refusal(request, refusal)
    try:
      caution = containment.choose_caution(
        verdict, is_alert=self.suspects.is_alert(now)
      )
      return await self._serve_or_relay(
        request, route, timeout_s, caution, may_relay, now
      )
    finally:
      if verdict is quarantine.Verdict.PROBE:
        self.suspects.end_probe(request.fingerprint)

  async def _serve_or_relay(
    self,
    request: model.Request,
    route: model.Route,
    timeout_s: Seconds,
    caution: containment.Caution,
    may_relay: bool,
    now: Seconds,
  ) -> model.Response:
    """Serves a request, or has it served while this node reaches no upstream.

    A request that was in progress when the path was lost is relayed if it may
    run again or certainly did not run.

    Args:
      request: The request.
      route: Its route.
      timeout_s: Time limit from the request's arrival, in seconds.
      caution: How it is sent until an upstream has responded.
      may_relay: True if another node may serve it.
      now: Monotonic time.

    Returns:
      The response.
    """
    deadline = stopping.limit_deadline(
      request.received_at + timeout_s, self.answer_by
    )

    def must_hand_over() -> bool:
      return may_relay and (
        self._is_outdated() or self._can_relay(clock.read_monotonic())
      )

    own_response = None
    attempts_left = route.max_attempts
    if not must_hand_over():
      fan_out = self._make_fan_out(request, route, deadline, caution)
      if route.is_idempotent:
        fan_out.must_hand_over = must_hand_over
      own_response = await self._serve(request, route, fan_out, now)
      has_failed = own_response.outcome in _UNSERVED_OUTCOMES | _LOST_OUTCOMES
      if not has_failed or not must_hand_over():
        return own_response
      attempts_left -= fan_out.max_run_count
      if attempts_left < 1 or not (
        route.is_idempotent or own_response.status == 503
      ):
        return own_response
    relayed = await self.relay.send(request, attempts_left, deadline)
    if relayed is None:
      return own_response or _make_refusal(relay.UNREACHABLE, RETRY_AFTER_S)
    elapsed_s = clock.read_monotonic() - request.received_at
    self.metrics.record_request("gateway", route.name, "relayed", elapsed_s)
    return relayed

  def _can_relay(self, now: Seconds) -> bool:
    """True if this node reaches no upstream, and another node does."""
    return (
      self.path.is_lost
      and self.relay is not None
      and bool(self.relay.list_targets(now))
    )

  def _make_fan_out(
    self,
    request: model.Request,
    route: model.Route,
    deadline: Seconds,
    caution: containment.Caution,
  ) -> fanout.FanOut:
    """Prepares the fan-out of a request by its route."""
    if route.name not in self._latency_quantiles:
      self._latency_quantiles[route.name] = budgets.LatencyQuantile(
        hedging.EARLIEST_QUANTILE
      )
    services = route.shards or (self._traffic_split.choose(route),)
    return fanout.FanOut(
      self._dependencies, request, route, services, deadline, caution=caution
    )

  async def _serve(
    self,
    request: model.Request,
    route: model.Route,
    fan_out: fanout.FanOut,
    now: Seconds,
  ) -> model.Response:
    """Runs the fan-out of a request, and builds and records its response."""
    version = self.configuration.version  # another may be in force later
    await fan_out.run(now)
    response = (
      _make_search_response(fan_out, route)
      if route.shards
      else _make_plain_response(fan_out)
    )
    if response.outcome in _UNSERVED_OUTCOMES:
      retry_after_s = fan_out.estimate_return(
        random.random(), clock.read_monotonic()
      )
      response = attrs.evolve(response, retry_after_s=round(retry_after_s, 3))
    self._record_response(request, route, fan_out, response, version)
    return response

  def update_metrics(self) -> None:
    """Sets the metrics that describe the current state."""
    version = self.configuration.version if self.configuration else 0
    self.metrics.set_gauge("configuration_version", version)
    self.metrics.set_gauge("upstreams", self.upstreams.count_upstreams())
    self.metrics.set_gauge("limit_share", self.limit_share)
    self.metrics.set_gauge("message_memory_bytes", self.memory.used_bytes)
    self.metrics.set_gauge("messages_given_up", self.memory.evicted_count)

  def _record_refusal(
    self, request: model.Request, response: model.Response
  ) -> model.Response:
    """Logs and counts a request that is refused without an attempt."""
    events.REQUEST_REFUSED.log(
      _logger,
      request=request.id.decode("latin-1"),
      status=response.status,
      outcome=response.outcome,
      version=self.configuration.version if self.configuration else None,
    )
    elapsed_s = clock.read_monotonic() - request.received_at
    self.metrics.record_request("gateway", "", response.outcome, elapsed_s)
    return response

  def _record_response(
    self,
    request: model.Request,
    route: model.Route,
    fan_out: fanout.FanOut,
    response: model.Response,
    version: int,
  ) -> None:
    """Logs and counts a request and its response.

    Args:
      request: The request.
      route: The route by which it was handled.
      fan_out: Its fan-out, which has ended.
      response: The response.
      version: Version of the configuration that has the route.
    """
    elapsed_s = clock.read_monotonic() - request.received_at
    reported_shards = [
      shard
      for shard in fan_out.shards
      if shard.part is None or len(shard.attempts) > 1
    ]
    events.REQUEST_ANSWERED.log(
      _logger,
      request=request.id.decode("latin-1"),
      route=route.name,
      version=version,
      outcome=response.outcome,
      status=response.status,
      took_ms=round(elapsed_s * 1e3, 1),
      parts=len(fan_out.served_shards),
      missing=response.missing_shards,
      hedges=fan_out.hedge_count,
      retries=fan_out.retry_count,
      withheld=fan_out.withheld_counts,
      tries=[_describe_shard(shard) for shard in reported_shards],
    )
    self.metrics.record_request(
      "gateway", route.name, response.outcome, elapsed_s
    )
    if response.missing_shards is not None:
      share = len(fan_out.served_shards) / len(fan_out.shards)
      self.metrics.record_coverage(route.name, share)
    sends = sum(len(shard.attempts) for shard in fan_out.shards)
    self.send_count += sends
    self.metrics.record_sends(
      "first", sends - fan_out.hedge_count - fan_out.retry_count
    )
    self.metrics.record_sends("hedge", fan_out.hedge_count)
    self.metrics.record_sends("retry", fan_out.retry_count)
    for reason, count in fan_out.withheld_counts.items():
      self.metrics.record_sends(f"withheld {reason}", count)

  def _record_rate_limit(
    self,
    upstream: inventory.Upstream,
    response: model.UpstreamResponse,
    now: Seconds,
  ) -> None:
    """Applies the rate limit that a response announces, or its end.

    Only a response to a request that ran ends a limit: a refusal may come from
    a part of the upstream that does not know it.
    """
    limit_per_s = response.rate_limit_per_s
    if limit_per_s is None and (response.did_not_run or not response.seal):
      return
    announcement = ratelimits.Announcement(limit_per_s, now)
    if self.upstreams.apply_announcement(upstream, announcement):
      self.token_source.announce(upstream, now)

  def _get_connection_limit(self, service: str) -> int:
    """Returns how many connections this node may open to an upstream."""
    service_config = self.configuration and self.configuration.services.get(
      service
    )
    if not service_config:
      return 1
    return max(
      1,
      int(
        CONNECTION_LIMIT_SHARE
        * service_config.max_connections
        * self.limit_share
      ),
    )

  def _get_retry_slack(self) -> float:
    return RETRY_SLACK_SHARE * self._settings.retry_slack * self.limit_share

  def _get_retry_budget(self, service: str) -> budgets.WindowBudget:
    budget = self._retry_budgets.get(service)
    if budget is None:
      budget = self._retry_budgets[service] = budgets.WindowBudget(
        RETRY_RATIO_SHARE * self._settings.retry_ratio,
        self._get_retry_slack(),
        self._settings.retry_window_s,
        None if self._settings.is_first_start else self._started_at,
      )
    return budget


def _get_message_memory(node_settings: settings.GatewaySettings) -> int:
  return int(MESSAGE_MEMORY_SHARE * node_settings.memory_bytes)


def _describe_shard(shard: fanout.ShardRequest) -> list[str]:
  return [shard.service, *map(_describe_attempt, shard.attempts)]


def _describe_attempt(attempt: sending.Attempt) -> str:
  text = f"{attempt.upstream.instance.id}:{attempt.outcome.value}"
  return f"{text}:{attempt.error.code}" if attempt.error else text


def _make_refusal(outcome: str, retry_after_s: Seconds) -> model.Response:
  return model.Response(503, retry_after_s=retry_after_s, outcome=outcome)


def _make_rate_limit_refusal(fan_out: fanout.FanOut) -> model.Response:
  wait_s = min(max(RETRY_AFTER_S, fan_out.token_wait_s), MAX_RETRY_AFTER_S)
  return _make_refusal("rate_limited", round(wait_s, 3))


def _make_search_response(
  fan_out: fanout.FanOut, route: model.Route
) -> model.Response:
  parts = [shard.part for shard in fan_out.served_shards]
  # Tolerates rounding errors of ``min_coverage``, as ``FanOut`` does.
  if not parts or len(parts) < route.min_coverage * len(fan_out.shards) - 1e-9:
    if fan_out.may_have_run:
      return model.Response(502, outcome="coverage_too_small")
    if fan_out.token_wait_s:
      return _make_rate_limit_refusal(fan_out)
    return model.Response(503, outcome="coverage_too_small")
  missing = len(fan_out.shards) - len(parts)
  return model.Response(
    200,
    body=merges.merge_parts((part.body for part in parts), route.top_k),
    seals=tuple(part.seal for part in parts),
    missing_shards=missing,
    outcome="partial" if missing else "served",
  )


def _make_plain_response(fan_out: fanout.FanOut) -> model.Response:
  (shard,) = fan_out.shards
  if shard.part is not None:
    return _relay_response(shard.part, "served")
  failed_attempts = [
    a for a in shard.attempts if a.outcome is sending.Outcome.FAILED
  ]
  if failed_attempts:
    response = failed_attempts[-1].response
    if response.status in _PROMISING_STATUSES:
      return model.Response(502, outcome="upstream_failed")
    return _relay_response(response, "upstream_failed")
  if not shard.may_have_run:
    if fan_out.token_wait_s:
      return _make_rate_limit_refusal(fan_out)
    return model.Response(503, outcome="not_run")
  if shard.has_pending:
    return model.Response(504, outcome="timed_out")
  return model.Response(502, outcome="answer_lost")


def _relay_response(
  response: model.UpstreamResponse, outcome: str
) -> model.Response:
  return model.Response(
    response.status,
    response.headers,
    response.body,
    response.seal,
    outcome=outcome,
  )
