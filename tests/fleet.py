"""Starts nodes and stand-ins as processes of their own, for tests."""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

import httpcore

ROOT = pathlib.Path(__file__).resolve().parent.parent
PORT_SLOT_VARIABLE = "BRONZEFOLD_TEST_SLOT"

_FIRST_PORT = 10_000
_PORTS_PER_SLOT = 400
_FREE_SLOT = "50"
_port_numbers = itertools.count()

ROUTES = {
  "range": {"kind": "search", "merge": "ascending"},
  "top": {"kind": "search", "merge": "descending"},
  "nearest": {"kind": "search", "merge": "ascending"},
  "groups": {"kind": "search", "merge": "groups"},
  "book": {"kind": "action", "priority": 0},
}


def find_ports(count: int) -> list[int]:
  """Finds free ports of 127.0.0.1.

  Each process that runs tests has a range of its own, below the ports that the
  kernel gives to outgoing connections, so that nobody takes a port between its
  choice here and its use.
  """
  slot = int(os.environ.get(PORT_SLOT_VARIABLE, _FREE_SLOT))
  first = _FIRST_PORT + slot * _PORTS_PER_SLOT
  found: list[int] = []
  for _ in range(_PORTS_PER_SLOT):
    port = first + next(_port_numbers) % _PORTS_PER_SLOT
    if _is_free(port):
      found.append(port)
    if len(found) == count:
      return found
  raise AssertionError(f"no {count} free ports from {first}")


def _is_free(port: int) -> bool:
  with socket.socket() as opened:
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
      opened.bind(("127.0.0.1", port))
    except OSError:
      return False
  return True


def call(
  method: str,
  address: str,
  path: str,
  body: Any = None,
  headers: dict[str, str] | None = None,
  timeout_s: float = 10.0,
) -> tuple[int, Any]:
  """Makes an HTTP request on a connection of its own."""
  timeouts = {"connect": 2.0, "read": timeout_s, "write": 2.0}
  with httpcore.ConnectionPool() as pool:
    reply = pool.request(
      method,
      f"http://{address}{path}",
      headers=headers or {},
      content=b"" if body is None else json.dumps(body).encode(),
      extensions={"timeout": timeouts},
    )
  return reply.status, json.loads(reply.content)


class Process:
  """A started process."""

  def __init__(self, name: str, command: list[str], log: pathlib.Path) -> None:
    self.name = name
    self.log = log
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    with log.open("ab") as stream:
      self.popen = subprocess.Popen(
        command, stdout=stream, stderr=stream, cwd=ROOT, env=environment
      )

  def send(self, number: int) -> None:
    self.popen.send_signal(number)

  def kill(self) -> None:
    if self.popen.poll() is None:
      self.popen.send_signal(signal.SIGCONT)
      self.popen.kill()
    self.popen.wait()


class Fleet:
  """Nodes, a platform and upstreams on this machine.

  Args:
    nodes: Count of nodes.
    leaves: Specifications of upstreams without ports.
    shards: Shards of each snapshot.
    records: Records of each snapshot.
    zones: Availability zones; nodes and upstreams are spread over them.
    settings: Changed settings of the nodes.
    worlds: Processes over which the upstreams are spread.
  """

  def __init__(
    self,
    nodes: int = 2,
    leaves: list[dict] | None = None,
    shards: int = 16,
    records: int = 2000,
    zones: tuple[str, ...] = ("a", "b"),
    settings: dict | None = None,
    seed: int = 7,
    worlds: int = 1,
  ) -> None:
    self.directory = tempfile.TemporaryDirectory(prefix="bronzefold-")
    self.path = pathlib.Path(self.directory.name)
    self.zones = zones
    self.seed, self.shards, self.records = seed, shards, records
    self.leaves = [dict(leaf) for leaf in leaves or make_leaves(shards, zones)]
    ports = find_ports(1 + 2 * nodes + len(self.leaves) + worlds)
    self.platform = f"127.0.0.1:{ports.pop()}"
    self.controls = [ports.pop() for _ in range(worlds)]
    for index, leaf in enumerate(self.leaves):
      leaf["port"] = ports.pop()
      leaf["world"] = index % worlds
    self.settings = {
      f"n{i}": self.make_settings(
        f"n{i}", zones[i % len(zones)], ports.pop(), ports.pop(), settings
      )
      for i in range(nodes)
    }
    self.processes: dict[str, Process] = {}

  def make_settings(
    self,
    name: str,
    zone: str,
    caller_port: int,
    peer_port: int,
    changed: dict | None,
  ) -> dict:
    return {
      "node": name,
      "zone": zone,
      "fleet": "test",
      "secret": "test-secret",
      "caller_address": f"127.0.0.1:{caller_port}",
      "peer_address": f"127.0.0.1:{peer_port}",
      "platform_addresses": [self.platform],
      "linger_s": 0.5,
      "stop_limit_s": 20.0,
      **(changed or {}),
    }

  def __enter__(self) -> Fleet:
    try:
      self.start()
    except BaseException:
      self.stop()
      raise
    return self

  def __exit__(self, *_: object) -> None:
    self.stop()

  def start(self) -> None:
    peers = [s["peer_address"] for s in self.settings.values()]
    for settings in self.settings.values():
      settings["seed_peers"] = peers
    self._start("platform", "tests.standins.platform", self.platform[10:])
    for world, control in enumerate(self.controls):
      spec = {
        "control": control,
        "seed": self.seed,
        "records": self.records,
        "shards": self.shards,
        "leaves": [leaf for leaf in self.leaves if leaf["world"] == world],
      }
      self._start(f"world{world}", "tests.standins.upstream", json.dumps(spec))
    self.wait_for(lambda: call("GET", self.platform, "/counts")[0] == 200)
    for control in self.controls:
      self.wait_for(lambda c=control: self._counts(c)[0] == 200)
    for name in self.settings:
      self.start_node(name)
    for name in self.settings:
      self.wait_for(lambda n=name: self.status(n)["state"] == "serving")

  def _start(self, name: str, module: str, *args: str) -> None:
    command = [sys.executable, "-m", module, *args]
    self.processes[name] = Process(name, command, self.path / f"{name}.log")

  def start_node(self, name: str) -> None:
    path = self.path / f"{name}.json"
    path.write_text(json.dumps(self.settings[name]))
    binary = pathlib.Path(sys.executable).parent / "bronzefold"
    command = [str(binary), f"--settings={path}"]
    self.processes[name] = Process(name, command, self.path / f"{name}.log")

  def stop(self) -> None:
    for process in self.processes.values():
      process.kill()
    self.directory.cleanup()

  def wait_for(self, condition: Any, timeout_s: float = 20.0) -> None:
    """Waits until a condition holds; connection errors count as false."""
    until = time.monotonic() + timeout_s
    while True:
      with contextlib.suppress(OSError, *_HTTP_ERRORS):
        if condition():
          return
      if time.monotonic() > until:
        raise AssertionError(
          f"not reached in {timeout_s} s\n{self.read_logs()}"
        )
      time.sleep(0.05)

  def read_logs(self, lines: int = 4) -> str:
    return "\n".join(
      f"--- {path.name}\n" + "\n".join(path.read_text().splitlines()[-lines:])
      for path in sorted(self.path.glob("*.log"))
    )

  def address(self, name: str) -> str:
    return self.settings[name]["caller_address"]

  def status(self, name: str) -> dict:
    return call("GET", self.address(name), "/v1/status")[1]

  def read_metrics(self, name: str) -> str:
    """Returns a node's metrics as text."""
    with httpcore.ConnectionPool() as pool:
      reply = pool.request("GET", f"http://{self.address(name)}/metrics")
    return reply.content.decode()

  def _counts(self, control: int) -> tuple[int, dict]:
    return call("GET", f"127.0.0.1:{control}", "/counts")

  def counts(self) -> dict:
    """Returns the counts of all upstreams."""
    merged: dict = {"leaves": {}, "executions": {}}
    for control in self.controls:
      counts = self._counts(control)[1]
      merged["leaves"].update(counts["leaves"])
      for key, number in counts["executions"].items():
        merged["executions"][key] = merged["executions"].get(key, 0) + number
    return merged

  def set_upstream_faults(self, **faults: Any) -> None:
    for control in self.controls:
      call("POST", f"127.0.0.1:{control}", "/faults", faults)

  def set_platform_faults(self, **faults: Any) -> None:
    call("POST", self.platform, "/faults", faults)

  def make_document(self, service: str = "fuel", **changed: Any) -> dict:
    versions = changed.get("versions", {"v1": {"share": 1.0}})
    upstreams = [
      {
        "name": leaf["name"],
        "address": f"127.0.0.1:{leaf['port']}",
        "zone": leaf["zone"],
        "version": leaf.get("version", "v1"),
      }
      for leaf in self.leaves
      if leaf.get("service", "fuel") == service
      and leaf.get("version", "v1") in versions
    ]
    slots = max(leaf.get("slots", 2) for leaf in self.leaves)
    return {
      "service": service,
      "owner": "depot-team",
      "routes": ROUTES,
      "upstreams": upstreams,
      "versions": versions,
      "zones": dict.fromkeys(self.zones, "in"),
      "limits": {"slots": slots, "deadline_ms": 2000, "warm_up_s": 2.0},
      **changed,
    }

  def put(self, key: str, value: Any) -> int:
    """Writes a key of the platform, whatever its revision."""
    path = "/v1/keys/" + key.replace("/", "%2F")
    while True:
      current = call("GET", self.platform, path)[1]["revision"]
      status, entry = call(
        "PUT", self.platform, f"{path}?expected={current}", value
      )
      if status == 200:
        return entry["revision"]

  def apply(self, document: dict, nodes: list[str] | None = None) -> int:
    """Applies a document and waits until it is in force."""
    service = document["service"]
    record = {
      "document": document,
      "operation": f"test-{time.monotonic()}",
      "author": "test",
      "at": time.time(),
    }
    revision = self.put(f"bronzefold/documents/{service}", record)
    for name in nodes or list(self.settings):
      self.wait_for(
        lambda n=name: self.status(n)["documents"].get(service) == revision
      )
    return revision

  def wait_warm(self, names: list[str] | None = None) -> None:
    """Waits until upstreams are owned, with searches that warm them up."""
    wanted = names or [leaf["name"] for leaf in self.leaves]
    try:
      self.wait_for(lambda: self._warm_up(wanted), timeout_s=30.0)
    except AssertionError as error:
      raise AssertionError(f"{self.owned_states()}\n{error}") from error

  def _warm_up(self, wanted: list[str]) -> bool:
    for name in self.settings:
      self.search(name, "groups", {})
    owned = self.owned_states()
    return all(owned.get(name) == "warm" for name in wanted)

  def owned_states(self) -> dict[str, str]:
    return {
      upstream["upstream"]: upstream["state"]
      for name in self.settings
      if self.processes[name].popen.poll() is None
      for upstream in self.status(name)["upstreams"]
    }

  def search(
    self, node: str, route: str, query: dict, service: str = "fuel", **body: Any
  ) -> tuple[int, dict]:
    path = f"/v1/services/{service}/search/{route}"
    return call("POST", self.address(node), path, {"query": query, **body})

  def act(
    self,
    node: str,
    key: str,
    body: Any,
    deadline_ms: int = 2000,
    service: str = "fuel",
  ) -> tuple[int, dict]:
    path = f"/v1/services/{service}/actions/book"
    headers = {"idempotency-key": key, "x-deadline-ms": str(deadline_ms)}
    return call("POST", self.address(node), path, body, headers)


_HTTP_ERRORS = (
  httpcore.NetworkError,
  httpcore.TimeoutException,
  httpcore.ProtocolError,
)


def make_leaves(
  shards: int, zones: tuple[str, ...], replicas: int = 2, per_replica: int = 2
) -> list[dict]:
  """Makes upstreams that hold each shard once in each replica."""
  return [
    {
      "name": f"leaf-{replica}-{part}",
      "zone": zones[replica % len(zones)],
      "shards": [s for s in range(shards) if s % per_replica == part],
    }
    for replica in range(replicas)
    for part in range(per_replica)
  ]
