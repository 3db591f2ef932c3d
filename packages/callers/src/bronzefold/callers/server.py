"""HTTP server for callers."""

from __future__ import annotations

import functools

import anyio
import uvicorn

from bronzefold.core import listeners
from bronzefold.core import servers

_KEEP_ALIVE_S = 30
_BACKLOG = 512
_MAX_HEADER_BYTES = 16 * 1024


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


def make_server(application: object, address: str) -> CallerServer:
  """Creates a server for an application.

  Args:
    application: An ASGI application.
    address: IP:port to listen on.

  Returns:
    The server, not started; ``listen`` runs it.
  """
  config = uvicorn.Config(
    application,
    log_config=None,
    access_log=False,
    http="httptools",
    lifespan="off",
    timeout_keep_alive=_KEEP_ALIVE_S,
    backlog=_BACKLOG,
    h11_max_incomplete_event_size=_MAX_HEADER_BYTES,
    server_header=False,
  )
  return CallerServer(config, address)
