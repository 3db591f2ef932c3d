"""One HTTP connection to an upstream, used by a single task."""

from __future__ import annotations

import sys

import anyio
import attrs
from expression import Error
from expression import Ok
from expression import Result
import httpcore

from bronzefold.core import clock
from bronzefold.core import defaults
from bronzefold.core import exceptions
from bronzefold.core import memory
from bronzefold.upstreams import messages

_MIN_CHUNK_FRAMING_BYTES = 5  # a digit and two ends of lines


@attrs.frozen
class Exchange:
  """A request to send.

  Attributes:
    request: Id of the exchange, which the response must repeat.
    path: Path of the request URL.
    body: Body of the request, JSON.
    budget_s: Time in which the response must arrive, in seconds.
    key: Idempotency key, empty for searches.
  """

  request: str
  path: str
  body: bytes
  budget_s: float
  key: str = ""


@attrs.frozen
class Response:
  """A response that belongs to its request.

  Attributes:
    instance: Id of the upstream's process that responded.
    status: HTTP status, below 500.
    body: Body of the response.
    took_s: Time from sending the request to the complete response, in
      seconds.
    rate_limit_per_s: Requests per second that the upstream accepts; None if it
      announces no limit.
    allocation: Memory of the body, counted as long as something refers to this.
  """

  instance: str
  status: int
  body: bytes
  took_s: clock.Seconds
  rate_limit_per_s: float | None = None
  allocation: memory.Allocation | None = attrs.field(
    default=None, eq=False, repr=False
  )


class UpstreamConnection:
  """A connection that is replaced after a failed exchange.

  Attributes:
    opened: Count of the connections opened so far.
  """

  def __init__(
    self, address: str, budget: memory.MemoryBudget | None = None
  ) -> None:
    """Creates a closed connection; the first exchange opens it.

    Args:
      address: IP:port of the upstream.
      budget: The memory of all messages of this process; None for one of the
        default size.
    """
    self._budget = budget or memory.MemoryBudget(
      defaults.MAX_MESSAGE_MEMORY_BYTES
    )
    host, _, port = address.partition(":")
    self._origin = httpcore.Origin(b"http", host.encode(), int(port))
    self._host_header = (b"host", address.encode())
    self._connection: httpcore.AsyncHTTPConnection | None = None
    self._idle_since: clock.Seconds = 0.0
    self.opened = 0

  @property
  def is_open(self) -> bool:
    """True while the connection is open, idle and reusable."""
    connection = self._connection
    return (
      connection is not None
      and connection.is_available()
      and not connection.has_expired()
    )

  async def close(self) -> None:
    """Closes the connection; the next exchange opens a new one."""
    connection, self._connection = self._connection, None
    if connection is not None:
      await connection.aclose()

  async def fetch_status(
    self, timeout_s: float
  ) -> Result[Response, exceptions.BronzefoldError]:
    """Requests the upstream's status report.

    Args:
      timeout_s: Time limit in seconds.

    Returns:
      The response, or an error as for ``send``.
    """
    request = self._make_request("GET", "/v1/status", [], b"", timeout_s)
    return await self._send_request(request, "", timeout_s)

  async def fetch_manifest(
    self, snapshot: int, timeout_s: float
  ) -> Result[Response, exceptions.BronzefoldError]:
    """Requests the manifest of a snapshot.

    Args:
      snapshot: Number of the snapshot.
      timeout_s: Time limit in seconds.

    Returns:
      The response, or an error as for ``send``.
    """
    path = f"/v1/manifest?snapshot={snapshot}"
    request = self._make_request("GET", path, [], b"", timeout_s)
    return await self._send_request(request, "", timeout_s)

  async def send(
    self, exchange: Exchange
  ) -> Result[Response, exceptions.BronzefoldError]:
    """Sends a request and reads the complete response.

    An action is not sent on a connection that was idle for more than
    ``MAX_UNSAFE_IDLE_S``; a new one is opened.

    Args:
      exchange: The request.

    Returns:
      The response, or an error. ``ConnectFailedError`` and
      ``UpstreamRefusedError`` mean that the request certainly did not run;
      after ``ConnectionLostError``, ``TimedOutError``,
      ``MalformedReplyError`` and ``UpstreamFailedError`` it may have run.
    """
    idle_s = clock.read_monotonic() - self._idle_since
    if exchange.key and idle_s > defaults.MAX_UNSAFE_IDLE_S:
      await self.close()
    headers = [
      (messages.REQUEST_ID_HEADER, exchange.request.encode()),
      (messages.DEADLINE_HEADER, b"%d" % max(1, int(exchange.budget_s * 1e3))),
      (b"content-type", b"application/json"),
      (b"content-length", b"%d" % len(exchange.body)),
    ]
    if exchange.key:
      headers.append((messages.IDEMPOTENCY_KEY_HEADER, exchange.key.encode()))
    request = self._make_request(
      "POST", exchange.path, headers, exchange.body, exchange.budget_s
    )
    return await self._send_request(
      request, exchange.request, exchange.budget_s
    )

  def _make_request(
    self,
    method: str,
    path: str,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
    timeout_s: float,
  ) -> httpcore.Request:
    url = httpcore.URL(
      scheme=self._origin.scheme,
      host=self._origin.host,
      port=self._origin.port,
      target=path.encode(),
    )
    timeouts = {
      "connect": min(timeout_s, defaults.CONNECT_TIMEOUT_S),
      "read": timeout_s,
      "write": timeout_s,
    }
    return httpcore.Request(
      method,
      url,
      headers=[self._host_header, *headers],
      content=body,
      extensions={"timeout": timeouts},
    )

  async def _send_request(
    self, request: httpcore.Request, request_id: str, timeout_s: float
  ) -> Result[Response, exceptions.BronzefoldError]:
    if not self.is_open:
      await self.close()
      self._connection = httpcore.AsyncHTTPConnection(self._origin)
      self.opened += 1
    completed = False
    started_at = clock.read_monotonic()
    try:
      with anyio.fail_after(timeout_s):
        response = await self._connection.handle_async_request(request)
        body, allocation = await self._read_body(response)
      await response.aclose()
      completed = True
      self._idle_since = clock.read_monotonic()
    except (
      exceptions.MalformedReplyError,
      exceptions.MemoryExhaustedError,
    ) as error:
      return Error(error)
    except httpcore.ConnectError as error:
      return Error(_make_connect_error(error))
    except httpcore.ConnectTimeout as error:
      return Error(exceptions.ConnectFailedError(str(error)))
    except httpcore.ConnectionNotAvailable as error:
      return Error(exceptions.ConnectFailedError(str(error)))
    except (httpcore.TimeoutException, TimeoutError):
      return Error(
        exceptions.TimedOutError(
          "upstream did not respond within the time limit"
        )
      )
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
      return Error(exceptions.ConnectionLostError(str(error)))
    finally:
      # After a cancelled or failed exchange, bytes of its response may still
      # arrive and would be read as the response to the next request.
      if not completed:
        await self._discard_connection()
    return await self._check_response(
      response, body, allocation, request_id, started_at
    )

  async def _read_body(
    self, response: httpcore.Response
  ) -> tuple[bytes, memory.Allocation]:
    """Reads the body of a response.

    Returns:
      The body and its memory.

    Raises:
      MalformedReplyError: The body is larger than ``MAX_UPSTREAM_BODY_BYTES``,
        or comes in pieces that are too small.
      MemoryExhaustedError: All responses took too much memory.
    """
    body = bytearray()
    framing_bytes = 0
    with anyio.CancelScope() as scope:
      allocation = self._budget.start(scope.cancel)
      try:
        async for piece in response.aiter_stream():
          body += piece
          framing_bytes += _MIN_CHUNK_FRAMING_BYTES
          if memory.is_framing_excessive(framing_bytes, len(body)):
            raise exceptions.MalformedReplyError("chunks are too small")
          if len(body) > defaults.MAX_UPSTREAM_BODY_BYTES:
            raise exceptions.MalformedReplyError("response body is too large")
          allocation.resize(sys.getsizeof(body))
      except BaseException:
        allocation.release()
        raise
      if allocation.settle(len(body)):
        return bytes(body), allocation
    raise exceptions.MemoryExhaustedError("response is given up")

  async def _discard_connection(self) -> None:
    connection, self._connection = self._connection, None
    if connection is not None:
      with anyio.CancelScope(shield=True):
        await connection.aclose()

  async def _check_response(
    self,
    response: httpcore.Response,
    body: bytes,
    allocation: memory.Allocation,
    request_id: str,
    started_at: clock.Seconds,
  ) -> Result[Response, exceptions.BronzefoldError]:
    headers = {name.lower(): value for name, value in response.headers}
    echoed_id = headers.get(messages.REQUEST_ID_HEADER, b"").decode("latin-1")
    if request_id and echoed_id != request_id:
      # Later responses on this connection may be mismatched as well.
      await self._discard_connection()
      return Error(
        exceptions.MalformedReplyError(
          f"response to {echoed_id!r} received for request {request_id!r}"
        )
      )
    instance = headers.get(messages.INSTANCE_HEADER, b"").decode("latin-1")
    if not instance:
      await self._discard_connection()
      return Error(
        exceptions.MalformedReplyError("the reply names no instance")
      )
    if headers.get(messages.NOT_RUN_HEADER) == b"true":
      if headers.get(messages.DRAINING_HEADER) == b"true":
        return Error(exceptions.UpstreamDrainingError("upstream is draining"))
      return Error(exceptions.UpstreamRefusedError("upstream shed the request"))
    if response.status >= 500:
      return Error(
        exceptions.UpstreamFailedError(
          f"upstream responded with status {response.status}"
        )
      )
    took_s = clock.read_monotonic() - started_at
    rate_limit_per_s = messages.read_rate_limit(
      headers.get(messages.RATE_LIMIT_HEADER)
    )
    return Ok(
      Response(
        instance, response.status, body, took_s, rate_limit_per_s, allocation
      )
    )


def _make_connect_error(
  error: httpcore.ConnectError,
) -> exceptions.ConnectFailedError:
  """Makes the error of a connection that could not be opened."""
  cause = error.__cause__ or error.__context__
  while cause is not None:
    if isinstance(cause, ConnectionRefusedError):
      return exceptions.ConnectRefusedError(str(error))
    cause = cause.__cause__ or cause.__context__
  return exceptions.ConnectFailedError(str(error))
