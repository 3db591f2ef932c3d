"""HTTP application for callers and operators."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import re
from typing import Any
from typing import Protocol
from typing import TypeVar
import uuid

import anyio
import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from bronzefold.callers import messages
from bronzefold.core import exceptions
from bronzefold.core import memory

_T = TypeVar("_T")

_REQUEST_ID = re.compile(r"[\x21-\x7e]{1,128}")
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,256}")
_JSON_MEDIA_TYPE = "application/json"


class _NoMemoryError(exceptions.OverloadedError):
  """The bodies of all requests would take too much memory."""


class NodeApi(Protocol):
  """The operations of a node that the application calls.

  Attributes:
    max_body_bytes: Largest permitted body of a request.
    caller_memory: Memory of the bodies of all requests.
  """

  max_body_bytes: int
  caller_memory: memory.MemoryBudget

  @property
  def should_close_connections(self) -> bool:
    """True if callers should send no more requests on a connection."""

  async def search(
    self, request: str, service: str, route: str, body: messages.SearchBody
  ) -> messages.SearchReply:
    """Runs a search.

    Args:
      request: Id of the request.
      service: Name of the service.
      route: Name of the route.
      body: The decoded body.

    Raises:
      BronzefoldError: The search failed.
    """

  async def act(
    self,
    request: str,
    service: str,
    route: str,
    key: str,
    body: bytes,
    deadline_ms: int | None,
  ) -> tuple[int, messages.ActionReply]:
    """Runs an action.

    Args:
      request: Id of the request.
      service: Name of the service.
      route: Name of the route.
      key: Idempotency key.
      body: The body, JSON.
      deadline_ms: Time limit in milliseconds, None for the default.

    Returns:
      The HTTP status and the body of the response.

    Raises:
      BronzefoldError: The action failed or its outcome is unknown.
    """

  def list_addresses(self, zone: str) -> messages.AddressesReply:
    """Lists the nodes that callers may use.

    Args:
      zone: Availability zone of the caller, empty if not known.
    """

  def describe_status(self) -> Any:
    """Returns the node's status as an object that JSON can encode."""

  def render_metrics(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
    """Returns the encoded metrics and their HTTP headers.

    Args:
      accept: Values of the request's ``accept`` headers.
    """


def make_application(node: NodeApi) -> applications.Starlette:
  """Creates the HTTP application of a node.

  Args:
    node: The node.

  Returns:
    The ASGI application.
  """
  endpoints = _Endpoints(node)
  prefix = "/v1/services/{service}"
  return applications.Starlette(
    routes=[
      routing.Route(
        f"{prefix}/search/{{route}}", endpoints.search, methods=["POST"]
      ),
      routing.Route(
        f"{prefix}/actions/{{route}}", endpoints.act, methods=["POST"]
      ),
      routing.Route("/v1/addresses", endpoints.list_addresses),
      routing.Route("/v1/status", endpoints.show_status),
      routing.Route("/metrics", endpoints.show_metrics),
    ]
  )


def _convert_errors(
  endpoint: Callable[..., Awaitable[tuple[int, bytes, dict[str, str]]]],
) -> Callable[..., Awaitable[responses.Response]]:
  """Decorates an endpoint: its errors become error responses."""

  async def wrapper(
    self: _Endpoints, request: requests.Request
  ) -> responses.Response:
    request_id = _read_request_id(request)
    try:
      status, body, headers = await endpoint(self, request, request_id)
    except exceptions.BronzefoldError as error:
      status, body, headers = error.status, _encode_error(request_id, error), {}
      if isinstance(error, (_NoMemoryError, exceptions.TooLargeError)):
        headers = {"connection": "close"}  # the rest of the body is not read
    headers = {"x-request-id": request_id, **headers}
    if self.node.should_close_connections:
      headers["connection"] = "close"
    return responses.Response(
      body, status, headers, media_type=_JSON_MEDIA_TYPE
    )

  return wrapper


class _Endpoints:
  def __init__(self, node: NodeApi) -> None:
    self.node = node

  @_convert_errors
  async def search(
    self, request: requests.Request, request_id: str
  ) -> tuple[int, bytes, dict[str, str]]:
    async with self._receive_body(request) as body:
      decoded = _decode_body(body, messages.SearchBody)
      response = await _run_while_connected(
        request,
        self.node.search,
        request_id,
        request.path_params["service"],
        request.path_params["route"],
        decoded,
      )
    return 200, msgspec.json.encode(response), {}

  @_convert_errors
  async def act(
    self, request: requests.Request, request_id: str
  ) -> tuple[int, bytes, dict[str, str]]:
    async with self._receive_body(request) as body:
      _decode_body(body, msgspec.Raw)
      key = request.headers.get("idempotency-key", "")
      if not _IDEMPOTENCY_KEY.fullmatch(key):
        raise exceptions.BadRequestError(
          "header idempotency-key must be 1 to 256 printable ASCII characters "
          "without spaces"
        )
      status, response = await self.node.act(
        request_id,
        request.path_params["service"],
        request.path_params["route"],
        key,
        body,
        _read_deadline(request),
      )
    return status, msgspec.json.encode(response), {}

  @_convert_errors
  async def list_addresses(
    self, request: requests.Request, _: str
  ) -> tuple[int, bytes, dict[str, str]]:
    response = self.node.list_addresses(request.query_params.get("zone", ""))
    headers = {"cache-control": f"max-age={int(response.keep_s)}"}
    return 200, msgspec.json.encode(response), headers

  @_convert_errors
  async def show_status(
    self, request: requests.Request, _: str
  ) -> tuple[int, bytes, dict[str, str]]:
    return 200, msgspec.json.encode(self.node.describe_status()), {}

  async def show_metrics(self, request: requests.Request) -> responses.Response:
    accept = request.headers.getlist("accept")
    content, headers = self.node.render_metrics(accept)
    return responses.Response(content, headers=headers)

  @contextlib.asynccontextmanager
  async def _receive_body(
    self, request: requests.Request
  ) -> AsyncIterator[bytes]:
    """Reads the body of a request; its memory counts until the request ends.

    A body that is not complete is given up when others need the memory.

    Args:
      request: The request.

    Yields:
      The body.

    Raises:
      OverloadedError: The body was given up or does not fit.
      TooLargeError: The body exceeds the limit of a body.
    """
    scope = anyio.CancelScope()
    received = bytearray()

    def give_up() -> None:
      received.clear()  # the task may not run before others need the memory
      scope.cancel()

    allocation = self.node.caller_memory.start(give_up)
    try:
      with scope:
        await self._read_body(request, received, allocation)
      if scope.cancel_called or not allocation.settle(len(received)):
        raise _NoMemoryError("the bodies of all requests take too much memory")
      body = bytes(received)
      received.clear()
      yield body
    finally:
      received.clear()  # frames of an error may keep it
      allocation.release()

  async def _read_body(
    self,
    request: requests.Request,
    received: bytearray,
    allocation: memory.Allocation,
  ) -> None:
    limit = self.node.max_body_bytes
    more_body = True
    while more_body:
      more_body = await _receive_piece(request, received)
      if len(received) > limit:
        raise exceptions.TooLargeError(f"the body exceeds {limit} bytes")
      allocation.resize(len(received))


async def _receive_piece(
  request: requests.Request, received: bytearray
) -> bool:
  """Receives a piece of a body, of which no other copy is kept.

  ``request.stream`` keeps each piece until the next one arrives.

  Args:
    request: The request.
    received: Where the piece is added.

  Returns:
    False if it is the last one.

  Raises:
    ClientDisconnect: The caller closed the connection.
  """
  message = await request.receive()
  if message["type"] == "http.disconnect":
    raise requests.ClientDisconnect()
  received += message.get("body", b"")
  return message.get("more_body", False)


async def _run_while_connected(
  request: requests.Request,
  call: Callable[..., Awaitable[_T]],
  *args: Any,
) -> _T:
  """Runs a call; cancels it when the caller closes the connection."""
  results: list[_T] = []
  errors: list[exceptions.BronzefoldError] = []

  async def run_call() -> None:
    try:
      results.append(await call(*args))
    except exceptions.BronzefoldError as error:
      errors.append(error)
    tasks.cancel_scope.cancel()

  async def watch_caller() -> None:
    while (await request.receive())["type"] != "http.disconnect":
      pass
    tasks.cancel_scope.cancel()

  async with anyio.create_task_group() as tasks:
    tasks.start_soon(run_call)
    tasks.start_soon(watch_caller)
  if results:
    return results[0]
  if errors:
    raise errors[0]
  raise exceptions.OutcomeUnknownError("the caller closed the connection")


def _read_request_id(request: requests.Request) -> str:
  header = request.headers.get("x-request-id", "")
  return header if _REQUEST_ID.fullmatch(header) else uuid.uuid4().hex


def _read_deadline(request: requests.Request) -> int | None:
  header = request.headers.get("x-deadline-ms")
  if header is None:
    return None
  if not re.fullmatch(r"[0-9]{1,9}", header):
    raise exceptions.BadRequestError(
      "header x-deadline-ms must be a whole number of milliseconds of at "
      "most 9 digits"
    )
  return int(header)


def _decode_body(body: bytes, body_type: type[_T]) -> _T:
  try:
    if body_type is msgspec.Raw:
      msgspec.json.decode(body)
      return msgspec.Raw(body)
    return msgspec.json.decode(body, type=body_type)
  except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
    raise exceptions.BadRequestError(f"invalid body: {error}") from error


def _encode_error(request_id: str, error: exceptions.BronzefoldError) -> bytes:
  not_run = isinstance(error, exceptions.NotRunError)
  return msgspec.json.encode(
    messages.ErrorReply(
      request=request_id,
      error=error.code,
      outcome="not_run" if not_run else "unknown",
      detail=error.detail,
    )
  )
