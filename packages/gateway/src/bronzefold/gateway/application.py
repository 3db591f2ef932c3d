"""The ASGI application towards callers."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import logging
import socket
from typing import Any
from typing import Protocol

import anyio

from bronzefold.core import clock
from bronzefold.core import events
from bronzefold.core.clock import Seconds
from bronzefold.gateway import coordinator
from bronzefold.gateway import gateway as gateways
from bronzefold.gateway import model
from bronzefold.gateway import settings

METRICS_PATH = "/metrics"

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

_logger = logging.getLogger(__name__)


class CallerProtocol(Protocol):
  """Wire format towards callers."""

  def is_readiness_path(self, path: str) -> bool:
    """True for the path of the readiness check."""

  def is_directory_path(self, path: str) -> bool:
    """True for the path of the directory."""

  def decode_request(
    self, scope: dict[str, Any], body: bytes, received_at: Seconds
  ) -> model.Request | None:
    """Reads a request; None if it is malformed."""

  def encode_headers(self, answer: model.Response) -> list[model.Header]:
    """Returns the headers of an answer."""

  def encode_directory(self, addresses: list[str], keep_s: Seconds) -> bytes:
    """Returns the body of an answer of the directory."""


class Application:
  """Serves callers, readiness checks and the directory, each on its port.

  Attributes:
    is_leaving: True once a graceful stop has begun.
  """

  def __init__(
    self,
    own: settings.GatewaySettings,
    gateway: gateways.Gateway,
    nodes: coordinator.FleetCoordinator,
    protocol: CallerProtocol,
  ) -> None:
    """Creates an application.

    Args:
      own: Settings of this node.
      gateway: Decides what becomes of requests.
      nodes: The nodes of the fleet.
      protocol: Wire format towards callers.
    """
    self.is_leaving = False
    self._own = own
    self._gateway = gateway
    self._nodes = nodes
    self._protocol = protocol
    self._handlers = {
      _read_port(own.request_address): self._serve_request,
      _read_port(own.readiness_address): self._serve_readiness,
      _read_port(own.directory_address): self._serve_directory,
      _read_port(own.metrics_address): self._serve_metrics,
    }

  def open_sockets(self, backlog: int) -> list[socket.socket]:
    """Opens the listening sockets.

    Args:
      backlog: Length of the queue of new connections.
    """
    addresses = (
      self._own.request_address,
      self._own.readiness_address,
      self._own.directory_address,
      self._own.metrics_address,
    )
    return [
      socket.create_server(
        (address.partition(":")[0], _read_port(address)), backlog=backlog
      )
      for address in addresses
    ]

  async def __call__(
    self, scope: dict[str, Any], receive: Receive, send: Send
  ) -> None:
    """Serves one HTTP exchange."""
    received_at = clock.read_monotonic()
    serve = self._handlers[scope["server"][1]]
    await serve(scope, receive, send, received_at)

  async def _serve_readiness(
    self, scope: dict[str, Any], receive: Receive, send: Send, now: Seconds
  ) -> None:
    del receive, now
    if not self._protocol.is_readiness_path(scope["path"]):
      await self._send(send, model.Response(404))
      return
    is_ready = not self.is_leaving and self._gateway.configuration is not None
    await self._send(send, model.Response(200 if is_ready else 503))

  async def _serve_directory(
    self, scope: dict[str, Any], receive: Receive, send: Send, now: Seconds
  ) -> None:
    del receive
    if not self._protocol.is_directory_path(scope["path"]):
      await self._send(send, model.Response(404))
      return
    body = self._protocol.encode_directory(
      self._nodes.list_entry_addresses(now), self._own.addresses_keep_s
    )
    json_type = ((b"content-type", b"application/json"),)
    await self._send(send, model.Response(200, json_type, body))

  async def _serve_metrics(
    self, scope: dict[str, Any], receive: Receive, send: Send, now: Seconds
  ) -> None:
    del receive, now
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
    largest = self._gateway.get_caller_limits().max_body_bytes
    body = await _read_body(receive, largest)
    if body is None:
      return
    if len(body) > largest:
      close = ((b"connection", b"close"),)
      refusal = model.Response(413, close, outcome="body_too_large")
      await self._refuse(send, refusal)
      return
    request = self._protocol.decode_request(scope, body, received_at)
    if request is None:
      await self._refuse(send, model.Response(400, outcome="malformed"))
      return
    answer = None
    async with anyio.create_task_group() as tasks:
      tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
      answer = await self._gateway.handle(request)
      tasks.cancel_scope.cancel()
    if answer is None:
      events.REQUEST_CANCELLED.log(
        _logger, request=request.id.decode("latin-1")
      )
      return
    await self._send(send, answer)

  async def _refuse(self, send: Send, answer: model.Response) -> None:
    """Answers a request of which not even the id is sure."""
    events.REQUEST_REFUSED.log(
      _logger, status=answer.status, outcome=answer.outcome
    )
    await self._send(send, answer)

  async def _send(self, send: Send, answer: model.Response) -> None:
    headers = self._protocol.encode_headers(answer)
    headers.append((b"content-length", b"%d" % len(answer.body)))
    if self.is_leaving:
      headers.append((b"connection", b"close"))
    await send(
      {
        "type": "http.response.start",
        "status": answer.status,
        "headers": headers,
      }
    )
    await send({"type": "http.response.body", "body": answer.body})


async def _read_body(receive: Receive, largest: int) -> bytes | None:
  """Returns the body; None when the caller has left.

  Args:
    receive: Returns the next message of the request.
    largest: Size from which on the rest is not read.
  """
  pieces = []
  size = 0
  while True:
    message = await receive()
    if message["type"] != "http.request":
      return None
    pieces.append(message.get("body", b""))
    size += len(pieces[-1])
    if size > largest or not message.get("more_body", False):
      return b"".join(pieces)


async def _cancel_on_disconnect(
  receive: Receive, scope: anyio.CancelScope
) -> None:
  while (await receive())["type"] != "http.disconnect":
    pass
  scope.cancel()


def _read_port(address: str) -> int:
  return int(address.rpartition(":")[2])
