"""One HTTP connection to an upstream, used by one task."""

from __future__ import annotations

import anyio
import attrs
from expression import Error
from expression import Ok
from expression import Result
import httpcore

from bronzefold.core import clock
from bronzefold.core import defaults
from bronzefold.core import exceptions
from bronzefold.upstreams import messages


@attrs.frozen
class Exchange:
  """A request to send.

  Attributes:
    request: Id that the reply must repeat.
    path: Path of the URL.
    body: Body, JSON.
    budget_s: Time left until the deadline.
    key: Idempotency key, empty for searches.
  """

  request: str
  path: str
  body: bytes
  budget_s: float
  key: str = ""


@attrs.frozen
class Reply:
  """A checked reply.

  Attributes:
    instance: The upstream's instance.
    status: HTTP status, below 500.
    body: The body.
    took_s: Time from sending to the whole reply.
  """

  instance: str
  status: int
  body: bytes
  took_s: clock.Seconds


class UpstreamConnection:
  """A connection that is never used again after a failed exchange.

  Attributes:
    opened: Count of the connections opened so far.
  """

  def __init__(self, address: str) -> None:
    """Prepares a connection; it opens with the first exchange.

    Args:
      address: IP:port of the upstream.
    """
    host, _, port = address.partition(":")
    self._origin = httpcore.Origin(b"http", host.encode(), int(port))
    self._host_header = (b"host", address.encode())
    self._connection: httpcore.AsyncHTTPConnection | None = None
    self.opened = 0

  @property
  def is_open(self) -> bool:
    """True while an open connection is idle and usable."""
    connection = self._connection
    return (
      connection is not None
      and connection.is_available()
      and not connection.has_expired()
    )

  async def close(self) -> None:
    """Closes the connection."""
    connection, self._connection = self._connection, None
    if connection is not None:
      await connection.aclose()

  async def fetch_status(
    self, timeout_s: float
  ) -> Result[Reply, exceptions.BronzefoldError]:
    """Asks the upstream for its status report."""
    request = self._make_request("GET", "/v1/status", [], b"", timeout_s)
    return await self._exchange(request, "")

  async def fetch_manifest(
    self, snapshot: int, timeout_s: float
  ) -> Result[Reply, exceptions.BronzefoldError]:
    """Asks the upstream for the manifest of a snapshot."""
    path = f"/v1/manifest?snapshot={snapshot}"
    request = self._make_request("GET", path, [], b"", timeout_s)
    return await self._exchange(request, "")

  async def send(
    self, exchange: Exchange
  ) -> Result[Reply, exceptions.BronzefoldError]:
    """Sends a request and reads the whole reply.

    Args:
      exchange: The request.

    Returns:
      The reply, or ``ConnectFailedError`` and ``UpstreamRefusedError`` when
      the request certainly did not run, or ``ConnectionLostError``,
      ``TimedOutError``, ``MalformedReplyError`` and ``UpstreamFailedError``
      when it may have run.
    """
    headers = [
      (messages.REQUEST_ID_HEADER, exchange.request.encode()),
      (messages.DEADLINE_HEADER, b"%d" % max(1, int(exchange.budget_s * 1e3))),
      (b"content-type", b"application/json"),
      (b"content-length", b"%d" % len(exchange.body)),
    ]
    if exchange.key:
      headers.append((messages.KEY_HEADER, exchange.key.encode()))
    request = self._make_request(
      "POST", exchange.path, headers, exchange.body, exchange.budget_s
    )
    return await self._exchange(request, exchange.request)

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

  async def _exchange(
    self, request: httpcore.Request, request_id: str
  ) -> Result[Reply, exceptions.BronzefoldError]:
    if not self.is_open:
      await self.close()
      self._connection = httpcore.AsyncHTTPConnection(self._origin)
      self.opened += 1
    finished = False
    started = clock.read_monotonic()
    try:
      response = await self._connection.handle_async_request(request)
      body = await response.aread()
      await response.aclose()
      finished = True
    except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
      return Error(exceptions.ConnectFailedError(str(error)))
    except httpcore.ConnectionNotAvailable as error:
      return Error(exceptions.ConnectFailedError(str(error)))
    except httpcore.TimeoutException:
      return Error(exceptions.TimedOutError("no reply from the upstream"))
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
      return Error(exceptions.ConnectionLostError(str(error)))
    finally:
      # A cancelled or broken exchange leaves bytes that the next one would
      # take for its own reply.
      if not finished:
        await self._abandon()
    return await self._check_reply(response, body, request_id, started)

  async def _abandon(self) -> None:
    connection, self._connection = self._connection, None
    if connection is not None:
      with anyio.CancelScope(shield=True):
        await connection.aclose()

  async def _check_reply(
    self,
    response: httpcore.Response,
    body: bytes,
    request_id: str,
    started: clock.Seconds,
  ) -> Result[Reply, exceptions.BronzefoldError]:
    headers = {name.lower(): value for name, value in response.headers}
    echoed = headers.get(messages.REQUEST_ID_HEADER, b"").decode()
    if request_id and echoed != request_id:
      # Later replies on this connection may be crossed as well.
      await self._abandon()
      return Error(
        exceptions.MalformedReplyError(
          f"reply to {echoed!r} came for {request_id!r}"
        )
      )
    if headers.get(messages.NOT_RUN_HEADER) == b"true":
      if headers.get(messages.DRAINING_HEADER) == b"true":
        return Error(exceptions.UpstreamDrainingError("draining"))
      return Error(exceptions.UpstreamRefusedError("shed"))
    if response.status >= 500:
      return Error(exceptions.UpstreamFailedError(f"status {response.status}"))
    instance = headers.get(messages.INSTANCE_HEADER, b"").decode()
    took_s = clock.read_monotonic() - started
    return Ok(Reply(instance, response.status, body, took_s))
