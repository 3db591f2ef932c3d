"""Requests that a node which reaches no upstream has served by another node.

Answers callers that still come to such a node, since they keep addresses for
some seconds.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import logging
import random
from typing import Protocol
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

# Of nodes that may be cut off too; each costs a round trip between nodes.
MAX_REFUSALS = 4
MIN_LEFT_S = 0.005  # a few round trips between nodes
UNREACHABLE = "unreachable"  # outcome of a request that a node cannot serve
# How long nodes that may lack a configuration are asked after the others.
FOLLOW_S = 0.5


@messages.register_call("relayed_request")
@attrs.frozen
class RelayedRequest:
  """Request to another node to serve a caller's request.

  Attributes:
    request: Id of the call.
    budget_s: Time until the response is due, in seconds.
    max_attempts: Number of upstreams on which it may run, for each shard.
    version: Least version of the configuration by which it may be handled.
    content: The caller's request; its times are those of the sender.
    must_match: True if it may be handled by no newer version either.
  """

  request: str
  budget_s: Seconds
  max_attempts: int
  version: int
  content: model.Request
  must_match: bool = False


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


class Server(Protocol):
  """Serves requests by the configuration of this node."""

  @property
  def least_version(self) -> int:
    """Least version by which requests of this node may be handled."""

  def require_version(self, version: int) -> None:
    """Has no request of this node handled by an older version from now on."""

  async def serve_relayed(self, message: RelayedRequest) -> model.Response:
    """Serves a request of another node on this one."""


class Relay:
  """Has requests served by other nodes, and serves those of other nodes.

  No request of a node is handled by an older configuration than an earlier
  one was. So a node refuses a request if its configuration is newer than the
  sender requires, and handles it once the sender requires that version of all
  its requests.

  Attributes:
    in_progress: Number of requests of other nodes in progress.
  """

  def __init__(
    self,
    members: membership.Membership,
    network: peers.PeerNetwork,
    get_topology: Callable[[], topology.Topology],
    server: Server,
    request_changes: Callable[[str, int], None],
  ) -> None:
    """Creates a relay.

    Args:
      members: The nodes of the fleet.
      network: Connections to the other nodes.
      get_topology: Returns the current topology.
      server: Serves requests of other nodes on this one.
      request_changes: Requests the changes that this node lacks from another
        one; the second argument is the version of the configuration.
    """
    self._members = members
    self._network = network
    self._get_topology = get_topology
    self._server = server
    self._request_changes = request_changes
    self._scopes: dict[str, anyio.CancelScope] = {}
    self._behind_until: dict[str, Seconds] = {}

  @property
  def in_progress(self) -> int:
    """Number of requests of other nodes in progress."""
    return len(self._scopes)

  def list_targets(self, now: Seconds) -> list[str]:
    """Lists the neighbours that reach upstreams, those of this zone first.

    Nodes that may lack the configuration that this node requires come last.

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
    useful.sort(
      key=lambda member: (
        now < self._behind_until.get(member.node, 0.0),
        member.zone != zone,
      )
    )
    return [member.node for member in useful]

  async def send(
    self,
    request: model.Request,
    max_attempts: int,
    deadline: Seconds,
  ) -> model.Response | None:
    """Has a request served by another node.

    Nodes that refuse it since they cannot serve it either are followed by
    others; one that may have run it is not. A node whose configuration differs
    is asked once more: the newer one is then required or has been sent to it.

    Args:
      request: The caller's request.
      max_attempts: Number of upstreams on which it may run, for each shard.
      deadline: Monotonic time at which the response is due.

    Returns:
      The response of the other node; 502 if it may have run the request and
      its response was lost. None if no node ran it.
    """
    refusal_count = 0
    for node in self.list_targets(clock.read_monotonic()):
      response = await self._ask(node, request, max_attempts, deadline)
      if _has_other_version(response):
        self._require_version(node, response.version)
        response = await self._ask(node, request, max_attempts, deadline)
      if response is None:
        break
      if response.outcome != UNREACHABLE:
        return response
      if _has_other_version(response):
        self._put_behind([node])
        continue
      refusal_count += 1
      if refusal_count == MAX_REFUSALS:
        break
    return None

  async def _ask(
    self,
    node: str,
    request: model.Request,
    max_attempts: int,
    deadline: Seconds,
  ) -> model.Response | None:
    """Asks a node to serve a request; returns None if no time is left."""
    left_s = deadline - clock.read_monotonic()
    if left_s < MIN_LEFT_S:
      return None
    call = RelayedRequest(
      uuid.uuid4().hex,
      left_s,
      max_attempts,
      self._server.least_version,
      request,
      must_match=True,
    )
    response = read_outcome(await self._network.call(node, call))
    events.REQUEST_RELAYED.log(
      _logger,
      request=request.id.decode("latin-1"),
      member=node,
      outcome=response.outcome,
      version=response.version,
    )
    return response

  def _require_version(self, node: str, version: int) -> None:
    """Requires the version of another node if it is newer."""
    if version <= self._server.least_version:
      return
    self._server.require_version(version)
    self._request_changes(node, version)
    self._put_behind(member.node for member in self._members.list_others())
    self._behind_until.pop(node, None)

  def _put_behind(self, nodes: Iterable[str]) -> None:
    """Has nodes asked after the others for a while."""
    now = clock.read_monotonic()
    self._behind_until = {
      node: until for node, until in self._behind_until.items() if now < until
    }
    self._behind_until.update(dict.fromkeys(nodes, now + FOLLOW_S))

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
        response = await self._server.serve_relayed(
          attrs.evolve(message, content=content)
        )
      finally:
        del self._scopes[message.request]
      if _has_other_version(response) and response.version < message.version:
        # Before the response, so that the sender's next request finds them.
        self._request_changes(sender, message.version)
      self._network.send(sender, RelayedResponse(message.request, response))

  def cancel(self, request: str) -> None:
    """Cancels a request of another node, whose caller has left."""
    scope = self._scopes.get(request)
    if scope is not None:
      scope.cancel()


def _has_other_version(response: model.Response | None) -> bool:
  """True for a refusal since the configuration is another one."""
  return (
    response is not None
    and response.outcome == UNREACHABLE
    and bool(response.version)
  )


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
