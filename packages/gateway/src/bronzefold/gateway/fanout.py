"""One request to the upstreams of one or more services.

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
from bronzefold.core.clock import Seconds
from bronzefold.gateway import inventory
from bronzefold.gateway import model
from bronzefold.gateway import rollouts
from bronzefold.gateway import selection
from bronzefold.gateway import sending

ANSWER_RESERVE_S = 0.012  # with 8 ms answers came 1 ms after the objective
MIN_HEDGE_DELAY_S = 0.008  # shorter than any quantile seen
MAX_HEDGE_SHARE = 0.5  # later, a second attempt is not back in time
FIRST_HEDGE_SHARE = 0.3  # until a quantile is known
MAX_REFUSALS = 3  # an upstream's siblings are one to three
BUSY_RETRY_S = 0.005  # a quarter of a usual reply
ABSENT_RETRY_S = 0.05  # a fifth of the shortest time an upstream is down
BUDGET_RETRY_S = 0.02  # the budget's slices are 0.5 s
HEDGE_BUDGET_SHARE = 0.85  # 0.6 left 79 of 110 late shards without a hedge
HOPEFUL_SHARE = 0.5  # 1.0 withheld hedges that would have helped
TIMER_SLACK_S = 0.0005  # timers fire up to this early


@attrs.define(eq=False)
class ShardRequest:
  """What became of one service's part of a request.

  Attributes:
    service: Name of the service.
    attempts: All attempts in order.
    part: The first whole success.
    is_closed: True once no further attempt will be made.
    next_at: Monotonic time of the next try to send.
  """

  service: str
  attempts: list[sending.Attempt] = attrs.field(factory=list)
  part: model.UpstreamResponse | None = None
  is_closed: bool = False
  next_at: Seconds = math.inf

  @property
  def has_pending(self) -> bool:
    """True while an attempt is on its way."""
    return any(
      attempt.outcome is sending.Outcome.PENDING for attempt in self.attempts
    )

  @property
  def may_have_run(self) -> bool:
    """True unless every attempt certainly did not run."""
    return any(
      attempt.was_sent and attempt.outcome is not sending.Outcome.NOT_RUN
      for attempt in self.attempts
    )


@attrs.define(eq=False)
class Dependencies:
  """What queries share on a node.

  Attributes:
    sender: Starts attempts.
    upstreams: The inventory.
    rollouts: Moves of services to other versions.
    zone: Availability zone of this node.
    get_budget: Returns the budget of extra arrivals of a service.
    latencies: Quantiles of latency by route, for hedging.
  """

  sender: sending.Sender
  upstreams: inventory.Inventory
  rollouts: rollouts.Rollouts
  zone: str
  get_budget: Callable[[str], budgets.WindowBudget]
  latencies: dict[str, budgets.LatencyQuantile]


class FanOut:
  """A request in progress.

  Attributes:
    shards: Its shards.
    hedges: Count of attempts beside one that had not ended.
    retries: Count of attempts after one that had failed.
    withheld: Counts of attempts that were not made, by reason.
  """

  def __init__(
    self,
    means: Dependencies,
    request: model.Request,
    route: model.Route,
    services: Iterable[str],
    deadline: Seconds,
  ) -> None:
    """Prepares a query.

    Args:
      means: What queries share.
      request: The caller's request.
      route: Its route, of the configuration in force at its arrival.
      services: A service for each shard.
      deadline: Monotonic time at which the answer is due.
    """
    self.shards = [ShardRequest(service) for service in services]
    self.hedges = 0
    self.retries = 0
    self.withheld: collections.Counter[str] = collections.Counter()
    self._means = means
    self._request = request
    self._route = route
    self._deadline = deadline
    self._ended: list[tuple[ShardRequest, sending.Attempt]] = []
    self._wake = anyio.Event()
    self._needed = math.ceil(route.min_coverage * len(self.shards) - 1e-9)
    quantile = means.latencies.get(route.name)
    self._hedge_after_s = _get_hedge_delay(route, quantile)

  @property
  def parts(self) -> list[ShardRequest]:
    """The shards that have succeeded."""
    return [shard for shard in self.shards if shard.part is not None]

  async def run(self, now: Seconds) -> None:
    """Sends to all shards and waits until the answer is settled.

    Args:
      now: Monotonic time.
    """
    answer_at = self._request.received_at + self._route.latency_objective_s
    answer_at -= ANSWER_RESERVE_S
    try:
      for shard in self.shards:
        self._means.get_budget(shard.service).earn(now)
        self._send_first(shard, now)
      while not self._is_settled(answer_at, now):
        wake_at = self._get_wake_time(answer_at, now)
        with anyio.move_on_after(max(0.0, wake_at - now)):
          await self._wake.wait()
        self._wake = anyio.Event()
        now = clock.read_monotonic()
        self._take_ended(now)
        self._send_due(answer_at, now)
    finally:
      self._abandon_rest()

  def _is_settled(self, answer_at: Seconds, now: Seconds) -> bool:
    open_count = sum(
      shard.part is None and not shard.is_closed for shard in self.shards
    )
    have = len(self.parts)
    if not open_count or now >= self._deadline:
      return True
    if have + open_count < self._needed:
      return True
    return (
      bool(self._route.shards) and now >= answer_at and have >= self._needed
    )

  def _get_wake_time(self, answer_at: Seconds, now: Seconds) -> Seconds:
    times = [self._deadline]
    if self._route.shards and answer_at > now:
      times.append(answer_at)
    times.extend(
      shard.next_at for shard in self.shards if self._may_send(shard)
    )
    return min(times)

  def _may_send(self, shard: ShardRequest) -> bool:
    if shard.part is not None or shard.is_closed:
      return False
    if not shard.attempts:
      return True
    return (
      self._route.idempotent and len(shard.attempts) < self._route.max_attempts
    )

  def _send_due(self, answer_at: Seconds, now: Seconds) -> None:
    for shard in self.shards:
      if not self._may_send(shard) or now < shard.next_at - TIMER_SLACK_S:
        continue
      if shard.attempts:
        self._hedge(shard, answer_at, now)
      else:
        self._send_first(shard, now)

  def _send_first(self, shard: ShardRequest, now: Seconds) -> None:
    """Sends, or waits while all usable upstreams are busy."""
    usable, chosen = self._choose(shard, now)
    if chosen is not None:
      self._send(shard, chosen, now)
      shard.next_at = now + self._hedge_after_s
    elif usable:
      shard.next_at = now + BUSY_RETRY_S
    else:
      shard.is_closed = True

  def _hedge(
    self, shard: ShardRequest, answer_at: Seconds, now: Seconds
  ) -> None:
    """Sends beside a pending attempt if that can still help in time."""
    usable, chosen = self._choose(shard, now)
    if chosen is None:
      self.withheld["hedge: busy" if usable else "hedge: no upstream"] += 1
      shard.next_at = now + (BUSY_RETRY_S if usable else ABSENT_RETRY_S)
      return
    usual_s = selection.get_usual_latency(usable)
    expected_s = chosen.health.estimate_latency(usual_s, now)
    if now < answer_at < now + HOPEFUL_SHARE * expected_s:
      self.withheld["hedge: too slow"] += 1
      shard.next_at = answer_at
      return
    budget = self._means.get_budget(shard.service)
    if budget.try_spend(now, HEDGE_BUDGET_SHARE):
      self._send(shard, chosen, now)
      self.hedges += 1
      shard.next_at = now + self._hedge_after_s
    else:
      self.withheld["hedge: budget"] += 1
      shard.next_at = now + BUDGET_RETRY_S

  def _retry(self, shard: ShardRequest, now: Seconds) -> None:
    """Sends after an attempt that has failed."""
    _, chosen = self._choose(shard, now)
    if chosen is None:
      self.withheld["retry: no upstream"] += 1
      return
    if self._means.get_budget(shard.service).try_spend(now):
      self._send(shard, chosen, now)
      self.retries += 1
    else:
      self.withheld["retry: budget"] += 1

  def _take_ended(self, now: Seconds) -> None:
    ended, self._ended = self._ended, []
    for shard, attempt in ended:
      if shard.part is None:
        self._take(shard, attempt, now)

  def _take(
    self, shard: ShardRequest, attempt: sending.Attempt, now: Seconds
  ) -> None:
    if attempt.outcome is sending.Outcome.SERVED:
      shard.part = attempt.response
      quantile = self._means.latencies.get(self._route.name)
      if quantile is not None:
        quantile.record(now - attempt.started_at)
      return
    if self._may_retry(shard):
      self._retry(shard, now)
    shard.is_closed = not shard.has_pending

  def _may_retry(self, shard: ShardRequest) -> bool:
    ran = sum(a.outcome is not sending.Outcome.NOT_RUN for a in shard.attempts)
    refused = len(shard.attempts) - ran
    if ran >= self._route.max_attempts or refused >= MAX_REFUSALS:
      return False
    return self._route.idempotent or not shard.may_have_run

  def _choose(
    self, shard: ShardRequest, now: Seconds
  ) -> tuple[list[inventory.Upstream], inventory.Upstream | None]:
    """Returns the usable upstreams, and the one to send to if any is free."""
    candidates = self._means.upstreams.list_candidates(shard.service, now)
    tried = {attempt.upstream.instance.id for attempt in shard.attempts}
    usable = self._means.rollouts.filter_upstreams(
      shard.service,
      selection.list_usable(candidates, tried, now),
      is_first=not tried,
      now=now,
    )
    chosen = selection.choose_upstream(usable, tried, self._means.zone, now)
    return usable, chosen

  def _send(
    self, shard: ShardRequest, chosen: inventory.Upstream, now: Seconds
  ) -> None:
    attempt = self._means.sender.start(
      self._request,
      chosen,
      self._deadline - now,
      now,
      lambda ended: self._note_end(shard, ended),
    )
    shard.attempts.append(attempt)

  def _note_end(self, shard: ShardRequest, attempt: sending.Attempt) -> None:
    now = clock.read_monotonic()
    self._means.rollouts.record_attempt(attempt, self._route.name, now)
    self._ended.append((shard, attempt))
    self._wake.set()

  def _abandon_rest(self) -> None:
    for shard in self.shards:
      for attempt in shard.attempts:
        if attempt.outcome is sending.Outcome.PENDING:
          self._means.sender.abandon(attempt)


def _get_hedge_delay(
  route: model.Route, quantile: budgets.LatencyQuantile | None
) -> Seconds:
  estimate = quantile.get_estimate() if quantile is not None else None
  if estimate is None:
    return FIRST_HEDGE_SHARE * route.latency_objective_s
  return min(
    max(MIN_HEDGE_DELAY_S, estimate),
    MAX_HEDGE_SHARE * route.latency_objective_s,
  )
