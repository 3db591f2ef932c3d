"""Stand-ins and process control for the cases of the second review.

Everything here uses the standard library only and loopback addresses only. The
store and the leafs follow PROTOCOL.md; the node is started with the command of
``deploy/system.toml`` and with settings of the form that DEPLOY.md shows.

Each node may reach the leafs through gates of its own: the store names to each
node the address of its own gate in place of the leaf's, as an address
translation would. So a script can partition one node from all leafs.
"""

from __future__ import annotations

import asyncio
import base64
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "shop.example"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.2
_HISTORY = 20_000
# A cancelled task of a connection would be reported as an error.
_ENDED = (
  ConnectionError,
  asyncio.IncompleteReadError,
  asyncio.CancelledError,
)


class CouldNotRunError(Exception):
  """The case did not get as far as its check."""


class Record:
  """The file ``record.txt`` of a case."""

  def __init__(self, path: pathlib.Path) -> None:
    """Opens the file anew."""
    self._file = path.open("w", encoding="utf-8")
    self._started_at = time.monotonic()

  def write(self, text: str) -> None:
    """Writes one line with the time since the start, in seconds."""
    elapsed_s = time.monotonic() - self._started_at
    self._file.write(f"{elapsed_s:8.3f}  {text}\n")
    self._file.flush()

  def say(self, text: str) -> None:
    """Writes one line, also to standard output."""
    self.write(text)
    print(text, flush=True)


@dataclasses.dataclass
class HttpMessage:
  """A request or a response.

  Attributes:
    first: The words of its first line.
    headers: Headers, names in lower case.
    body: The body.
  """

  first: list[str]
  headers: dict[str, str]
  body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> HttpMessage | None:
  """Reads the head of a message; returns None at the end of the connection."""
  try:
    raw = await reader.readuntil(b"\r\n\r\n")
  except (asyncio.IncompleteReadError, ConnectionError):
    return None
  first, *lines = raw.decode("latin-1").split("\r\n")
  headers = {}
  for line in filter(None, lines):
    name, _, value = line.partition(":")
    headers[name.strip().lower()] = value.strip()
  return HttpMessage(first.split(" ", 2), headers)


async def read_message(reader: asyncio.StreamReader) -> HttpMessage | None:
  """Reads a message with ``Content-Length``."""
  message = await read_head(reader)
  if message is not None:
    length = int(message.headers.get("content-length", 0))
    message.body = await reader.readexactly(length)
  return message


def format_response(
  status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
  """Returns the bytes of a response."""
  fields = {**headers, "Content-Length": str(len(body))}
  lines = [f"{name}: {value}" for name, value in fields.items()]
  head = "\r\n".join([f"HTTP/1.1 {status} X", *lines])
  return head.encode("latin-1") + b"\r\n\r\n" + body


class Store:
  """The platform's store: keys, history and watches.

  Attributes:
    mode: "up", "down" (503), "reset" or "silent", by the view of a node.
    calls: Count of the calls by view and name.
  """

  def __init__(self, record: Record) -> None:
    """Creates an empty store."""
    self.mode: dict[str, str] = collections.defaultdict(lambda: "up")
    self.calls: collections.Counter[tuple[str, str]] = collections.Counter()
    self.translations: dict[str, dict[str, str]] = {}
    self.era = 1
    self._record = record
    self._revision = 10
    self._oldest = 10
    self._items: dict[str, dict[str, Any]] = {}
    self._history: collections.deque = collections.deque(maxlen=_HISTORY)
    self._changed = asyncio.Event()
    self._servers: list[asyncio.Server] = []
    self._writers: dict[asyncio.StreamWriter, str] = {}

  def put(self, key: str, value: Any) -> int:
    """Writes a key; returns the new revision."""
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    self._revision += 1
    created = self._items.get(key, {}).get("created", self._revision)
    self._items[key] = {
      "key": key,
      "raw": raw,
      "revision": self._revision,
      "created": created,
      "lease": 0,
    }
    self._append(self._items[key])
    return self._revision

  def remove(self, key: str) -> None:
    """Removes a key."""
    if self._items.pop(key, None) is not None:
      self._revision += 1
      event = {"key": key, "revision": self._revision, "tombstone": True}
      self._append(event)

  def get(self, key: str) -> Any:
    """Returns the decoded value of a key; None if it does not exist."""
    item = self._items.get(key)
    return json.loads(item["raw"]) if item else None

  def get_revision(self, key: str) -> int:
    """Returns the revision of a key; 0 if it does not exist."""
    item = self._items.get(key)
    return item["revision"] if item else 0

  def set_mode(self, view: str, mode: str) -> None:
    """Sets how the store treats a node; open calls end with a reset."""
    self.mode[view] = mode
    self._record.write(f"store: {view or 'all'} is {mode}")
    for writer, name in list(self._writers.items()):
      if name == view and mode == "reset":
        writer.transport.abort()

  def _append(self, event: dict[str, Any]) -> None:
    self._history.append(event)
    changed, self._changed = self._changed, asyncio.Event()
    changed.set()

  async def listen(self, view: str, ip: str) -> str:
    """Opens an address at which one node calls the store."""

    async def serve(
      reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
      self._writers[writer] = view
      try:
        await self._serve(view, reader, writer)
      except _ENDED:
        pass
      finally:
        self._writers.pop(writer, None)
        writer.close()

    server = await asyncio.start_server(serve, ip, 0)
    self._servers.append(server)
    return "{}:{}".format(*server.sockets[0].getsockname())

  async def _serve(
    self,
    view: str,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
  ) -> None:
    while (request := await read_message(reader)) is not None:
      if self.mode[view] == "silent":
        await asyncio.sleep(3600)
      if self.mode[view] == "reset":
        writer.transport.abort()
        return
      if self.mode[view] == "down":
        writer.write(format_response(503, {}))
        continue
      status, body = await self._answer(view, request)
      if self.mode[view] == "silent":
        await asyncio.sleep(3600)
      fields = {
        "Content-Type": "application/json",
        "Store-Era": str(self.era),
      }
      writer.write(format_response(status, fields, json.dumps(body).encode()))
      await writer.drain()

  async def _answer(self, view: str, request: HttpMessage) -> tuple[int, Any]:
    path, _, query = request.first[1].partition("?")
    values = dict(parse.parse_qsl(query, keep_blank_values=True))
    name = path.removeprefix("/v1/").partition("/")[0]
    self.calls[view, name] += 1
    await asyncio.sleep(0.004)
    if name == "kv-key":
      item = self._items.get(values["key"])
      return (200, self._show(view, item)) if item else (404, {})
    if name == "kv-range":
      return 200, self._list(view, values["prefix"], values.get("after", ""))
    if name == "kv-watch":
      return await self._watch(view, values)
    if name == "kv-txn":
      return self._write(view, json.loads(request.body))
    return 404, {}

  def _list(self, view: str, prefix: str, after: str) -> dict[str, Any]:
    keys = [k for k in sorted(self._items) if k.startswith(prefix)]
    later = [key for key in keys if key > after]
    items = [self._show(view, self._items[key]) for key in later[:500]]
    return {"items": items, "hasMore": len(later) > 500, "at": self._revision}

  async def _watch(
    self, view: str, values: dict[str, str]
  ) -> tuple[int, dict[str, Any]]:
    after = int(values["after"])
    if not self._oldest <= after <= self._revision:
      return 410, {}
    until = time.monotonic() + int(values["waitMs"]) / 1e3
    while True:
      events = [
        self._show(view, event)
        for event in self._history
        if event["revision"] > after
        and event["key"].startswith(values["prefix"])
      ]
      left_s = until - time.monotonic()
      if events or left_s <= 0:
        return 200, {"events": events, "at": self._revision}
      with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(self._changed.wait(), left_s)

  def _write(self, view: str, body: dict[str, Any]) -> tuple[int, Any]:
    rows = body.get("expected", [])
    if any(self.get_revision(r["key"]) != r["revision"] for r in rows):
      known = [self._items[r["key"]] for r in rows if r["key"] in self._items]
      return 412, {"items": [self._show(view, item) for item in known]}
    keys = [put["key"] for put in body.get("puts", [])]
    keys += body.get("remove", [])
    if any(key.startswith(("op/", "servers/")) for key in keys):
      return 403, {}
    for put in body.get("puts", []):
      raw = base64.b64decode(put["value"])
      self.put(put["key"], raw)
      if put["key"].startswith("status/"):
        self._record.write(f"store: {view} wrote {put['key']} {raw.decode()}")
    for key in body.get("remove", []):
      self.remove(key)
    return 200, {"revision": self._revision}

  def _show(self, view: str, item: dict[str, Any]) -> dict[str, Any]:
    """Returns an item as one node sees it."""
    if "raw" not in item:
      return item
    raw = item["raw"]
    translation = self.translations.get(view)
    if translation and item["key"].startswith("servers/"):
      value = json.loads(raw)
      address = value.get("address")
      value["address"] = translation.get(address, address)
      raw = json.dumps(value).encode()
    shown = {name: item[name] for name in item if name != "raw"}
    return {**shown, "value": base64.b64encode(raw).decode()}


@dataclasses.dataclass
class Leaf:
  """A leaf.

  Attributes:
    id: Its id.
    service: Its service.
    ip: IP address on which it listens.
    work_s: How long a request takes.
    slots: Number of requests that it runs at a time.
    queue: Number of requests that may wait.
    body: Body of its answers.
    zone: Its zone.
    version: Version of its software.
    port: Its port; 0 until it listens.
    extra_headers: Headers that it adds to each answer.
    arrivals: Time and id of each request that reached it.
    runs: Time and id of each request that it began to run.
    state: State that it reports.
    cold_until: Monotonic time until which it is cold.
    on_run: Called at the end of a request's work; True if the leaf has ended.
  """

  id: str
  service: str
  ip: str = "127.0.2.1"
  work_s: float = 0.02
  slots: int = 2
  queue: int = 12
  body: bytes = b""
  zone: str = "z1"
  version: str = "v1"
  port: int = 0
  extra_headers: dict[str, str] = dataclasses.field(default_factory=dict)
  arrivals: list[tuple[float, str]] = dataclasses.field(default_factory=list)
  runs: list[tuple[float, str]] = dataclasses.field(default_factory=list)
  state: str = "ready"
  sequence: int = 0
  born: int = dataclasses.field(default_factory=lambda: int(time.time() * 1e3))
  cold_until: float = 0.0
  on_run: Callable[[HttpMessage], bool] | None = None

  def __post_init__(self) -> None:
    self._free = asyncio.Semaphore(self.slots)
    self._waiting = 0
    self._server: asyncio.Server | None = None
    self._writers: set[asyncio.StreamWriter] = set()
    self.has_ended = False

  @property
  def address(self) -> str:
    """IP:port."""
    return f"{self.ip}:{self.port}"

  async def start(self) -> None:
    """Listens, at the same port as before if it did."""
    self._server = await asyncio.start_server(
      self._serve, self.ip, self.port, backlog=128
    )
    self.port = self._server.sockets[0].getsockname()[1]

  def stop(self) -> None:
    """Ends as a killed process does."""
    self.has_ended = True
    if self._server is not None:
      self._server.close()
      self._server = None
    for writer in list(self._writers):
      writer.transport.abort()

  def describe(self) -> dict[str, Any]:
    """Returns its entry in the store."""
    self.sequence += 1
    return {
      "service": self.service,
      "address": self.address,
      "zone": self.zone,
      "version": self.version,
      "concurrency": self.slots,
      "state": self.state,
      "warmupLeftMs": max(0, int((self.cold_until - time.monotonic()) * 1e3)),
      "sequence": self.sequence,
      "born": self.born,
    }

  def seal(self, request_id: str) -> str:
    """Returns the seal of its answer to a request."""
    return f"{self.id}.{request_id}"

  async def _serve(
    self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> None:
    self._writers.add(writer)
    try:
      while (request := await read_message(reader)) is not None:
        writer.write(await self._answer(request, reader))
        await writer.drain()
    except _ENDED:
      pass
    finally:
      self._writers.discard(writer)
      writer.close()

  async def _answer(
    self, request: HttpMessage, reader: asyncio.StreamReader
  ) -> bytes:
    request_id = request.headers.get("bronzefold-request-id", "")
    fields = {"Bronzefold-Request-Id": request_id, **self.extra_headers}
    expected = request.headers.get("bronzefold-expect-instance", self.id)
    refusal = {**fields, "Bronzefold-Not-Executed": "1"}
    if expected != self.id:
      return format_response(421, refusal)
    self.arrivals.append((time.monotonic(), request_id))
    if self._free.locked() and self._waiting >= self.queue:
      return format_response(503, refusal)
    self._waiting += 1
    try:
      await self._free.acquire()
    finally:
      self._waiting -= 1
    try:
      if reader.at_eof():
        raise ConnectionResetError
      self.runs.append((time.monotonic(), request_id))
      await asyncio.sleep(self.work_s)
      if self.on_run is not None and self.on_run(request):
        raise ConnectionResetError
      return self.make_answer(request, fields)
    finally:
      self._free.release()

  def make_answer(
    self, request: HttpMessage, fields: dict[str, str], status: int = 200
  ) -> bytes:
    """Returns its answer to a request that it has run."""
    request_id = request.headers["bronzefold-request-id"]
    load = f"{self.slots - self._free._value},{self._waiting},{self.slots}"
    fields = {
      **fields,
      "Bronzefold-Response-Seal": self.seal(request_id),
      "Bronzefold-Server-Load": load,
    }
    return format_response(status, fields, self.body)


class Gate:
  """The only way of one node to one leaf.

  Modes: "open"; "hang" (nothing passes, new connections hang); "reset" (open
  connections are reset and new ones are refused); "refuse" (open connections
  live on and new ones are refused).
  """

  def __init__(self, ip: str, leaf: Leaf) -> None:
    """Creates a gate to a leaf."""
    self.leaf = leaf
    self.mode = "open"
    self.passed_bytes = 0
    self._ip = ip
    self._port = 0
    self._sock: socket.socket | None = None
    self._pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
    self._fillers: list[socket.socket] = []
    self._tasks: set[asyncio.Task] = set()
    self._open()

  @property
  def address(self) -> str:
    """IP:port."""
    return f"{self._ip}:{self._port}"

  def _open(self) -> None:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((self._ip, self._port))
    sock.listen(128)
    sock.setblocking(False)
    self._port = sock.getsockname()[1]
    self._sock = sock
    asyncio.get_running_loop().add_reader(sock.fileno(), self._accept)

  def _accept(self) -> None:
    with contextlib.suppress(BlockingIOError):
      while True:
        connection, _ = self._sock.accept()
        connection.setblocking(False)
        task = asyncio.get_running_loop().create_task(self._join(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

  def set_mode(self, mode: str) -> None:
    """Changes the mode."""
    loop = asyncio.get_running_loop()
    previous, self.mode = self.mode, mode
    if previous == "hang":
      for filler in self._fillers:
        filler.close()
      self._fillers = []
      self._sock.listen(128)
      loop.add_reader(self._sock.fileno(), self._accept)
    elif previous in ("reset", "refuse"):
      self._open()
    if mode == "hang":
      loop.remove_reader(self._sock.fileno())
      self._sock.listen(0)
      for _ in range(4):  # a full queue drops the packets that open others
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex((self._ip, self._port))
        self._fillers.append(filler)
    elif mode in ("reset", "refuse"):
      loop.remove_reader(self._sock.fileno())
      self._sock.close()
    if mode == "reset" or (previous == "hang" and mode == "open"):
      for pair in list(self._pairs):
        for writer in pair:
          writer.transport.abort()

  async def _join(self, connection: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
      reader, writer = await asyncio.open_connection(sock=connection)
      try:
        far = await asyncio.open_connection(self.leaf.ip, self.leaf.port)
      except OSError:
        writer.transport.abort()
        return
      far_reader, far_writer = far
      pair = (writer, far_writer)
      self._pairs.add(pair)
      try:
        copies = [
          loop.create_task(self._copy(reader, far_writer)),
          loop.create_task(self._copy(far_reader, writer)),
        ]
        await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        for copy in copies:
          copy.cancel()
      finally:
        self._pairs.discard(pair)
        for end in pair:
          end.transport.abort() if self.mode == "reset" else end.close()

  async def _copy(
    self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> None:
    with contextlib.suppress(ConnectionError):
      while data := await reader.read(65536):
        if self.mode == "hang":
          await asyncio.sleep(3600)
        self.passed_bytes += len(data)
        writer.write(data)
        await writer.drain()


class Node:
  """One node: the program of the deploy file as a process."""

  def __init__(
    self, number: int, zone: str, ports: list[int], folder: pathlib.Path
  ) -> None:
    """Describes a node; ``start`` runs it."""
    self.number = number
    self.name = f"edge-{number}"
    self.zone = zone
    self.ip = f"127.0.1.{number}"
    self.front, self.readiness, self.control, self.directory = ports[:4]
    self.peer, self.metrics = ports[4:]
    self.store_address = ""
    self.folder = folder / self.name
    self.folder.mkdir()
    self.log = self.folder / "log"
    self.process: subprocess.Popen | None = None

  def write_settings(self, seeds: list[str], **bounds: Any) -> None:
    """Writes the settings file, as DEPLOY.md shows it."""
    values = {**_BOUNDS, **bounds}
    seed_list = ", ".join(f'"{seed}"' for seed in seeds)
    lines = [
      f'nodeName = "{self.name}"',
      'role = "node"',
      'machineClass = "edge"',
      f'ip = "{self.ip}"',
      f'zone = "{self.zone}"',
      'region = "r1"',
      f"internalPortRange = [{self.peer}, {self.peer}]",
      f"seeds = [{seed_list}]",
      "bootstrap = true",
      "heartbeatMs = 1200",
      "[bindAddrs]",
      f'front = "{self.ip}:{self.front}"',
      f'readiness = "{self.ip}:{self.readiness}"',
      f'control = "{self.ip}:{self.control}"',
      f'directory = "{self.ip}:{self.directory}"',
      "[limits]",
      "cpuShare = 0.537",
      "cores = 2",
      "memoryMb = 300",
      "maxFds = 4100",
      "[bounds]",
      *(f"{name} = {value}" for name, value in values.items()),
      "[platform]",
      f'address = "{self.store_address}"',
      'form = "kv"',
    ]
    text = "\n".join(lines) + "\n"
    draft = self.folder / "boot.toml.new"
    draft.write_text(text, "utf-8")
    draft.rename(self.folder / "boot.toml")

  def start(self) -> None:
    """Starts the process with the command of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
    role = deploy["roles"]["node"]
    names = ("PATH", "HOME", "LANG")
    inherited = {n: os.environ[n] for n in names if n in os.environ}
    with self.log.open("ab") as stream:
      self.process = subprocess.Popen(
        role["run"].split(),
        cwd=ROOT,
        stdout=stream,
        stderr=stream,
        env={
          **inherited,
          "PYTHONPATH": str(ROOT / "target/deps"),
          "PYTHONDONTWRITEBYTECODE": "1",
          "BRONZEFOLD_CONFIG": str(self.folder / "boot.toml"),
          "BRONZEFOLD_METRICS_PORT": str(self.metrics),
        },
      )

  def signal(self, number: int) -> None:
    """Sends a signal to the process, if it runs."""
    if self.process is not None and self.process.poll() is None:
      self.process.send_signal(number)

  def end(self) -> None:
    """Ends the process."""
    if self.process is not None:
      self.signal(signal.SIGCONT)
      self.signal(signal.SIGKILL)
      self.process.wait()

  async def is_ready(self) -> bool:
    """True if the readiness check answers 200."""
    try:
      reply = await fetch(self.ip, self.readiness, "/v1/readyz", timeout_s=1.0)
    except (OSError, TimeoutError):
      return False
    return reply.status == 200

  async def resolve(self) -> list[str]:
    """Returns the addresses that its directory names."""
    target = f"/v1/resolve?name={HOST}&region=r1&zone={self.zone}"
    reply = await fetch(self.ip, self.directory, target, timeout_s=1.0)
    return json.loads(reply.body)["addrs"]


_BOUNDS = {
  "contactMs": 4000,
  "drainMs": 3000,
  "graceS": 6,
  "lossSlackMs": 200,
  "configApplyMs": 3000,
  "retryBudgetRatio": 0.2,
  "retryWindowS": 10,
  "retrySlack": 56,
  "ttl_max_s": 5,
}


@dataclasses.dataclass
class Reply:
  """What a client got.

  Attributes:
    status: HTTP status.
    headers: Headers, names in lower case.
    body: The body.
    took_s: Time from the start of the connection to the end of the answer.
  """

  status: int
  headers: dict[str, str]
  body: bytes
  took_s: float


async def fetch(
  ip: str,
  port: int,
  target: str,
  *,
  method: str = "GET",
  headers: dict[str, str] | None = None,
  body: bytes = b"",
  timeout_s: float = 5.0,
) -> Reply:
  """Sends a request on a new connection and reads the answer.

  Raises:
    OSError: The connection failed or closed without a complete answer.
    TimeoutError: There was no answer in time.
  """
  started_at = time.monotonic()
  async with asyncio.timeout(timeout_s):
    reader, writer = await asyncio.open_connection(ip, port)
    try:
      fields = {"Host": HOST, **(headers or {})}
      if body:
        fields["Content-Length"] = str(len(body))
      lines = [f"{method} {target} HTTP/1.1"]
      lines += [f"{name}: {value}" for name, value in fields.items()]
      writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
      message = await read_head(reader)
      if message is None:
        raise ConnectionResetError("closed without an answer")
      length = int(message.headers.get("content-length", 0))
      if method != "HEAD":
        try:
          message.body = await reader.readexactly(length)
        except asyncio.IncompleteReadError as error:
          raise ConnectionResetError("answer is incomplete") from error
    finally:
      writer.close()
  elapsed_s = time.monotonic() - started_at
  status = int(message.first[1])
  return Reply(status, message.headers, message.body, elapsed_s)


class Rig:
  """A small deployment: a store, leafs and nodes."""

  def __init__(self, folder: pathlib.Path) -> None:
    """Creates an empty deployment.

    Args:
      folder: Folder of the case, in which ``record.txt`` is written.
    """
    self.record = Record(folder / "record.txt")
    self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
    self.store = Store(self.record)
    self.leafs: dict[str, Leaf] = {}
    self.nodes: list[Node] = []
    self.gates: dict[tuple[int, str], Gate] = {}
    self._temporary = tempfile.TemporaryDirectory(prefix="review-")
    self._ids = itertools.count(1)
    self._tasks: list[asyncio.Task] = []
    self._gated: list[int] = []
    self._named_at: dict[str, float] = {}

  async def __aenter__(self) -> Rig:
    return self

  async def __aexit__(self, *_: object) -> None:
    for node in self.nodes:
      node.end()
    for task in self._tasks:
      task.cancel()
    for leaf in self.leafs.values():
      leaf.stop()
    if "KEEP_LOGS" in os.environ:
      for node in self.nodes:
        target = pathlib.Path(os.environ["KEEP_LOGS"]) / f"{node.name}.log"
        target.write_bytes(node.log.read_bytes())
    self._temporary.cleanup()

  def spawn(self, work: Awaitable[Any]) -> asyncio.Task:
    """Runs something until the end of the case."""
    task = asyncio.get_running_loop().create_task(work)
    self._tasks.append(task)
    return task

  async def add_leaf(self, leaf: Leaf) -> Leaf:
    """Starts a leaf, which reports to the store from now on."""
    await leaf.start()
    self.leafs[leaf.id] = leaf
    for number in self._gated:
      self._add_gate(self.nodes[number - 1], leaf)
    self.store.put(f"servers/{leaf.id}", leaf.describe())
    self.spawn(self._report(leaf))
    return leaf

  async def _report(self, leaf: Leaf) -> None:
    await asyncio.sleep(random.random() * HEARTBEAT_S)  # leafs aren't in step
    while not leaf.has_ended:
      await asyncio.sleep(HEARTBEAT_S)
      if not leaf.has_ended and self.store.mode[""] == "up":
        self.store.put(f"servers/{leaf.id}", leaf.describe())
    await asyncio.sleep(2 * HEARTBEAT_S)  # three intervals of silence
    self.store.remove(f"servers/{leaf.id}")

  def remove_leaf(self, leaf: Leaf) -> None:
    """Stops a leaf at once and removes its entry."""
    leaf.stop()
    self.store.remove(f"servers/{leaf.id}")

  def _add_gate(self, node: Node, leaf: Leaf) -> None:
    gate = Gate(f"127.0.3.{node.number}", leaf)
    self.gates[node.number, leaf.id] = gate
    view = self.store.translations.setdefault(node.name, {})
    view[leaf.address] = gate.address

  async def add_nodes(
    self, zones: list[str], gated: list[int] | None = None
  ) -> None:
    """Starts nodes, and waits until they are ready.

    Args:
      zones: Zone of each node.
      gated: Numbers of the nodes that reach the leafs through gates.
    """
    self._gated = gated or []
    ips = [f"127.0.1.{number + 1}" for number in range(len(zones))]
    ports = _find_ports(ips, 6)
    folder = pathlib.Path(self._temporary.name)
    for number, zone in enumerate(zones, 1):
      self.nodes.append(Node(number, zone, ports, folder))
    seeds = [f"{node.ip}:{node.control}" for node in self.nodes[:3]]
    for node in self.nodes:
      address = await self.store.listen(node.name, f"127.0.4.{node.number}")
      node.store_address = address
      node.write_settings(seeds)
      if node.number in self._gated:
        for leaf in self.leafs.values():
          self._add_gate(node, leaf)
    for node in self.nodes:
      node.start()
      await self.wait_until(node.is_ready, f"{node.name} is ready")
    await self.wait_until(self._knows_all, "the directory names all nodes")

  async def _knows_all(self) -> bool:
    try:
      found = [await node.resolve() for node in self.nodes]
    except (OSError, TimeoutError):
      return False
    return all(len(addresses) == len(self.nodes) for addresses in found)

  async def wait_until(
    self,
    condition: Callable[[], Awaitable[bool]],
    text: str,
    limit_s: float = 15.0,
  ) -> None:
    """Waits for a condition; gives the case up if it does not hold in time."""
    until = time.monotonic() + limit_s
    while not await condition():
      if time.monotonic() > until:
        raise CouldNotRunError(text)
      await asyncio.sleep(0.05)

  async def follow_directory(self) -> None:
    """Asks the nodes each second which addresses clients are to use."""
    while True:
      for node in self.nodes:
        with contextlib.suppress(OSError, TimeoutError):
          now = time.monotonic()
          for address in await node.resolve():
            self._named_at[address] = now
      await asyncio.sleep(1.0)

  def is_named(self, node: Node) -> bool:
    """True while patient clients use a node: three times the ``ttl_s`` of 1."""
    named_at = self._named_at.get(f"{node.ip}:{node.front}", 0.0)
    return time.monotonic() - named_at < 3.0

  def make_id(self, text: str) -> str:
    """Returns a new request id."""
    return f"{text}-{next(self._ids):06d}"

  async def ask(
    self,
    node: Node,
    target: str,
    *,
    deadline_ms: int,
    method: str = "GET",
    body: bytes = b"",
    request_id: str = "",
  ) -> Reply | Exception:
    """Sends one client attempt to a node; returns the answer or the failure."""
    request_id = request_id or self.make_id(f"n{node.number}")
    fields = {
      "Bronzefold-Request-Id": request_id,
      "Bronzefold-Deadline-Ms": str(deadline_ms),
    }
    self.record.write(f"sent      {request_id} {method} {target} {node.name}")
    try:
      reply = await fetch(
        node.ip,
        node.front,
        target,
        method=method,
        headers=fields,
        body=body,
        timeout_s=deadline_ms / 1e3,
      )
    except (OSError, TimeoutError) as error:
      text = f"{type(error).__name__} {error}"
      self.record.write(f"no answer {request_id} {text}")
      return error
    seal = reply.headers.get("bronzefold-response-seal", "-")
    self.record.write(
      f"answered  {request_id} {reply.status} seal {seal} "
      f"after {reply.took_s * 1e3:.0f} ms"
    )
    return reply

  def write_runs(self) -> None:
    """Writes what the leafs ran."""
    for leaf in self.leafs.values():
      ids = " ".join(request_id for _, request_id in leaf.runs)
      self.record.write(f"ran on {leaf.id} ({leaf.service}): {ids}")


def judge_recovery(
  rig: Rig, judged: list[tuple[float, int, bool]], cut_node: Node
) -> int:
  """Applies the rule RECOVER to first tries during a partition.

  Args:
    rig: The deployment.
    judged: Time, node and success of the first tries from ``contactMs`` after
      the begin of the partition to its end.
    cut_node: The node that is partitioned from all leafs.
  """
  here = [ok for _, number, ok in judged if number == cut_node.number]
  others = [ok for _, number, ok in judged if number != cut_node.number]
  rig.write_runs()
  rig.record.say(
    f"first tries at {cut_node.name}, which the directory names: "
    f"{sum(here)} of {len(here)} served"
  )
  rig.record.say(f"at the others: {sum(others)} of {len(others)} served")
  if not others:
    raise CouldNotRunError("no first tries")
  failed = len(here) - sum(here)
  is_less_often = sum(here) * len(others) < 2 / 3 * sum(others) * len(here)
  is_broken = is_less_often and failed > 10 + len(here) / 50
  rig.record.say("RECOVER is broken" if is_broken else "RECOVER held")
  return BROKEN if is_broken else HELD


def make_route(name: str, **fields: Any) -> dict[str, Any]:
  """Returns a route of a configuration."""
  return {
    "name": name,
    "host": HOST,
    "prefix": f"/{name}/",
    "type": "idempotent",
    "timeoutMs": 2000,
    "targetLatencyMs": 400,
    "maxAttempts": 2,
    "priority": 1,
    **fields,
  }


def make_configuration(
  version: int, routes: list[dict[str, Any]], max_connections: int = 26
) -> dict[str, Any]:
  """Returns a configuration with the services that its routes name."""
  names = set()
  for route in routes:
    names.update(route.get("gather", ()))
    names.update(part["service"] for part in route.get("trafficSplit", ()))
    names.update(filter(None, [route.get("service")]))
  services = [
    {
      "name": name,
      "healthPath": "/healthz",
      "maxConnections": max_connections,
      "warmupS": 3.0,
      "warmupPerS": 10.0,
    }
    for name in sorted(names)
  ]
  limits = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 262144,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
  }
  return {
    "version": version,
    "routes": routes,
    "services": services,
    "limits": limits,
  }


def _find_ports(ips: list[str], count: int) -> list[int]:
  """Finds ports below the kernel's range that are free on all addresses."""
  found = []
  first = 12_000 + os.getpid() % 900 * 20
  for port in range(first, 32_000):
    if all(_is_free(ip, port) for ip in ips):
      found.append(port)
    if len(found) == count:
      return found
  raise CouldNotRunError("no free ports")


def _is_free(ip: str, port: int) -> bool:
  with socket.socket() as sock:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
      sock.bind((ip, port))
    except OSError:
      return False
  return True


def run_case(
  case: Callable[[Rig], Awaitable[int]], folder: pathlib.Path
) -> None:
  """Runs a case and exits with its result."""

  async def work() -> int:
    rig = Rig(folder)
    stop = asyncio.current_task().cancel
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
    try:
      async with rig:
        async with asyncio.timeout(110):
          return await case(rig)
    except (
      CouldNotRunError,
      TimeoutError,
      OSError,
      asyncio.CancelledError,
    ) as error:
      rig.record.say(f"could not run: {type(error).__name__} {error}")
      return COULD_NOT_RUN

  sys.exit(asyncio.run(work()))
