"""Connections of callers, whose round-trip time the kernel measures."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import socket
import struct

from bronzefold.core import callerconnections
from bronzefold.core import memory
from bronzefold.core.clock import Seconds
from bronzefold.gateway import model

# ``tcpi_rtt`` of ``struct tcp_info`` in linux/tcp.h, in microseconds.
_ROUND_TRIP_FIELD = struct.Struct("@I")
_ROUND_TRIP_OFFSET = 68

ROUND_TRIP_KEY = "round_trip_s"  # in the state of each request's ASGI scope


def make_connection_class(
  get_limits: Callable[[], model.CallerLimits],
  max_connections: Mapping[int, int],
  budget: memory.MemoryBudget,
) -> type[asyncio.Protocol]:
  """Makes the connection class for uvicorn's HTTP server.

  Args:
    get_limits: Returns the limits in force.
    max_connections: Number of open connections on a port from which on further
      ones on that port are reset, by port.
    budget: The memory of all messages of this process.

  Returns:
    The class, for uvicorn's option ``http``.
  """
  limited_class = callerconnections.make_connection_class(
    get_limits, max_connections, budget
  )

  class MeasuredConnection(limited_class):
    def connection_made(self, transport: asyncio.Transport) -> None:
      super().connection_made(transport)
      round_trip_s = read_round_trip(transport.get_extra_info("socket"))
      self.app_state = {**self.app_state, ROUND_TRIP_KEY: round_trip_s}

  return MeasuredConnection


def read_round_trip(connection: socket.socket | None) -> Seconds:
  """Returns the round-trip time that the kernel measured on a connection.

  Args:
    connection: A TCP socket; None for a transport without one.

  Returns:
    The time in seconds; 0 where the kernel does not tell it.
  """
  option = getattr(socket, "TCP_INFO", None)
  if connection is None or option is None:
    return 0.0
  size = _ROUND_TRIP_OFFSET + _ROUND_TRIP_FIELD.size
  try:
    info = connection.getsockopt(socket.IPPROTO_TCP, option, size)
  except OSError:
    return 0.0
  if len(info) < size:
    return 0.0
  (round_trip_us,) = _ROUND_TRIP_FIELD.unpack_from(info, _ROUND_TRIP_OFFSET)
  return round_trip_us / 1e6
