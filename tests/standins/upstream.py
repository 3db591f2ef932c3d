"""Stand-in of upstreams; one process hosts many of them.

The command-line argument is a JSON object with ``control`` (port of the control
interface), ``seed``, ``records`` (count), ``shards`` (count) and ``leaves``, a
list of objects, one for each upstream, with ``name``, ``port``, ``service``,
``version``, ``slots``, ``shards`` (numbers) and the optional
``service_s``, ``connect_s``, ``warm_s`` (seconds) and ``cold``.

The control interface sets faults with ``POST /faults`` and reports what the
upstreams executed with ``GET /counts``.
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


class Upstream:
  """An upstream with its state and the faults in force.

  Attributes:
    specification: Entry of ``leaves`` in the specification of the process.
    slots: Count of requests that it executes at once; others wait.
    round_s: Mean duration of one round of ``SHARDS_PER_ROUND`` shards,
      warm, in seconds.
    connect_s: Delay of the first request on a new connection, in seconds.
    warm_up_s: Time from a restart until it is warm, in seconds.
    faults: Faults in force by name, as the control interface received them.
    connections: Instance, IP and port of each connection seen so far.
    previous_reply: Last search reply made under the fault ``other_request``.
    peak_cold_requests: Highest count of requests in progress while cold.
    overload_count: Count of requests that exceeded the capacity.
    request_times: Wall times at which requests started.
    instance: Id of the current instance.
    in_progress: One token for each request in progress in the instance.
    crash_count: Count of the searches that crashed it, as the fault ``deadly``
      says.
  """

  def __init__(self, specification: dict, host: UpstreamHost) -> None:
    self.specification = specification
    self.host = host
    self.name = specification["name"]
    self.slots = specification.get("slots", 2)
    self.round_s = specification.get("service_s", 0.002)
    self.connect_s = specification.get("connect_s", 0.001)
    self.warm_up_s = specification.get("warm_s", 1.5)
    self.faults: dict = {}
    self.random = random.Random(self.name)
    self.connections: set = set()
    self.previous_reply: dict | None = None
    self.peak_cold_requests = 0
    self.overload_count = 0
    self.request_times: list[float] = []
    self.crash_count = 0
    self.reset_connections = lambda: None
    self.restart(cold=specification.get("cold", False))

  def restart(self, cold: bool = True) -> None:
    """Starts a new instance, which has no requests in progress."""
    self.instance = uuid.uuid4().hex
    self.started_at = time.monotonic() - (0 if cold else 1e6)
    # A request of an earlier instance keeps the set of that instance, so it
    # does not count as work of the new one.
    self.in_progress: set[object] = set()
    self.semaphore = asyncio.Semaphore(self.slots)

  @property
  def is_warm(self) -> bool:
    return time.monotonic() - self.started_at > self.warm_up_s

  @property
  def capacity(self) -> int:
    """Highest count of requests in progress that does not overload it."""
    return 1_000_000 if self.is_warm else 1

  def list_snapshots(self) -> list[int]:
    """Lists the numbers of the snapshots that it serves."""
    return self.faults.get("snapshots") or self.host.snapshots

  @contextlib.contextmanager
  def track_request(self, instance: str):
    """Counts a request as in progress during a block.

    Args:
      instance: Id of the instance that read the request.

    Raises:
      RuntimeError: That instance has ended, and the request with it.
    """
    if instance != self.instance:
      raise RuntimeError
    requests, token = self.in_progress, object()
    requests.add(token)
    self.request_times.append(time.time())
    if not self.is_warm:
      self.peak_cold_requests = max(self.peak_cold_requests, len(requests))
    if len(requests) > self.capacity:
      self.overload_count += 1
    try:
      yield
    finally:
      requests.discard(token)

  async def execute(self, route: str, rounds: float = 1.0) -> None:
    """Sleeps for the duration of a request and applies the faults.

    The faults ``route`` and ``bad_from_load`` restrict ``slow_factor`` and
    ``fail_share`` only; stragglers occur on every route. A cold upstream takes
    three times as long as a warm one.

    Args:
      route: Name of the route.
      rounds: Work in rounds of ``SHARDS_PER_ROUND`` shards.

    Raises:
      RuntimeError: The request fails by the fault ``fail_share``.
    """
    fault_applies_to_route = self.faults.get("route") in (None, route)
    under_load = len(self.in_progress) >= self.faults.get("bad_from_load", 0)
    has_fault = fault_applies_to_route and under_load
    duration_s = self.round_s * rounds * self.random.uniform(0.7, 1.3)
    duration_s *= 1.0 if self.is_warm else 3.0
    if has_fault:
      duration_s *= self.faults.get("slow_factor", 1.0)
    if self.random.random() < self.faults.get("straggle_share", 0.0):
      duration_s += self.faults.get("straggle_s", 0.3)
    async with self.semaphore:
      await asyncio.sleep(duration_s)
    if has_fault and self.random.random() < self.faults.get("fail_share", 0.0):
      raise RuntimeError


class UpstreamHost:
  """The upstreams of one process with their records.

  Attributes:
    specification: Specification of the process.
    snapshots: Numbers of the snapshots that upstreams serve by default.
    executions: Count of executions by idempotency key.
    upstreams: All upstreams of the process.
  """

  def __init__(self, specification: dict) -> None:
    self.specification = specification
    self.records = records.make_records(
      specification["seed"], specification["records"]
    )
    self.snapshots = [1]
    self.executions: collections.Counter = collections.Counter()
    self.upstreams = [
      Upstream(entry, self) for entry in specification["leaves"]
    ]

  @functools.lru_cache(maxsize=8)  # noqa: B019
  def get_shards(self, snapshot: int) -> list[dict[str, int]]:
    """Returns the shards of a snapshot as in its manifest."""
    seed, count = self.specification["seed"], self.specification["shards"]
    return records.make_shards(
      seed, snapshot, count, self.get_records(snapshot)
    )

  @functools.lru_cache(maxsize=8)  # noqa: B019
  def get_slices(self, snapshot: int) -> list[tuple]:
    """Returns the records of each shard of a snapshot."""
    snapshot_records = self.get_records(snapshot)
    return records.slice_records(snapshot_records, self.get_shards(snapshot))

  def get_records(self, snapshot: int) -> tuple:
    """Returns the records of a snapshot.

    Each snapshot lacks the first 7 records of the one before it.
    """
    return self.records[(snapshot - 1) * 7 :]


async def run_while_connected(request, work) -> None:
  """Runs work until it ends or the caller closes the connection.

  Raises:
    RuntimeError: The work failed, or was cancelled as the connection closed.
  """
  work_task = asyncio.ensure_future(work)
  disconnect_task = asyncio.ensure_future(request.receive())
  await asyncio.wait(
    [work_task, disconnect_task], return_when=asyncio.FIRST_COMPLETED
  )
  disconnect_task.cancel()
  if not work_task.done():
    work_task.cancel()
    raise RuntimeError
  work_task.result()


class UpstreamEndpoints:
  """HTTP interface of one upstream."""

  def __init__(self, upstream: Upstream) -> None:
    self.upstream = upstream

  async def check_admission(self, request) -> responses.Response | None:
    """Delays the first request on a connection; refuses requests by fault.

    Returns:
      The refusal, or None when the request may run.
    """
    connection = (self.upstream.instance, *request.client)
    if connection not in self.upstream.connections:
      self.upstream.connections.add(connection)
      await asyncio.sleep(self.upstream.connect_s)
    if self.upstream.faults.get("draining"):
      return self.make_response(
        request, {}, 503, {**_NOT_RUN, "x-draining": "true"}
      )
    if self.upstream.faults.get("shed"):
      return self.make_response(request, {}, 503, _NOT_RUN)
    return None

  def make_response(
    self, request, body, status=200, headers=None
  ) -> responses.Response:
    """Returns a JSON response with the headers of every response."""
    common = {
      "x-instance": self.upstream.instance,
      "x-request-id": request.headers.get("x-request-id", ""),
    }
    return responses.Response(
      json.dumps(body),
      status,
      {**common, **(headers or {})},
      media_type="application/json",
    )

  async def status(self, request):
    """Reports the state; the fault ``silent`` hides that it is draining.

    A cold upstream reports "warm", too.
    """
    draining = self.upstream.faults.get(
      "draining"
    ) and not self.upstream.faults.get("silent")
    body = {
      "instance": self.upstream.instance,
      "state": "draining" if draining else "warm",
      "load": 0,
      "snapshots": [
        {"snapshot": snapshot, "shards": self.upstream.specification["shards"]}
        for snapshot in self.upstream.list_snapshots()
      ],
    }
    return self.make_response(request, body)

  async def manifest(self, request):
    """Returns the manifest of a snapshot."""
    snapshot = int(request.query_params["snapshot"])
    body = {
      "snapshot": snapshot,
      "taken_at": 1_700_600_000.0 + snapshot,
      "shards": self.upstream.host.get_shards(snapshot),
    }
    return self.make_response(request, body)

  async def search(self, request):
    """Searches shards of a snapshot; 409 when the snapshot is not served."""
    instance = self.upstream.instance
    refusal = await self.check_admission(request)
    if refusal is not None:
      return refusal
    body = await request.json()
    snapshot = body["snapshot"]
    if snapshot not in self.upstream.list_snapshots():
      return self.make_response(
        request, {"snapshots": self.upstream.list_snapshots()}, 409
      )
    try:
      with self.upstream.track_request(instance):
        rounds = len(body["shards"]) / SHARDS_PER_ROUND
        work = self.upstream.execute(body["route"], rounds)
        await run_while_connected(request, work)
    except RuntimeError:
      return self.make_response(request, {}, 500)
    is_deadly = body["query"] == self.upstream.faults.get("deadly")
    if is_deadly and instance == self.upstream.instance:
      self.upstream.crash_count += 1
      self.upstream.restart()
      self.upstream.reset_connections()
    return self.make_response(
      request, self.apply_reply_fault(self.make_search_reply(body))
    )

  def make_search_reply(self, body: dict) -> dict:
    """Makes the reply to a search.

    The fault ``other_snapshot`` makes it the reply of the next snapshot.
    """
    snapshot = body["snapshot"]
    if self.upstream.faults.get("answer") == "other_snapshot":
      snapshot += 1
    shards = self.upstream.host.get_shards(snapshot)
    slices = self.upstream.host.get_slices(snapshot)
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

  def apply_reply_fault(self, reply: dict) -> dict:
    """Returns a search reply with the error that the fault ``answer`` names.

    ``other_request`` returns the reply to the request before this one.
    """
    match self.upstream.faults.get("answer"):
      case "truncate":
        reply["results"] = reply["results"][:-1]
      case "other_request":
        reply, self.upstream.previous_reply = (
          self.upstream.previous_reply or reply,
          reply,
        )
      case "fewer_records":
        reply["results"][0]["records"] -= 1
      case "duplicate":
        reply["results"].append(reply["results"][0])
      case "malformed":
        reply["results"] = "none"
    return reply

  async def run_action(self, request):
    """Executes an action and counts the execution of its idempotency key."""
    instance = self.upstream.instance
    refusal = await self.check_admission(request)
    if refusal is not None:
      return refusal
    body = await request.json()
    try:
      with self.upstream.track_request(instance):
        self.upstream.host.executions[request.headers["idempotency-key"]] += 1
        await self.upstream.execute(request.path_params["route"])
        await asyncio.sleep(self.upstream.faults.get("hang_actions", 0.0))
    except RuntimeError:
      return self.make_response(request, {}, 500)
    return self.make_response(request, {"booked": body})

  def make_application(self) -> applications.Starlette:
    """Makes the HTTP application of the upstream."""
    return applications.Starlette(
      routes=[
        routing.Route("/v1/status", self.status),
        routing.Route("/v1/manifest", self.manifest),
        routing.Route("/v1/search", self.search, methods=["POST"]),
        routing.Route("/v1/actions/{route}", self.run_action, methods=["POST"]),
      ]
    )


class UpstreamServer(uvicorn.Server):
  """HTTP server of one upstream or of the control interface."""

  def reset_connections(self) -> None:
    """Resets all open connections."""
    for connection in list(self.server_state.connections):
      connection.transport.abort()


def make_control_application(
  host: UpstreamHost, servers: dict[str, UpstreamServer]
) -> applications.Starlette:
  """Makes the HTTP application of the control interface.

  ``POST /faults`` takes ``snapshots``, the default of all upstreams, and
  ``leaves``, the faults of each upstream by its name. They replace the faults
  in force unless ``keep`` is set. ``restart`` and ``turn_cold`` act once;
  ``turn_cold`` makes an upstream cold without a new instance.
  """

  async def set_faults(request):
    body = await request.json()
    host.snapshots = body.get("snapshots", host.snapshots)
    for upstream in host.upstreams:
      faults = body.get("leaves", {}).get(upstream.name)
      if faults is None:
        continue
      if faults.pop("keep", False):
        faults = {**upstream.faults, **faults}
      if faults.pop("restart", False):
        upstream.restart()
        servers[upstream.name].reset_connections()
      if faults.pop("turn_cold", False):
        upstream.started_at = time.monotonic()
      upstream.faults = faults
    return responses.JSONResponse({})

  async def show_counts(_):
    leaves = {
      upstream.name: {
        "held": len(upstream.in_progress),
        "most_cold": upstream.peak_cold_requests,
        "overloaded": upstream.overload_count,
        "log": upstream.request_times,
        "warm": upstream.is_warm,
        "crashed": upstream.crash_count,
      }
      for upstream in host.upstreams
    }
    return responses.JSONResponse(
      {"leaves": leaves, "executions": dict(host.executions)}
    )

  return applications.Starlette(
    routes=[
      routing.Route("/faults", set_faults, methods=["POST"]),
      routing.Route("/counts", show_counts),
    ]
  )


async def serve_upstreams(specification: dict) -> None:
  """Serves all upstreams of a specification and the control interface."""
  host = UpstreamHost(specification)

  def make_server(application, port: int) -> UpstreamServer:
    return UpstreamServer(
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
    upstream.name: make_server(
      UpstreamEndpoints(upstream).make_application(),
      upstream.specification["port"],
    )
    for upstream in host.upstreams
  }
  for upstream in host.upstreams:
    upstream.reset_connections = servers[upstream.name].reset_connections
  control = make_server(
    make_control_application(host, servers), specification["control"]
  )
  await asyncio.gather(
    *(server._serve() for server in [control, *servers.values()])
  )


if __name__ == "__main__":
  import uvloop

  gc.freeze()
  gc.set_threshold(50_000, 20, 100)
  uvloop.run(serve_upstreams(json.loads(sys.argv[1])))
