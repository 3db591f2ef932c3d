"""HTTP server for callers."""

from __future__ import annotations

import asyncio
import collections
import functools
import itertools
import resource
from typing import Any

import anyio
import attrs
import uvicorn

from bronzefold.core import callerconnections
from bronzefold.core import listeners
from bronzefold.core import memory
from bronzefold.core import servers
from bronzefold.core.clock import Seconds

_KEEP_ALIVE_S = 30
_BACKLOG = 512
# The rest is for the store, upstreams and other nodes.
_CALLER_DESCRIPTORS_SHARE = 0.6


class CallerServer(servers.GracefulServer):
  """An HTTP server that opens its own listening socket.

  Attributes:
    ended: Event that is set once the server has stopped.
  """

  def __init__(self, config: uvicorn.Config, address: str) -> None:
    """Creates a server.

    Args:
      config: Configuration of the server.
      address: IP:port to listen on.
    """
    super().__init__(config)
    self.ended = anyio.Event()
    self._address = address

  async def listen(self) -> None:
    """Listens and serves requests until the server stops."""
    listener = await listeners.open_when_free(
      self._address, functools.partial(listeners.open_socket, backlog=_BACKLOG)
    )
    try:
      await self.serve(sockets=[listener])
    finally:
      self.ended.set()


@attrs.frozen
class _ConnectionLimits:
  """What a caller may send on a connection; no ordinary caller meets it."""

  max_head_bytes: int = 16 * 1024
  head_timeout_s: Seconds = 10.0
  idle_timeout_s: Seconds = 30.0


_CONNECTION_LIMITS = _ConnectionLimits()


class _CountedConnection(callerconnections.CallerConnection):
  """A caller's connection that may be closed while it has no request.

  Class attributes, set by ``make_connection_class``:
    budget: Memory of the messages of callers.
    max_connections: Most open connections.
    silent: Connections without a request so far, the oldest first.
    idle: Connections that have responded, the longest idle first.
  """

  budget: memory.MemoryBudget
  max_connections: int
  silent: dict[_CountedConnection, None]
  idle: dict[_CountedConnection, None]

  def get_limits(self) -> callerconnections.ConnectionLimits:
    """Returns the limits, which are the same for all nodes."""
    return _CONNECTION_LIMITS

  def get_max_connections(self, port: int) -> int:
    """Returns how many connections the setting and the process permit."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
      return self.max_connections
    share = int(_CALLER_DESCRIPTORS_SHARE * soft_limit)
    return min(self.max_connections, share)

  def get_budget(self) -> memory.MemoryBudget:
    """Returns the memory of the messages of callers."""
    return self.budget

  def make_room(self) -> bool:
    """Closes the connection that is needed least; False if all are needed."""
    candidates = itertools.chain(self.silent, self.idle)
    other = next((other for other in candidates if other.is_unused()), None)
    if other is None:
      return False
    other._leave_lists()
    other.transport.close()
    return True

  def connection_made(self, transport: asyncio.Transport) -> None:
    """Closes another connection, or this one, if too many are open."""
    super().connection_made(transport)
    if not transport.is_closing():
      self.silent[self] = None

  def connection_lost(self, exc: Exception | None) -> None:
    """Forgets the connection."""
    self._leave_lists()
    super().connection_lost(exc)

  def on_headers_complete(self) -> None:
    """Keeps the connection open for its request."""
    self._leave_lists()
    super().on_headers_complete()

  def on_response_complete(self) -> None:
    """Allows that the connection is closed while it is unused."""
    self._leave_lists()
    self.idle[self] = None
    super().on_response_complete()  # may begin the next request

  def _leave_lists(self) -> None:
    self.silent.pop(self, None)
    self.idle.pop(self, None)


def make_connection_class(
  budget: memory.MemoryBudget, max_connections: int
) -> type[asyncio.Protocol]:
  """Makes the class of callers' connections for uvicorn's HTTP server.

  Args:
    budget: Memory of the messages of callers.
    max_connections: Most open connections of callers.

  Returns:
    The class, for uvicorn's option ``http``.
  """
  attributes: dict[str, Any] = {
    "open_counts": collections.Counter(),
    "budget": budget,
    "max_connections": max_connections,
    "silent": {},
    "idle": {},
  }
  return type("CallerConnection", (_CountedConnection,), attributes)


def make_server(
  application: object,
  address: str,
  budget: memory.MemoryBudget,
  max_connections: int,
) -> CallerServer:
  """Creates a server for an application.

  Args:
    application: An ASGI application.
    address: IP:port to listen on.
    budget: Memory of the messages of callers.
    max_connections: Most open connections of callers.

  Returns:
    The server, not started; ``listen`` runs it.
  """
  config = uvicorn.Config(
    application,
    log_config=None,
    access_log=False,
    http=make_connection_class(budget, max_connections),
    lifespan="off",
    timeout_keep_alive=_KEEP_ALIVE_S,
    backlog=_BACKLOG,
    server_header=False,
  )
  return CallerServer(config, address)
