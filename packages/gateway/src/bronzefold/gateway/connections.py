"""Connections of callers, with the operators' limits on what they may send."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
from typing import Any

from uvicorn.protocols.http import httptools_impl

from bronzefold.core import events
from bronzefold.gateway import model

_logger = logging.getLogger(__name__)

_REFUSALS = {
  408: b"HTTP/1.1 408 Request Timeout",
  431: b"HTTP/1.1 431 Request Header Fields Too Large",
}
_REFUSAL_END = b"\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"


def make_connection_class(
  get_limits: Callable[[], model.CallerLimits],
) -> type[asyncio.Protocol]:
  """Makes the class of connections for an HTTP server of uvicorn.

  Args:
    get_limits: Returns the limits in force.
  """

  class CallerConnection(_CallerConnection):
    def get_limits(self) -> model.CallerLimits:
      return get_limits()

  return CallerConnection


class _CallerConnection(httptools_impl.HttpToolsProtocol):
  """Ends a request whose head takes too long or is too large.

  The application, which judges whole requests, never sees such a one. A
  connection on which nothing is sent is closed like one that falls idle.
  """

  def __init__(self, *args: Any, **options: Any) -> None:
    super().__init__(*args, **options)
    self._is_in_head = False
    self._head_bytes = 0
    self._head_timer: asyncio.TimerHandle | None = None

  def get_limits(self) -> model.CallerLimits:
    """Returns the limits in force."""
    raise NotImplementedError

  def connection_made(self, transport: asyncio.Transport) -> None:
    """Starts to count the time in which nothing is sent."""
    super().connection_made(transport)
    self.timeout_keep_alive_task = self.loop.call_later(
      self.timeout_keep_alive, self.timeout_keep_alive_handler
    )

  def connection_lost(self, exc: Exception | None) -> None:
    """Ends the timer."""
    self._stop_timer()
    super().connection_lost(exc)

  def data_received(self, data: bytes) -> None:
    """Reads bytes; most heads come in one piece and need no timer."""
    super().data_received(data)
    if not self._is_in_head or self.transport.is_closing():
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
    """Notes that a head begins."""
    super().on_message_begin()
    self._is_in_head = True
    self._head_bytes = 0

  def on_headers_complete(self) -> None:
    """Notes that the head is whole."""
    self._is_in_head = False
    self._stop_timer()
    super().on_headers_complete()

  def _refuse(self, status: int) -> None:
    """Refuses the request, unless answers to earlier ones are still due."""
    self._stop_timer()
    if self.transport.is_closing():
      return
    events.REQUEST_REFUSED.log(
      _logger,
      status=status,
      outcome="head_too_slow" if status == 408 else "head_too_large",
      read_bytes=self._head_bytes,
    )
    if self.cycle is None or self.cycle.response_complete:
      self.transport.write(_REFUSALS[status] + _REFUSAL_END)
    self.transport.close()

  def _stop_timer(self) -> None:
    if self._head_timer is not None:
      self._head_timer.cancel()
      self._head_timer = None
