"""Stand-in of upstreams; one process hosts many and takes faults over HTTP.

Its argument is a JSON object: ``control`` (port), ``seed``, ``records``,
``shards``, and ``leaves``, a list of objects with ``name``, ``port``,
``service``, ``version``, ``slots``, ``shards`` (numbers), and optional timings.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import functools
import gc
import json
import random
import sys
import time
import uuid

from starlette import applications
from starlette import responses
from starlette import routing
import uvicorn

from tests.standins import records

SHARDS_PER_ROUND = 8

_NOT_RUN = {"x-not-run": "true"}


class Leaf:
  """One upstream."""

  def __init__(self, spec: dict, world: World) -> None:
    self.spec = spec
    self.world = world
    self.name = spec["name"]
    self.slots = spec.get("slots", 2)
    self.service_s = spec.get("service_s", 0.002)
    self.connect_s = spec.get("connect_s", 0.001)
    self.warm_s = spec.get("warm_s", 1.5)
    self.faults: dict = {}
    self.generator = random.Random(self.name)
    self.clients: set = set()
    self.previous: dict | None = None
    self.most_cold = 0
    self.overloaded = 0
    self.log: list[float] = []
    self.restart(cold=spec.get("cold", False))

  def restart(self, cold: bool = True) -> None:
    self.instance = uuid.uuid4().hex
    self.started = time.monotonic() - (0 if cold else 1e6)
    # Work of an earlier instance ended with that instance.
    self.held: set[object] = set()
    self.semaphore = asyncio.Semaphore(self.slots)

  @property
  def warm(self) -> bool:
    return time.monotonic() - self.started > self.warm_s

  @property
  def bearable(self) -> int:
    """Work in progress that does not push the upstream over."""
    return 1_000_000 if self.warm else 1

  def list_snapshots(self) -> list[int]:
    return self.faults.get("snapshots") or self.world.snapshots

  @contextlib.contextmanager
  def enter(self):
    """Holds a request for the duration of a block."""
    held, token = self.held, object()
    held.add(token)
    self.log.append(time.time())
    if not self.warm:
      self.most_cold = max(self.most_cold, len(held))
    if len(held) > self.bearable:
      self.overloaded += 1
    try:
      yield
    finally:
      held.discard(token)

  async def work(self, route: str, rounds: float = 1.0) -> None:
    bad_route = self.faults.get("route") in (None, route)
    under_load = len(self.held) >= self.faults.get("bad_from_load", 0)
    faulty = bad_route and under_load
    took_s = self.service_s * rounds * self.generator.uniform(0.7, 1.3)
    took_s *= 1.0 if self.warm else 3.0
    if faulty:
      took_s *= self.faults.get("slow_factor", 1.0)
    if self.generator.random() < self.faults.get("straggle_share", 0.0):
      took_s += self.faults.get("straggle_s", 0.3)
    async with self.semaphore:
      await asyncio.sleep(took_s)
    if faulty and self.generator.random() < self.faults.get("fail_share", 0.0):
      raise RuntimeError


class World:
  """Everything that one process hosts."""

  def __init__(self, spec: dict) -> None:
    self.spec = spec
    self.records = records.make_records(spec["seed"], spec["records"])
    self.snapshots = [1]
    self.executions: collections.Counter = collections.Counter()
    self.leaves = [Leaf(leaf, self) for leaf in spec["leaves"]]

  @functools.lru_cache(maxsize=8)  # noqa: B019
  def get_shards(self, snapshot: int) -> list[dict[str, int]]:
    seed, count = self.spec["seed"], self.spec["shards"]
    return records.make_shards(
      seed, snapshot, count, self.get_records(snapshot)
    )

  @functools.lru_cache(maxsize=8)  # noqa: B019
  def get_slices(self, snapshot: int) -> list[tuple]:
    held = self.get_records(snapshot)
    return records.slice_records(held, self.get_shards(snapshot))

  def get_records(self, snapshot: int) -> tuple:
    """Each later snapshot lacks a few more of the first records."""
    return self.records[(snapshot - 1) * 7 :]


async def run_while_connected(request, work) -> None:
  """Runs work; a connection that closes cancels it."""
  running = asyncio.ensure_future(work)
  watching = asyncio.ensure_future(request.receive())
  await asyncio.wait([running, watching], return_when=asyncio.FIRST_COMPLETED)
  watching.cancel()
  if not running.done():
    running.cancel()
    raise RuntimeError
  running.result()


class LeafEndpoints:
  """The HTTP interface of one upstream."""

  def __init__(self, leaf: Leaf) -> None:
    self.leaf = leaf

  async def admit(self, request) -> responses.Response | None:
    client = (self.leaf.instance, *request.client)
    if client not in self.leaf.clients:
      self.leaf.clients.add(client)
      await asyncio.sleep(self.leaf.connect_s)
    if self.leaf.faults.get("draining"):
      return self.reply(request, {}, 503, {**_NOT_RUN, "x-draining": "true"})
    if self.leaf.faults.get("shed"):
      return self.reply(request, {}, 503, _NOT_RUN)
    return None

  def reply(
    self, request, body, status=200, headers=None
  ) -> responses.Response:
    common = {
      "x-instance": self.leaf.instance,
      "x-request-id": request.headers.get("x-request-id", ""),
    }
    return responses.Response(
      json.dumps(body),
      status,
      {**common, **(headers or {})},
      media_type="application/json",
    )

  async def status(self, request):
    draining = self.leaf.faults.get("draining") and not self.leaf.faults.get(
      "silent"
    )
    body = {
      "instance": self.leaf.instance,
      "state": "draining" if draining else "warm",
      "load": 0,
      "snapshots": [
        {"snapshot": snapshot, "shards": self.leaf.spec["shards"]}
        for snapshot in self.leaf.list_snapshots()
      ],
    }
    return self.reply(request, body)

  async def manifest(self, request):
    snapshot = int(request.query_params["snapshot"])
    body = {
      "snapshot": snapshot,
      "taken_at": 1_700_600_000.0 + snapshot,
      "shards": self.leaf.world.get_shards(snapshot),
    }
    return self.reply(request, body)

  async def search(self, request):
    refused = await self.admit(request)
    if refused is not None:
      return refused
    body = await request.json()
    snapshot = body["snapshot"]
    if snapshot not in self.leaf.list_snapshots():
      return self.reply(request, {"snapshots": self.leaf.list_snapshots()}, 409)
    try:
      with self.leaf.enter():
        rounds = len(body["shards"]) / SHARDS_PER_ROUND
        work = self.leaf.work(body["route"], rounds)
        await run_while_connected(request, work)
    except RuntimeError:
      return self.reply(request, {}, 500)
    return self.reply(request, self.alter(self.answer_search(body)))

  def answer_search(self, body: dict) -> dict:
    snapshot = body["snapshot"]
    if self.leaf.faults.get("answer") == "other_snapshot":
      snapshot += 1
    shards = self.leaf.world.get_shards(snapshot)
    slices = self.leaf.world.get_slices(snapshot)
    results = []
    for number in body["shards"]:
      shard = shards[number]
      result = records.evaluate(body["route"], body["query"], slices[number])
      results.append({**shard, "result": result})
    return {
      "request": body["request"],
      "snapshot": snapshot,
      "results": results,
    }

  def alter(self, answer: dict) -> dict:
    match self.leaf.faults.get("answer"):
      case "truncate":
        answer["results"] = answer["results"][:-1]
      case "other_request":
        answer, self.leaf.previous = self.leaf.previous or answer, answer
      case "fewer_records":
        answer["results"][0]["records"] -= 1
      case "duplicate":
        answer["results"].append(answer["results"][0])
      case "malformed":
        answer["results"] = "none"
    return answer

  async def act(self, request):
    refused = await self.admit(request)
    if refused is not None:
      return refused
    body = await request.json()
    try:
      with self.leaf.enter():
        self.leaf.world.executions[request.headers["idempotency-key"]] += 1
        await self.leaf.work(request.path_params["route"])
        await asyncio.sleep(self.leaf.faults.get("hang_actions", 0.0))
    except RuntimeError:
      return self.reply(request, {}, 500)
    return self.reply(request, {"booked": body})

  def make_application(self) -> applications.Starlette:
    return applications.Starlette(
      routes=[
        routing.Route("/v1/status", self.status),
        routing.Route("/v1/manifest", self.manifest),
        routing.Route("/v1/search", self.search, methods=["POST"]),
        routing.Route("/v1/actions/{route}", self.act, methods=["POST"]),
      ]
    )


class LeafServer(uvicorn.Server):
  """Serves one leaf; can cut all of its connections."""

  def cut_connections(self) -> None:
    for connection in list(self.server_state.connections):
      connection.transport.abort()


def make_control_application(
  world: World, servers: dict[str, LeafServer]
) -> applications.Starlette:
  """Makes the HTTP application that takes faults."""

  async def set_faults(request):
    body = await request.json()
    world.snapshots = body.get("snapshots", world.snapshots)
    for leaf in world.leaves:
      faults = body.get("leaves", {}).get(leaf.name)
      if faults is None:
        continue
      if faults.pop("keep", False):
        faults = {**leaf.faults, **faults}
      if faults.pop("restart", False):
        leaf.restart()
        servers[leaf.name].cut_connections()
      if faults.pop("turn_cold", False):
        leaf.started = time.monotonic()
      leaf.faults = faults
    return responses.JSONResponse({})

  async def show_counts(_):
    leaves = {
      leaf.name: {
        "held": len(leaf.held),
        "most_cold": leaf.most_cold,
        "overloaded": leaf.overloaded,
        "log": leaf.log,
        "warm": leaf.warm,
      }
      for leaf in world.leaves
    }
    return responses.JSONResponse(
      {"leaves": leaves, "executions": dict(world.executions)}
    )

  return applications.Starlette(
    routes=[
      routing.Route("/faults", set_faults, methods=["POST"]),
      routing.Route("/counts", show_counts),
    ]
  )


async def serve_world(spec: dict) -> None:
  """Serves all upstreams of a specification."""
  world = World(spec)

  def make_server(application, port: int) -> LeafServer:
    return LeafServer(
      uvicorn.Config(
        application,
        host="127.0.0.1",
        port=port,
        log_level="critical",
        lifespan="off",
        http="httptools",
        timeout_keep_alive=60,
      )
    )

  servers = {
    leaf.name: make_server(
      LeafEndpoints(leaf).make_application(), leaf.spec["port"]
    )
    for leaf in world.leaves
  }
  control = make_server(
    make_control_application(world, servers), spec["control"]
  )
  await asyncio.gather(
    *(server._serve() for server in [control, *servers.values()])
  )


if __name__ == "__main__":
  import uvloop

  gc.freeze()
  gc.set_threshold(50_000, 20, 100)
  uvloop.run(serve_world(json.loads(sys.argv[1])))
