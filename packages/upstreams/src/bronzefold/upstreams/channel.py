"""One HTTP connection to an upstream, parsed by httptools.

``connection`` implements bronzefold's own protocol on httpcore. This module
sends encoded requests unchanged and distinguishes cases that httpcore does not:
responses to earlier requests (stray responses), bytes after a response, and
responses that end with the connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Collection
import functools
import math
import sys

import attrs
import httptools

from bronzefold.core import clock
from bronzefold.core import defaults
from bronzefold.core import exceptions
from bronzefold.core import memory
from bronzefold.core.clock import Seconds

_DEFAULT_KEEP_ALIVE_S = 4.0
_KEEP_ALIVE_MARGIN_S = 1.0
_MAX_STRAY_RESPONSES = 4
_MIN_STATUS = 100  # smaller ones belong to no class (RFC 9110, section 15)


@attrs.frozen
class RawResponse:
  """A complete response.

  Attributes:
    status: HTTP status.
    headers: Headers in the order received, names in lower case.
    body: Body of the response.
    allocation: Its memory, counted as long as something refers to this.
  """

  status: int
  headers: tuple[tuple[bytes, bytes], ...]
  body: bytes
  allocation: memory.Allocation | None = attrs.field(
    default=None, eq=False, repr=False
  )

  def get_header(self, name: bytes) -> bytes | None:
    """Returns the first value of a header, None if it is absent.

    Args:
      name: Name in lower case.
    """
    return next((value for key, value in self.headers if key == name), None)


class Channel(asyncio.Protocol):
  """A connection for one exchange at a time.

  Attributes:
    reusable: False once no other request may be sent, because the connection
      ends or bytes may follow that belong to no request.
    expires_at: Monotonic time after which an idle connection must not be used.
    idle_since: Monotonic time of the end of the last exchange, or of the
      opening before the first one.
    is_closed_here: True once this node has closed it.

  A body is bounded by ``MAX_UPSTREAM_BODY_BYTES``, all other bytes of a
  response by ``memory.is_framing_excessive``, and the responses of all
  connections together by a budget.
  """

  def __init__(self, budget: memory.MemoryBudget) -> None:
    """Creates a connection that is not open yet.

    Args:
      budget: The memory of all messages of this process.
    """
    self.reusable = True
    self.expires_at: Seconds = 0.0
    self.idle_since: Seconds = 0.0
    self.is_closed_here = False
    self._budget = budget
    self._loop = asyncio.get_running_loop()
    self._transport: asyncio.Transport | None = None
    self._parser: httptools.HttpResponseParser | None = (
      httptools.HttpResponseParser(self)
    )
    self._outcome: asyncio.Future[RawResponse] | None = None
    self._is_response: Callable[[RawResponse], bool] | None = None
    self._has_body = True
    self._stray_count = 0
    self._allocation: memory.Allocation | None = None
    self._framing_bytes = 0  # of this exchange that are no body
    self._headers: list[tuple[bytes, bytes]]
    self._body: bytearray
    self._head_complete: bool
    self._has_length: bool
    self._reset_message()

  @property
  def is_closed(self) -> bool:
    """True once the connection cannot be used."""
    return self._transport is None or self._transport.is_closing()

  def start(
    self,
    data: bytes,
    is_response: Callable[[RawResponse], bool],
    has_body: bool = True,
  ) -> asyncio.Future[RawResponse]:
    """Sends a request.

    Args:
      data: Head and body of the request.
      is_response: Returns True for a response to this request, False for a
        stray one.
      has_body: False if the response has no body, as after HEAD.

    Returns:
      A future of the response. It fails with ``ConnectionLostError`` or
      ``MalformedReplyError``; the request may have run then.
    """
    assert self._outcome is None, "another exchange is in progress"
    outcome = self._loop.create_future()
    if self.is_closed:
      outcome.set_exception(
        exceptions.ConnectionLostError("connection is closed")
      )
      return outcome
    self._outcome = outcome
    self._is_response = is_response
    self._has_body = has_body
    self._framing_bytes = 0
    self._reset_message()
    self._transport.write(data)
    return outcome

  def close(self) -> None:
    """Closes the connection; an exchange in progress fails."""
    self.reusable = False
    self.is_closed_here = True
    if self._transport is not None:
      self._transport.abort()

  def connection_made(self, transport: asyncio.BaseTransport) -> None:
    """Sets the transport; the connection is idle from now on."""
    self._transport = transport
    self._start_idling(_DEFAULT_KEEP_ALIVE_S)

  def data_received(self, data: bytes) -> None:
    """Parses received bytes."""
    if self._outcome is None:
      # Bytes received without a request would be read as the response to the
      # next one.
      self.close()
      return
    self._framing_bytes += len(data)
    try:
      self._parser.feed_data(data)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
      self._fail(exceptions.MalformedReplyError(str(error)))
    if self._outcome is not None:
      self._check_size()
    if not self.reusable and self._outcome is None:
      self.close()

  def connection_lost(self, exc: Exception | None) -> None:
    """Ends the exchange; a response without a length may be complete."""
    self.reusable = False
    has_ended = exc is None and not self.is_closed_here
    if has_ended and self._head_complete and not self._has_length:
      self._finish_response()
    self._fail(
      exceptions.ConnectionLostError(
        str(exc or "closed before the end of the response")
      )
    )
    self._parser = None  # it refers to this connection

  def on_message_begin(self) -> None:
    """Starts a response."""
    if self._outcome is None:
      self.reusable = False
    self._reset_message()

  def on_header(self, name: bytes, value: bytes) -> None:
    """Adds a header of the response."""
    name = name.lower()
    if name in (b"content-length", b"transfer-encoding"):
      self._has_length = True
    self._headers.append((name, value))

  def on_headers_complete(self) -> None:
    """Handles the end of the head; a response without a body ends here."""
    status = self._parser.get_status_code()
    if status < _MIN_STATUS:
      self._fail(exceptions.MalformedReplyError(f"status {status:03}"))
      return
    self._head_complete = status >= 200
    if self._head_complete and not self._has_body:
      # The parser would wait for a body of the length given in the head.
      self.reusable = False
      self._finish_response()

  def on_body(self, data: bytes) -> None:
    """Adds a piece of the body."""
    if self._outcome is not None:
      self._framing_bytes -= len(data)
      self._body += data

  def on_message_complete(self) -> None:
    """Handles the end of a response that has a length."""
    if self._outcome is None or self._parser.get_status_code() < 200:
      return
    if not self._parser.should_keep_alive():
      self.reusable = False
    self._finish_response()

  def _reset_message(self) -> None:
    """Forgets the parts of an earlier response."""
    self._headers = []
    self._body = bytearray()
    self._head_complete = False
    self._has_length = False

  def _check_size(self) -> None:
    """Counts the memory of the response; fails the exchange if it is too large.

    It may also be given up for the memory of all responses.
    """
    body_bytes = len(self._body)
    if memory.is_framing_excessive(self._framing_bytes, body_bytes):
      self._fail(exceptions.MalformedReplyError("too many bytes are no body"))
    elif body_bytes > defaults.MAX_UPSTREAM_BODY_BYTES:
      self._fail(exceptions.MalformedReplyError("response body is too large"))
    else:
      if self._allocation is None:
        self._allocation = self._budget.start(self._give_up)
      self._allocation.resize(
        self._count_head_bytes() + sys.getsizeof(self._body)
      )

  def _count_head_bytes(self) -> int:
    """Returns the memory of the head, also of one that is not yet whole."""
    overhead_bytes = memory.HEADER_OVERHEAD_BYTES * len(self._headers)
    return max(0, self._framing_bytes) + overhead_bytes

  def _give_up(self) -> None:
    self._allocation = None
    self._fail(exceptions.MemoryExhaustedError("response is given up"))

  def _finish_response(self) -> None:
    if self._outcome is None:
      return
    allocation = self._allocation or self._budget.hold()
    self._allocation = None
    size_bytes = len(self._body) + self._count_head_bytes()
    if not allocation.settle(size_bytes):
      self._fail(exceptions.MemoryExhaustedError("response is given up"))
      return
    response = RawResponse(
      self._parser.get_status_code(),
      tuple(self._headers),
      bytes(self._body),
      allocation,
    )
    self._release_memory()
    if not self._is_response(response):
      self._skip_stray_response()
      return
    if self._transport.get_write_buffer_size():
      # The upstream responded before it had read the complete request.
      self.reusable = False
    self._update_expiry(response)
    outcome, self._outcome = self._outcome, None
    if not outcome.done():
      outcome.set_result(response)

  def _skip_stray_response(self) -> None:
    """Discards a stray response and waits for the next one."""
    self.reusable = False
    self._framing_bytes = 0
    self._stray_count += 1
    if self._stray_count > _MAX_STRAY_RESPONSES:
      self._fail(exceptions.MalformedReplyError("too many stray responses"))

  def _update_expiry(self, response: RawResponse) -> None:
    keep_alive_s = _DEFAULT_KEEP_ALIVE_S
    for item in (response.get_header(b"keep-alive") or b"").split(b","):
      name, _, value = item.strip().partition(b"=")
      if name == b"timeout" and value.isdigit():
        keep_alive_s = float(value)
    self._start_idling(keep_alive_s)

  def _start_idling(self, keep_alive_s: Seconds) -> None:
    margin_s = min(_KEEP_ALIVE_MARGIN_S, keep_alive_s / 2)
    self.idle_since = clock.read_monotonic()
    self.expires_at = self.idle_since + keep_alive_s - margin_s

  def _fail(self, error: exceptions.BronzefoldError) -> None:
    self.reusable = False
    self._release_memory()
    outcome, self._outcome = self._outcome, None
    if outcome is not None and not outcome.done():
      outcome.set_exception(error)
    if self._transport is not None:
      self._transport.abort()

  def _release_memory(self) -> None:
    """Drops what was received of a response."""
    self._headers = []
    self._body = bytearray()
    if self._allocation is not None:
      self._allocation.release()
      self._allocation = None


async def open_channel(
  address: str, timeout_s: Seconds, budget: memory.MemoryBudget
) -> Channel:
  """Opens a connection.

  Args:
    address: IP:port of the upstream.
    timeout_s: Time limit in seconds.
    budget: The memory of all messages of this process.

  Returns:
    The channel.

  Raises:
    ConnectFailedError: The connection could not be opened; a
      ``ConnectRefusedError`` if nothing listens at the address.
  """
  host, _, port = address.partition(":")
  loop = asyncio.get_running_loop()
  try:
    async with asyncio.timeout(timeout_s):
      _, channel = await loop.create_connection(
        functools.partial(Channel, budget), host, int(port)
      )
  except (OSError, TimeoutError, ValueError, OverflowError) as error:
    is_refused = isinstance(error, ConnectionRefusedError)
    error_type = (
      exceptions.ConnectRefusedError
      if is_refused
      else exceptions.ConnectFailedError
    )
    raise error_type(
      f"connecting to {address} failed: {type(error).__name__}"
    ) from error
  return channel


class ChannelPool:
  """Pool of connections to one upstream, at most ``limit`` at once.

  Attributes:
    address: IP:port of the upstream.
    limit: Highest count of connections in use, including those being opened.
    opened: Count of the connections opened so far.
  """

  def __init__(
    self,
    address: str,
    limit: int,
    budget: memory.MemoryBudget | None = None,
  ) -> None:
    """Creates an empty pool.

    Args:
      address: IP:port of the upstream.
      limit: Highest count of connections in use.
      budget: The memory of all messages of this process; None for one of the
        default size.
    """
    self.address = address
    self.limit = limit
    self.opened = 0
    self._budget = budget or memory.MemoryBudget(
      defaults.MAX_MESSAGE_MEMORY_BYTES
    )
    self._idle: list[Channel] = []
    self._in_use = 0

  @property
  def has_capacity(self) -> bool:
    """True while an idle connection exists or another may be opened."""
    return bool(self._idle) or self._in_use < self.limit

  def acquire_idle(
    self,
    now: Seconds,
    max_idle_s: Seconds = math.inf,
    excluded: Collection[Channel] = (),
  ) -> Channel | None:
    """Removes and returns the idle connection that was used last.

    Idle connections that are no longer usable are closed. If the best one has
    been idle for too long, or none but excluded ones are left and the limit is
    reached, it is closed to make room for a new one.

    Args:
      now: Monotonic time.
      max_idle_s: Longest time for which the connection may have been idle, in
        seconds.
      excluded: Connections that must not be returned.

    Returns:
      The connection, None if none is idle that may be used.
    """
    if not excluded:
      return self._pop_usable(now, max_idle_s)
    left_out = [channel for channel in self._idle if channel in excluded]
    self._idle = [item for item in self._idle if item not in excluded]
    acquired = self._pop_usable(now, max_idle_s)
    self._idle += left_out
    is_full = len(self._idle) + self._in_use >= self.limit
    if acquired is None and left_out and is_full:
      self._idle.pop().close()
    return acquired

  def _pop_usable(self, now: Seconds, max_idle_s: Seconds) -> Channel | None:
    while self._idle:
      channel = self._idle.pop()
      is_usable = (
        not channel.is_closed and channel.reusable and channel.expires_at > now
      )
      if is_usable and now - channel.idle_since <= max_idle_s:
        self._in_use += 1
        return channel
      channel.close()
      if is_usable:
        break
    return None

  def reserve(self) -> None:
    """Reserves a connection for ``open``; requires ``has_capacity``.

    Separate from ``open``, which runs in a task that starts later.
    """
    self._in_use += 1

  async def open(self, timeout_s: Seconds) -> Channel:
    """Opens the reserved connection; a failure ends the reservation.

    Args:
      timeout_s: Time limit in seconds.

    Returns:
      The connection.

    Raises:
      ConnectFailedError: The connection could not be opened; a
        ``ConnectRefusedError`` if nothing listens at the address.
    """
    self.opened += 1
    try:
      return await open_channel(self.address, timeout_s, self._budget)
    except BaseException:
      self._in_use -= 1
      raise

  async def probe(self, timeout_s: Seconds) -> bool:
    """Returns whether a connection can be opened, which is closed at once.

    Args:
      timeout_s: Time limit in seconds.
    """
    try:
      channel = await open_channel(self.address, timeout_s, self._budget)
    except exceptions.ConnectFailedError:
      return False
    channel.close()
    return True

  def release(self, channel: Channel) -> None:
    """Returns a connection to the pool; closes it if it is not reusable.

    Args:
      channel: A connection of this pool that is in use.
    """
    self._in_use -= 1
    if channel.reusable and not channel.is_closed:
      self._idle.append(channel)
    else:
      channel.close()

  def close(self) -> None:
    """Closes the idle connections."""
    idle, self._idle = self._idle, []
    for channel in idle:
      channel.close()
