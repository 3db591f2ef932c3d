"""HTTP application towards callers and operators."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
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

_T = TypeVar("_T")

_REQUEST_ID = re.compile(r"[\x21-\x7e]{1,128}")
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,256}")
_JSON = "application/json"


class Service(Protocol):
  """What the application needs of a node."""

  max_body_bytes: int

  @property
  def closing_connections(self) -> bool:
    """True when callers should open no further requests on a connection."""

  async def search(
    self, request: str, service: str, route: str, body: messages.SearchBody
  ) -> messages.SearchReply:
    """Runs a search; raises ``BronzefoldError``."""

  async def act(
    self,
    request: str,
    service: str,
    route: str,
    key: str,
    body: bytes,
    deadline_ms: int | None,
  ) -> tuple[int, messages.ActionReply]:
    """Runs an action; raises ``BronzefoldError``."""

  def list_addresses(self, zone: str) -> messages.AddressesReply:
    """Lists the nodes that callers may use."""

  def describe_status(self) -> Any:
    """Returns the node's status, ready for JSON."""

  def render_metrics(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
    """Returns the metrics and the headers that go with them."""


def make_application(service: Service) -> applications.Starlette:
  """Makes the HTTP application of a node.

  Args:
    service: The node.

  Returns:
    The ASGI application.
  """
  endpoints = _Endpoints(service)
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


def _answer_errors(
  endpoint: Callable[..., Awaitable[tuple[int, bytes, dict[str, str]]]],
) -> Callable[..., Awaitable[responses.Response]]:
  """Turns the errors of an endpoint into replies."""

  async def wrapped(
    self: _Endpoints, request: requests.Request
  ) -> responses.Response:
    request_id = _read_request_id(request)
    try:
      status, body, headers = await endpoint(self, request, request_id)
    except exceptions.BronzefoldError as error:
      status, body, headers = error.status, _encode_error(request_id, error), {}
    headers = {"x-request-id": request_id, **headers}
    if self.service.closing_connections:
      headers["connection"] = "close"
    return responses.Response(body, status, headers, media_type=_JSON)

  return wrapped


class _Endpoints:
  def __init__(self, service: Service) -> None:
    self.service = service

  @_answer_errors
  async def search(
    self, request: requests.Request, request_id: str
  ) -> tuple[int, bytes, dict[str, str]]:
    body = await self._read_body(request)
    decoded = _decode(body, messages.SearchBody)
    reply = await _run_while_connected(
      request,
      self.service.search,
      request_id,
      request.path_params["service"],
      request.path_params["route"],
      decoded,
    )
    return 200, msgspec.json.encode(reply), {}

  @_answer_errors
  async def act(
    self, request: requests.Request, request_id: str
  ) -> tuple[int, bytes, dict[str, str]]:
    body = await self._read_body(request)
    _decode(body, msgspec.Raw)
    key = request.headers.get("idempotency-key", "")
    if not _IDEMPOTENCY_KEY.fullmatch(key):
      raise exceptions.BadRequestError(
        "header idempotency-key must be 1 to 256 printable characters"
      )
    status, reply = await self.service.act(
      request_id,
      request.path_params["service"],
      request.path_params["route"],
      key,
      body,
      _read_deadline(request),
    )
    return status, msgspec.json.encode(reply), {}

  @_answer_errors
  async def list_addresses(
    self, request: requests.Request, _: str
  ) -> tuple[int, bytes, dict[str, str]]:
    reply = self.service.list_addresses(request.query_params.get("zone", ""))
    headers = {"cache-control": f"max-age={int(reply.keep_s)}"}
    return 200, msgspec.json.encode(reply), headers

  @_answer_errors
  async def show_status(
    self, request: requests.Request, _: str
  ) -> tuple[int, bytes, dict[str, str]]:
    return 200, msgspec.json.encode(self.service.describe_status()), {}

  async def show_metrics(self, request: requests.Request) -> responses.Response:
    accept = request.headers.getlist("accept")
    content, headers = self.service.render_metrics(accept)
    return responses.Response(content, headers=headers)

  async def _read_body(self, request: requests.Request) -> bytes:
    limit = self.service.max_body_bytes
    chunks: list[bytes] = []
    size = 0
    async for part in request.stream():
      size += len(part)
      if size > limit:
        raise exceptions.TooLargeError(f"the body exceeds {limit} bytes")
      chunks.append(part)
    return b"".join(chunks)


async def _run_while_connected(
  request: requests.Request,
  call: Callable[..., Awaitable[_T]],
  *args: Any,
) -> _T:
  """Runs a call, and cancels it when the caller hangs up."""
  replies: list[_T] = []
  errors: list[exceptions.BronzefoldError] = []

  async def run() -> None:
    try:
      replies.append(await call(*args))
    except exceptions.BronzefoldError as error:
      errors.append(error)
    tasks.cancel_scope.cancel()

  async def watch_caller() -> None:
    while (await request.receive())["type"] != "http.disconnect":
      pass
    tasks.cancel_scope.cancel()

  async with anyio.create_task_group() as tasks:
    tasks.start_soon(run)
    tasks.start_soon(watch_caller)
  if replies:
    return replies[0]
  if errors:
    raise errors[0]
  raise exceptions.OutcomeUnknownError("the caller has hung up")


def _read_request_id(request: requests.Request) -> str:
  given = request.headers.get("x-request-id", "")
  return given if _REQUEST_ID.fullmatch(given) else uuid.uuid4().hex


def _read_deadline(request: requests.Request) -> int | None:
  given = request.headers.get("x-deadline-ms")
  if given is None:
    return None
  if not re.fullmatch(r"[0-9]{1,9}", given):
    raise exceptions.BadRequestError("header x-deadline-ms is not a number")
  return int(given)


def _decode(body: bytes, kind: type[_T]) -> _T:
  try:
    if kind is msgspec.Raw:
      msgspec.json.decode(body)
      return msgspec.Raw(body)
    return msgspec.json.decode(body, type=kind)
  except (msgspec.MsgspecError, UnicodeDecodeError) as error:
    raise exceptions.BadRequestError(f"body: {error}") from error


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
