"""What the cases share: a small deployment of nodes, its store, and a record.

The nodes are the project's own program, started by the command of the deploy
file. The store is the project's stand-in. Leafs and clients stand in the case.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import http.client
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPENDENCIES = ROOT / "target" / "deps"
sys.path[:0] = [str(ROOT), str(DEPENDENCIES)]

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "fuel.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SETTINGS = """
nodeName = "{name}"
role = "node"
machineClass = "edge"
serves = ["edge", "control_plane", "directory"]
ip = "{ip}"
zone = "{zone}"
region = "th-central"
internalPortRange = [{peer}, {peer_end}]
seeds = [{seeds}]
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "scatter", \
"places", "rollout", "platform"]
[zones]
bkk-north = "th-central"
bkk-south = "th-central"
[bindAddrs]
front = "{ip}:{front}"
readiness = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxSkewMs = 12000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 56
canaryShare = 0.1
canarySlack = 50
rollbackMs = 5000
warmupOvershoot = 1.5
warmupSlack = 5
evacuateMs = 5000
recoveryS = 12
ttl_max_s = 5
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
"""


class CaseError(Exception):
  """The case could not run."""


class Record:
  """The record of a case: what was sent, answered and run."""

  def __init__(self, path: pathlib.Path) -> None:
    self._stream = path.open("w", encoding="utf-8")
    self._started_at = time.monotonic()
    self._lock = threading.Lock()

  def write(self, text: str) -> None:
    """Writes a line with the time since the start."""
    with self._lock:
      elapsed_s = time.monotonic() - self._started_at
      self._stream.write(f"{elapsed_s:9.3f} {text}\n")
      self._stream.flush()

  def close(self) -> None:
    """Closes the file."""
    self._stream.close()


class Loop:
  """An event loop in a thread, for leafs."""

  def __init__(self) -> None:
    self._loop = asyncio.new_event_loop()
    threading.Thread(target=self._loop.run_forever, daemon=True).start()

  def call(self, work: Awaitable[Any]) -> Any:
    """Runs a coroutine in the thread and returns its result."""
    return asyncio.run_coroutine_threadsafe(work, self._loop).result(30)

  def listen(
    self,
    serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable],
  ) -> str:
    """Serves connections on a free port; returns its address."""

    async def start() -> str:
      server = await asyncio.start_server(serve, "127.0.0.1", 0)
      port = server.sockets[0].getsockname()[1]
      return f"127.0.0.1:{port}"

    return self.call(start())


def find_ports(ip: str, count: int) -> list[int]:
  """Finds ports that are free at an address."""
  with contextlib.ExitStack() as stack:
    sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
    for each in sockets:
      each.bind((ip, 0))
    return [each.getsockname()[1] for each in sockets]


class Node:
  """A node, as a process of the command that the deploy file names."""

  def __init__(
    self,
    name: str,
    store: str,
    ip: str = "127.0.0.1",
    peer_port: int | None = None,
    seeds: tuple[str, ...] = (),
    zone: str = "bkk-north",
  ) -> None:
    self.name = name
    self._folder = tempfile.TemporaryDirectory(prefix="bronzefold-review-")
    folder = pathlib.Path(self._folder.name)
    ports = find_ports(ip, 6)
    self.ip = ip
    self.front, self.ready, control, directory, self.metrics, peer = ports
    self.peer_port = peer_port or peer
    self.control = f"{ip}:{control}"
    self._settings_path = folder / "boot.toml"
    self._settings_path.write_text(
      SETTINGS.format(
        name=name,
        ip=ip,
        zone=zone,
        peer=self.peer_port,
        peer_end=self.peer_port + 1,
        seeds=", ".join(f'"{seed}"' for seed in seeds),
        front=self.front,
        ready=self.ready,
        control=control,
        directory=directory,
        store=store,
      ),
      encoding="utf-8",
    )
    self.log_path = folder / "log"
    deployment = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    role = deployment["roles"]["node"]
    self._command = role["run"].split(" ")
    self._environment = {
      name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
    }
    self._environment.update(role["env"])
    self._environment["BRONZEFOLD_METRICS_PORT"] = str(self.metrics)
    self._environment["BRONZEFOLD_CONFIG"] = str(self._settings_path)
    self._environment["PYTHONPATH"] = str(DEPENDENCIES)
    self.start()

  def start(self) -> None:
    """Starts the process; used again after it has ended."""
    with self.log_path.open("ab") as stream:
      self.process = subprocess.Popen(
        self._command,
        stdout=stream,
        stderr=stream,
        cwd=ROOT,
        env=self._environment,
      )

  def change_settings(self) -> None:
    """Changes the settings file: a little more slack for retries."""
    text = self._settings_path.read_text(encoding="utf-8")
    changed = text.replace("retrySlack = 56", "retrySlack = 57")
    self._settings_path.write_text(changed, encoding="utf-8")

  def read_memory_kb(self) -> int:
    """Returns the resident memory of the process; 0 if it has ended."""
    try:
      text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
    except OSError:
      return 0
    lines = [line for line in text.splitlines() if line.startswith("VmRSS:")]
    return int(lines[0].split()[1]) if lines else 0

  def is_ready(self) -> bool:
    """True if the readiness check passes."""
    connection = http.client.HTTPConnection(self.ip, self.ready, timeout=1)
    try:
      connection.request("GET", "/v1/readyz")
      return connection.getresponse().status == 200
    except OSError:
      return False
    finally:
      connection.close()

  def signal(self, number: int) -> None:
    """Sends a signal to the process."""
    self.process.send_signal(number)

  def read_log(self, event: str = "") -> list[str]:
    """Returns the lines of the log, or those of one event."""
    text = self.log_path.read_text(encoding="utf-8", errors="replace")
    return [
      line for line in text.splitlines() if not event or f'"{event}"' in line
    ]

  def close(self) -> None:
    """Ends the process."""
    if self.process.poll() is None:
      self.process.send_signal(signal.SIGCONT)
      self.process.kill()
    self.process.wait()
    self._folder.cleanup()


def wait_until(
  condition: Callable[[], bool], what: str, limit_s: float = 15.0
) -> None:
  """Waits until a condition holds; ``CaseError`` after the limit."""
  until = time.monotonic() + limit_s
  while not condition():
    if time.monotonic() > until:
      raise CaseError(f"not reached: {what}")
    time.sleep(0.05)


def make_report(service: str, address: str, **changed: Any) -> dict[str, Any]:
  """Returns the entry that a leaf writes to the store."""
  return {
    "service": service,
    "address": address,
    "zone": "bkk-north",
    "version": "v1",
    "concurrency": 2,
    "state": "ready",
    "warmupLeftMs": 0,
    "sequence": 1,
    "born": int(time.time() * 1e3) - 60_000,
    **changed,
  }


def make_route(name: str, **changed: Any) -> dict[str, Any]:
  """Returns a route of a configuration."""
  return {
    "name": name,
    "host": HOST,
    "prefix": f"/{name}/",
    "type": "idempotent",
    "timeoutMs": 6000,
    "targetLatencyMs": 400,
    "maxAttempts": 3,
    "priority": 1,
    **changed,
  }


def make_configuration(
  version: int, routes: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
  """Returns a configuration."""
  return {
    "version": version,
    "routes": routes,
    "services": [
      {
        "name": name,
        "healthPath": "/healthz",
        "maxConnections": 110,
        "warmupS": 3.0,
        "warmupPerS": 0.0,
      }
      for name in services
    ],
    "limits": {
      "maxHeaderBytes": 16384,
      "maxBodyBytes": 262144,
      "headerTimeoutMs": 3000,
      "idleTimeoutMs": 15000,
    },
  }


async def read_request(
  reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
  """Reads a request at a leaf: its first line, headers and body."""
  try:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
  except (asyncio.IncompleteReadError, ConnectionError):
    return None
  return first, headers, body


def make_answer(
  status: str, headers: dict[str, str], body: bytes, has_length: bool = True
) -> bytes:
  """Returns the bytes of a leaf's answer."""
  if has_length:
    headers = {**headers, "Content-Length": str(len(body))}
  lines = [f"{name}: {value}" for name, value in headers.items()]
  return "\r\n".join([f"HTTP/1.1 {status}", *lines, "", ""]).encode() + body


class Answer:
  """What a client got: status 0 if there was no complete answer."""

  def __init__(self, status: int, headers: dict[str, str], body: bytes):
    self.status = status
    self.headers = headers
    self.body = body


def send(
  node: Node,
  path: str,
  request_id: str,
  deadline_ms: int,
  method: str = "GET",
  body: bytes | None = None,
) -> Answer:
  """Sends a client's request on a new connection and reads the answer."""
  connection = http.client.HTTPConnection(
    node.ip, node.front, timeout=deadline_ms / 1e3
  )
  headers = {
    "Host": HOST,
    "Bronzefold-Request-Id": request_id,
    "Bronzefold-Deadline-Ms": str(deadline_ms),
  }
  try:
    connection.request(method, path, body, headers)
    reply = connection.getresponse()
    content = reply.read()
  except (OSError, http.client.HTTPException):
    return Answer(0, {}, b"")
  finally:
    connection.close()
  fields = {name.lower(): value for name, value in reply.getheaders()}
  return Answer(reply.status, fields, content)


def run_case(
  folder: pathlib.Path, play: Callable[[Any, Record, list[Node]], bool]
) -> int:
  """Plays a case.

  Args:
    folder: The folder of the case, which gets the record.
    play: Plays the case on a store; True if the rule held. Nodes that it adds
      to the list are ended.

  Returns:
    The exit code.
  """
  record = Record(folder / "record.txt")
  nodes: list[Node] = []
  code = NOT_RUN
  try:
    from tests.standins import site as sites

    with sites.Site() as site:
      held = play(site, record, nodes)
      code = HELD if held else BROKEN
  except Exception:  # the case could not run
    record.write(traceback.format_exc())
  finally:
    for node in nodes:
      node.close()
    words = {HELD: "rule held", BROKEN: "rule broken", NOT_RUN: "not run"}
    record.write(f"trouble: {TROUBLE}; result: {words[code]}")
    record.close()
  print(words[code])
  return code
