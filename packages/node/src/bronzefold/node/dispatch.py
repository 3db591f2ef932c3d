"""Way of a request to its upstream: through the node that owns it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

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
    instance: The upstream's instance.
    status: HTTP status.
    body: Body.
    took_s: Time from sending to the whole reply.
  """

  instance: str
  status: int
  body: bytes
  took_s: clock.Seconds


Outcome = Result[UpstreamReply, exceptions.BronzefoldError]


@attrs.frozen
class UpstreamRequest:
  """A request for one upstream.

  Attributes:
    request: Id of the exchange.
    upstream: Name of the upstream.
    path: Path of the URL.
    body: Body, JSON.
    deadline: Monotonic time of the deadline.
    priority: Requests of a lower number run first.
    key: Idempotency key, empty for a search.
  """

  request: str
  upstream: str
  path: str
  body: bytes
  deadline: clock.Seconds
  priority: int
  key: str = ""


class _Holders(Protocol):
  def get_executor(self, upstream: str) -> upstreams.UpstreamExecutor | None:
    """Returns the holder of an upstream that this node owns."""

  def list_executors(self) -> Iterable[upstreams.UpstreamExecutor]:
    """Lists the holders of all upstreams that this node owns."""


class Dispatcher:
  """Sends requests to the owners of upstreams, and runs those of peers."""

  def __init__(
    self,
    own_name: str,
    known: directory.UpstreamDirectory,
    network: peers.PeerNetwork,
    holders: _Holders,
  ) -> None:
    """Creates a dispatcher.

    Args:
      own_name: Name of this node.
      known: Reports of upstreams, which name their owners.
      network: Links to the other nodes.
      holders: The upstreams that this node owns.
    """
    self._own_name = own_name
    self._known = known
    self._network = network
    self._holders = holders

  async def send(
    self, dispatch: UpstreamRequest, now: clock.Seconds
  ) -> Outcome:
    """Sends a request and waits for the outcome, at most to its deadline.

    Args:
      dispatch: The request.
      now: The monotonic time.

    Returns:
      The reply, or an error. It is a ``NotRunError`` only when the request
      certainly did not run.
    """
    report = self._known.get_report(dispatch.upstream)
    if report is None:
      return Error(exceptions.NoUpstreamError(dispatch.upstream))
    budget_s = dispatch.deadline - now
    if budget_s <= 0:
      return Error(exceptions.DeadlineExpiredError(dispatch.request))
    self._known.outstanding[dispatch.upstream] += 1
    try:
      if report.owner == self._own_name:
        return await self._run_here(dispatch)
      return await self._run_at(report.owner, dispatch, budget_s)
    finally:
      self._known.outstanding[dispatch.upstream] -= 1

  async def run_peer_call(self, sender: str, call: messages.Call) -> None:
    """Runs the call of another node and sends it the outcome."""
    now = clock.read_monotonic()
    dispatch = UpstreamRequest(
      request=call.request,
      upstream=call.upstream,
      path=call.path,
      body=call.body,
      deadline=now + call.budget_s,
      priority=call.priority,
      key=call.key,
    )
    outcome = await self._run_here(dispatch)
    holder = self._holders.get_executor(call.upstream)
    queued = holder.get_queued() if holder else 0
    self._network.send(sender, _make_reply(call.request, outcome, queued))

  def cancel_peer_call(self, upstream_request: str) -> None:
    """Cancels the call of another node."""
    for holder in self._holders.list_executors():
      holder.cancel(upstream_request)

  async def _run_here(self, dispatch: UpstreamRequest) -> Outcome:
    holder = self._holders.get_executor(dispatch.upstream)
    if holder is None:
      return Error(exceptions.NotOwnerError(dispatch.upstream))
    job = upstreams.Job(
      exchange=upstreams.Exchange(
        request=dispatch.request,
        path=dispatch.path,
        body=dispatch.body,
        budget_s=0.0,
        key=dispatch.key,
      ),
      deadline=dispatch.deadline,
      priority=dispatch.priority,
      idempotent=not dispatch.key,
    )
    outcome = await holder.submit(job)
    self._known.record_queued(
      dispatch.upstream, holder.get_queued(), clock.read_monotonic()
    )
    return outcome.map(
      lambda reply: UpstreamReply(
        reply.instance, reply.status, reply.body, reply.took_s
      )
    )

  async def _run_at(
    self, owner: str, dispatch: UpstreamRequest, budget_s: clock.Seconds
  ) -> Outcome:
    call = messages.Call(
      request=dispatch.request,
      upstream=dispatch.upstream,
      path=dispatch.path,
      body=dispatch.body,
      budget_s=budget_s,
      priority=dispatch.priority,
      key=dispatch.key,
    )
    outcome = await self._network.call(owner, call)
    if outcome.is_error():
      return Error(outcome.error)
    reply = outcome.ok
    self._known.record_queued(
      dispatch.upstream, reply.queued, clock.read_monotonic()
    )
    return Ok(
      UpstreamReply(reply.instance, reply.status, reply.body, reply.took_s)
    )


def _make_reply(
  request: str, outcome: Outcome, queued: int
) -> messages.CallReply:
  if outcome.is_ok():
    delivered = outcome.ok
    return messages.CallReply(
      request=request,
      queued=queued,
      instance=delivered.instance,
      status=delivered.status,
      body=delivered.body,
      took_s=delivered.took_s,
    )
  error = outcome.error
  return messages.CallReply(
    request=request, queued=queued, error=error.code, detail=error.detail
  )
