"""The ASGI application that serves callers, probes and metrics."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import logging
import socket
from typing import Any
from typing import Protocol

import anyio
import attrs

from bronzefold.core import clock
from bronzefold.core import events
from bronzefold.core import exceptions
from bronzefold.core import listeners
from bronzefold.core import memory
from bronzefold.core.clock import Seconds
from bronzefold.gateway import connections
from bronzefold.gateway import coordinator
from bronzefold.gateway import gateway as gateways
from bronzefold.gateway import model
from bronzefold.gateway import settings

METRICS_PATH = "/metrics"
MEMORY_RETRY_AFTER_S = 0.3  # several responses are sent in that time

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

_logger = logging.getLogger(__name__)


class CallerProtocol(Protocol):
  """Wire format of callers' requests and of the responses to them."""

  def is_readiness_path(self, path: str) -> bool:
    """True for the path of the readiness check."""

  def is_directory_path(self, path: str) -> bool:
    """True for the path of the directory."""

  def decode_request(
    self, scope: dict[str, Any], body: bytes, received_at: Seconds
  ) -> model.Request | None:
    """Decodes a request.

    Args:
      scope: ASGI scope of the request.
      body: The complete body.
      received_at: Monotonic time at which the head had been read.

    Returns:
      The request; None if it is malformed.
    """

  def encode_headers(self, response: model.Response) -> list[model.Header]:
    """Returns the headers of a response."""

  def encode_directory(self, addresses: list[str], keep_s: Seconds) -> bytes:
    """Returns the body of a directory response.

    Args:
      addresses: Addresses that callers may connect to.
      keep_s: How long callers may cache the response.
    """


class Application:
  """Serves callers, readiness checks, directory and metrics, each on its port.

  Attributes:
    is_leaving: True once a graceful stop has begun.
  """

  def __init__(
    self,
    node_settings: settings.GatewaySettings,
    gateway: gateways.Gateway,
    fleet: coordinator.FleetCoordinator,
    protocol: CallerProtocol,
  ) -> None:
    """Creates an application.

    Args:
      node_settings: Settings of this node.
      gateway: Handles callers' requests.
      fleet: Lists the addresses for the directory.
      protocol: Wire format towards callers.
    """
    self.is_leaving = False
    self._settings = node_settings
    self._gateway = gateway
    self._fleet = fleet
    self._protocol = protocol
    self._handlers = {
      read_port(node_settings.request_address): self._serve_request,
      read_port(node_settings.readiness_address): self._serve_readiness,
      read_port(node_settings.directory_address): self._serve_directory,
      read_port(node_settings.metrics_address): self._serve_metrics,
    }

  async def open_sockets(self, backlog: int) -> list[socket.socket]:
    """Opens the listening sockets of all ports but that for metrics.

    Args:
      backlog: Maximum number of connections that wait to be accepted.
    """
    addresses = (
      self._settings.request_address,
      self._settings.readiness_address,
      self._settings.directory_address,
    )
    open_listener = functools.partial(listeners.open_socket, backlog=backlog)
    return [
      await listeners.open_when_free(address, open_listener)
      for address in addresses
    ]

  async def open_metrics_socket(self, backlog: int) -> socket.socket:
    """Opens the listening socket for metrics, which callers need not wait for.

    Args:
      backlog: Maximum number of connections that wait to be accepted.
    """
    return await listeners.open_when_free(
      self._settings.metrics_address,
      functools.partial(listeners.open_socket, backlog=backlog),
    )

  async def __call__(
    self, scope: dict[str, Any], receive: Receive, send: Send
  ) -> None:
    """Serves one HTTP exchange."""
    received_at = clock.read_monotonic()
    serve = self._handlers[scope["server"][1]]
    await serve(scope, receive, send, received_at)

  async def _serve_readiness(
    self,
    scope: dict[str, Any],
    receive: Receive,
    send: Send,
    received_at: Seconds,
  ) -> None:
    del receive, received_at
    if not self._protocol.is_readiness_path(scope["path"]):
      await self._send(send, model.Response(404))
      return
    is_ready = not self.is_leaving and self._gateway.configuration is not None
    await self._send(send, model.Response(200 if is_ready else 503))

  async def _serve_directory(
    self,
    scope: dict[str, Any],
    receive: Receive,
    send: Send,
    received_at: Seconds,
  ) -> None:
    del receive
    if not self._protocol.is_directory_path(scope["path"]):
      await self._send(send, model.Response(404))
      return
    body = self._protocol.encode_directory(
      self._fleet.list_entry_addresses(received_at),
      self._settings.addresses_keep_s,
    )
    json_type = ((b"content-type", b"application/json"),)
    await self._send(send, model.Response(200, json_type, body))

  async def _serve_metrics(
    self,
    scope: dict[str, Any],
    receive: Receive,
    send: Send,
    received_at: Seconds,
  ) -> None:
    del receive, received_at
    if scope["path"] != METRICS_PATH:
      await self._send(send, model.Response(404))
      return
    self._gateway.update_metrics()
    body, headers = self._gateway.metrics.render([])
    fields = tuple(
      (name.lower().encode(), value.encode()) for name, value in headers.items()
    )
    await self._send(send, model.Response(200, fields, body))

  async def _serve_request(
    self,
    scope: dict[str, Any],
    receive: Receive,
    send: Send,
    received_at: Seconds,
  ) -> None:
    max_body_bytes = self._gateway.get_caller_limits().max_body_bytes
    reading = anyio.CancelScope()
    # Counts the body until the request has ended.
    allocation = self._gateway.memory.start(reading.cancel)
    try:
      body = await _read_whole_body(
        receive, max_body_bytes, allocation, reading
      )
    except exceptions.MemoryExhaustedError:
      close = ((b"connection", b"close"),)
      refusal = model.Response(
        503,
        close,
        retry_after_s=MEMORY_RETRY_AFTER_S,
        outcome="memory_exhausted",
      )
      await self._refuse(send, refusal)
      return
    if body is None:
      return
    if len(body) > max_body_bytes:
      close = ((b"connection", b"close"),)
      refusal = model.Response(413, close, outcome="body_too_large")
      await self._refuse(send, refusal)
      return
    request = self._protocol.decode_request(scope, body, received_at)
    if request is None:
      await self._refuse(send, model.Response(400, outcome="malformed"))
      return
    round_trip_s = scope.get("state", {}).get(connections.ROUND_TRIP_KEY, 0.0)
    request = attrs.evolve(request, round_trip_s=round_trip_s)
    response = None
    async with anyio.create_task_group() as tasks:
      tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
      response = await self._gateway.handle_request(request)
      tasks.cancel_scope.cancel()
    if response is None:
      events.REQUEST_CANCELLED.log(
        _logger, request=request.id.decode("latin-1")
      )
      return
    await self._send(send, response)

  async def _refuse(self, send: Send, response: model.Response) -> None:
    """Refuses a request before its id is known."""
    events.REQUEST_REFUSED.log(
      _logger, status=response.status, outcome=response.outcome
    )
    await self._send(send, response)

  async def _send(self, send: Send, response: model.Response) -> None:
    headers = self._protocol.encode_headers(response)
    headers.append((b"content-length", b"%d" % len(response.body)))
    if self.is_leaving:
      headers.append((b"connection", b"close"))
    await send(
      {
        "type": "http.response.start",
        "status": response.status,
        "headers": headers,
      }
    )
    await send({"type": "http.response.body", "body": response.body})


async def _read_whole_body(
  receive: Receive,
  max_bytes: int,
  allocation: memory.Allocation,
  reading: anyio.CancelScope,
) -> bytes | None:
  """Reads the body of a request, which may be given up meanwhile.

  Args:
    receive: Returns the next ASGI message of the request.
    max_bytes: Size beyond which the rest of the body is not read.
    allocation: Memory of the body; its eviction cancels ``reading``.
    reading: Cancelled to stop reading.

  Returns:
    The body as ``_read_body`` returns it.

  Raises:
    MemoryExhaustedError: The body does not fit into the memory of all messages,
      or was given up.
  """
  body = None
  try:
    with reading:
      body = await _read_body(receive, max_bytes, allocation)
    if reading.cancelled_caught:
      raise exceptions.MemoryExhaustedError("request is given up")
    if body is not None and not allocation.settle(len(body)):
      raise exceptions.MemoryExhaustedError("request does not fit")
  finally:
    if body is None:
      allocation.release()
  return body


async def _read_body(
  receive: Receive, max_bytes: int, allocation: memory.Allocation
) -> bytes | None:
  """Reads the body of a request.

  Args:
    receive: Returns the next ASGI message of the request.
    max_bytes: Size beyond which the rest of the body is not read.
    allocation: Memory of the body.

  Returns:
    The body, cut off soon after ``max_bytes``; None if the caller has
    disconnected.

  Raises:
    MemoryExhaustedError: The body does not fit into the memory of all messages.
  """
  body = bytearray()
  while True:
    message = await receive()
    if message["type"] != "http.request":
      return None
    body += message.get("body", b"")
    if not allocation.try_resize(len(body)):
      raise exceptions.MemoryExhaustedError("request is refused")
    if len(body) > max_bytes or not message.get("more_body", False):
      return bytes(body)


async def _cancel_on_disconnect(
  receive: Receive, scope: anyio.CancelScope
) -> None:
  while (await receive())["type"] != "http.disconnect":
    pass
  scope.cancel()


def read_port(address: str) -> int:
  """Returns the port of an address, IP:port."""
  return int(address.rpartition(":")[2])
