"""Connections of callers to an HTTP server, and how much each may take up.

Callers need not behave: they send heads, trailers or bodies without end, stop
before the end of a body, or read no responses. uvicorn bounds none of these.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Mapping
import fcntl
import logging
import sys
import termios
from typing import Any
from typing import Protocol

from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from bronzefold.core import events
from bronzefold.core import memory
from bronzefold.core.clock import Seconds

_logger = logging.getLogger(__name__)

# Received bytes are parsed in pieces, so that limits are checked between them.
_PIECE_BYTES = 1024
# Headers and chunks that are parsed in a row, before others get their turn.
_MAX_ELEMENTS_IN_TURN = 1000
# Unread responses beyond this size are counted, and hold back further requests.
_WRITE_BUFFER_BYTES = 8 * 1024
# Objects of a request that waits for the response to an earlier one.
_WAITING_REQUEST_BYTES = 8 * 1024

_STATUS_LINES = {
  408: b"HTTP/1.1 408 Request Timeout",
  431: b"HTTP/1.1 431 Request Header Fields Too Large",
}
_REFUSAL_HEADERS = b"\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"


class ConnectionLimits(Protocol):
  """Limits on what callers may send on a connection.

  Attributes:
    max_head_bytes: Largest head of a request, and the largest trailer, in
      bytes.
    head_timeout_s: How long a caller may take to send a head, in seconds.
    idle_timeout_s: How long nothing of a request's body may arrive, nothing of
      a response may be read, and a connection may be idle, in seconds.
  """

  max_head_bytes: int
  head_timeout_s: Seconds
  idle_timeout_s: Seconds


class _FlowControl(flow_control.FlowControl):
  """Flow control that leaves reading paused while requests are held back.

  Attributes:
    is_held: True while they are.
  """

  def __init__(self, transport: asyncio.Transport) -> None:
    super().__init__(transport)
    self.is_held = False

  def hold(self) -> None:
    """Pauses reading until ``release``."""
    self.is_held = True
    self.pause_reading()

  def release(self) -> None:
    """Resumes reading."""
    self.is_held = False
    self.resume_reading()

  def resume_reading(self) -> None:
    """Resumes reading unless requests are held back."""
    if not self.is_held:
      super().resume_reading()


def make_connection_class(
  get_limits: Callable[[], ConnectionLimits],
  max_connections: Mapping[int, int],
  budget: memory.MemoryBudget,
) -> type[CallerConnection]:
  """Makes the connection class for uvicorn's HTTP server.

  Args:
    get_limits: Returns the limits in force.
    max_connections: Number of open connections on a port from which on further
      ones on that port are reset, by port.
    budget: The memory of all messages of this process.

  Returns:
    The class, for uvicorn's option ``http``.
  """

  class Connection(CallerConnection):
    open_counts: collections.Counter[int] = collections.Counter()

    def get_limits(self) -> ConnectionLimits:
      return get_limits()

    def get_max_connections(self, port: int) -> int:
      return max_connections[port]

    def get_budget(self) -> memory.MemoryBudget:
      return budget

  return Connection


class CallerConnection(httptools_impl.HttpToolsProtocol):
  """A connection that bounds what its caller makes the process keep.

  A request whose head or trailer is too large or whose head or body takes too
  long is refused before it reaches the application as a whole. A head that is
  complete when it is checked is left to the application. A connection on which
  the caller sends nothing is closed like one that becomes idle, and one on
  which it reads nothing of a response is aborted. While a request waits for the
  response to an earlier one, or the caller has not read a response, no further
  request is parsed. All that is kept is counted in a budget, and the connection
  that takes most of it is aborted when there is no room.

  Attributes:
    open_counts: Number of open connections by port.
  """

  open_counts: collections.Counter[int]

  def __init__(self, *args: Any, **options: Any) -> None:
    super().__init__(*args, **options)
    self._port = 0
    self._allocation: memory.Allocation | None = None
    self._unparsed = b""
    self._new_body = bytearray()
    self._unread_bytes = 0
    self._has_unread_response = False
    self._element_count = 0
    self._is_parsing = False
    self._is_reading_message = False
    self._is_reading_head = False
    self._head_bytes = 0
    self._framing_bytes = 0  # of the message behind its head that are no body
    self._body_bytes = 0
    self._bytes_since_body = 0
    self._head_timer: asyncio.TimerHandle | None = None
    self._body_timer: asyncio.TimerHandle | None = None
    self._reading_timer: asyncio.TimerHandle | None = None

  def get_limits(self) -> ConnectionLimits:
    """Returns the limits in force."""
    raise NotImplementedError

  def get_max_connections(self, port: int) -> int:
    """Returns how many connections may be open on a port."""
    raise NotImplementedError

  def get_budget(self) -> memory.MemoryBudget:
    """Returns the memory of all messages of this process."""
    raise NotImplementedError

  def make_room(self) -> bool:
    """Closes another connection for this one; returns whether it did."""
    return False

  def is_unused(self) -> bool:
    """True while it is open and keeps nothing of a request or response."""
    return (
      self._is_idle()
      and not self._unparsed
      and not self.transport.is_closing()
      and not self.transport.get_write_buffer_size()
    )

  def connection_made(self, transport: asyncio.Transport) -> None:
    """Starts the idle timer; resets the connection if there is no room."""
    super().connection_made(transport)
    self.flow = _FlowControl(transport)
    self._port = transport.get_extra_info("sockname")[1]
    self.open_counts[self._port] += 1
    open_count = self.open_counts[self._port]
    max_count = self.get_max_connections(self._port)
    if open_count > max_count and not self.make_room():
      events.CONNECTION_REFUSED.log(_logger, open=open_count, port=self._port)
      transport.abort()
      return
    transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
    self._allocation = self.get_budget().start(self._give_up)
    self.timeout_keep_alive_task = self.loop.call_later(
      self.timeout_keep_alive, self.timeout_keep_alive_handler
    )

  def connection_lost(self, exc: Exception | None) -> None:
    """Stops the timers and releases the memory."""
    self.open_counts[self._port] -= 1
    self._stop_timers()
    self._unset_keepalive_if_required()
    self._unparsed = b""
    if self._allocation is not None:
      self._allocation.release()
      self._allocation = None
    super().connection_lost(exc)

  def data_received(self, data: bytes) -> None:
    """Parses received bytes, or keeps them while requests are held back."""
    if self.flow.is_held:
      self._unparsed += data
      self._count_memory()
    else:
      self._parse(data)

  def _parse(self, data: bytes) -> None:
    """Parses received bytes, as many as the limits permit for now."""
    start = 0
    self._element_count = 0
    while start < len(data) and not self._must_wait():
      piece = data[start : start + _PIECE_BYTES]
      start += len(piece)
      self._is_parsing = True
      super().data_received(piece)
      self._is_parsing = False
      self._pass_on_body()
      if not self.transport.is_closing():
        self._check_message(len(piece))
      if self.transport.is_closing():
        return
    if start < len(data):
      self._unparsed = data[start:]
      self.flow.hold()
      self.loop.call_soon(self._continue_parsing)
    self._count_memory()

  def _unset_keepalive_if_required(self) -> None:
    """Stops the idle timer, but not for bytes that begin no message."""
    if not self._is_parsing:
      super()._unset_keepalive_if_required()

  def _must_wait(self) -> bool:
    """True while other requests, its caller or other connections go first."""
    return (
      bool(self.pipeline)
      or self.flow.write_paused
      or self._element_count > _MAX_ELEMENTS_IN_TURN
    )

  def _continue_parsing(self) -> None:
    """Parses what was held back, once nothing is in its way."""
    self._element_count = 0
    if (
      not self.flow.is_held or self._must_wait() or self.transport.is_closing()
    ):
      return
    data, self._unparsed = self._unparsed, b""
    self.flow.release()
    self._parse(data)

  def _check_message(self, size_bytes: int) -> None:
    """Checks the limits on a message that is not complete.

    Most messages arrive in one piece and need no timer.

    Args:
      size_bytes: Number of bytes that were parsed last.
    """
    if not self._is_reading_message:
      return
    limits = self.get_limits()
    if self._is_reading_head:
      self._head_bytes += size_bytes
      # The first piece may begin with the end of an earlier request.
      if self._head_bytes > limits.max_head_bytes + _PIECE_BYTES:
        self._refuse(431, "head_too_large")
      elif self._head_timer is None:
        self._await_head()
      return
    self._framing_bytes += size_bytes
    self._bytes_since_body += size_bytes
    if (
      self._bytes_since_body > limits.max_head_bytes + _PIECE_BYTES
      or memory.is_chunking_excessive(self._framing_bytes, self._body_bytes)
    ):
      self._refuse(431, "trailer_too_large")
    elif self._body_timer is None:
      self._await_body()

  def _await_head(self) -> None:
    self._head_timer = self.loop.call_later(
      self.get_limits().head_timeout_s, self._check_head
    )

  def _check_head(self) -> None:
    """Refuses a request whose head takes too long to arrive."""
    if self.flow.read_paused:
      self._await_head()  # the rest may have arrived
    else:
      self._refuse(408, "head_too_slow")

  def _await_body(self) -> None:
    self._body_timer = self.loop.call_later(
      self.get_limits().idle_timeout_s,
      self._check_body,
      self._framing_bytes + self._body_bytes,
    )

  def _check_body(self, received_bytes: int) -> None:
    """Refuses a request of which nothing has arrived for a while."""
    has_stopped = self._framing_bytes + self._body_bytes <= received_bytes
    if has_stopped and not self.flow.read_paused:
      self._refuse(408, "body_too_slow")
    else:
      self._await_body()

  def on_message_begin(self) -> None:
    """Starts the checks of a head."""
    super().on_message_begin()
    super()._unset_keepalive_if_required()
    self._is_reading_message = True
    self._is_reading_head = True
    self._head_bytes = 0
    self._framing_bytes = 0
    self._body_bytes = 0
    self._bytes_since_body = 0

  def on_header(self, name: bytes, value: bytes) -> None:
    """Adds a header; those of a trailer are dropped."""
    self._element_count += 1
    if self._is_reading_head:
      super().on_header(name, value)

  def on_headers_complete(self) -> None:
    """Stops the checks of the head, which is complete."""
    self._is_reading_head = False
    self._stop_head_timer()
    super().on_headers_complete()

  def on_body(self, body: bytes) -> None:
    """Adds a piece of the body, which may be a chunk of one byte."""
    self._new_body += body
    self._element_count += 1

  def _pass_on_body(self) -> None:
    """Hands the body that was parsed to the application."""
    if not self._new_body:
      return
    body, self._new_body = self._new_body, bytearray()
    self._framing_bytes -= len(body)
    self._body_bytes += len(body)
    self._bytes_since_body = 0
    super().on_body(body)

  def on_message_complete(self) -> None:
    """Stops the checks of the message, which is complete."""
    self._pass_on_body()
    self._is_reading_message = False
    self._stop_body_timer()
    super().on_message_complete()

  def on_response_complete(self) -> None:
    """Continues with further requests once the response has been read."""
    if self.flow.write_paused and not self.transport.is_closing():
      self._has_unread_response = True
      return
    self._finish_response()

  def _finish_response(self) -> None:
    """Goes on to the next request; forgets one that was the last."""
    super().on_response_complete()
    if self._is_idle() and not self._is_reading_message:
      self.headers = []
      self.scope = {}
      self.cycle.scope = {}
    if self.transport.is_closing():
      self._abort_unless_read()
    self._continue_parsing()
    self._count_memory()

  def pause_writing(self) -> None:
    """Starts to check whether the caller reads its response."""
    super().pause_writing()
    # A response stays in memory as a whole until all of it has been sent.
    self._unread_bytes = self.transport.get_write_buffer_size()
    self._abort_unless_read()
    self._count_memory()

  def resume_writing(self) -> None:
    """Stops the check; the caller has read most of its response."""
    self._stop_reading_timer()
    self._unread_bytes = 0
    super().resume_writing()
    if self._has_unread_response:
      self._has_unread_response = False
      self._finish_response()
    else:
      self._continue_parsing()
      self._count_memory()

  def timeout_keep_alive_handler(self) -> None:
    """Closes a connection that has been idle for too long."""
    super().timeout_keep_alive_handler()
    self._abort_unless_read()

  def _abort_unless_read(self) -> None:
    """Starts to check whether the caller reads what has been written."""
    if self._reading_timer is None:
      self._await_reading()

  def _await_reading(self) -> None:
    self._reading_timer = self.loop.call_later(
      self.get_limits().idle_timeout_s,
      self._check_reading,
      self._count_unread(),
    )

  def _check_reading(self, unread_bytes: int) -> None:
    """Aborts the connection if the caller has read nothing for a while."""
    left_bytes = self._count_unread()
    if left_bytes >= unread_bytes:
      events.RESPONSE_NOT_READ.log(_logger, unread_bytes=left_bytes)
      self.transport.abort()
    else:
      self._await_reading()

  def _count_unread(self) -> int:
    """Returns how many bytes of responses the caller has not received.

    The kernel accepts more only once much of its buffer is free, so that what
    is left here does not tell whether a slow caller reads.
    """
    left_bytes = self.transport.get_write_buffer_size()
    connection = self.transport.get_extra_info("socket")
    try:
      queued = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, b"\0" * 4)
    except (OSError, ValueError):
      return left_bytes
    return left_bytes + int.from_bytes(queued, sys.byteorder)

  def _count_memory(self) -> None:
    """Counts what this connection keeps; may abort this or another one."""
    if self._allocation is None:
      return
    size_bytes = len(self._unparsed) + self._unread_bytes
    size_bytes += _WAITING_REQUEST_BYTES * len(self.pipeline)
    if self._is_reading_message or not self._is_idle():
      size_bytes += memory.HEADER_OVERHEAD_BYTES * len(self.headers)
      size_bytes += self._head_bytes
    if not self._is_idle():
      size_bytes += len(self.cycle.body)
    self._allocation.resize(size_bytes)

  def _is_idle(self) -> bool:
    """True while no request is in progress."""
    return self.cycle is None or self.cycle.response_complete

  def _give_up(self) -> None:
    """Aborts the connection, as others need its memory."""
    events.CONNECTION_GIVEN_UP.log(
      _logger, port=self._port, unread_bytes=self._unread_bytes
    )
    self._allocation = None
    self._unparsed = b""
    self._new_body = bytearray()
    self._end_request()
    self.transport.abort()

  def _end_request(self) -> None:
    """Ends a request in progress for the application; drops its body."""
    if not self._is_idle():
      self.cycle.body = bytearray()
      self.cycle.disconnected = True
      self.cycle.message_event.set()

  def _refuse(self, status: int, outcome: str) -> None:
    """Refuses a request and closes the connection.

    Requests before it are answered first; there is no response to this one
    then. The request has not run, as the application does not have all of it.

    Args:
      status: HTTP status of the response, 408 or 431.
      outcome: Short name of the reason, for logs.
    """
    self._stop_head_timer()
    self._stop_body_timer()
    if self.transport.is_closing():
      return
    events.REQUEST_REFUSED.log(
      _logger, status=status, outcome=outcome, read_bytes=self._head_bytes
    )
    if self._is_reading_head and not self._is_idle():
      self.cycle.keep_alive = False  # closes with its response
      self.flow.hold()
      return
    if self._is_reading_head or not self.cycle.response_started:
      self.transport.write(_STATUS_LINES[status] + _REFUSAL_HEADERS)
    self._end_request()
    self.transport.close()
    self._abort_unless_read()

  def _stop_timers(self) -> None:
    self._stop_head_timer()
    self._stop_body_timer()
    self._stop_reading_timer()

  def _stop_head_timer(self) -> None:
    if self._head_timer is not None:
      self._head_timer.cancel()
      self._head_timer = None

  def _stop_body_timer(self) -> None:
    if self._body_timer is not None:
      self._body_timer.cancel()
      self._body_timer = None

  def _stop_reading_timer(self) -> None:
    if self._reading_timer is not None:
      self._reading_timer.cancel()
      self._reading_timer = None
