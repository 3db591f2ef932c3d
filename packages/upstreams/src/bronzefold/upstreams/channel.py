"""One HTTP connection to an upstream, read by httptools.

``connection`` serves the product's own protocol through httpcore; this module
passes requests on byte for byte and tells apart what httpcore doesn't: stray
answers, bytes behind an answer, and answers that end with their connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
import httptools

from bronzefold.core import clock
from bronzefold.core import exceptions
from bronzefold.core.clock import Seconds

_DEFAULT_KEEP_ALIVE_S = 4.0
_KEEP_ALIVE_MARGIN_S = 1.0
_MAX_REPLY_BYTES = 8 * 1024 * 1024
_MAX_STRAY_REPLIES = 4


@attrs.frozen
class RawReply:
  """A whole answer.

  Attributes:
    status: HTTP status.
    headers: Headers in order, names in lower case.
    body: The body.
  """

  status: int
  headers: tuple[tuple[bytes, bytes], ...]
  body: bytes

  def get_header(self, name: bytes) -> bytes | None:
    """Returns the first value of a header."""
    return next((value for key, value in self.headers if key == name), None)


class Channel(asyncio.Protocol):
  """A connection that carries one exchange at a time.

  Attributes:
    reusable: False once bytes may follow that belong to no request.
    expires_at: Monotonic time after which an idle connection is not used.
  """

  def __init__(self) -> None:
    self.reusable = True
    self.expires_at: Seconds = 0.0
    self._loop = asyncio.get_running_loop()
    self._transport: asyncio.Transport | None = None
    self._parser = httptools.HttpResponseParser(self)
    self._outcome: asyncio.Future[RawReply] | None = None
    self._is_own: Callable[[RawReply], bool] | None = None
    self._has_body = True
    self._strays = 0
    self._headers: list[tuple[bytes, bytes]] = []
    self._body: list[bytes] = []
    self._body_bytes = 0
    self._head_read = False
    self._length_known = False

  @property
  def is_closed(self) -> bool:
    """True once the connection cannot be used."""
    return self._transport is None or self._transport.is_closing()

  def start(
    self,
    data: bytes,
    is_own: Callable[[RawReply], bool],
    has_body: bool = True,
  ) -> asyncio.Future[RawReply]:
    """Sends a request.

    Args:
      data: Head and body.
      is_own: Tells an answer to this request from a stray one.
      has_body: False when the answer ends with its head, as after HEAD.

    Returns:
      A future of the answer. It fails with ``ConnectionLostError`` or
      ``MalformedReplyError``; the request may have run then.
    """
    assert self._outcome is None, "one exchange at a time"
    outcome = self._loop.create_future()
    if self.is_closed:
      outcome.set_exception(exceptions.ConnectionLostError("closed"))
      return outcome
    self._outcome = outcome
    self._is_own = is_own
    self._has_body = has_body
    self._transport.write(data)
    return outcome

  def close(self) -> None:
    """Closes the connection; an exchange in progress fails."""
    self.reusable = False
    if self._transport is not None:
      self._transport.abort()

  def connection_made(self, transport: asyncio.BaseTransport) -> None:
    """Takes note of the transport."""
    self._transport = transport

  def data_received(self, data: bytes) -> None:
    """Parses what has arrived."""
    if self._outcome is None:
      # Bytes without a request would be taken for the next one's answer.
      self.close()
      return
    try:
      self._parser.feed_data(data)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
      self._fail(exceptions.MalformedReplyError(str(error)))
    if not self.reusable and self._outcome is None:
      self.close()

  def connection_lost(self, exc: Exception | None) -> None:
    """Ends the exchange; an answer without a length may be complete."""
    if self._outcome is None:
      self.reusable = False
      return
    if exc is None and self._head_read and not self._length_known:
      self.reusable = False
      self._finish_message()
    self._fail(exceptions.ConnectionLostError(str(exc or "ended early")))

  def on_message_begin(self) -> None:
    """Starts an answer."""
    if self._outcome is None:
      self.reusable = False
    self._headers = []
    self._body = []
    self._body_bytes = 0
    self._head_read = False
    self._length_known = False

  def on_header(self, name: bytes, value: bytes) -> None:
    """Adds a header."""
    name = name.lower()
    if name in (b"content-length", b"transfer-encoding"):
      self._length_known = True
    self._headers.append((name, value))

  def on_headers_complete(self) -> None:
    """Takes note of the end of the head."""
    self._head_read = self._parser.get_status_code() >= 200
    if self._head_read and not self._has_body:
      # The parser would wait for the body that the length announces.
      self.reusable = False
      self._finish_message()

  def on_body(self, data: bytes) -> None:
    """Adds a piece of the body."""
    self._body_bytes += len(data)
    if self._body_bytes > _MAX_REPLY_BYTES:
      self._fail(exceptions.MalformedReplyError("too large"))
      return
    self._body.append(data)

  def on_message_complete(self) -> None:
    """Ends an answer that has a length."""
    if self._outcome is None or self._parser.get_status_code() < 200:
      return
    if not self._parser.should_keep_alive():
      self.reusable = False
    self._finish_message()

  def _finish_message(self) -> None:
    reply = RawReply(
      self._parser.get_status_code(),
      tuple(self._headers),
      b"".join(self._body),
    )
    if self._outcome is None:
      return
    if not self._is_own(reply):
      self._skip_stray()
      return
    if self._transport.get_write_buffer_size():
      # The upstream answered before it read the whole body.
      self.reusable = False
    self._note_keep_alive(reply)
    outcome, self._outcome = self._outcome, None
    if not outcome.done():
      outcome.set_result(reply)

  def _skip_stray(self) -> None:
    """Goes on behind an answer to an earlier request."""
    self.reusable = False
    self._strays += 1
    if self._strays > _MAX_STRAY_REPLIES:
      self._fail(exceptions.MalformedReplyError("only stray answers"))

  def _note_keep_alive(self, reply: RawReply) -> None:
    keep_s = _DEFAULT_KEEP_ALIVE_S
    for item in (reply.get_header(b"keep-alive") or b"").split(b","):
      name, _, value = item.strip().partition(b"=")
      if name == b"timeout" and value.isdigit():
        keep_s = float(value)
    margin_s = min(_KEEP_ALIVE_MARGIN_S, keep_s / 2)
    self.expires_at = clock.read_monotonic() + keep_s - margin_s

  def _fail(self, error: exceptions.BronzefoldError) -> None:
    self.reusable = False
    outcome, self._outcome = self._outcome, None
    if outcome is not None and not outcome.done():
      outcome.set_exception(error)
    if self._transport is not None:
      self._transport.abort()


async def open_channel(address: str, timeout_s: Seconds) -> Channel:
  """Opens a connection.

  Args:
    address: IP:port of the upstream.
    timeout_s: Longest wait.

  Returns:
    The channel.

  Raises:
    ConnectFailedError: There is no connection.
  """
  host, _, port = address.partition(":")
  loop = asyncio.get_running_loop()
  try:
    async with asyncio.timeout(timeout_s):
      _, channel = await loop.create_connection(Channel, host, int(port))
  except (OSError, TimeoutError, ValueError) as error:
    raise exceptions.ConnectFailedError(
      f"{address}: {type(error).__name__}"
    ) from error
  return channel


class ChannelPool:
  """Connections to one upstream, at most ``limit`` at once.

  Attributes:
    limit: Most connections, opening ones included.
    opened: Count of the connections opened so far.
  """

  def __init__(self, address: str, limit: int) -> None:
    """Creates an empty pool.

    Args:
      address: IP:port of the upstream.
      limit: Most connections.
    """
    self.address = address
    self.limit = limit
    self.opened = 0
    self._idle: list[Channel] = []
    self._in_use = 0

  @property
  def has_room(self) -> bool:
    """True when a request can be sent now or after opening a connection."""
    return bool(self._idle) or self._in_use < self.limit

  def take_idle(self, now: Seconds) -> Channel | None:
    """Takes the idle connection that was used last, None without one.

    Args:
      now: Monotonic time.
    """
    while self._idle:
      channel = self._idle.pop()
      if (
        not channel.is_closed and channel.reusable and channel.expires_at > now
      ):
        self._in_use += 1
        return channel
      channel.close()
    return None

  def reserve(self) -> None:
    """Reserves a connection for ``open``; the caller has seen ``has_room``.

    Apart from ``open``, since that runs in a task that starts later.
    """
    self._in_use += 1

  async def open(self, timeout_s: Seconds) -> Channel:
    """Opens the reserved connection.

    Raises:
      ConnectFailedError: There is no connection.
    """
    self.opened += 1
    try:
      return await open_channel(self.address, timeout_s)
    except BaseException:
      self._in_use -= 1
      raise

  def release(self, channel: Channel) -> None:
    """Takes a connection back."""
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
