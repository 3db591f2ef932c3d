"""Stand-in of the users' platform: its store and its upstreams, in a thread.

It speaks what the users' pages say and records what arrives.
"""

from __future__ import annotations

import asyncio
import base64
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import itertools
import json
import threading
import time
from typing import Any
from typing import Self
from urllib import parse

import attrs

RECORD_BYTES = 16
_STORE_HISTORY = 5000


@attrs.define
class Message:
  """An HTTP request as it arrived.

  Attributes:
    method: HTTP method.
    target: Path and query.
    headers: Headers, names in lower case.
    body: The body.
    at: Monotonic time of its arrival.
  """

  method: str
  target: str
  headers: dict[str, str]
  body: bytes
  at: float


async def read_message(reader: asyncio.StreamReader) -> Message | None:
  """Reads a request; None at the end of the connection."""
  try:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
  except (asyncio.IncompleteReadError, ConnectionError):
    return None
  first, *lines = head.split("\r\n")
  method, target, _ = first.split(" ")
  pairs = (line.partition(":") for line in lines if line)
  headers = {name.lower(): value.strip() for name, _, value in pairs}
  body = await reader.readexactly(int(headers.get("content-length", 0)))
  return Message(method, target, headers, body, time.monotonic())


def format_reply(
  status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
  """Returns the bytes of an answer with a length."""
  fields = {**(headers or {}), "Content-Length": str(len(body))}
  lines = [f"{name}: {value}" for name, value in fields.items()]
  head = "\r\n".join([f"HTTP/1.1 {status} X", *lines])
  return head.encode() + b"\r\n\r\n" + body


@attrs.frozen
class Output:
  """What a leaf writes.

  Attributes:
    data: The bytes.
    keeps: False to close the connection behind them.
    resets: True to reset it instead.
  """

  data: bytes = b""
  keeps: bool = True
  resets: bool = False


Behaviour = Callable[["Leaf", Message], Output]
BEHAVIOURS: dict[str, Behaviour] = {}
REFUSING = {"shed"}  # these do not run the request


def behave(name: str) -> Callable[[Behaviour], Behaviour]:
  """Registers what a leaf answers."""

  def decorate(behaviour: Behaviour) -> Behaviour:
    BEHAVIOURS[name] = behaviour
    return behaviour

  return decorate


@attrs.define(eq=False)
class Leaf:
  """An upstream.

  Attributes:
    id: Its instance id.
    service: Name of its service.
    body: What it answers.
    behaviour: Name of how it answers.
    delay_s: Time that it works on a request.
    arrivals: All requests that arrived.
    runs: Ids of the requests that it ran.
    cancelled: Ids of the requests whose connection closed while it worked.
    connections: Count of the connections that are open.
  """

  id: str
  service: str
  body: bytes = b""
  behaviour: str = "serve"
  delay_s: float = 0.002
  zone: str = "a"
  port: int = 0
  arrivals: list[Message] = attrs.field(factory=list)
  runs: list[str] = attrs.field(factory=list)
  cancelled: list[str] = attrs.field(factory=list)
  connections: int = 0
  most_connections: int = 0
  server: asyncio.Server | None = None
  readers: dict[asyncio.StreamWriter, asyncio.StreamReader] = attrs.field(
    factory=dict
  )

  def make_seal(self, message: Message) -> str:
    """Returns the signature of an answer."""
    return f"{self.id}.{message.headers['bronzefold-request-id']}"

  def make_reply(
    self, message: Message, status: int = 200, body: bytes | None = None
  ) -> bytes:
    """Returns a whole answer to a request that ran."""
    headers = {
      "Bronzefold-Request-Id": message.headers["bronzefold-request-id"],
      "Bronzefold-Response-Seal": self.make_seal(message),
      "Bronzefold-Server-Load": "1,0,2",
    }
    return format_reply(status, headers, self.body if body is None else body)

  async def serve(
    self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> None:
    """Serves one connection."""
    self.connections += 1
    self.most_connections = max(self.most_connections, self.connections)
    self.readers[writer] = reader
    try:
      while (message := await read_message(reader)) is not None:
        self.arrivals.append(message)
        if not await self._answer(message, writer):
          break
    except (ConnectionError, asyncio.IncompleteReadError):
      pass
    finally:
      self.connections -= 1
      self.readers.pop(writer, None)
      if not writer.transport.is_closing():
        writer.close()

  async def _answer(
    self, message: Message, writer: asyncio.StreamWriter
  ) -> bool:
    expected = message.headers.get("bronzefold-expect-instance")
    if expected != self.id:
      writer.write(format_reply(421, {"Bronzefold-Instance-Id": self.id}))
      return True
    if self.behaviour not in REFUSING:
      await self.run(message, writer)
    output = BEHAVIOURS[self.behaviour](self, message)
    if output.resets:
      writer.transport.abort()
      return False
    writer.write(output.data)
    await writer.drain()
    return output.keeps

  async def run(self, message: Message, writer: asyncio.StreamWriter) -> None:
    """Works on a request."""
    request_id = message.headers["bronzefold-request-id"]
    self.runs.append(request_id)
    until = time.monotonic() + self.delay_s
    while (left_s := until - time.monotonic()) > 0:
      if writer.transport.is_closing() or self.readers[writer].at_eof():
        self.cancelled.append(request_id)
        raise ConnectionResetError
      await asyncio.sleep(min(left_s, 0.01))


@behave("serve")
def _serve(leaf: Leaf, message: Message) -> Output:
  return Output(leaf.make_reply(message))


@behave("fail")
def _fail(leaf: Leaf, message: Message) -> Output:
  return Output(leaf.make_reply(message, 500, b"failed"))


@behave("shed")
def _shed(leaf: Leaf, message: Message) -> Output:
  del leaf, message
  return Output(format_reply(503, {"Bronzefold-Not-Executed": "1"}))


@behave("reset")
def _reset(leaf: Leaf, message: Message) -> Output:
  del leaf, message
  return Output(resets=True)


@behave("truncate")
def _truncate(leaf: Leaf, message: Message) -> Output:
  return Output(leaf.make_reply(message)[:-1], keeps=False)


@behave("garbage")
def _garbage(leaf: Leaf, message: Message) -> Output:
  del leaf, message
  return Output(b"\x00\x01 not an answer\r\n\r\n")


@behave("unframed")
def _unframed(leaf: Leaf, message: Message) -> Output:
  head, _, body = leaf.make_reply(message).partition(b"\r\n\r\n")
  lines = [
    line for line in head.split(b"\r\n") if b"Content-Length" not in line
  ]
  return Output(b"\r\n".join(lines) + b"\r\n\r\n" + body, keeps=False)


@behave("stray")
def _stray(leaf: Leaf, message: Message) -> Output:
  """An answer to an earlier request comes where this one's is due."""
  stale = attrs.evolve(
    message,
    headers={**message.headers, "bronzefold-request-id": "an-earlier-one"},
  )
  wrong = leaf.make_reply(stale, body=b"z" * RECORD_BYTES)
  return Output(wrong + leaf.make_reply(message))


@behave("extra")
def _extra(leaf: Leaf, message: Message) -> Output:
  """A second answer follows the first."""
  return Output(leaf.make_reply(message) * 2)


class Store:
  """The platform's store: keys, leases, history.

  Attributes:
    mode: "up", "down" (503), "silent" or "lose" (done but not answered).
    calls: Count of calls by path.
  """

  def __init__(self) -> None:
    self.mode = "up"
    self.calls: collections.Counter[str] = collections.Counter()
    self._revision = 10
    self._items: dict[str, dict[str, Any]] = {}
    self._history: collections.deque = collections.deque(maxlen=_STORE_HISTORY)
    self._leases: dict[int, tuple[float, float]] = {}
    self._numbers = itertools.count(1)
    self._changed = asyncio.Event()
    self._oldest = 0

  def put(self, key: str, value: Any, lease: int = 0) -> int:
    """Writes a key; ``value`` is JSON, or bytes as they are."""
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    self._revision += 1
    made = self._items.get(key, {}).get("created", self._revision)
    item = {
      "key": key,
      "value": base64.b64encode(data).decode(),
      "revision": self._revision,
      "created": made,
      "lease": lease,
    }
    self._items[key] = item
    self._note(item)
    return self._revision

  def remove(self, key: str) -> None:
    """Removes a key."""
    if self._items.pop(key, None) is not None:
      self._revision += 1
      removed = {"key": key, "revision": self._revision, "tombstone": True}
      self._note(removed)

  def get(self, key: str) -> bytes | None:
    """Returns the value of a key."""
    item = self._items.get(key)
    return base64.b64decode(item["value"]) if item else None

  def list_keys(self, prefix: str) -> list[str]:
    """Lists the keys of a prefix."""
    return sorted(key for key in self._items if key.startswith(prefix))

  def forget_history(self) -> None:
    """Drops all changes."""
    self._history.clear()
    self._oldest = self._revision

  async def serve(
    self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> None:
    """Serves one connection."""
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
      while (message := await read_message(reader)) is not None:
        if self.mode == "silent":
          await asyncio.sleep(3600)
        if self.mode == "down":
          writer.write(format_reply(503))
          continue
        self._expire()
        status, body = await self._call(message)
        if self.mode == "lose":
          break
        data = json.dumps(body).encode()
        writer.write(
          format_reply(status, {"Content-Type": "application/json"}, data)
        )
    writer.close()

  async def _call(self, message: Message) -> tuple[int, Any]:
    path, _, query = message.target.partition("?")
    values = dict(parse.parse_qsl(query, keep_blank_values=True))
    _, _, name, *rest = path.split("/")
    self.calls[name] += 1
    if name == "kv-range":
      return self._range(values["prefix"], values.get("after", ""))
    if name == "kv-watch":
      return await self._watch(values)
    if name == "kv-txn":
      return self._transact(json.loads(message.body))
    if name == "kv-lease":
      number, ttl_s = (
        next(self._numbers),
        json.loads(message.body)["ttlMs"] / 1e3,
      )
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
    if after < self._oldest:
      return 410, {}
    with contextlib.suppress(TimeoutError):
      async with asyncio.timeout(int(values["waitMs"]) / 1e3):
        while not self._list_events(values["prefix"], after):
          await self._changed.wait()
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

  def _expire(self) -> None:
    now = time.monotonic()
    for number in [n for n, (until, _) in self._leases.items() if until < now]:
      self._end_lease(number)

  def _end_lease(self, number: int) -> None:
    self._leases.pop(number, None)
    for key in [k for k, i in self._items.items() if i["lease"] == number]:
      self.remove(key)

  def _note(self, event: dict[str, Any]) -> None:
    self._history.append(event)
    self._changed.set()
    self._changed = asyncio.Event()


class Site:
  """A store and upstreams on 127.0.0.1, in a thread of their own."""

  def __init__(self) -> None:
    self.store_address = ""
    self.leafs: dict[str, Leaf] = {}
    self._loop = asyncio.new_event_loop()
    self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
    self.store: Store | None = None

  def __enter__(self) -> Self:
    self._thread.start()
    self.call(self._start())
    return self

  def __exit__(self, *_: object) -> None:
    self.call(self._cancel_tasks())
    self._loop.call_soon_threadsafe(self._loop.stop)
    self._thread.join()
    self._loop.close()

  def call(self, work: Awaitable[Any]) -> Any:
    """Runs a coroutine in the site's thread."""
    return asyncio.run_coroutine_threadsafe(work, self._loop).result(30)

  def put(self, key: str, value: Any) -> int:
    """Writes a key of the store."""
    return self.call(self._run(self.store.put, key, value))

  def get(self, key: str) -> bytes | None:
    """Returns the value of a key of the store."""
    return self.call(self._run(self.store.get, key))

  def remove(self, key: str) -> None:
    """Removes a key of the store."""
    self.call(self._run(self.store.remove, key))

  def forget_history(self) -> None:
    """Makes the store forget its changes."""
    self.call(self._run(self.store.forget_history))

  def add_leaf(self, leaf: Leaf, **beat: Any) -> Leaf:
    """Starts an upstream and registers it."""
    self.call(self._listen(leaf))
    self.leafs[leaf.id] = leaf
    self.beat(leaf, **beat)
    return leaf

  def beat(self, leaf: Leaf, **changed: Any) -> None:
    """Writes an upstream's report."""
    report = {
      "service": leaf.service,
      "address": f"127.0.0.1:{leaf.port}",
      "zone": leaf.zone,
      "version": "v1",
      "concurrency": 2,
      "state": "ready",
      "warmupLeftMs": 0,
      "sequence": 1,
      **changed,
    }
    self.put(f"servers/{leaf.id}", report)

  def stop_leaf(self, leaf: Leaf) -> None:
    """Stops an upstream at once; its registration stays."""
    self.call(self._stop(leaf))

  async def _run(self, function: Callable[..., Any], *values: Any) -> Any:
    return function(*values)

  async def _start(self) -> None:
    self.store = Store()
    server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    self.store_address = f"127.0.0.1:{port}"

  async def _cancel_tasks(self) -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
      task.cancel()
    await asyncio.gather(*others, return_exceptions=True)

  async def _listen(self, leaf: Leaf) -> None:
    leaf.server = await asyncio.start_server(
      leaf.serve, "127.0.0.1", leaf.port or 0
    )
    leaf.port = leaf.server.sockets[0].getsockname()[1]

  async def _stop(self, leaf: Leaf) -> None:
    leaf.server.close()
    for writer in list(leaf.readers):
      writer.transport.abort()


def make_records(*numbers: int) -> bytes:
  """Returns records whose order is that of the numbers."""
  return b"".join(number.to_bytes(RECORD_BYTES, "big") for number in numbers)


def make_route(name: str, **changed: Any) -> dict[str, Any]:
  """Returns a route of the operator's configuration."""
  return {
    "name": name,
    "host": "shop.example",
    "prefix": f"/{name}/",
    "type": "idempotent",
    "timeoutMs": 2000,
    "targetLatencyMs": 400,
    "maxAttempts": 2,
    "priority": 1,
    **changed,
  }


def make_configuration(
  version: int, routes: list[dict[str, Any]]
) -> dict[str, Any]:
  """Returns a configuration with the services that its routes name."""
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
