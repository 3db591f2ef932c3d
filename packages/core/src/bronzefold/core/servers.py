"""An HTTP server that answers all connected callers before it stops."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import socket

import uvicorn

from bronzefold.core import clock
from bronzefold.core import events
from bronzefold.core.clock import Seconds

FIRST_REQUEST_WAIT_S = 0.5  # a twelfth of the gateway's stop limit of 6 s
_POLL_PERIOD_S = 0.02  # 25 polls within FIRST_REQUEST_WAIT_S

_logger = logging.getLogger(__name__)


class GracefulServer(uvicorn.Server):
  """A uvicorn server that leaves signals to the program.

  On shutdown the server accepts the connections that are waiting in the
  listening socket's backlog, and gives connections on which no request has
  arrived ``FIRST_REQUEST_WAIT_S`` to send one. uvicorn resets both kinds.
  """

  def __init__(self, config: uvicorn.Config) -> None:
    """Creates a server; ``serve`` runs it.

    Args:
      config: Its configuration.
    """
    super().__init__(config)
    self._cut_at: Seconds | None = None

  def capture_signals(self) -> contextlib.AbstractContextManager[None]:
    """Overrides uvicorn's signal handling; captures no signals."""
    return contextlib.nullcontext()

  def request_shutdown(self, cut_at: Seconds | None = None) -> None:
    """Makes the server shut down after answering requests in progress.

    Args:
      cut_at: Monotonic time at which requests in progress are cut; None to wait
        as long as the configuration of the server says.
    """
    self._cut_at = cut_at
    self.should_exit = True

  async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
    """Shuts the server down.

    Args:
      sockets: The listening sockets that ``serve`` was given.
    """
    accepted = [
      connection
      for listener in sockets or ()
      for connection in _accept_waiting(listener)
    ]
    for server in self.servers:
      server.close()
    loop = asyncio.get_running_loop()
    for connection in accepted:
      await loop.connect_accepted_socket(self._make_protocol, connection)
    until = loop.time() + FIRST_REQUEST_WAIT_S
    while self._has_connection_without_request() and loop.time() < until:
      await asyncio.sleep(_POLL_PERIOD_S)
    if self._cut_at is not None:
      left_s = max(0.0, self._cut_at - clock.read_monotonic())
      self.config.timeout_graceful_shutdown = left_s
    await super().shutdown(sockets)

  async def add_listener(self, listener: socket.socket) -> None:
    """Serves connections to another listening socket, once it has started.

    Args:
      listener: The socket; it is closed on shutdown.
    """
    while not self.started:
      await asyncio.sleep(_POLL_PERIOD_S)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(self._make_protocol, sock=listener)
    self.servers.append(server)

  def _has_connection_without_request(self) -> bool:
    """True while a connection has not received its first request."""
    return any(
      connection.cycle is None for connection in self.server_state.connections
    )

  def _make_protocol(self) -> asyncio.Protocol:
    return self.config.http_protocol_class(
      config=self.config,
      server_state=self.server_state,
      app_state=self.lifespan.state,
    )


def _accept_waiting(listener: socket.socket) -> list[socket.socket]:
  """Accepts all waiting connections and stops listening at once."""
  accepted = []
  listener.setblocking(False)
  while True:
    try:
      connection, _ = listener.accept()
    except BlockingIOError:
      break
    except OSError as error:
      events.ACCEPT_FAILED.log(_logger, reason=str(error))
      if error.errno == errno.ECONNABORTED:
        continue  # that caller disconnected; more may be waiting
      break
    connection.setblocking(False)
    accepted.append(connection)
  # The socket is closed only one loop iteration later. Without this call,
  # connections that arrive until then would be reset.
  try:
    listener.shutdown(socket.SHUT_RDWR)
  except OSError as error:
    # Some systems do not support the shutdown of a listening socket.
    events.ACCEPT_FAILED.log(_logger, reason=str(error))
  return accepted
