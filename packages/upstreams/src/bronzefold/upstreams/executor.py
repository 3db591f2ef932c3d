"""The owner's executor of one upstream: queue, limit and workers."""

from __future__ import annotations

from collections.abc import Callable
import logging
import math
import random

import anyio
import attrs
from expression import Error
from expression import Result
import msgspec

from bronzefold.core import budgets
from bronzefold.core import clock
from bronzefold.core import defaults
from bronzefold.core import documents
from bronzefold.core import events
from bronzefold.core import exceptions
from bronzefold.core import memory
from bronzefold.core import ranges
from bronzefold.upstreams import connection
from bronzefold.upstreams import messages
from bronzefold.upstreams import queue
from bronzefold.upstreams import ramp

_MIN_UNINTERRUPTED_TIMEOUT_S = 5.0
_POLL_TIMEOUT_S = 1.0
_FAILURES_UNTIL_DOWN = 3
_MIN_TIME_LEFT_LATENCY_FACTOR = 0.8
_FAILURE_LATENCY_FACTOR = 10.0
_STRAGGLER_LATENCY_FACTOR = 3.0
# Several round trips; an upstream that has ended refuses connections at once.
_CRASH_CHECK_TIMEOUT_S = 0.05

_logger = logging.getLogger(__name__)


@attrs.frozen
class UpstreamState:
  """The state of an upstream that its owner publishes to other nodes.

  Attributes:
    up: True while the upstream responds.
    draining: True while the upstream accepts no new requests.
    instance: Id of the upstream's process, empty if not known.
    warm: True when the upstream is at its full limit.
    latency_s: Baseline latency in seconds, 0 if not known.
    limit: Highest permitted count of requests in progress.
    snapshots: Snapshots that the upstream serves.
  """

  up: bool
  draining: bool
  instance: str
  warm: bool
  latency_s: float
  limit: int
  snapshots: tuple[messages.SnapshotReport, ...]


SendCheck = Callable[[clock.Seconds, bool], exceptions.NotRunError | None]
ManifestListener = Callable[[str, ranges.Manifest], None]


class UpstreamExecutor:
  """Queues requests to one upstream and sends them within its limit.

  Attributes:
    service: Name of the service.
    entry: The upstream's entry in the document of its service.
    in_progress: Count of the requests in progress.
    most_in_progress: Highest value of ``in_progress`` so far.
    sent: Count of the requests sent so far.
  """

  def __init__(
    self,
    service: str,
    entry: documents.UpstreamEntry,
    limits: documents.Limits,
    check_send: SendCheck,
    on_manifest: ManifestListener,
    budget: memory.MemoryBudget | None = None,
  ) -> None:
    """Creates an executor; ``run`` starts its tasks.

    Args:
      service: Name of the service.
      entry: The upstream's entry in the document of the service.
      limits: Limits of the service.
      check_send: Called before each send, with the monotonic time and whether
        the upstream is warm. Returns the error to refuse the request with,
        None if it may be sent.
      on_manifest: Called with the service and each new manifest.
      budget: The memory of all messages of this process; None for one of the
        default size.
    """
    self.service = service
    self.entry = entry
    self._limits = limits
    self._check_send = check_send
    self._on_manifest = on_manifest
    self._budget = budget
    self._ramp = ramp.ColdStartRamp(
      limits.slots, limits.cold_slots, limits.warm_up_s
    )
    self._queue = queue.DeadlineQueue()
    self._jobs: dict[str, queue.Job] = {}
    self._state_changed = anyio.Event()
    self._status: messages.StatusReport | None = None
    self._snapshots_with_manifest: set[int] = set()
    self._consecutive_failures = 0
    self._draining_seen_at: clock.Seconds | None = None
    self._scope = anyio.CancelScope()
    self._closing = False
    self._usable = True
    self._rate_limit_per_s: float | None = None
    self._token_bucket: budgets.TokenBucket | None = None
    self.in_progress = 0
    self.most_in_progress = 0
    self.sent = 0

  @property
  def is_failing(self) -> bool:
    """True since the upstream's last exchange failed."""
    return self._consecutive_failures > 0

  @property
  def ramp(self) -> ramp.ColdStartRamp:
    """The limit on requests in progress."""
    return self._ramp

  def get_state(self) -> UpstreamState:
    """Returns the state to publish to other nodes."""
    status = self._status
    return UpstreamState(
      up=status is not None
      and self._consecutive_failures < _FAILURES_UNTIL_DOWN,
      draining=self._draining_seen_at is not None,
      instance=self._ramp.instance,
      warm=self._ramp.warm,
      latency_s=self._ramp.baseline_s or 0.0,
      limit=self._ramp.limit,
      snapshots=status.snapshots if status else (),
    )

  def get_state_label(self) -> str:
    """Returns the upstream's state in one word for operators.

    Returns:
      "out" while traffic is stopped, else "down", "draining", "warm" or
      "cold".
    """
    state = self.get_state()
    if not self._usable:
      return "out"
    if not state.up:
      return "down"
    if state.draining:
      return "draining"
    return "warm" if state.warm else "cold"

  def matches(
    self, entry: documents.UpstreamEntry, limits: documents.Limits
  ) -> bool:
    """Returns True if the executor's settings equal those of a document.

    Args:
      entry: The upstream's entry in the document.
      limits: Limits of the service in the document.
    """
    same_entry = (entry.address, entry.zone, entry.version) == (
      self.entry.address,
      self.entry.zone,
      self.entry.version,
    )
    return same_entry and limits == self._limits

  def count_pending(self) -> int:
    """Returns the count of the requests queued and in progress."""
    return len(self._queue) + self.in_progress

  def set_usable(self, usable: bool, now: clock.Seconds) -> None:
    """Stops or resumes all traffic to the upstream, polls included.

    Args:
      usable: False while the upstream is leaving or its availability zone is
        out. When it becomes usable again, it counts as cold.
      now: Monotonic time.
    """
    if usable == self._usable:
      return
    self._usable = usable
    self._ramp.reset(self._ramp.instance, now)
    if not usable:
      self._queue.refuse_all(exceptions.NoUpstreamError(self.entry.name))
    self._notify()

  async def submit(
    self, job: queue.Job
  ) -> Result[connection.Response, exceptions.BronzefoldError]:
    """Queues a job and waits for its outcome.

    Cancelling the calling task cancels the job.

    Args:
      job: The job.

    Returns:
      The response, or an error. ``OverloadedError`` means that the estimated
      wait in the queue exceeds the job's deadline.
    """
    now = clock.read_monotonic()
    refusal = self._find_refusal(job, now)
    if refusal is not None:
      return Error(refusal)
    self._queue.push(job)
    self._jobs[job.exchange.request] = job
    self._notify()
    try:
      return await job.wait()
    finally:
      self._jobs.pop(job.exchange.request, None)
      self._cancel_job(job)

  def cancel(self, request: str) -> None:
    """Cancels a request's job; no effect if it is finished or does not exist.

    Args:
      request: Id of the exchange.
    """
    job = self._jobs.get(request)
    if job is not None:
      job.finish(Error(exceptions.OutcomeUnknownError("request was cancelled")))
      self._cancel_job(job)

  async def run(self) -> None:
    """Runs the poll and the workers until ``stop`` or ``abort`` is called."""
    with self._scope:
      async with anyio.create_task_group() as tasks:
        tasks.start_soon(self._poll)
        for _ in range(self._limits.slots):
          tasks.start_soon(self._run_worker)

  async def stop(self) -> None:
    """Refuses queued jobs, waits for those in progress, then stops."""
    self._closing = True
    self._queue.refuse_all(exceptions.NotOwnerError(self.entry.name))
    while self.in_progress:
      await self._state_changed.wait()
    self._scope.cancel()

  def abort(self) -> None:
    """Stops immediately; the outcome of jobs in progress is unknown."""
    self._closing = True
    self._queue.refuse_all(exceptions.NotOwnerError(self.entry.name))
    self._scope.cancel()

  def _cancel_job(self, job: queue.Job) -> None:
    if job.outcome is None:
      job.finish(Error(exceptions.OutcomeUnknownError("request was cancelled")))
    if self._should_interrupt(job, clock.read_monotonic()):
      job.scope.cancel()

  def _should_interrupt(self, job: queue.Job, now: clock.Seconds) -> bool:
    """Returns True if a cancelled job's exchange should be interrupted.

    A cold upstream may continue to work on a cancelled request, so the request
    counts against the limit until its response arrives. Waiting for a response
    that is due soon costs less than opening a new connection.
    """
    if not self._ramp.warm or not job.idempotent or job.sent_at is None:
      return False
    baseline_s = self._ramp.baseline_s or 0.0
    return now - job.sent_at > _STRAGGLER_LATENCY_FACTOR * baseline_s

  def _find_refusal(
    self, job: queue.Job, now: clock.Seconds
  ) -> exceptions.NotRunError | None:
    if self._closing:
      return exceptions.NotOwnerError(self.entry.name)
    if not self._usable:
      return exceptions.NoUpstreamError(self.entry.name)
    if self._draining_seen_at is not None:
      return exceptions.UpstreamDrainingError(self.entry.name)
    if self._consecutive_failures >= _FAILURES_UNTIL_DOWN:
      return exceptions.ConnectFailedError(
        f"upstream {self.entry.name} is down"
      )
    wait_s = self._estimate_wait(job)
    if now + wait_s > job.deadline:
      return exceptions.OverloadedError(
        f"upstream {self.entry.name}: queue wait exceeds the deadline"
      )
    return self._check_send(now, self._ramp.warm)

  def _estimate_wait(self, job: queue.Job) -> clock.Seconds:
    latency_s = self._ramp.baseline_s or 0.0
    ahead = self._queue.count_ahead(job.priority, job.deadline)
    wait_s = latency_s * (1 + ahead / self._ramp.limit)
    if self._rate_limit_per_s is not None:
      wait_s = max(wait_s, latency_s + ahead / self._rate_limit_per_s)
    return wait_s

  def _notify(self) -> None:
    self._state_changed.set()
    self._state_changed = anyio.Event()

  async def _wait_for_job(self) -> queue.Job:
    while True:
      now = clock.read_monotonic()
      token_wait_s = (
        self._token_bucket.get_wait(now) if self._token_bucket else 0.0
      )
      if self.in_progress < self._ramp.limit and token_wait_s <= 0.0:
        # Requests that are likely to reach their deadline before the response
        # arrives are not sent.
        min_left_s = (
          self._ramp.baseline_s or 0.0
        ) * _MIN_TIME_LEFT_LATENCY_FACTOR
        job = self._queue.pop(now + min_left_s)
        if job is not None:
          if self._token_bucket is not None:
            self._token_bucket.take(1, now)
          return job
      with anyio.move_on_after(token_wait_s or math.inf):
        await self._state_changed.wait()

  async def _run_worker(self) -> None:
    conn = connection.UpstreamConnection(self.entry.address, self._budget)
    try:
      while True:
        job = await self._wait_for_job()
        self._record_job_start()
        try:
          await self._execute_job(conn, job)
        finally:
          self._record_job_end()
    finally:
      with anyio.CancelScope(shield=True):
        await conn.close()

  def _record_job_start(self) -> None:
    self.in_progress += 1
    self.most_in_progress = max(self.most_in_progress, self.in_progress)

  def _record_job_end(self) -> None:
    self.in_progress -= 1
    self._notify()

  async def _execute_job(
    self, conn: connection.UpstreamConnection, job: queue.Job
  ) -> None:
    if not conn.is_open and not await self._connect(conn, job):
      return
    if self.in_progress > self._ramp.limit:
      # The status on the new connection showed that the upstream is cold.
      self._queue.push(job)
      return
    now = clock.read_monotonic()
    refusal = self._check_send(now, self._ramp.warm)
    if refusal is not None:
      job.finish(Error(refusal))
      return
    if job.outcome is None:
      await self._send(conn, job, now)

  async def _connect(
    self, conn: connection.UpstreamConnection, job: queue.Job
  ) -> bool:
    """Opens the connection and applies the status of the upstream.

    Returns:
      False if the connection failed; the job is finished then.
    """
    outcome = await conn.fetch_status(_POLL_TIMEOUT_S)
    if outcome.is_ok():
      self._apply_status(outcome.ok.body)
      return True
    self._ramp.suspend()
    self._consecutive_failures += 1
    detail = (
      f"reading the status of upstream {self.entry.name} failed: "
      f"{type(outcome.error).__name__}"
    )
    job.finish(Error(exceptions.ConnectFailedError(detail)))
    await anyio.sleep(defaults.MAX_RECONNECT_DELAY_S * random.random())
    return False

  async def _send(
    self,
    conn: connection.UpstreamConnection,
    job: queue.Job,
    now: clock.Seconds,
  ) -> None:
    budget_s = job.deadline - now
    if budget_s <= 0:
      job.finish(
        Error(
          exceptions.DeadlineExpiredError(
            "deadline passed before the request was sent"
          )
        )
      )
      return
    if not self._ramp.warm or not job.idempotent:
      budget_s = max(budget_s, _MIN_UNINTERRUPTED_TIMEOUT_S)
    baseline_s = self._ramp.baseline_s or 0.0
    budget_s = max(budget_s, _STRAGGLER_LATENCY_FACTOR * baseline_s)
    assert self.in_progress <= self._ramp.limit, (
      "more requests in progress than the limit of the ramp"
    )
    job.sent_at = now
    self.sent += 1
    exchange = attrs.evolve(job.exchange, budget_s=budget_s)
    with job.scope:
      outcome = await conn.send(exchange)
    if job.scope.cancelled_caught:
      job.finish(Error(exceptions.OutcomeUnknownError("request was cancelled")))
      return
    if outcome.is_error() and isinstance(
      outcome.error, exceptions.ConnectionLostError
    ):
      outcome = Error(await self._explain_loss(conn, job, outcome.error))
    self._record_outcome(outcome, budget_s, clock.read_monotonic())
    job.finish(outcome)

  async def _explain_loss(
    self,
    conn: connection.UpstreamConnection,
    job: queue.Job,
    error: exceptions.ConnectionLostError,
  ) -> exceptions.ConnectionLostError:
    """Finds out whether a connection was lost because the upstream ended.

    Args:
      conn: The connection, which is opened again.
      job: The job whose response did not arrive.
      error: Error of the job.

    Returns:
      An ``UpstreamCrashedError`` if nothing listens at the upstream's address,
      or another process of it does; else the error.
    """
    instance = self._ramp.instance
    status = await conn.fetch_status(_CRASH_CHECK_TIMEOUT_S)
    if status.is_ok():
      self._apply_status(status.ok.body)
      has_ended = self._ramp.instance != instance
    else:
      has_ended = isinstance(status.error, exceptions.ConnectRefusedError)
    if not has_ended:
      return error
    events.UPSTREAM_CRASHED.log(
      _logger,
      instance=instance,
      service=self.service,
      request=job.exchange.request,
      ran_ms=round((clock.read_monotonic() - job.sent_at) * 1e3, 1),
    )
    return exceptions.UpstreamCrashedError(f"{instance}: {error.detail}")

  def _record_outcome(
    self,
    outcome: Result[connection.Response, exceptions.BronzefoldError],
    budget_s: clock.Seconds,
    now: clock.Seconds,
  ) -> None:
    if outcome.is_ok():
      self._consecutive_failures = 0
      self._ramp.confirm_instance(outcome.ok.instance, now)
      self._ramp.record_success(outcome.ok.took_s, now)
      self._set_rate_limit(outcome.ok.rate_limit_per_s, now)
      return
    match outcome.error:
      case exceptions.UpstreamDrainingError():
        self._draining_seen_at = now
        self._queue.refuse_all(outcome.error)
      case exceptions.UpstreamRefusedError():
        self._ramp.record_refusal(now)
      case exceptions.ConnectionLostError() | exceptions.ConnectFailedError():
        self._ramp.suspend()
        self._consecutive_failures += 1
      case exceptions.TimedOutError() if self._is_long_timeout(budget_s):
        self._consecutive_failures += 1

  def _set_rate_limit(
    self, rate_limit_per_s: float | None, now: clock.Seconds
  ) -> None:
    """Applies the rate limit of a response, or the end of one.

    The owner alone sends to the upstream, so it uses the whole limit.
    """
    if rate_limit_per_s is not None:
      rate_limit_per_s = max(defaults.MIN_UPSTREAM_RATE_PER_S, rate_limit_per_s)
    if rate_limit_per_s == self._rate_limit_per_s:
      return
    self._rate_limit_per_s = rate_limit_per_s
    if rate_limit_per_s is None:
      self._token_bucket = None
    else:
      self._token_bucket = self._token_bucket or budgets.TokenBucket(now)
      self._token_bucket.set_rate(rate_limit_per_s, 1.0, now)
    events.RATE_LIMIT_CHANGED.log(
      _logger,
      instance=self._ramp.instance,
      service=self.service,
      limit_per_s=rate_limit_per_s,
      sent=self.sent,
    )
    self._notify()

  def _is_long_timeout(self, budget_s: clock.Seconds) -> bool:
    """Returns True if a timeout after this budget counts as a failure.

    A healthy upstream responds within such a budget.
    """
    if self._ramp.baseline_s is None:
      return budget_s > _POLL_TIMEOUT_S
    return budget_s > _FAILURE_LATENCY_FACTOR * self._ramp.baseline_s

  async def _poll(self) -> None:
    conn = connection.UpstreamConnection(self.entry.address, self._budget)
    try:
      while True:
        while not self._usable:
          await conn.close()
          await self._state_changed.wait()
        outcome = await conn.fetch_status(_POLL_TIMEOUT_S)
        if outcome.is_ok():
          self._apply_status(outcome.ok.body)
          await self._fetch_manifests(conn)
        else:
          self._record_poll_failure()
        await anyio.sleep(
          defaults.UPSTREAM_POLL_PERIOD_S * random.uniform(0.8, 1.2)
        )
    finally:
      with anyio.CancelScope(shield=True):
        await conn.close()

  def _record_poll_failure(self) -> None:
    self._consecutive_failures += 1
    self._ramp.suspend()
    if self._consecutive_failures >= _FAILURES_UNTIL_DOWN:
      error = exceptions.ConnectFailedError(
        f"upstream {self.entry.name} is down"
      )
      self._queue.refuse_all(error)

  def _apply_status(self, body: bytes) -> None:
    try:
      status = msgspec.json.decode(body, type=messages.StatusReport)
    except (msgspec.MsgspecError, RecursionError):
      self._consecutive_failures += 1
      return
    now = clock.read_monotonic()
    self._consecutive_failures = 0
    self._status = status
    self._ramp.confirm_instance(status.instance, now)
    if status.state == "draining":
      self._draining_seen_at = now
      error = exceptions.UpstreamDrainingError(self.entry.name)
      self._queue.refuse_all(error)
    elif self._may_clear_draining(now):
      self._draining_seen_at = None
    self._notify()

  def _may_clear_draining(self, now: clock.Seconds) -> bool:
    """Returns True if a report without draining ends the draining state.

    Such a report may be older than the refusal that showed the draining.
    """
    if self._draining_seen_at is None:
      return True
    return now - self._draining_seen_at > defaults.MIN_DRAINING_S

  async def _fetch_manifests(self, conn: connection.UpstreamConnection) -> None:
    reported = {report.snapshot for report in self._status.snapshots}
    for snapshot in sorted(reported - self._snapshots_with_manifest):
      outcome = await conn.fetch_manifest(snapshot, _POLL_TIMEOUT_S)
      if outcome.is_error() or outcome.ok.status != 200:
        continue
      try:
        manifest = msgspec.json.decode(outcome.ok.body, type=ranges.Manifest)
      except (msgspec.MsgspecError, RecursionError):
        continue
      if ranges.check_manifest(manifest).is_ok():
        self._snapshots_with_manifest.add(snapshot)
        self._on_manifest(self.service, manifest)
