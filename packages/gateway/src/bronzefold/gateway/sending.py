"""Sends a request to one upstream and classifies the outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
import enum
import functools
import itertools
import logging
import math
from typing import Any
from typing import Protocol

from anyio import abc
import attrs

from bronzefold.core import clock
from bronzefold.core import defaults
from bronzefold.core import events
from bronzefold.core import exceptions
from bronzefold.core import supervision
from bronzefold.core.clock import Seconds
from bronzefold.gateway import inventory
from bronzefold.gateway import model
from bronzefold.gateway import reach
from bronzefold.upstreams import channel

CONNECT_TIMEOUT_S = 0.3  # 50 times a TCP handshake of 6 ms
# Work for a caller that has left must end within 0.5 s; the upstream stops when
# its connection closes.
CLOSE_DELAY_S = 0.25
# Several round trips. An upstream that ended refuses connections at once; one
# that does not respond to them may be cut off.
CRASH_CHECK_TIMEOUT_S = 0.03

_MAX_STATUS = 599  # greater ones belong to no class (RFC 9110, section 15)

_logger = logging.getLogger(__name__)


class UpstreamProtocol(Protocol):
  """Wire format of requests to upstreams and of their responses."""

  def encode_request(
    self, request: model.Request, instance_id: str, budget_s: Seconds
  ) -> bytes:
    """Returns the bytes of a request to an upstream.

    Args:
      request: The caller's request.
      instance_id: Id of the upstream instance that should serve it.
      budget_s: Time left until the request's deadline.
    """

  def is_response_to(
    self, request: model.Request, raw: channel.RawResponse
  ) -> bool:
    """True if the response names the request; any other one is stray."""

  def decode_response(self, raw: channel.RawResponse) -> model.UpstreamResponse:
    """Decodes a response."""


class Outcome(enum.Enum):
  """Outcome of an attempt.

  Attributes:
    PENDING: The attempt has not ended.
    SERVED: The upstream sent a sealed response with status 2xx.
    NOT_RUN: The request certainly did not run.
    FAILED: The upstream sent any other sealed response.
    UNKNOWN: No sealed response arrived; the request may have run.
  """

  PENDING = "pending"
  SERVED = "served"
  NOT_RUN = "not_run"
  FAILED = "failed"
  UNKNOWN = "unknown"


_attempt_numbers = itertools.count()


@attrs.define(eq=False)
class Attempt:
  """One request sent to one upstream.

  Attributes:
    upstream: The upstream.
    service: Name of its service.
    started_at: Monotonic time of the start, before any connection is opened.
    number: Number that is unique in this process.
    outcome: The outcome; pending until the attempt ends.
    response: The upstream's response, if one arrived.
    error: Why no response arrived; known before the attempt has ended if its
      upstream may have crashed.
    was_sent: True once bytes of the request may have left this node.
    is_abandoned: True once the response is no longer needed.
    ended_at: Monotonic time of its end; 0 while it is pending.
    connection: The connection, once the request was written to it.
  """

  upstream: inventory.Upstream
  service: str
  started_at: Seconds
  number: int = attrs.field(factory=lambda: next(_attempt_numbers))
  outcome: Outcome = Outcome.PENDING
  response: model.UpstreamResponse | None = None
  error: exceptions.BronzefoldError | None = None
  was_sent: bool = False
  is_abandoned: bool = False
  ended_at: Seconds = 0.0
  connection: channel.Channel | None = None

  @property
  def has_crashed(self) -> bool:
    """True if its upstream ended before it had answered."""
    return isinstance(self.error, exceptions.UpstreamCrashedError)

  @property
  def found_no_listener(self) -> bool:
    """True if its upstream refused the connection, as it has ended."""
    return isinstance(self.error, exceptions.ConnectRefusedError)

  @property
  def has_survived(self) -> bool:
    """True if its upstream has run it and responded."""
    return self.outcome in (Outcome.SERVED, Outcome.FAILED)

  @property
  def is_refused(self) -> bool:
    """True if its upstream received the request and did not run it."""
    return (
      self.outcome is Outcome.NOT_RUN
      and self.response is not None
      and not self.response.is_misdirected
    )


OnEnd = Callable[[Attempt], None]
OnResponse = Callable[
  [inventory.Upstream, model.UpstreamResponse, Seconds], None
]


class Sender:
  """Starts attempts; all requests of a process share one sender."""

  def __init__(
    self,
    protocol: UpstreamProtocol,
    tasks: abc.TaskGroup,
    on_response: OnResponse,
    path: reach.Reach,
  ) -> None:
    """Creates a sender.

    Args:
      protocol: Wire format towards upstreams.
      tasks: Task group in which connections are opened.
      on_response: Called with the upstream, each response of its own and the
        monotonic time.
      path: Path to the upstreams.
    """
    self._path = path
    self._protocol = protocol
    self._tasks = tasks
    self._on_response = on_response

  def start(
    self,
    request: model.Request,
    upstream: inventory.Upstream,
    time_left_s: Seconds,
    now: Seconds,
    on_end: OnEnd,
    *,
    may_use_idle: bool,
    earlier_connections: Collection[channel.Channel] = (),
  ) -> Attempt:
    """Starts an attempt.

    It is not sent on a connection that has carried the request before: an
    upstream may repeat its earlier response there, and the id of the request
    would not distinguish it from the response to this attempt.

    Args:
      request: The caller's request.
      upstream: The upstream to send it to.
      time_left_s: Time left until the request's deadline.
      now: Monotonic time.
      on_end: Called with the attempt once it has ended.
      may_use_idle: False if the connection must be new or in recent use, as
        the upstream may have forgotten one that was idle.
      earlier_connections: Connections that have carried the request.

    Returns:
      The attempt, still pending.
    """
    attempt = Attempt(upstream, upstream.instance.service, now)
    upstream.health.in_flight[attempt.number] = now
    max_idle_s = math.inf if may_use_idle else defaults.MAX_UNSAFE_IDLE_S
    idle_connection = upstream.pool.acquire_idle(
      now, max_idle_s, earlier_connections
    )
    if idle_connection is not None:
      self._send(attempt, idle_connection, request, time_left_s, on_end)
    else:
      upstream.pool.reserve()
      self._start(
        self._open_and_send, attempt, request, now + time_left_s, on_end
      )
    return attempt

  def _start(self, work: Callable[..., Awaitable[None]], *values: Any) -> None:
    """Starts a task whose unexpected error does not end the process."""
    self._tasks.start_soon(
      supervision.run_guarded, functools.partial(work, *values)
    )

  def abandon(self, attempt: Attempt) -> None:
    """Abandons an attempt whose response is no longer needed.

    Its connection stays open if a response arrives within ``CLOSE_DELAY_S``,
    since a new one would take another of the upstream's connection slots.
    """
    attempt.is_abandoned = True
    if attempt.connection is not None and attempt.outcome is Outcome.PENDING:
      loop = asyncio.get_running_loop()
      loop.call_later(CLOSE_DELAY_S, self._close_if_pending, attempt)

  def _close_if_pending(self, attempt: Attempt) -> None:
    if attempt.outcome is Outcome.PENDING:
      attempt.connection.close()

  async def _open_and_send(
    self,
    attempt: Attempt,
    request: model.Request,
    deadline: Seconds,
    on_end: OnEnd,
  ) -> None:
    pool = attempt.upstream.pool
    left_s = deadline - clock.read_monotonic()
    try:
      connection = await pool.open(max(0.001, min(CONNECT_TIMEOUT_S, left_s)))
    except exceptions.ConnectFailedError as error:
      self._path.record_connection(attempt.upstream.instance.id, is_open=False)
      self._record_outcome(attempt, Outcome.NOT_RUN, error=error)
      attempt.upstream.health.record_failure(
        clock.read_monotonic(), is_unreachable=True
      )
      on_end(attempt)
      return
    self._path.record_connection(attempt.upstream.instance.id, is_open=True)
    time_left_s = deadline - clock.read_monotonic()
    if attempt.is_abandoned or time_left_s <= 0:
      pool.release(connection)
      error = exceptions.DeadlineExpiredError(
        "deadline expired or request abandoned while connecting"
      )
      self._record_outcome(attempt, Outcome.NOT_RUN, error=error)
      on_end(attempt)
      return
    self._send(attempt, connection, request, time_left_s, on_end)

  def _send(
    self,
    attempt: Attempt,
    connection: channel.Channel,
    request: model.Request,
    time_left_s: Seconds,
    on_end: OnEnd,
  ) -> None:
    data = self._protocol.encode_request(
      request, attempt.upstream.instance.id, time_left_s
    )
    attempt.was_sent = True
    attempt.upstream.sent_count += 1
    attempt.connection = connection
    response_future = connection.start(
      data,
      lambda raw: self._protocol.is_response_to(request, raw),
      has_body=request.method != b"HEAD",
    )
    # The upstream stops working at the deadline, so the attempt stops waiting
    # shortly after it.
    timer = asyncio.get_running_loop().call_later(
      time_left_s + CLOSE_DELAY_S, connection.close
    )

    def finish(completed: asyncio.Future[channel.RawResponse]) -> None:
      timer.cancel()
      error = completed.exception()
      may_have_crashed = _may_have_crashed(error, connection)
      pool = attempt.upstream.pool
      pool.release(connection)
      if may_have_crashed and pool.has_capacity:
        pool.reserve()
        attempt.error = error
        self._start(
          self._check_lost_connection, attempt, request, error, on_end
        )
        return
      if error is not None:
        self._record_loss(attempt, error)
      else:
        self._classify_response(attempt, completed.result())
      on_end(attempt)

    response_future.add_done_callback(finish)

  async def _check_lost_connection(
    self,
    attempt: Attempt,
    request: model.Request,
    error: exceptions.BronzefoldError,
    on_end: OnEnd,
  ) -> None:
    """Ends an attempt after finding out whether its upstream has ended.

    The connection that this opens in the reserved place is kept, since a retry
    needs one.
    """
    pool = attempt.upstream.pool
    try:
      pool.release(await pool.open(CRASH_CHECK_TIMEOUT_S))
    except exceptions.ConnectRefusedError:
      error = exceptions.UpstreamCrashedError(error.detail)
      now = clock.read_monotonic()
      attempt.upstream.health.record_failure(now, is_unreachable=True)
      events.UPSTREAM_CRASHED.log(
        _logger,
        instance=attempt.upstream.instance.id,
        service=attempt.service,
        request=request.id.decode("latin-1"),
        fingerprint=request.fingerprint,
        ran_ms=round((now - attempt.started_at) * 1e3, 1),
      )
    except exceptions.ConnectFailedError:
      pass  # it may be cut off, which the next request will find out
    self._record_loss(attempt, error)
    on_end(attempt)

  def _record_loss(
    self, attempt: Attempt, error: exceptions.BronzefoldError
  ) -> None:
    """Records that an attempt got no response."""
    now = clock.read_monotonic()
    health = attempt.upstream.health
    # A connection that this node closed while the upstream was within its
    # normal latency says nothing about the upstream's health.
    is_failure = not attempt.is_abandoned or health.is_stalled(now)
    self._record_outcome(attempt, Outcome.UNKNOWN, error=error)
    if is_failure:
      health.record_failure(now)

  def _classify_response(
    self, attempt: Attempt, raw: channel.RawResponse
  ) -> None:
    """Sets the attempt's outcome and updates the upstream's health."""
    now = clock.read_monotonic()
    health = attempt.upstream.health
    response = self._protocol.decode_response(raw)
    self._path.record_response(now)
    if not response.is_misdirected:
      self._on_response(attempt.upstream, response, now)
    if response.did_not_run:
      self._record_outcome(attempt, Outcome.NOT_RUN, response=response)
      if response.is_misdirected:
        attempt.upstream.is_replaced = True
      else:
        health.record_refusal(now)
    elif not response.seal or response.status > _MAX_STATUS:
      # Bytes that look like a response; the upstream vouches for none of them.
      error = exceptions.MalformedReplyError("no sealed response of HTTP")
      self._record_outcome(attempt, Outcome.UNKNOWN, error=error)
      health.record_failure(now)
    elif 200 <= response.status < 300:
      self._record_outcome(attempt, Outcome.SERVED, response=response)
      health.record_success(now - attempt.started_at, now)
    else:
      self._record_outcome(attempt, Outcome.FAILED, response=response)
      if response.status >= 500:
        health.record_failure(now)

  def _record_outcome(
    self,
    attempt: Attempt,
    outcome: Outcome,
    response: model.UpstreamResponse | None = None,
    error: exceptions.BronzefoldError | None = None,
  ) -> None:
    attempt.outcome = outcome
    attempt.ended_at = clock.read_monotonic()
    attempt.response = response
    attempt.error = error
    attempt.upstream.health.in_flight.pop(attempt.number, None)


def _may_have_crashed(
  error: BaseException | None, connection: channel.Channel
) -> bool:
  """True if an upstream's end may be the cause of an error."""
  return (
    isinstance(error, exceptions.ConnectionLostError)
    and not connection.is_closed_here
  )
