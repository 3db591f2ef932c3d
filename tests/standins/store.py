"""Stand-in of the key-value store; one process serves one store.

The command-line argument is the port. The store is lost with the process. A
control interface on the same port sets faults with ``POST /faults`` and reports
calls with ``GET /counts``.
"""

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
  """Keys, leases and changes, with the faults in force.

  Attributes:
    revision: Revision of the last change of any key.
    keys: Entries by key, each with its revision and lease.
    history: Monotonic time and entry of each change, oldest first; the oldest
      are dropped.
    leases: TTL in seconds and monotonic time of expiry by lease.
    lease_ids: Source of lease numbers.
    change_event: Set, and replaced by a new event, at each change.
    vms: VMs that the VM list reports.
    calls: Count of calls by HTTP method and name of the endpoint.
    faults: ``down`` answers each call with 503. ``slow_s`` delays each call.
      ``lose`` is the share of writes that are executed but answered with 504.
      ``lag_s`` is the age at which watches see a change.
    era: Number of times that it was restored from a copy.
    copy: The copy that it can be restored from; None without one.
    call_numbers: Source of the numbers of calls while ``lose`` is set. The
      number of a write decides whether its response is lost.
  """

  def __init__(self) -> None:
    self.revision = 0
    self.keys: dict[str, dict] = {}
    self.history: collections.deque = collections.deque(maxlen=200_000)
    self.leases: dict[int, list[float]] = {}
    self.lease_ids = itertools.count(1)
    self.change_event = asyncio.Event()
    self.vms: list[dict] = []
    self.calls: collections.Counter = collections.Counter()
    self.faults = {"down": False, "slow_s": 0.0, "lose": 0.0, "lag_s": 0.0}
    self.call_numbers = itertools.count()
    self.era = 0
    self.copy: tuple[int, dict[str, dict]] | None = None

  def make_copy(self) -> None:
    """Copies the keys."""
    self.copy = (self.revision, dict(self.keys))

  def restore(self) -> None:
    """Restores the copy; later changes and all leases are gone."""
    self.era += 1
    self.revision, keys = self.copy
    self.keys = dict(keys)
    self.history.clear()
    self.leases.clear()
    self.lease_ids = itertools.count(1)
    for key in [k for k, e in self.keys.items() if e.get("lease")]:
      self.write_key(key, None, None)

  def write_key(self, key: str, value: str | None, lease: int | None) -> dict:
    """Writes a key, or removes it when the value is None.

    Returns:
      The entry with the new revision.
    """
    self.revision += 1
    entry = {"key": key, "value": value, "revision": self.revision}
    if value is None:
      self.keys.pop(key, None)
    else:
      self.keys[key] = {**entry, "lease": lease}
    self.history.append((time.monotonic(), entry))
    self.change_event.set()
    self.change_event = asyncio.Event()
    return entry

  def expire_leases(self) -> None:
    """Ends the leases past their expiry."""
    now = time.monotonic()
    for lease in [
      n for n, (_, expires_at) in self.leases.items() if expires_at < now
    ]:
      self.end_lease(lease)

  def end_lease(self, lease: int) -> None:
    """Ends a lease and removes its keys."""
    self.leases.pop(lease, None)
    for key in [k for k, e in self.keys.items() if e.get("lease") == lease]:
      self.write_key(key, None, None)

  def list_visible_changes(self, prefix: str, after: int) -> list[dict]:
    """Lists later changes of a prefix, those within the lag left out.

    Args:
      prefix: Prefix of the keys.
      after: Revision after which changes are listed.

    Returns:
      Entries in the order of their revisions.
    """
    visible_until = time.monotonic() - self.faults["lag_s"]
    return [
      entry
      for at, entry in self.history
      if entry["revision"] > after
      and at <= visible_until
      and entry["key"].startswith(prefix)
    ]


def _make_entry_body(entry: dict | None, key: str) -> dict:
  """Makes the response body of an entry; a missing key has revision 0."""
  if entry is None:
    return {"key": key, "value": None, "revision": 0}
  return {name: entry[name] for name in ("key", "value", "revision")}


class Endpoints:
  """HTTP interface of a store.

  Names of endpoints are part of the keys of ``calls`` in ``/counts``.
  """

  def __init__(self, store: Store) -> None:
    self.store = store

  def make_endpoint(self, handler):
    """Wraps an endpoint: counts its calls and applies the faults."""

    async def endpoint(request):
      self.store.calls[f"{request.method} {handler.__name__}"] += 1
      if self.store.faults["slow_s"]:
        await asyncio.sleep(self.store.faults["slow_s"])
      if self.store.faults["down"]:
        return responses.JSONResponse({}, 503)
      self.store.expire_leases()
      response = await handler(request)
      response.headers["x-store-era"] = str(self.store.era)
      call_number = (
        next(self.store.call_numbers) if self.store.faults["lose"] else 0
      )
      if (
        request.method != "GET"
        and call_number * 37 % 100 < self.store.faults["lose"] * 100
      ):
        return responses.JSONResponse({}, 504)
      return response

    return endpoint

  async def keys(self, request):
    """Lists the entries of a prefix and the revision of the store."""
    prefix = request.query_params["prefix"]
    entries = [
      _make_entry_body(e, k)
      for k, e in self.store.keys.items()
      if k.startswith(prefix)
    ]
    return responses.JSONResponse(
      {"revision": self.store.revision, "entries": entries}
    )

  async def key(self, request):
    """Reads a key, or writes or removes it at an expected revision.

    A write returns 409 with the current entry when the revision differs, and
    404 when its lease is unknown.
    """
    name = request.path_params["key"]
    body = (await request.body()).decode()
    current = self.store.keys.get(name)
    if request.method == "GET":
      status = 200 if current else 404
      return responses.JSONResponse(_make_entry_body(current, name), status)
    expected = int(request.query_params["expected"])
    lease = request.query_params.get("lease")
    if lease is not None and int(lease) not in self.store.leases:
      return responses.JSONResponse({}, 404)
    if expected != (current["revision"] if current else 0):
      return responses.JSONResponse(_make_entry_body(current, name), 409)
    value = body if request.method == "PUT" else None
    return responses.JSONResponse(
      self.store.write_key(name, value, int(lease) if lease else None)
    )

  async def watch(self, request):
    """Waits for changes of a prefix, at most for ``wait_s``.

    It checks every 0.1 s, since leases expire and changes pass the lag without
    an event.
    """
    prefix = request.query_params["prefix"]
    after = int(request.query_params["after"])
    until = time.monotonic() + float(request.query_params["wait_s"])
    era = self.store.era
    if after > self.store.revision:
      return responses.JSONResponse({}, 410)
    while True:
      entries = self.store.list_visible_changes(prefix, after)
      left_s = until - time.monotonic()
      if entries or left_s <= 0 or self.store.faults["down"]:
        break
      if era != self.store.era:
        return responses.JSONResponse({}, 410)
      try:
        await asyncio.wait_for(self.store.change_event.wait(), min(left_s, 0.1))
      except TimeoutError:
        self.store.expire_leases()
    if self.store.faults["down"]:
      return responses.JSONResponse({}, 503)
    newest = entries[-1]["revision"] if entries else after
    return responses.JSONResponse({"revision": newest, "entries": entries})

  async def leases(self, request):
    """Creates a lease."""
    ttl_s = (await request.json())["ttl_s"]
    lease = next(self.store.lease_ids)
    self.store.leases[lease] = [ttl_s, time.monotonic() + ttl_s]
    return responses.JSONResponse({"lease": lease, "ttl_s": ttl_s})

  async def lease(self, request):
    """Renews a lease, or ends it; 404 when it is unknown."""
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
    """Returns the list of VMs."""
    return responses.JSONResponse({"vms": self.store.vms})

  async def set_faults(self, request):
    """Updates faults.

    ``vms`` sets the VM list, ``end_leases`` ends all leases, ``copy`` makes a
    copy, and ``restore`` restores it.

    A store that is no longer down extends each lease to a full TTL from now.
    """
    faults = await request.json()
    self.store.vms = faults.pop("vms", self.store.vms)
    ends_leases = faults.pop("end_leases", False)
    if faults.pop("copy", False):
      self.store.make_copy()
    if faults.pop("restore", False):
      self.store.restore()
    was_down = self.store.faults["down"]
    self.store.faults.update(faults)
    if was_down and not self.store.faults["down"]:
      for lease in self.store.leases.values():
        lease[1] = max(lease[1], time.monotonic() + lease[0])
    for number in list(self.store.leases) if ends_leases else []:
      self.store.end_lease(number)
    return responses.JSONResponse(self.store.faults)

  async def show_counts(self, _):
    """Returns the revision and the counts of calls."""
    return responses.JSONResponse(
      {"revision": self.store.revision, "calls": dict(self.store.calls)}
    )

  def make_application(self) -> applications.Starlette:
    """Makes the HTTP application of the store."""
    return applications.Starlette(
      routes=[
        routing.Route("/v1/keys", self.make_endpoint(self.keys)),
        routing.Route(
          "/v1/keys/{key:path}",
          self.make_endpoint(self.key),
          methods=["GET", "PUT", "DELETE"],
        ),
        routing.Route("/v1/watch", self.make_endpoint(self.watch)),
        routing.Route(
          "/v1/leases", self.make_endpoint(self.leases), methods=["POST"]
        ),
        routing.Route(
          "/v1/leases/{lease}",
          self.make_endpoint(self.lease),
          methods=["PUT", "DELETE"],
        ),
        routing.Route("/v1/vms", self.make_endpoint(self.vms)),
        routing.Route("/faults", self.set_faults, methods=["POST"]),
        routing.Route("/counts", self.show_counts),
      ]
    )


async def serve_store(port: int) -> None:
  """Serves an empty store on a port of 127.0.0.1."""
  config = uvicorn.Config(
    Endpoints(Store()).make_application(),
    host="127.0.0.1",
    port=port,
    log_level="error",
    lifespan="off",
  )
  await uvicorn.Server(config).serve()


if __name__ == "__main__":
  asyncio.run(serve_store(int(sys.argv[1])))
