"""Sends requests to upstreams through the nodes that own them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

import anyio
import attrs
from expression import Error
from expression import Ok
from expression import Result

from bronzefold import peers
from bronzefold import upstreams
from bronzefold.core import clock
from bronzefold.core import exceptions
from bronzefold.node import directory
from bronzefold.peers import messages


@attrs.frozen
class UpstreamReply:
  """A reply of an upstream.

  Attributes:
    instance: Id of the upstream's instance.
    status: HTTP status.
    body: Body of the reply.
    took_s: Time from sending the request to receiving the whole reply.
  """

  instance: str
  status: int
  body: bytes
  took_s: clock.Seconds


Outcome = Result[UpstreamReply, exceptions.BronzefoldError]


@attrs.frozen
class UpstreamRequest:
  """A request to one upstream.

  Attributes:
    exchange_id: Id of the exchange.
    upstream: Name of the upstream.
    path: Path of the URL.
    body: Body of the request, JSON.
    deadline: Monotonic time of the deadline, in seconds.
    priority: Requests with a lower number run first.
    key: Idempotency key of an action; empty for a search.
  """

  exchange_id: str
  upstream: str
  path: str
  body: bytes
  deadline: clock.Seconds
  priority: int
  key: str = ""


class _Executors(Protocol):
  def get_executor(self, upstream: str) -> upstreams.UpstreamExecutor | None:
    """Returns the executor of an upstream, None if not owned here."""

  def list_executors(self) -> Iterable[upstreams.UpstreamExecutor]:
    """Lists the executors of all upstreams that this node owns."""


class Dispatcher:
  """Sends requests to upstreams and runs requests that peers send.

  A request to an upstream that another node owns goes to that node.
  """

  def __init__(
    self,
    node_name: str,
    upstream_directory: directory.UpstreamDirectory,
    network: peers.PeerNetwork,
    executors: _Executors,
  ) -> None:
    """Creates a dispatcher.

    Args:
      node_name: Name of this node.
      upstream_directory: Reports of upstreams, which name their owners.
      network: Links to the other nodes.
      executors: Executors of the upstreams that this node owns.
    """
    self._node_name = node_name
    self._upstream_directory = upstream_directory
    self._network = network
    self._executors = executors

  async def send(self, request: UpstreamRequest, now: clock.Seconds) -> Outcome:
    """Sends a request and waits for its outcome until its deadline.

    Args:
      request: The request.
      now: Monotonic time, in seconds.

    Returns:
      The reply, or an error. The error is a ``NotRunError`` only if the
      request certainly did not run.
    """
    report = self._upstream_directory.get_report(request.upstream)
    if report is None:
      return Error(exceptions.NoUpstreamError(request.upstream))
    budget_s = request.deadline - now
    if budget_s <= 0:
      return Error(exceptions.DeadlineExpiredError(request.exchange_id))
    self._upstream_directory.outstanding[request.upstream] += 1
    try:
      if report.owner == self._node_name:
        return await self._run_on_executor(request)
      return await self._forward_to_owner(report.owner, request, budget_s)
    finally:
      self._upstream_directory.outstanding[request.upstream] -= 1

  async def run_peer_call(self, sender: str, call: messages.Call) -> None:
    """Runs a call of another node and sends the outcome back to it.

    Args:
      sender: Name of the node that sent the call.
      call: The call.
    """
    now = clock.read_monotonic()
    request = UpstreamRequest(
      exchange_id=call.request,
      upstream=call.upstream,
      path=call.path,
      body=call.body,
      deadline=now + call.budget_s,
      priority=call.priority,
      key=call.key,
    )
    outcome = await self._run_on_executor(request)
    executor = self._executors.get_executor(call.upstream)
    queued = executor.count_pending() if executor else 0
    self._network.send(sender, _make_call_reply(call.request, outcome, queued))

  def cancel_peer_call(self, exchange_id: str) -> None:
    """Cancels a call of another node.

    Args:
      exchange_id: Id of the exchange that the call started.
    """
    for executor in self._executors.list_executors():
      executor.cancel(exchange_id)

  async def _run_on_executor(self, request: UpstreamRequest) -> Outcome:
    executor = self._executors.get_executor(request.upstream)
    if executor is None:
      return Error(exceptions.NotOwnerError(request.upstream))
    job = upstreams.Job(
      exchange=upstreams.Exchange(
        request=request.exchange_id,
        path=request.path,
        body=request.body,
        budget_s=0.0,
        key=request.key,
      ),
      deadline=request.deadline,
      priority=request.priority,
      idempotent=not request.key,
    )
    # The executor itself does not interrupt an action at its deadline.
    left_s = max(0.0, request.deadline - clock.read_monotonic())
    with anyio.move_on_after(left_s) as scope:
      outcome = await executor.submit(job)
    if scope.cancelled_caught:
      return Error(_make_deadline_error(job))
    self._upstream_directory.record_queue_length(
      request.upstream, executor.count_pending(), clock.read_monotonic()
    )
    return outcome.map(
      lambda reply: UpstreamReply(
        reply.instance, reply.status, reply.body, reply.took_s
      )
    )

  async def _forward_to_owner(
    self, owner: str, request: UpstreamRequest, budget_s: clock.Seconds
  ) -> Outcome:
    call = messages.Call(
      request=request.exchange_id,
      upstream=request.upstream,
      path=request.path,
      body=request.body,
      budget_s=budget_s,
      priority=request.priority,
      key=request.key,
    )
    outcome = await self._network.call(owner, call)
    if outcome.is_error():
      return Error(outcome.error)
    reply = outcome.ok
    self._upstream_directory.record_queue_length(
      request.upstream, reply.queued, clock.read_monotonic()
    )
    return Ok(
      UpstreamReply(reply.instance, reply.status, reply.body, reply.took_s)
    )


def _make_call_reply(
  exchange_id: str, outcome: Outcome, queued: int
) -> messages.CallReply:
  if outcome.is_ok():
    reply = outcome.ok
    return messages.CallReply(
      request=exchange_id,
      queued=queued,
      instance=reply.instance,
      status=reply.status,
      body=reply.body,
      took_s=reply.took_s,
    )
  error = outcome.error
  return messages.CallReply(
    request=exchange_id, queued=queued, error=error.code, detail=error.detail
  )


def _make_deadline_error(job: upstreams.Job) -> exceptions.BronzefoldError:
  """Makes the error of a job that was cancelled at its deadline."""
  if job.sent_at is None:
    return exceptions.DeadlineExpiredError(job.exchange.request)
  return exceptions.TimedOutError("the upstream did not reply in time")
