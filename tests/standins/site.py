"""Stand-in of the users' platform: its store and its upstreams, in a thread.

It implements the documented HTTP interfaces of the platform and records the
requests that arrive.
"""

from __future__ import annotations

import asyncio
import base64
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import math
import threading
import time
from typing import Any
from typing import Self
from urllib import parse

import attrs

RECORD_BYTES = 16
_STORE_HISTORY_CHANGES = 5000
_CLOSING_ITERATIONS = 3
# From the acceptance of a connection until its task runs.
_ACCEPTING_ITERATIONS = 10


@attrs.define
class ReceivedRequest:
  """An HTTP request as it arrived.

  Attributes:
    method: HTTP method.
    target: Path and query.
    headers: Headers, names in lower case.
    body: The body.
    at: Monotonic time at which the whole request had arrived.
  """

  method: str
  target: str
  headers: dict[str, str]
  body: bytes
  at: float


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest | None:
  """Reads a request; returns None when the connection has ended."""
  try:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
  except (asyncio.IncompleteReadError, ConnectionError):
    return None
  request_line, *lines = head.split("\r\n")
  method, target, _ = request_line.split(" ")
  pairs = (line.partition(":") for line in lines if line)
  headers = {name.lower(): value.strip() for name, _, value in pairs}
  body = await reader.readexactly(int(headers.get("content-length", 0)))
  return ReceivedRequest(method, target, headers, body, time.monotonic())


def format_response(
  status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
  """Returns the bytes of a response with ``Content-Length``."""
  fields = {**(headers or {}), "Content-Length": str(len(body))}
  lines = [f"{name}: {value}" for name, value in fields.items()]
  head = "\r\n".join([f"HTTP/1.1 {status} X", *lines])
  return head.encode() + b"\r\n\r\n" + body


@attrs.frozen
class UpstreamOutput:
  """What an upstream writes to a connection, and how it leaves it.

  Attributes:
    data: Bytes to write.
    keeps_connection: Whether the connection stays open after the data is
      written.
    resets_connection: Whether the connection is reset and no data is written.
    repeated: Bytes to write after the data until the connection closes.
  """

  data: bytes = b""
  keeps_connection: bool = True
  resets_connection: bool = False
  repeated: bytes = b""


Behaviour = Callable[["Upstream", ReceivedRequest], UpstreamOutput]
BEHAVIOURS: dict[str, Behaviour] = {}
# Behaviours that do not execute the request, or do so themselves.
NOT_EXECUTING = {"shed", "shed first"}


def register_behaviour(name: str) -> Callable[[Behaviour], Behaviour]:
  """Registers a behaviour of upstreams by its name."""

  def decorate(behaviour: Behaviour) -> Behaviour:
    BEHAVIOURS[name] = behaviour
    return behaviour

  return decorate


@attrs.define(eq=False)
class Upstream:
  """An upstream.

  Attributes:
    id: Instance id.
    service: Name of the service.
    body: Body of its responses.
    behaviour: Name of the behaviour, a key of ``BEHAVIOURS``.
    delay_s: Duration of the execution of a request, in seconds.
    zone: Availability zone.
    max_idle_s: Connections that were idle for longer are reset when the next
      request arrives, which is not executed.
    rate_limit: Value of the header in which it announces a rate limit; empty
      for none.
    deadly_target: Path and query of requests that crash it when it has run
      them; empty for none.
    port: Port of 127.0.0.1; 0 until it first listens.
    received_requests: All requests that arrived.
    executed_ids: Ids of the requests that it executed.
    cancelled_ids: Ids of the requests whose connection closed during
      execution.
    connections: Count of open connections.
    peak_connections: Highest count of open connections so far.
    server: The listening server.
    readers_by_writer: Reader of each open connection by its writer.
  """

  id: str
  service: str
  body: bytes = b""
  behaviour: str = "serve"
  delay_s: float = 0.002
  zone: str = "a"
  max_idle_s: float = math.inf
  rate_limit: str = ""
  deadly_target: str = ""
  port: int = 0
  received_requests: list[ReceivedRequest] = attrs.field(factory=list)
  executed_ids: list[str] = attrs.field(factory=list)
  cancelled_ids: list[str] = attrs.field(factory=list)
  connections: int = 0
  peak_connections: int = 0
  server: asyncio.Server | None = None
  readers_by_writer: dict[asyncio.StreamWriter, asyncio.StreamReader] = (
    attrs.field(factory=dict)
  )

  def make_seal(self, request: ReceivedRequest) -> str:
    """Returns the seal of a response to a request."""
    return f"{self.id}.{request.headers['bronzefold-request-id']}"

  def make_response(
    self, request: ReceivedRequest, status: int = 200, body: bytes | None = None
  ) -> bytes:
    """Returns a complete response to an executed request."""
    headers = {
      "Bronzefold-Request-Id": request.headers["bronzefold-request-id"],
      "Bronzefold-Response-Seal": self.make_seal(request),
      "Bronzefold-Server-Load": "1,0,2",
    }
    if self.rate_limit:
      headers["Server-Limit"] = self.rate_limit
    return format_response(status, headers, self.body if body is None else body)

  def make_refusal(self, request: ReceivedRequest, status: int) -> bytes:
    """Returns a complete response to a request that was not executed."""
    headers = {
      "Bronzefold-Request-Id": request.headers["bronzefold-request-id"],
      "Bronzefold-Not-Executed": "1",
      "Bronzefold-Instance-Id": self.id,
    }
    return format_response(status, headers)

  async def serve(
    self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> None:
    """Serves one connection."""
    self.connections += 1
    self.peak_connections = max(self.peak_connections, self.connections)
    self.readers_by_writer[writer] = reader
    idle_since = time.monotonic()
    try:
      while (request := await read_request(reader)) is not None:
        self.received_requests.append(request)
        if time.monotonic() - idle_since > self.max_idle_s:
          writer.transport.abort()
          break
        if not await self._handle_request(request, writer):
          break
        idle_since = time.monotonic()
    except (ConnectionError, asyncio.IncompleteReadError):
      pass
    finally:
      self.connections -= 1
      self.readers_by_writer.pop(writer, None)
      if not writer.transport.is_closing():
        writer.close()

  async def _handle_request(
    self, request: ReceivedRequest, writer: asyncio.StreamWriter
  ) -> bool:
    """Responds to a request; 421 when it expects another instance.

    Returns:
      Whether the connection stays open.
    """
    expected = request.headers.get("bronzefold-expect-instance")
    if expected != self.id:
      writer.write(self.make_refusal(request, 421))
      return True
    if self.behaviour not in NOT_EXECUTING:
      await self.execute(request, writer)
    if request.target == self.deadly_target:
      self.stop()
      return False
    output = BEHAVIOURS[self.behaviour](self, request)
    if output.resets_connection:
      writer.transport.abort()
      return False
    writer.write(output.data)
    await writer.drain()
    while output.repeated:
      writer.write(output.repeated)
      await writer.drain()
    return output.keeps_connection

  def stop(self) -> None:
    """Ends it: nothing listens any more, and its connections are reset."""
    self.server.close()
    for writer in list(self.readers_by_writer):
      writer.transport.abort()

  async def execute(
    self, request: ReceivedRequest, writer: asyncio.StreamWriter
  ) -> None:
    """Sleeps for the duration of a request.

    Raises:
      ConnectionResetError: The connection closed during the execution.
    """
    request_id = request.headers["bronzefold-request-id"]
    self.executed_ids.append(request_id)
    until = time.monotonic() + self.delay_s
    while (left_s := until - time.monotonic()) > 0:
      if (
        writer.transport.is_closing() or self.readers_by_writer[writer].at_eof()
      ):
        self.cancelled_ids.append(request_id)
        raise ConnectionResetError
      await asyncio.sleep(min(left_s, 0.01))


@register_behaviour("serve")
def _serve(upstream: Upstream, request: ReceivedRequest) -> UpstreamOutput:
  return UpstreamOutput(upstream.make_response(request))


@register_behaviour("fail")
def _fail(upstream: Upstream, request: ReceivedRequest) -> UpstreamOutput:
  return UpstreamOutput(upstream.make_response(request, 500, b"failed"))


@register_behaviour("shed")
def _shed(upstream: Upstream, request: ReceivedRequest) -> UpstreamOutput:
  return UpstreamOutput(upstream.make_refusal(request, 503))


@register_behaviour("shed first")
def _shed_first(upstream: Upstream, request: ReceivedRequest) -> UpstreamOutput:
  """Sheds a request when it arrives for the first time."""
  request_id = request.headers["bronzefold-request-id"]
  arrivals = sum(
    received.headers["bronzefold-request-id"] == request_id
    for received in upstream.received_requests
  )
  if arrivals == 1:
    return _shed(upstream, request)
  upstream.executed_ids.append(request_id)
  return UpstreamOutput(upstream.make_response(request))


@register_behaviour("reset")
def _reset(upstream: Upstream, request: ReceivedRequest) -> UpstreamOutput:
  del upstream, request
  return UpstreamOutput(resets_connection=True)


@register_behaviour("mute")
def _stay_mute(upstream: Upstream, request: ReceivedRequest) -> UpstreamOutput:
  """Sends nothing and keeps the connection."""
  del upstream, request
  return UpstreamOutput()


@register_behaviour("truncate")
def _truncate(upstream: Upstream, request: ReceivedRequest) -> UpstreamOutput:
  return UpstreamOutput(
    upstream.make_response(request)[:-1], keeps_connection=False
  )


@register_behaviour("garbage")
def _garbage(upstream: Upstream, request: ReceivedRequest) -> UpstreamOutput:
  del upstream, request
  return UpstreamOutput(b"\x00\x01 not an answer\r\n\r\n")


@register_behaviour("endless head")
def _send_endless_head(
  upstream: Upstream, request: ReceivedRequest
) -> UpstreamOutput:
  del upstream, request
  return UpstreamOutput(b"HTTP/1.1 200 OK\r\nX: ", repeated=b"x" * 65536)


@register_behaviour("endless body")
def _send_endless_body(
  upstream: Upstream, request: ReceivedRequest
) -> UpstreamOutput:
  del upstream, request
  return UpstreamOutput(b"HTTP/1.1 200 OK\r\n\r\n", repeated=b"x" * 65536)


@register_behaviour("unframed")
def _unframed(upstream: Upstream, request: ReceivedRequest) -> UpstreamOutput:
  """Sends a response whose body ends with the connection, without a length."""
  head, _, body = upstream.make_response(request).partition(b"\r\n\r\n")
  lines = [
    line for line in head.split(b"\r\n") if b"Content-Length" not in line
  ]
  return UpstreamOutput(
    b"\r\n".join(lines) + b"\r\n\r\n" + body, keeps_connection=False
  )


@register_behaviour("stray")
def _stray(upstream: Upstream, request: ReceivedRequest) -> UpstreamOutput:
  """Sends a response to another request, then the response to this one."""
  stale_request = attrs.evolve(
    request,
    headers={**request.headers, "bronzefold-request-id": "an-earlier-one"},
  )
  stale_response = upstream.make_response(
    stale_request, body=b"z" * RECORD_BYTES
  )
  return UpstreamOutput(stale_response + upstream.make_response(request))


@register_behaviour("extra")
def _extra(upstream: Upstream, request: ReceivedRequest) -> UpstreamOutput:
  """Sends the response twice."""
  return UpstreamOutput(upstream.make_response(request) * 2)


@attrs.frozen
class StoreCopy:
  """State of a store at one moment.

  Attributes:
    revision: Its revision.
    items: Its items by key.
    leases: Its leases by number.
    last_lease: Number of the last lease that was created.
  """

  revision: int
  items: dict[str, dict[str, Any]]
  leases: dict[int, tuple[float, float]]
  last_lease: int


class Store:
  """Store of the users' platform: keys, leases and history.

  Attributes:
    mode: "up"; "down" (503); "silent" (no response); "lose" (calls are executed
      and the connection closes without a response).
    era: Rises by one with each restore; its responses name it.
    calls: Count of calls by name of the operation, such as "kv-watch".
  """

  def __init__(self) -> None:
    self.mode = "up"
    self.era = 1
    self.calls: collections.Counter[str] = collections.Counter()
    self._revision = 10
    self._items: dict[str, dict[str, Any]] = {}
    self._history: collections.deque = collections.deque(
      maxlen=_STORE_HISTORY_CHANGES
    )
    self._leases: dict[int, tuple[float, float]] = {}
    self._last_lease = 0
    self._change_event = asyncio.Event()
    self._oldest_revision = 0
    self._writers: set[asyncio.StreamWriter] = set()
    self._silenced: set[asyncio.StreamWriter] = set()

  def put(self, key: str, value: Any, lease: int = 0) -> int:
    """Writes a key.

    Args:
      key: The key.
      value: Bytes to write as they are, or a value to write as JSON.
      lease: Number of the lease, 0 for none.

    Returns:
      The new revision.
    """
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    self._revision += 1
    created = self._items.get(key, {}).get("created", self._revision)
    item = {
      "key": key,
      "value": base64.b64encode(data).decode(),
      "revision": self._revision,
      "created": created,
      "lease": lease,
    }
    self._items[key] = item
    self._record_event(item)
    return self._revision

  def remove(self, key: str) -> None:
    """Removes a key."""
    if self._items.pop(key, None) is not None:
      self._revision += 1
      removed = {"key": key, "revision": self._revision, "tombstone": True}
      self._record_event(removed)

  def get(self, key: str) -> bytes | None:
    """Returns the value of a key, or None when it does not exist."""
    item = self._items.get(key)
    return base64.b64decode(item["value"]) if item else None

  def list_keys(self, prefix: str) -> list[str]:
    """Lists the keys of a prefix in order."""
    return sorted(key for key in self._items if key.startswith(prefix))

  def copy(self) -> StoreCopy:
    """Returns a copy to which the store may be restored."""
    return StoreCopy(
      self._revision, dict(self._items), dict(self._leases), self._last_lease
    )

  def restore(self, copy: StoreCopy) -> None:
    """Restores a copy: later writes and leases are gone, revisions repeat."""
    self.era += 1
    self._revision = copy.revision
    self._items = dict(copy.items)
    self._leases = dict(copy.leases)
    self._last_lease = copy.last_lease
    self.clear_history()

  def clear_history(self) -> None:
    """Drops all changes; a watch from an earlier revision gets 410."""
    self._history.clear()
    self._oldest_revision = self._revision

  async def serve(
    self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> None:
    """Serves one connection."""
    self._writers.add(writer)
    try:
      await self._serve_calls(reader, writer)
    finally:
      self._writers.discard(writer)
      self._silenced.discard(writer)
      writer.close()

  async def _serve_calls(
    self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> None:
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
      while (request := await read_request(reader)) is not None:
        if self.mode == "silent":
          await asyncio.sleep(3600)
        if self.mode == "down":
          writer.write(format_response(503))
          continue
        self._expire_leases()
        status, body = await self._handle_call(request)
        if self.mode == "lose":
          break
        if writer in self._silenced:
          await asyncio.sleep(3600)
        data = json.dumps(body).encode()
        fields = {
          "Content-Type": "application/json",
          "Store-Era": str(self.era),
        }
        writer.write(format_response(status, fields, data))

  def silence_connections(self) -> None:
    """Makes open connections silent for good; new ones are served."""
    self._silenced |= self._writers

  def abort_connections(self) -> None:
    """Aborts all connections."""
    for writer in self._writers:
      writer.transport.abort()

  async def _handle_call(self, request: ReceivedRequest) -> tuple[int, Any]:
    path, _, query = request.target.partition("?")
    values = dict(parse.parse_qsl(query, keep_blank_values=True))
    _, _, name, *rest = path.split("/")
    self.calls[name] += 1
    if name == "kv-key":
      item = self._items.get(values["key"])
      return (200, item) if item else (404, {})
    if name == "kv-range":
      return self._range(values["prefix"], values.get("after", ""))
    if name == "kv-watch":
      return await self._watch(values)
    if name == "kv-txn":
      return self._transact(json.loads(request.body))
    if name == "kv-lease":
      self._last_lease += 1
      number = self._last_lease
      ttl_s = json.loads(request.body)["ttlMs"] / 1e3
      self._leases[number] = (time.monotonic() + ttl_s, ttl_s)
      return 200, {"lease": number, "ttlMs": int(ttl_s * 1e3)}
    if name == "kv-keep":
      return self._renew(int(rest[0]))
    if name == "kv-lease-end":
      self._end_lease(int(rest[0]))
      return 200, {}
    return 404, {"error": name}

  def _range(self, prefix: str, after: str) -> tuple[int, Any]:
    keys = [key for key in self.list_keys(prefix) if key > after]
    page = [self._items[key] for key in keys[:20]]
    body = {"items": page, "hasMore": len(keys) > 20, "at": self._revision}
    return 200, body

  async def _watch(self, values: dict[str, str]) -> tuple[int, Any]:
    after = int(values["after"])
    if not self._oldest_revision <= after <= self._revision:
      return 410, {}
    with contextlib.suppress(TimeoutError):
      async with asyncio.timeout(int(values["waitMs"]) / 1e3):
        while not self._list_events(values["prefix"], after):
          await self._change_event.wait()
    events = self._list_events(values["prefix"], after)
    return 200, {"events": events, "at": self._revision}

  def _list_events(self, prefix: str, after: int) -> list[dict[str, Any]]:
    return [
      event
      for event in self._history
      if event["revision"] > after and event["key"].startswith(prefix)
    ]

  def _transact(self, body: dict[str, Any]) -> tuple[int, Any]:
    revisions = {
      row["key"]: self._items.get(row["key"], {}).get("revision", 0)
      for row in body.get("expected", [])
    }
    if any(
      revisions[row["key"]] != row["revision"] for row in body["expected"]
    ):
      items = [self._items[key] for key in revisions if key in self._items]
      return 412, {"items": items}
    for put in body.get("puts", []):
      if put["lease"] and put["lease"] not in self._leases:
        return 404, {}
      self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
    for key in body.get("remove", []):
      self.remove(key)
    return 200, {"revision": self._revision}

  def _renew(self, number: int) -> tuple[int, Any]:
    if number not in self._leases:
      return 404, {}
    _, ttl_s = self._leases[number]
    self._leases[number] = (time.monotonic() + ttl_s, ttl_s)
    return 200, {"lease": number, "ttlMs": int(ttl_s * 1e3)}

  def _expire_leases(self) -> None:
    now = time.monotonic()
    for number in [
      n for n, (expires_at, _) in self._leases.items() if expires_at < now
    ]:
      self._end_lease(number)

  def _end_lease(self, number: int) -> None:
    self._leases.pop(number, None)
    for key in [k for k, i in self._items.items() if i["lease"] == number]:
      self.remove(key)

  def _record_event(self, event: dict[str, Any]) -> None:
    self._history.append(event)
    self._change_event.set()
    self._change_event = asyncio.Event()


class Site:
  """Stand-in of the users' platform: a store and upstreams on 127.0.0.1.

  They run in a separate thread, from entry to exit of the context.

  Attributes:
    store_address: IP:port of the store.
    upstreams: Upstreams by instance id.
    store: The store.
  """

  def __init__(self) -> None:
    self.store_address = ""
    self.upstreams: dict[str, Upstream] = {}
    self._loop = asyncio.new_event_loop()
    self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
    self._server: asyncio.Server | None = None
    self.store: Store | None = None

  def __enter__(self) -> Self:
    self._thread.start()
    self.call(self._start_store())
    return self

  def __exit__(self, *_: object) -> None:
    self.call(self._close())
    self._loop.call_soon_threadsafe(self._loop.stop)
    self._thread.join()
    self._loop.close()

  def call(self, work: Awaitable[Any]) -> Any:
    """Runs a coroutine in the thread and returns its result."""
    return asyncio.run_coroutine_threadsafe(work, self._loop).result(30)

  def put(self, key: str, value: Any) -> int:
    """Writes a key of the store; returns the new revision."""
    return self.call(self._run_in_loop(self.store.put, key, value))

  def get(self, key: str) -> bytes | None:
    """Returns the value of a key of the store."""
    return self.call(self._run_in_loop(self.store.get, key))

  def list_keys(self, prefix: str) -> list[str]:
    """Lists the keys of a prefix of the store."""
    return self.call(self._run_in_loop(self.store.list_keys, prefix))

  def remove(self, key: str) -> None:
    """Removes a key of the store."""
    self.call(self._run_in_loop(self.store.remove, key))

  def clear_history(self) -> None:
    """Drops the change history of the store."""
    self.call(self._run_in_loop(self.store.clear_history))

  def silence_store_connections(self) -> None:
    """Makes the store's open connections silent; new ones are served."""
    self.call(self._run_in_loop(self.store.silence_connections))

  def copy_store(self) -> StoreCopy:
    """Returns a copy of the store."""
    return self.call(self._run_in_loop(self.store.copy))

  def restore_store(self, copy: StoreCopy) -> None:
    """Restores the store from a copy."""
    self.call(self._run_in_loop(self.store.restore, copy))

  def add_upstream(self, upstream: Upstream, **report: Any) -> Upstream:
    """Starts an upstream and registers it.

    Args:
      upstream: The upstream.
      **report: Fields of its report that differ from the default.

    Returns:
      The upstream.
    """
    self.call(self._start_upstream(upstream))
    self.upstreams[upstream.id] = upstream
    self.write_report(upstream, **report)
    return upstream

  def write_report(self, upstream: Upstream, **overrides: Any) -> None:
    """Writes an upstream's report to the store.

    Args:
      upstream: The upstream.
      **overrides: Fields of the report that differ from the default.
    """
    report = {
      "service": upstream.service,
      "address": f"127.0.0.1:{upstream.port}",
      "zone": upstream.zone,
      "version": "v1",
      "concurrency": 2,
      "state": "ready",
      "warmupLeftMs": 0,
      "sequence": 1,
      **overrides,
    }
    self.put(f"servers/{upstream.id}", report)

  def stop_upstream(self, upstream: Upstream) -> None:
    """Stops an upstream without a drain; its registration stays."""
    self.call(self._stop_upstream(upstream))

  def restart_upstream(self, upstream: Upstream) -> None:
    """Starts a stopped upstream again at its address."""
    self.call(self._start_upstream(upstream))

  async def _run_in_loop(
    self, function: Callable[..., Any], *values: Any
  ) -> Any:
    return function(*values)

  async def _start_store(self) -> None:
    self.store = Store()
    self._server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
    port = self._server.sockets[0].getsockname()[1]
    self.store_address = f"127.0.0.1:{port}"

  async def _close(self) -> None:
    """Closes all servers and connections and ends their tasks."""
    self._server.close()
    self.store.abort_connections()
    for upstream in self.upstreams.values():
      await self._stop_upstream(upstream)
    # A task that is cancelled before it runs does not close its connection.
    for _ in range(_ACCEPTING_ITERATIONS):
      await asyncio.sleep(0)
    for upstream in self.upstreams.values():
      upstream.stop()
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
      task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    # Transports close their sockets in callbacks of the next iterations.
    for _ in range(_CLOSING_ITERATIONS):
      await asyncio.sleep(0)

  async def _start_upstream(self, upstream: Upstream) -> None:
    upstream.server = await asyncio.start_server(
      upstream.serve, "127.0.0.1", upstream.port or 0
    )
    upstream.port = upstream.server.sockets[0].getsockname()[1]

  async def _stop_upstream(self, upstream: Upstream) -> None:
    upstream.stop()


def make_records(*numbers: int) -> bytes:
  """Returns records that sort in the order of the numbers."""
  return b"".join(number.to_bytes(RECORD_BYTES, "big") for number in numbers)


def make_route(name: str, **overrides: Any) -> dict[str, Any]:
  """Returns a route of the operator's configuration.

  Args:
    name: Name of the route.
    **overrides: Fields that differ from the default.
  """
  return {
    "name": name,
    "host": "shop.example",
    "prefix": f"/{name}/",
    "type": "idempotent",
    "timeoutMs": 2000,
    "targetLatencyMs": 400,
    "maxAttempts": 2,
    "priority": 1,
    **overrides,
  }


def make_configuration(
  version: int, routes: list[dict[str, Any]]
) -> dict[str, Any]:
  """Returns a configuration with the services that its routes name.

  Args:
    version: Version of the configuration.
    routes: Routes as ``make_route`` returns them.
  """
  names = {
    name
    for route in routes
    for name in [
      *route.get("gather", []),
      *(part["service"] for part in route.get("trafficSplit", [])),
      route.get("service", ""),
    ]
    if name
  }
  return {
    "version": version,
    "routes": routes,
    "services": [
      {
        "name": name,
        "healthPath": "/healthz",
        "maxConnections": 26,
        "warmupS": 3.0,
        "warmupPerS": 0.0,
      }
      for name in sorted(names)
    ],
    "limits": {
      "maxHeaderBytes": 16384,
      "maxBodyBytes": 262144,
      "headerTimeoutMs": 3000,
      "idleTimeoutMs": 15000,
    },
  }
