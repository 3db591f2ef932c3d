"""Requests that a node which reaches no upstream has served by another node.

Answers callers that still come to such a node, since they keep addresses for
some seconds.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import logging
import random
import uuid

import anyio
import attrs
from expression import Result

from bronzefold import peers
from bronzefold.core import clock
from bronzefold.core import events
from bronzefold.core import exceptions
from bronzefold.core.clock import Seconds
from bronzefold.gateway import model
from bronzefold.gateway import topology
from bronzefold.peers import membership
from bronzefold.peers import messages

_logger = logging.getLogger(__name__)

MAX_REFUSALS = 4  # each costs a round trip between nodes
MIN_LEFT_S = 0.005  # a few round trips between nodes
UNREACHABLE = "unreachable"  # outcome of a request that a node cannot serve


@messages.register_call("relayed_request")
@attrs.frozen
class RelayedRequest:
  """Request to another node to serve a caller's request.

  Attributes:
    request: Id of the call.
    budget_s: Time until the response is due, in seconds.
    max_attempts: Number of upstreams on which it may run, for each shard.
    version: Version of the configuration that is in force on the sender.
    content: The caller's request; its times are those of the sender.
  """

  request: str
  budget_s: Seconds
  max_attempts: int
  version: int
  content: model.Request


@messages.register_reply("relayed_response")
@attrs.frozen
class RelayedResponse:
  """Response to a ``RelayedRequest``.

  Attributes:
    request: Id of the call.
    response: The response for the caller.
    error: Always empty; errors are responses.
    detail: Always empty.
  """

  request: str
  response: model.Response
  error: str = ""
  detail: str = ""


class Relay:
  """Has requests served by other nodes, and serves those of other nodes.

  Attributes:
    in_progress: Number of requests of other nodes in progress.
  """

  def __init__(
    self,
    members: membership.Membership,
    network: peers.PeerNetwork,
    get_topology: Callable[[], topology.Topology],
    serve: Callable[[RelayedRequest], Awaitable[model.Response]],
  ) -> None:
    """Creates a relay.

    Args:
      members: The nodes of the fleet.
      network: Connections to the other nodes.
      get_topology: Returns the current topology.
      serve: Serves a request of another node on this one.
    """
    self._members = members
    self._network = network
    self._get_topology = get_topology
    self._serve = serve
    self._scopes: dict[str, anyio.CancelScope] = {}

  @property
  def in_progress(self) -> int:
    """Number of requests of other nodes in progress."""
    return len(self._scopes)

  def list_targets(self, now: Seconds) -> list[str]:
    """Lists the neighbours that reach upstreams, those of this zone first.

    Args:
      now: Monotonic time.
    """
    linked = {member.node for member in self._get_topology().neighbours}
    zone = self._members.own_member.zone
    useful = [
      member
      for member in self._members.list_serving(now)
      if member.reaches_upstreams and member.node in linked
    ]
    random.shuffle(useful)
    useful.sort(key=lambda member: member.zone != zone)
    return [member.node for member in useful]

  async def send(
    self,
    request: model.Request,
    max_attempts: int,
    version: int,
    deadline: Seconds,
  ) -> model.Response | None:
    """Has a request served by another node.

    Nodes that refuse it since they cannot serve it either are followed by
    others; one that may have run it is not.

    Args:
      request: The caller's request.
      max_attempts: Number of upstreams on which it may run, for each shard.
      version: Version of the configuration in force; no node serves it by an
        older one.
      deadline: Monotonic time at which the response is due.

    Returns:
      The response of the other node; 502 if it may have run the request and
      its response was lost. None if no node ran it.
    """
    targets = self.list_targets(clock.read_monotonic())
    for node in targets[:MAX_REFUSALS]:
      left_s = deadline - clock.read_monotonic()
      if left_s < MIN_LEFT_S:
        break
      call = RelayedRequest(
        uuid.uuid4().hex, left_s, max_attempts, version, request
      )
      response = read_outcome(await self._network.call(node, call))
      events.REQUEST_RELAYED.log(
        _logger,
        request=request.id.decode("latin-1"),
        member=node,
        outcome=response.outcome,
      )
      if response.outcome != UNREACHABLE:
        return response
    return None

  async def handle_request(
    self, sender: str, message: RelayedRequest, now: Seconds
  ) -> None:
    """Serves a request of another node and sends the response to it."""
    content = attrs.evolve(
      message.content, received_at=now, timeout_s=message.budget_s
    )
    with anyio.CancelScope() as scope:
      self._scopes[message.request] = scope
      try:
        response = await self._serve(attrs.evolve(message, content=content))
      finally:
        del self._scopes[message.request]
      self._network.send(sender, RelayedResponse(message.request, response))

  def cancel(self, request: str) -> None:
    """Cancels a request of another node, whose caller has left."""
    scope = self._scopes.get(request)
    if scope is not None:
      scope.cancel()


def read_outcome(
  outcome: Result[RelayedResponse, exceptions.BronzefoldError],
) -> model.Response:
  """Returns the response for the caller, also if none arrived."""
  if outcome.is_ok():
    response = outcome.ok.response
    is_success = 200 <= response.status < 300
    if is_success and not response.seal and not response.seals:
      return model.Response(502, outcome="answer_lost")
    return response
  if isinstance(outcome.error, exceptions.NotRunError):
    return model.Response(503, outcome=UNREACHABLE)
  return model.Response(502, outcome="answer_lost")
