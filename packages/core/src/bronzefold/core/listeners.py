"""Opens listening addresses, and waits for those that are in use."""

from __future__ import annotations

from collections.abc import Callable
import logging
import socket
from typing import TypeVar

import anyio

from bronzefold.core import events
from bronzefold.core.clock import Seconds

# About as often as a node that is waited for can be found ready.
RETRY_DELAY_S: Seconds = 0.1
# Memory of the kernel for what a caller has not read, and for what it has sent;
# a round trip of 1 ms at 1,000 Mbit/s takes as much.
CONNECTION_BUFFER_BYTES = 128 * 1024

_logger = logging.getLogger(__name__)

_Listener = TypeVar("_Listener")


async def open_when_free(
  address: str, open_listener: Callable[[str], _Listener]
) -> _Listener:
  """Opens a listener; waits while its address can't be used.

  The process that had the address before may not have ended yet, and an
  outgoing connection may have its port for a moment.

  Args:
    address: IP:port.
    open_listener: Opens the listener; raises an ``OSError`` if it can't.

  Returns:
    What ``open_listener`` returned.
  """
  was_logged = False
  while True:
    try:
      return open_listener(address)
    except OSError as error:
      if not was_logged:
        events.ADDRESS_IN_USE.log(_logger, address=address, reason=str(error))
        was_logged = True
    await anyio.sleep(RETRY_DELAY_S)


def open_socket(address: str, backlog: int) -> socket.socket:
  """Opens a listening TCP socket.

  Args:
    address: IP:port.
    backlog: Maximum number of connections that wait to be accepted.

  Returns:
    The socket.

  Raises:
    OSError: The address can't be used.
  """
  host, _, port = address.rpartition(":")
  listener = socket.create_server((host, int(port)), backlog=backlog)
  # Accepted connections inherit the size, which the kernel does not raise then.
  for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
    listener.setsockopt(socket.SOL_SOCKET, option, CONNECTION_BUFFER_BYTES)
  return listener
