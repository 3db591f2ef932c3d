"""Stand-in of the platform's key-value service; takes faults over HTTP."""

from __future__ import annotations

import asyncio
import collections
import itertools
import sys
import time

from starlette import applications
from starlette import responses
from starlette import routing
import uvicorn


class Store:
  """Keys, leases and changes, with the faults in force."""

  def __init__(self) -> None:
    self.revision = 0
    self.keys: dict[str, dict] = {}
    self.history: collections.deque = collections.deque(maxlen=200_000)
    self.leases: dict[int, list[float]] = {}
    self.numbers = itertools.count(1)
    self.changed = asyncio.Event()
    self.vms: list[dict] = []
    self.calls: collections.Counter = collections.Counter()
    self.faults = {"down": False, "slow_s": 0.0, "lose": 0.0, "lag_s": 0.0}
    self.lost = itertools.count()

  def change(self, key: str, value: str | None, lease: int | None) -> dict:
    self.revision += 1
    entry = {"key": key, "value": value, "revision": self.revision}
    if value is None:
      self.keys.pop(key, None)
    else:
      self.keys[key] = {**entry, "lease": lease}
    self.history.append((time.monotonic(), entry))
    self.changed.set()
    self.changed = asyncio.Event()
    return entry

  def expire(self) -> None:
    now = time.monotonic()
    for lease in [n for n, (_, until) in self.leases.items() if until < now]:
      self.end_lease(lease)

  def end_lease(self, lease: int) -> None:
    self.leases.pop(lease, None)
    for key in [k for k, e in self.keys.items() if e.get("lease") == lease]:
      self.change(key, None, None)

  def seen_changes(self, prefix: str, after: int) -> list[dict]:
    until = time.monotonic() - self.faults["lag_s"]
    return [
      entry
      for at, entry in self.history
      if entry["revision"] > after
      and at <= until
      and entry["key"].startswith(prefix)
    ]


def _public(entry: dict | None, key: str) -> dict:
  if entry is None:
    return {"key": key, "value": None, "revision": 0}
  return {name: entry[name] for name in ("key", "value", "revision")}


class Endpoints:
  """The HTTP interface of a store."""

  def __init__(self, store: Store) -> None:
    self.store = store

  def serve(self, handler):
    async def endpoint(request):
      self.store.calls[f"{request.method} {handler.__name__}"] += 1
      if self.store.faults["slow_s"]:
        await asyncio.sleep(self.store.faults["slow_s"])
      if self.store.faults["down"]:
        return responses.JSONResponse({}, 503)
      self.store.expire()
      response = await handler(request)
      number = next(self.store.lost) if self.store.faults["lose"] else 0
      if (
        request.method != "GET"
        and number * 37 % 100 < self.store.faults["lose"] * 100
      ):
        return responses.JSONResponse({}, 504)
      return response

    return endpoint

  async def keys(self, request):
    prefix = request.query_params["prefix"]
    entries = [
      _public(e, k) for k, e in self.store.keys.items() if k.startswith(prefix)
    ]
    return responses.JSONResponse(
      {"revision": self.store.revision, "entries": entries}
    )

  async def key(self, request):
    name = request.path_params["key"]
    body = (await request.body()).decode()
    current = self.store.keys.get(name)
    if request.method == "GET":
      status = 200 if current else 404
      return responses.JSONResponse(_public(current, name), status)
    expected = int(request.query_params["expected"])
    lease = request.query_params.get("lease")
    if lease is not None and int(lease) not in self.store.leases:
      return responses.JSONResponse({}, 404)
    if expected != (current["revision"] if current else 0):
      return responses.JSONResponse(_public(current, name), 409)
    value = body if request.method == "PUT" else None
    return responses.JSONResponse(
      self.store.change(name, value, int(lease) if lease else None)
    )

  async def watch(self, request):
    prefix = request.query_params["prefix"]
    after = int(request.query_params["after"])
    until = time.monotonic() + float(request.query_params["wait_s"])
    while True:
      entries = self.store.seen_changes(prefix, after)
      left = until - time.monotonic()
      if entries or left <= 0 or self.store.faults["down"]:
        break
      try:
        await asyncio.wait_for(self.store.changed.wait(), min(left, 0.1))
      except TimeoutError:
        self.store.expire()
    if self.store.faults["down"]:
      return responses.JSONResponse({}, 503)
    newest = entries[-1]["revision"] if entries else after
    return responses.JSONResponse({"revision": newest, "entries": entries})

  async def leases(self, request):
    ttl_s = (await request.json())["ttl_s"]
    lease = next(self.store.numbers)
    self.store.leases[lease] = [ttl_s, time.monotonic() + ttl_s]
    return responses.JSONResponse({"lease": lease, "ttl_s": ttl_s})

  async def lease(self, request):
    number = int(request.path_params["lease"])
    if number not in self.store.leases:
      return responses.JSONResponse({}, 404)
    ttl_s = self.store.leases[number][0]
    if request.method == "DELETE":
      self.store.end_lease(number)
    else:
      self.store.leases[number][1] = time.monotonic() + ttl_s
    return responses.JSONResponse({"lease": number, "ttl_s": ttl_s})

  async def vms(self, _):
    return responses.JSONResponse({"vms": self.store.vms})

  async def set_faults(self, request):
    changed = await request.json()
    self.store.vms = changed.pop("vms", self.store.vms)
    ended = changed.pop("end_leases", False)
    was_down = self.store.faults["down"]
    self.store.faults.update(changed)
    if was_down and not self.store.faults["down"]:
      for held in self.store.leases.values():
        held[1] = max(held[1], time.monotonic() + held[0])
    for number in list(self.store.leases) if ended else []:
      self.store.end_lease(number)
    return responses.JSONResponse(self.store.faults)

  async def show_counts(self, _):
    return responses.JSONResponse(
      {"revision": self.store.revision, "calls": dict(self.store.calls)}
    )

  def make_application(self) -> applications.Starlette:
    return applications.Starlette(
      routes=[
        routing.Route("/v1/keys", self.serve(self.keys)),
        routing.Route(
          "/v1/keys/{key:path}",
          self.serve(self.key),
          methods=["GET", "PUT", "DELETE"],
        ),
        routing.Route("/v1/watch", self.serve(self.watch)),
        routing.Route("/v1/leases", self.serve(self.leases), methods=["POST"]),
        routing.Route(
          "/v1/leases/{lease}",
          self.serve(self.lease),
          methods=["PUT", "DELETE"],
        ),
        routing.Route("/v1/vms", self.serve(self.vms)),
        routing.Route("/faults", self.set_faults, methods=["POST"]),
        routing.Route("/counts", self.show_counts),
      ]
    )


async def serve_platform(port: int) -> None:
  """Serves a platform on a port of 127.0.0.1."""
  config = uvicorn.Config(
    Endpoints(Store()).make_application(),
    host="127.0.0.1",
    port=port,
    log_level="error",
    lifespan="off",
  )
  await uvicorn.Server(config).serve()


if __name__ == "__main__":
  asyncio.run(serve_platform(int(sys.argv[1])))
