"""Sends one request to one upstream and tells how it ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import enum
import itertools
from typing import Protocol

from anyio import abc
import attrs

from bronzefold.core import clock
from bronzefold.core import exceptions
from bronzefold.core.clock import Seconds
from bronzefold.gateway import inventory
from bronzefold.gateway import model
from bronzefold.upstreams import channel

CONNECT_TIMEOUT_S = 0.3  # 50 handshakes of 6 ms
LINGER_S = 0.25  # the users allow work for 0.5 s after a caller left


class UpstreamProtocol(Protocol):
  """Writes requests to upstreams and reads their answers."""

  def encode_request(
    self, request: model.Request, instance_id: str, budget_s: Seconds
  ) -> bytes:
    """Returns the bytes of a request for one upstream."""

  def is_response_to(
    self, request: model.Request, raw: channel.RawReply
  ) -> bool:
    """True unless the answer belongs to another request."""

  def decode_response(self, raw: channel.RawReply) -> model.UpstreamResponse:
    """Reads an answer."""


class Outcome(enum.Enum):
  """How an attempt ended."""

  PENDING = "pending"
  SERVED = "served"
  NOT_RUN = "not_run"
  FAILED = "failed"
  UNKNOWN = "unknown"


_attempt_numbers = itertools.count()


@attrs.define(eq=False)
class Attempt:
  """One request on its way to one upstream.

  Attributes:
    upstream: The upstream.
    service: Name of its service.
    started_at: Monotonic time of the send.
    number: Unique number in the process.
    ending: How it ended.
    reply: The answer, if one came.
    error: Why there is none.
    was_sent: True once bytes of the request may have left this node.
    is_abandoned: True once nobody waits for the answer.
    used: The connection, once the request is on it.
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
  used: channel.Channel | None = None


OnEnd = Callable[[Attempt], None]


class Sender:
  """Starts attempts; one serves a whole process."""

  def __init__(self, protocol: UpstreamProtocol, tasks: abc.TaskGroup) -> None:
    """Creates a sender.

    Args:
      protocol: Wire format towards upstreams.
      tasks: Task group for the opening of connections.
    """
    self._protocol = protocol
    self._tasks = tasks

  def start(
    self,
    request: model.Request,
    upstream: inventory.Upstream,
    budget_s: Seconds,
    now: Seconds,
    on_end: OnEnd,
  ) -> Attempt:
    """Starts an attempt.

    Args:
      request: The caller's request.
      upstream: Where to send it.
      budget_s: Time left until its deadline.
      now: Monotonic time.
      on_end: Called once it has ended.

    Returns:
      The attempt.
    """
    attempt = Attempt(upstream, upstream.instance.service, now)
    upstream.health.in_flight[attempt.number] = now
    idle = upstream.pool.take_idle(now)
    if idle is not None:
      self._send(attempt, idle, request, budget_s, on_end)
    else:
      upstream.pool.reserve()
      self._tasks.start_soon(
        self._open_and_send, attempt, request, now + budget_s, on_end
      )
    return attempt

  def abandon(self, attempt: Attempt) -> None:
    """Lets an attempt go whose answer is no longer wanted.

    Its connection is kept if the answer comes soon, since opening another
    takes a slot of the upstream.
    """
    attempt.is_abandoned = True
    if attempt.used is not None and attempt.outcome is Outcome.PENDING:
      loop = asyncio.get_running_loop()
      loop.call_later(LINGER_S, self._cut, attempt)

  def _cut(self, attempt: Attempt) -> None:
    if attempt.outcome is Outcome.PENDING:
      attempt.used.close()

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
      opened = await pool.open(max(0.001, min(CONNECT_TIMEOUT_S, left_s)))
    except exceptions.ConnectFailedError as error:
      self._end(attempt, Outcome.NOT_RUN, error=error)
      attempt.upstream.health.record_failure(
        clock.read_monotonic(), is_certain=True
      )
      on_end(attempt)
      return
    budget_s = deadline - clock.read_monotonic()
    if attempt.is_abandoned or budget_s <= 0:
      pool.release(opened)
      error = exceptions.DeadlineExpiredError("no time left after connecting")
      self._end(attempt, Outcome.NOT_RUN, error=error)
      on_end(attempt)
      return
    self._send(attempt, opened, request, budget_s, on_end)

  def _send(
    self,
    attempt: Attempt,
    used: channel.Channel,
    request: model.Request,
    budget_s: Seconds,
    on_end: OnEnd,
  ) -> None:
    data = self._protocol.encode_request(
      request, attempt.upstream.instance.id, budget_s
    )
    attempt.was_sent = True
    attempt.used = used
    outcome = used.start(
      data,
      lambda raw: self._protocol.is_response_to(request, raw),
      has_body=request.method != b"HEAD",
    )
    # An attempt never waits longer than its upstream works on it.
    timer = asyncio.get_running_loop().call_later(
      budget_s + LINGER_S, used.close
    )

    def finish(done: asyncio.Future[channel.RawReply]) -> None:
      timer.cancel()
      attempt.upstream.pool.release(used)
      self._read_outcome(attempt, done)
      on_end(attempt)

    outcome.add_done_callback(finish)

  def _read_outcome(
    self, attempt: Attempt, done: asyncio.Future[channel.RawReply]
  ) -> None:
    now = clock.read_monotonic()
    seen = attempt.upstream.health
    error = done.exception()
    if error is not None:
      # Closed by this node and within the usual time: it tells nothing.
      is_failure = not attempt.is_abandoned or seen.is_stalled(now)
      self._end(attempt, Outcome.UNKNOWN, error=error)
      if is_failure:
        seen.record_failure(now)
      return
    reply = self._protocol.decode_response(done.result())
    if reply.not_run:
      self._end(attempt, Outcome.NOT_RUN, reply=reply)
      if reply.is_misdirected:
        attempt.upstream.is_replaced = True
      else:
        seen.record_refusal(now)
    elif 200 <= reply.status < 300 and reply.seal:
      self._end(attempt, Outcome.SERVED, reply=reply)
      seen.record_response(now - attempt.started_at, now)
    else:
      self._end(attempt, Outcome.FAILED, reply=reply)
      if reply.status >= 500:
        seen.record_failure(now)

  def _end(
    self,
    attempt: Attempt,
    ending: Outcome,
    reply: model.UpstreamResponse | None = None,
    error: exceptions.BronzefoldError | None = None,
  ) -> None:
    attempt.outcome = ending
    attempt.response = reply
    attempt.error = error
    attempt.upstream.health.in_flight.pop(attempt.number, None)
