"""An HTTP server that answers whoever was connected when it stopped."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import socket

import uvicorn

from bronzefold.core import events

FIRST_REQUEST_WAIT_S = 0.5  # a twelfth of the 6 s that the users give to stop
_POLL_S = 0.02  # 25 looks in that time

_logger = logging.getLogger(__name__)


class GracefulServer(uvicorn.Server):
  """A uvicorn server that leaves signals to the program.

  When it stops, connections that the system has made and the server has not
  yet taken are taken, and those on which nothing was read yet have
  ``FIRST_REQUEST_S`` for a request; uvicorn resets both.
  """

  def capture_signals(self) -> contextlib.AbstractContextManager[None]:
    """Captures no signals."""
    return contextlib.nullcontext()

  def request_shutdown(self) -> None:
    """Stops accepting; requests in progress are answered first."""
    self.should_exit = True

  async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
    """Stops the server.

    Args:
      sockets: The listening sockets that ``serve`` was given.
    """
    taken = [
      connection
      for listener in sockets or ()
      for connection in _take_waiting(listener)
    ]
    for server in self.servers:
      server.close()
    loop = asyncio.get_running_loop()
    for connection in taken:
      await loop.connect_accepted_socket(self._make_protocol, connection)
    until = loop.time() + FIRST_REQUEST_WAIT_S
    while self._has_new() and loop.time() < until:
      await asyncio.sleep(_POLL_S)
    await super().shutdown(sockets)

  def _has_new(self) -> bool:
    """True while a connection has not had its first request."""
    return any(made.cycle is None for made in self.server_state.connections)

  def _make_protocol(self) -> asyncio.Protocol:
    return self.config.http_protocol_class(
      config=self.config,
      server_state=self.server_state,
      app_state=self.lifespan.state,
    )


def _take_waiting(listener: socket.socket) -> list[socket.socket]:
  """Takes all connections that wait, and stops listening at once."""
  taken = []
  listener.setblocking(False)
  while True:
    try:
      connection, _ = listener.accept()
    except BlockingIOError:
      break
    except OSError as error:
      events.ACCEPT_FAILED.log(_logger, reason=str(error))
      if error.errno == errno.ECONNABORTED:
        continue  # its caller has gone; others may follow
      break
    connection.setblocking(False)
    taken.append(connection)
  # Closing comes a turn of the loop later, in which more would be reset.
  try:
    listener.shutdown(socket.SHUT_RDWR)
  except OSError as error:  # not every system knows it for such sockets
    events.ACCEPT_FAILED.log(_logger, reason=str(error))
  return taken
