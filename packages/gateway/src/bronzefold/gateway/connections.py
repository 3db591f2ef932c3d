"""Caller connections that enforce the operators' limits on request heads."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
import socket
import struct
from typing import Any

from uvicorn.protocols.http import httptools_impl

from bronzefold.core import events
from bronzefold.core.clock import Seconds
from bronzefold.gateway import model

_logger = logging.getLogger(__name__)

_REFUSAL_STATUS_LINES = {
  408: b"HTTP/1.1 408 Request Timeout",
  431: b"HTTP/1.1 431 Request Header Fields Too Large",
}
# ``tcpi_rtt`` of ``struct tcp_info`` in linux/tcp.h, in microseconds.
_ROUND_TRIP_FIELD = struct.Struct("@I")
_ROUND_TRIP_OFFSET = 68

ROUND_TRIP_KEY = "round_trip_s"  # in the state of each request's ASGI scope

_REFUSAL_HEADERS = b"\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"


def make_connection_class(
  get_limits: Callable[[], model.CallerLimits],
  request_port: int,
  max_connections: int,
) -> type[asyncio.Protocol]:
  """Makes the connection class for uvicorn's HTTP server.

  Args:
    get_limits: Returns the limits in force.
    request_port: Port on which callers connect; probes and lookups have others.
    max_connections: Number of open connections from which on further ones on
      that port are reset.

  Returns:
    The class, for uvicorn's option ``http``.
  """

  class CallerConnection(_LimitedConnection):
    def get_limits(self) -> model.CallerLimits:
      return get_limits()

    def is_excessive(self) -> bool:
      port = self.transport.get_extra_info("sockname")[1]
      return port == request_port and len(self.connections) > max_connections

  return CallerConnection


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


class _LimitedConnection(httptools_impl.HttpToolsProtocol):
  """Refuses requests whose head takes too long or is too large.

  A request whose incomplete head breaks a limit never reaches the application.
  A head that is complete when it is checked is left to ``Gateway``. A
  connection on which the caller sends nothing is closed like one that becomes
  idle, and one on which it reads nothing of a response is aborted.
  """

  def __init__(self, *args: Any, **options: Any) -> None:
    super().__init__(*args, **options)
    self._is_reading_head = False
    self._head_bytes = 0
    self._head_timer: asyncio.TimerHandle | None = None
    self._reading_timer: asyncio.TimerHandle | None = None

  def get_limits(self) -> model.CallerLimits:
    """Returns the limits in force."""
    raise NotImplementedError

  def is_excessive(self) -> bool:
    """Returns whether descriptors are kept for other uses than this one."""
    raise NotImplementedError

  def connection_made(self, transport: asyncio.Transport) -> None:
    """Measures the round-trip time and starts the idle timer."""
    super().connection_made(transport)
    if self.is_excessive():
      events.CONNECTION_REFUSED.log(_logger, open=len(self.connections))
      transport.abort()
      return
    round_trip_s = read_round_trip(transport.get_extra_info("socket"))
    self.app_state = {**self.app_state, ROUND_TRIP_KEY: round_trip_s}
    self.timeout_keep_alive_task = self.loop.call_later(
      self.timeout_keep_alive, self.timeout_keep_alive_handler
    )

  def connection_lost(self, exc: Exception | None) -> None:
    """Stops the timers."""
    self._stop_head_timer()
    self._stop_reading_timer()
    super().connection_lost(exc)

  def pause_writing(self) -> None:
    """Starts to check whether the caller reads its response."""
    super().pause_writing()
    self._await_reading(self.transport.get_write_buffer_size())

  def resume_writing(self) -> None:
    """Stops the check; the caller has read most of its response."""
    self._stop_reading_timer()
    super().resume_writing()

  def _await_reading(self, unread_bytes: int) -> None:
    self._reading_timer = self.loop.call_later(
      self.get_limits().idle_timeout_s, self._check_reading, unread_bytes
    )

  def _check_reading(self, unread_bytes: int) -> None:
    """Aborts the connection if the caller has read nothing for a while."""
    left_bytes = self.transport.get_write_buffer_size()
    if left_bytes >= unread_bytes:
      events.RESPONSE_NOT_READ.log(_logger, unread_bytes=left_bytes)
      self.transport.abort()
    else:
      self._await_reading(left_bytes)

  def _stop_reading_timer(self) -> None:
    if self._reading_timer is not None:
      self._reading_timer.cancel()
      self._reading_timer = None

  def data_received(self, data: bytes) -> None:
    """Parses received bytes and checks the limits on an incomplete head.

    Most heads arrive in one piece and need no timer.
    """
    super().data_received(data)
    if not self._is_reading_head or self.transport.is_closing():
      return
    limits = self.get_limits()
    self._head_bytes += len(data)
    if self._head_bytes > limits.max_head_bytes:
      self._refuse(431)
    elif self._head_timer is None:
      self._head_timer = self.loop.call_later(
        limits.head_timeout_s, self._refuse, 408
      )

  def on_message_begin(self) -> None:
    """Starts the checks of a head."""
    super().on_message_begin()
    self._is_reading_head = True
    self._head_bytes = 0

  def on_headers_complete(self) -> None:
    """Stops the checks of the head, which is complete."""
    self._is_reading_head = False
    self._stop_head_timer()
    super().on_headers_complete()

  def _refuse(self, status: int) -> None:
    """Closes the connection, with a response if that is possible.

    No response is sent while responses to earlier requests are pending.

    Args:
      status: HTTP status of the response, 408 or 431.
    """
    self._stop_head_timer()
    if self.transport.is_closing():
      return
    events.REQUEST_REFUSED.log(
      _logger,
      status=status,
      outcome="head_too_slow" if status == 408 else "head_too_large",
      read_bytes=self._head_bytes,
    )
    if self.cycle is None or self.cycle.response_complete:
      self.transport.write(_REFUSAL_STATUS_LINES[status] + _REFUSAL_HEADERS)
    self.transport.close()

  def _stop_head_timer(self) -> None:
    if self._head_timer is not None:
      self._head_timer.cancel()
      self._head_timer = None
