"""Fan-out of one caller request to the upstreams of one or more services.

A plain request has one shard, a search has many. Both are sent, retried and
hedged here.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
import math

import anyio
import attrs

from bronzefold.core import budgets
from bronzefold.core import clock
from bronzefold.core import containment
from bronzefold.core import quarantine
from bronzefold.core.clock import Seconds
from bronzefold.gateway import hedging
from bronzefold.gateway import inventory
from bronzefold.gateway import model
from bronzefold.gateway import queueing
from bronzefold.gateway import returns
from bronzefold.gateway import rollouts
from bronzefold.gateway import selection
from bronzefold.gateway import sending
from bronzefold.gateway import timing
from bronzefold.upstreams import channel

# Upstreams at whose address nothing listens do not count: they are down then,
# and each costs one round trip.
MAX_NOT_RUN_ATTEMPTS = 3
# Connections are offered to waiting requests when they become free. Only new
# upstreams and raised limits are noticed by looking again.
SLOT_RECHECK_DELAY_S = 0.1
# Least pause before an upstream that refused a request gets it again.
MIN_REFUSAL_PAUSE_S = 0.01
NO_UPSTREAM_RECHECK_DELAY_S = 0.05  # a fifth of an upstream's shortest backoff
BUDGET_RECHECK_DELAY_S = 0.02  # short; the budget counts in slices of 0.5 s
# Share of the expected latency that must be left when a hedge is sent; the
# estimate is often too high.
MIN_TIME_LEFT_SHARE = 0.5
# Ten round trips between zones; an allocator that takes longer is unreachable.
MAX_TOKEN_WAIT_S = 0.01
# The node may lose its path to the upstreams while a request waits; that ends
# no attempt at upstreams of which no latency is known.
PATH_CHECK_PERIOD_S = 0.1
TIMER_SLACK_S = 0.0005  # timers fire up to this early


@attrs.define(eq=False)
class ShardRequest:
  """The state of a request to one shard.

  Attributes:
    service: Name of the service that serves the shard.
    attempts: All attempts in order.
    part: The first successful response.
    has_failed: True once no attempt is pending or succeeded and none will
      follow.
    next_attempt_at: Monotonic time at which sending is tried again.
    waiter: Its place among the requests that wait for a connection, if any.
  """

  service: str
  attempts: list[sending.Attempt] = attrs.field(factory=list)
  part: model.UpstreamResponse | None = None
  has_failed: bool = False
  next_attempt_at: Seconds = math.inf
  waiter: queueing.Waiter | None = None

  @property
  def has_pending(self) -> bool:
    """True while an attempt is pending."""
    return any(
      attempt.outcome is sending.Outcome.PENDING for attempt in self.attempts
    )

  @property
  def has_lost(self) -> bool:
    """True if an attempt has failed or lost its connection."""
    return any(attempt.error is not None for attempt in self.attempts)

  def list_connections(
    self, upstream: inventory.Upstream
  ) -> list[channel.Channel]:
    """Lists the connections to an upstream that have carried the request."""
    return [
      attempt.connection
      for attempt in self.attempts
      if attempt.upstream is upstream and attempt.connection is not None
    ]

  @property
  def run_count(self) -> int:
    """Number of attempts that ran or may run."""
    return sum(
      attempt.outcome is not sending.Outcome.NOT_RUN
      for attempt in self.attempts
    )

  @property
  def may_have_run(self) -> bool:
    """True unless it is certain that no attempt ran."""
    return any(
      attempt.was_sent and attempt.outcome is not sending.Outcome.NOT_RUN
      for attempt in self.attempts
    )


@attrs.define(eq=False)
class Dependencies:
  """Objects that all fan-outs of a node share.

  Attributes:
    sender: Starts attempts.
    upstreams: The inventory of upstreams.
    rollouts: Rollouts of service versions.
    zone: Availability zone of this node.
    get_retry_budget: Returns the budget of extra requests to a service.
    latency_quantiles: Latency quantiles by route name, for hedging.
    request_tokens: Requests tokens for an upstream with a rate limit.
    slot_queues: Requests that wait for a connection.
    suspects: Requests that are suspected of crashing upstreams.
  """

  sender: sending.Sender
  upstreams: inventory.Inventory
  rollouts: rollouts.Rollouts
  zone: str
  get_retry_budget: Callable[[str], budgets.WindowBudget]
  latency_quantiles: dict[str, budgets.LatencyQuantile]
  request_tokens: selection.RequestTokens
  slot_queues: queueing.SlotQueues = attrs.field(factory=queueing.SlotQueues)
  suspects: quarantine.Quarantine = attrs.field(factory=quarantine.Quarantine)


_Choice = tuple[
  ShardRequest, list[inventory.Upstream], inventory.Upstream | None
]


class FanOut:
  """A caller request in progress.

  Attributes:
    shards: The request to each shard.
    hedge_count: Number of attempts started while another one was pending.
    retry_count: Number of attempts started after a failed one.
    withheld_counts: Number of attempts that were not started, by reason.
    must_hand_over: Returns True if another node is to serve the request.
    token_wait_s: Time until rate limits may permit the request; 0 if they did
      not prevent it.
  """

  def __init__(
    self,
    dependencies: Dependencies,
    request: model.Request,
    route: model.Route,
    services: Iterable[str],
    deadline: Seconds,
    *,
    caution: containment.Caution = containment.Caution.NONE,
  ) -> None:
    """Prepares a fan-out; ``run`` sends it.

    Args:
      dependencies: Objects shared by all fan-outs.
      request: The caller's request.
      route: Its route, of the configuration in force at its arrival.
      services: The service of each shard.
      deadline: Monotonic time at which the response to the caller is due.
      caution: How it is sent until an upstream has responded.
    """
    self.must_hand_over: Callable[[], bool] = lambda: False
    self.shards = [ShardRequest(service) for service in services]
    self.hedge_count = 0
    self.retry_count = 0
    self.withheld_counts: collections.Counter[str] = collections.Counter()
    self.token_wait_s: Seconds = 0.0
    self._dependencies = dependencies
    self._request = request
    self._route = route
    self._deadline = deadline
    self._token_deadline = deadline
    self._ended_attempts: list[tuple[ShardRequest, sending.Attempt]] = []
    self._wake = anyio.Event()
    self._can_skip_waiting = False
    self._containment = containment.Containment(caution, len(self.shards))
    # Tolerates rounding errors of ``min_coverage``.
    self._min_parts = math.ceil(route.min_coverage * len(self.shards) - 1e-9)
    self._respond_at = timing.compute_response_time(request, route)
    self._hedge_plan = hedging.plan_hedges(
      route.latency_objective_s,
      dependencies.latency_quantiles.get(route.name),
      self._respond_at if route.shards else None,
    )

  @property
  def served_shards(self) -> list[ShardRequest]:
    """The shards that succeeded."""
    return [shard for shard in self.shards if shard.part is not None]

  @property
  def max_run_count(self) -> int:
    """Greatest number of upstreams that may have run it for one shard."""
    return max(shard.run_count for shard in self.shards)

  @property
  def may_have_run(self) -> bool:
    """True unless it is certain that no attempt ran."""
    return any(shard.may_have_run for shard in self.shards)

  async def run(self, now: Seconds) -> None:
    """Sends to all shards and waits until the response can be decided.

    Args:
      now: Monotonic time.
    """
    self._token_deadline = now + MAX_TOKEN_WAIT_S
    try:
      for shard in self.shards:
        self._dependencies.get_retry_budget(shard.service).earn(now)
      if self._dependencies.upstreams.limited_ids:
        now = await self._wait_for_tokens(now)
      self._send_all_first(now)
      while not self._is_decided(now):
        self._can_skip_waiting = self._compute_can_skip_waiting()
        wake_at = min(self._get_wake_time(now), now + PATH_CHECK_PERIOD_S)
        with anyio.move_on_after(max(0.0, wake_at - now)):
          await self._wake.wait()
        self._wake = anyio.Event()
        now = clock.read_monotonic()
        self._process_ended_attempts(now)
        if self._containment.must_give_up:
          self._give_up()
        self._send_due(now)
    finally:
      self._abandon_pending()

  def estimate_return(self, random_share: float, now: Seconds) -> Seconds:
    """Estimates when the caller of a refused request should return.

    Args:
      random_share: Random number from 0 to 1, so that callers which were
        refused together do not return together.
      now: Monotonic time.

    Returns:
      The time from now, in seconds.
    """
    unserved = [shard for shard in self.shards if shard.part is None]
    upstreams = self._dependencies.upstreams
    wait_s = returns.estimate_wait(
      (upstreams.list_candidates(shard.service, now) for shard in unserved),
      self._min_parts - len(self.served_shards),
      now,
    )
    return returns.spread_return(wait_s, self._route.priority, random_share)

  async def _wait_for_tokens(self, now: Seconds) -> Seconds:
    """Waits until rate limits permit enough shards, or fails all shards.

    Nothing is sent before, so a request that is refused costs no tokens and no
    work at upstreams.

    Args:
      now: Monotonic time.

    Returns:
      The monotonic time after the wait.
    """
    while (wait_s := self._estimate_token_wait(now)) > 0.0:
      if now + wait_s > self._token_deadline:
        self.token_wait_s = wait_s
        for shard in self.shards:
          shard.has_failed = True
        self.withheld_counts["first: rate limit"] += len(self.shards)
        break
      await anyio.sleep(wait_s)
      now = clock.read_monotonic()
    return now

  def _estimate_token_wait(self, now: Seconds) -> Seconds:
    """Returns when rate limits permit the shards that the response needs.

    Shards without a usable upstream count as permitted; sending decides on
    them.

    Args:
      now: Monotonic time.

    Returns:
      The time in seconds, 0 if they permit it now.
    """
    waits = sorted(
      self._estimate_shard_token_wait(shard, now) for shard in self.shards
    )
    return waits[max(1, self._min_parts) - 1]

  def _estimate_shard_token_wait(
    self, shard: ShardRequest, now: Seconds
  ) -> Seconds:
    candidates = self._dependencies.upstreams.list_candidates(
      shard.service, now
    )
    usable = selection.list_usable(candidates, (), now)
    if not usable or any(upstream.rate_limit is None for upstream in usable):
      return 0.0
    request_tokens = self._dependencies.request_tokens
    if any(
      selection.has_token(upstream, request_tokens, now) for upstream in usable
    ):
      return 0.0
    return selection.get_token_wait(usable, now)

  def _give_up(self) -> None:
    """Fails the shards of a request under which too many upstreams crashed."""
    for shard in self.shards:
      if shard.part is None and not shard.has_failed:
        self.withheld_counts["upstreams crashed"] += 1
        shard.has_failed = True

  def _is_decided(self, now: Seconds) -> bool:
    """True once waiting longer is useless or not worth it.

    That is when all shards are finished, at the deadline, when the coverage
    can't be reached any more or only by another node, or, for a search with
    enough coverage, when the latency objective is near.
    """
    open_count = self._count_open_shards()
    part_count = len(self.served_shards)
    if not open_count or now >= self._deadline:
      return True
    if part_count + open_count < self._min_parts:
      return True
    if part_count < self._min_parts and self.must_hand_over():
      return True
    return (
      bool(self._route.shards)
      and now >= self._respond_at
      and part_count >= self._min_parts
    )

  def _count_open_shards(self) -> int:
    return sum(
      shard.part is None and not shard.has_failed for shard in self.shards
    )

  def _compute_can_skip_waiting(self) -> bool:
    """True if enough shards can respond without those that wait.

    A plain request needs its only shard.
    """
    hopeful_count = sum(
      not shard.has_failed and shard.waiter is None for shard in self.shards
    )
    return hopeful_count >= self._min_parts > 0

  def _get_wake_time(self, now: Seconds) -> Seconds:
    times = [self._deadline]
    if self._route.shards and self._respond_at > now:
      times.append(self._respond_at)
    times.extend(
      shard.next_attempt_at for shard in self.shards if self._may_send(shard)
    )
    return min(times)

  def _may_send(self, shard: ShardRequest) -> bool:
    """True if an attempt is allowed now."""
    if (
      shard.part is not None
      or shard.has_failed
      or not self._containment.may_send()
    ):
      return False
    if not shard.attempts:
      return True
    if not shard.has_pending:
      return self._may_retry(shard)
    return (
      self._route.is_idempotent and shard.run_count < self._route.max_attempts
    )

  def _send_due(self, now: Seconds) -> None:
    """Sends the attempts whose time has come."""
    for shard in self.shards:
      if (
        not self._may_send(shard) or now < shard.next_attempt_at - TIMER_SLACK_S
      ):
        continue
      self._send_next(shard, now)

  def _send_next(self, shard: ShardRequest, now: Seconds) -> None:
    """Sends the first attempt, a hedge, or a retry."""
    if not shard.attempts:
      self._send_first(shard, *self._choose_upstream(shard, now), now)
    elif shard.has_pending:
      self._hedge(shard, now)
    else:
      self._retry(shard, now)

  def _send_all_first(self, now: Seconds) -> None:
    """Sends the first attempts, unless the request certainly can't be served.

    A search that too few shards can serve sends nothing, so it costs the
    upstreams no work, and its refusal says truly that it did not run.
    """
    choices = [
      (shard, *self._choose_upstream(shard, now))
      for shard in self.shards
      if not shard.has_failed
    ]
    if sum(bool(usable) for _, usable, _ in choices) < self._min_parts:
      self.withheld_counts["first: too few shards"] += len(choices)
      for shard in self.shards:
        shard.has_failed = True
      return
    if self._is_last_of_probe(choices, now):
      self.withheld_counts["probe: last upstream"] += len(choices)
      for shard in self.shards:
        shard.has_failed = True
      return
    if self._containment.caution is not containment.Caution.NONE:
      choices.sort(key=lambda choice: -_count_sound(choice[1]))
    for shard, usable, chosen in choices:
      if self._containment.may_send():
        self._send_first(shard, usable, chosen, now)
      else:
        shard.next_attempt_at = now

  def _is_last_of_probe(self, choices: list[_Choice], now: Seconds) -> bool:
    """True if a probe could only go to the last sound upstream of a service.

    The others return soon; until then, its loss would be worse than that of a
    request that is likely to crash it.
    """
    if self._containment.caution is not containment.Caution.PROBE:
      return False
    list_candidates = self._dependencies.upstreams.list_candidates
    return all(
      _count_sound(usable) < 2 <= len(list_candidates(shard.service, now))
      for shard, usable, _ in choices
    )

  def _send_first(
    self,
    shard: ShardRequest,
    usable: list[inventory.Upstream],
    chosen: inventory.Upstream | None,
    now: Seconds,
  ) -> None:
    """Sends the first attempt, or waits while all usable upstreams are busy.

    The shard fails if no upstream is usable.
    """
    if chosen is not None and not self._must_wait(shard, usable, chosen, now):
      self._send(shard, chosen, now)
    elif not usable:
      shard.has_failed = True
    else:
      wait_s = selection.get_token_wait(usable, now)
      if wait_s > 0.0 and now + wait_s > self._token_deadline:
        self.withheld_counts["first: rate limit"] += 1
        self.token_wait_s = wait_s
        shard.has_failed = True
      else:
        self._wait_for_slot(shard, usable, now)

  def _must_wait(
    self,
    shard: ShardRequest,
    usable: list[inventory.Upstream],
    chosen: inventory.Upstream,
    now: Seconds,
  ) -> bool:
    """True if a request that waits for a connection precedes a new one."""
    if shard.waiter is not None:
      return False
    return self._dependencies.slot_queues.must_wait(
      self._make_waiter(shard, usable, now), chosen.instance.id, now
    )

  def _wait_for_slot(
    self, shard: ShardRequest, usable: list[inventory.Upstream], now: Seconds
  ) -> None:
    """Waits for a token of a rate limit, or in the queue for a connection."""
    token_wait_s = selection.get_token_wait(usable, now)
    if token_wait_s > 0.0:
      shard.next_attempt_at = now + token_wait_s
      return
    if shard.waiter is None:
      self.withheld_counts["waited for a connection"] += 1
      shard.waiter = self._make_waiter(shard, usable, now)
      self._dependencies.slot_queues.add(shard.waiter)
    else:
      shard.waiter.upstream_ids = _get_ids(usable)
    shard.next_attempt_at = now + SLOT_RECHECK_DELAY_S

  def _make_waiter(
    self, shard: ShardRequest, usable: list[inventory.Upstream], now: Seconds
  ) -> queueing.Waiter:
    return queueing.Waiter(
      shard.service,
      _get_ids(usable),
      self._route.priority,
      is_optional=lambda: shard.has_pending or self._can_skip_waiting,
      latency_objective_s=self._route.latency_objective_s,
      latest_start_at=self._respond_at - self._hedge_plan.min_delay_s,
      since=now,
      accept=lambda offered_at: self._accept_slot(shard, offered_at),
    )

  def _accept_slot(self, shard: ShardRequest, now: Seconds) -> bool:
    """Uses a connection that became free; returns False if it is not used."""
    if not self._may_send(shard):
      self._stop_waiting(shard)
      return False
    attempt_count = len(shard.attempts)
    self._send_next(shard, now)
    self._wake.set()
    return len(shard.attempts) > attempt_count

  def _stop_waiting(self, shard: ShardRequest) -> None:
    if shard.waiter is not None:
      self._dependencies.slot_queues.discard(shard.waiter)
      shard.waiter = None

  def _hedge(self, shard: ShardRequest, now: Seconds) -> None:
    """Sends a hedge if it is due and likely to be answered in time."""
    latest = shard.attempts[-1]
    is_needed = hedging.is_needed(
      len(self.served_shards), self._count_open_shards(), self._min_parts
    )
    hedge_at = self._hedge_plan.get_time(
      latest.started_at, is_needed or latest.upstream.health.is_stalled(now)
    )
    if now < hedge_at - TIMER_SLACK_S:
      shard.next_attempt_at = hedge_at
      return
    if not self._containment.may_hedge():
      self.withheld_counts["hedge: no response yet"] += 1
      shard.next_attempt_at = now + BUDGET_RECHECK_DELAY_S
      return
    usable, chosen = self._choose_upstream(shard, now)
    if chosen is None and usable:
      self._wait_for_slot(shard, usable, now)
      return
    if chosen is None:
      self.withheld_counts["hedge: no upstream"] += 1
      shard.next_attempt_at = now + NO_UPSTREAM_RECHECK_DELAY_S
      return
    default_s = selection.get_default_latency(usable)
    expected_s = chosen.health.estimate_latency(default_s, now)
    if now < self._respond_at < now + MIN_TIME_LEFT_SHARE * expected_s:
      self.withheld_counts["hedge: too slow"] += 1
      shard.next_attempt_at = self._respond_at
      return
    budget = self._dependencies.get_retry_budget(shard.service)
    budget_share = 1.0 if is_needed else hedging.OPTIONAL_BUDGET_SHARE
    if budget.try_spend(now, budget_share):
      self._send(shard, chosen, now)
      self.hedge_count += 1
    else:
      self.withheld_counts["hedge: budget"] += 1
      shard.next_attempt_at = now + BUDGET_RECHECK_DELAY_S

  def _retry(self, shard: ShardRequest, now: Seconds) -> None:
    """Sends again after a failed attempt, if the budget allows it.

    An upstream that refused the request gets it again after a pause if no other
    one can. The shard fails if none will.
    """
    usable, chosen = self._choose_upstream(shard, now)
    if chosen is None and usable:
      self._wait_for_slot(shard, usable, now)
    elif chosen is None:
      self.withheld_counts["retry: no upstream"] += 1
      shard.has_failed = not shard.has_pending
    elif now < (resume_at := _get_resume_time(shard, chosen)) - TIMER_SLACK_S:
      shard.next_attempt_at = resume_at
    elif self._dependencies.get_retry_budget(shard.service).try_spend(now):
      self._send(shard, chosen, now)
      self.retry_count += 1
    else:
      self.withheld_counts["retry: budget"] += 1
      shard.has_failed = not shard.has_pending

  def _process_ended_attempts(self, now: Seconds) -> None:
    ended, self._ended_attempts = self._ended_attempts, []
    for shard, attempt in ended:
      if shard.part is None:
        self._process_outcome(shard, attempt, now)

  def _process_outcome(
    self, shard: ShardRequest, attempt: sending.Attempt, now: Seconds
  ) -> None:
    """Stores the part of a successful attempt.

    After another outcome, retries if allowed; the shard fails if then no
    attempt is pending.
    """
    if attempt.outcome is sending.Outcome.SERVED:
      self._stop_waiting(shard)
      shard.part = attempt.response
      quantile = self._dependencies.latency_quantiles.get(self._route.name)
      if quantile is not None:
        quantile.record(now - attempt.started_at)
      return
    if self._may_retry(shard) and not self._containment.may_send():
      shard.next_attempt_at = now  # once an upstream has survived
    elif self._may_retry(shard):
      self._retry(shard, now)
    else:
      shard.has_failed = not shard.has_pending

  def _may_retry(self, shard: ShardRequest) -> bool:
    not_run_count = sum(
      attempt.outcome is sending.Outcome.NOT_RUN
      and not attempt.found_no_listener
      for attempt in shard.attempts
    )
    if (
      shard.run_count >= self._route.max_attempts
      or not_run_count >= MAX_NOT_RUN_ATTEMPTS
    ):
      return False
    return self._route.is_idempotent or not shard.may_have_run

  def _choose_upstream(
    self, shard: ShardRequest, now: Seconds
  ) -> tuple[list[inventory.Upstream], inventory.Upstream | None]:
    """Returns the usable upstreams, and the one to send to if any is free.

    Those that refused the request are left only if there are no others.
    """
    candidates = self._dependencies.upstreams.list_candidates(
      shard.service, now
    )
    tried = {attempt.upstream.instance.id for attempt in shard.attempts}
    refused = {
      attempt.upstream.instance.id
      for attempt in shard.attempts
      if attempt.is_refused
    }
    usable = self._filter_usable(shard, candidates, tried, now)
    if not usable and refused and not shard.has_pending:
      tried -= refused
      usable = self._filter_usable(shard, candidates, tried, now)
    chosen = selection.choose_upstream(
      usable,
      tried,
      self._dependencies.zone,
      self._dependencies.request_tokens,
      now,
    )
    return usable, chosen

  def _filter_usable(
    self,
    shard: ShardRequest,
    candidates: list[inventory.Upstream],
    excluded: set[str],
    now: Seconds,
  ) -> list[inventory.Upstream]:
    return self._dependencies.rollouts.filter_upstreams(
      shard.service,
      selection.list_usable(candidates, excluded, now),
      is_first_attempt=not shard.attempts,
      now=now,
    )

  def _send(
    self, shard: ShardRequest, chosen: inventory.Upstream, now: Seconds
  ) -> None:
    self._stop_waiting(shard)
    shard.next_attempt_at = now + self._hedge_plan.min_delay_s
    if chosen.rate_limit is not None:
      chosen.rate_limit.spend(now)
    self._containment.record_start()
    attempt = self._dependencies.sender.start(
      self._request,
      chosen,
      self._deadline - now,
      now,
      lambda ended: self._handle_ended_attempt(shard, ended),
      may_use_idle=self._route.is_idempotent and not shard.has_lost,
      earlier_connections=shard.list_connections(chosen),
    )
    shard.attempts.append(attempt)

  def _handle_ended_attempt(
    self, shard: ShardRequest, attempt: sending.Attempt
  ) -> None:
    """Counts an ended attempt for its rollout, queues it and wakes ``run``."""
    now = clock.read_monotonic()
    self._containment.record_end(
      has_crashed=attempt.has_crashed, has_survived=attempt.has_survived
    )
    self._record_suspicion(attempt, now)
    if not self._is_request_to_blame(attempt):
      self._dependencies.rollouts.record_attempt(attempt, self._route.name, now)
    self._ended_attempts.append((shard, attempt))
    self._wake.set()
    self._dependencies.slot_queues.offer(
      attempt.service, attempt.upstream.instance.id, now
    )

  def _record_suspicion(self, attempt: sending.Attempt, now: Seconds) -> None:
    suspects = self._dependencies.suspects
    if attempt.has_crashed:
      suspects.record_crash(
        self._request.fingerprint,
        attempt.upstream.instance.id,
        attempt.started_at,
        now,
      )
    elif attempt.has_survived and not suspects.is_empty:
      suspects.record_survival(self._request.fingerprint, now)

  def _is_request_to_blame(self, attempt: sending.Attempt) -> bool:
    """True if an upstream crashed by the request, not by its version."""
    return attempt.has_crashed and self._dependencies.suspects.is_suspected(
      self._request.fingerprint
    )

  def _abandon_pending(self) -> None:
    for shard in self.shards:
      self._stop_waiting(shard)
      for attempt in shard.attempts:
        if attempt.outcome is sending.Outcome.PENDING:
          self._dependencies.sender.abandon(attempt)


def _get_ids(upstreams: Iterable[inventory.Upstream]) -> frozenset[str]:
  return frozenset(upstream.instance.id for upstream in upstreams)


def _count_sound(upstreams: Iterable[inventory.Upstream]) -> int:
  """Counts the upstreams that have not failed since their last response."""
  return sum(not upstream.health.failures for upstream in upstreams)


def _get_resume_time(
  shard: ShardRequest, upstream: inventory.Upstream
) -> Seconds:
  """Returns when an upstream that refused a request may get it again.

  Args:
    shard: The request.
    upstream: The upstream.

  Returns:
    The monotonic time: once the upstream is likely to have finished another
    request; 0 if it did not refuse this one.
  """
  refused_at = max(
    (
      attempt.ended_at
      for attempt in shard.attempts
      if attempt.is_refused and attempt.upstream is upstream
    ),
    default=None,
  )
  if refused_at is None:
    return 0.0
  latency_s = upstream.health.latency_s or 0.0
  return refused_at + max(MIN_REFUSAL_PAUSE_S, latency_s)
