"""The HTTP server towards callers."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib

import uvicorn

_KEEP_ALIVE_S = 30
_BACKLOG = 512
_MAX_HEADER_BYTES = 16 * 1024


class CallerServer(uvicorn.Server):
  """A uvicorn server that leaves signals to the node."""

  @contextlib.contextmanager
  def capture_signals(self) -> Iterator[None]:
    """Captures no signals."""
    yield

  def finish(self) -> None:
    """Stops accepting; requests in progress are answered first."""
    self.should_exit = True


def make_server(application: object, address: str) -> CallerServer:
  """Makes a server.

  Args:
    application: An ASGI application.
    address: IP:port to listen on.

  Returns:
    The server; its ``serve`` runs it.
  """
  host, _, port = address.partition(":")
  config = uvicorn.Config(
    application,
    host=host,
    port=int(port),
    log_config=None,
    access_log=False,
    http="httptools",
    lifespan="off",
    timeout_keep_alive=_KEEP_ALIVE_S,
    backlog=_BACKLOG,
    h11_max_incomplete_event_size=_MAX_HEADER_BYTES,
    server_header=False,
  )
  return CallerServer(config)
