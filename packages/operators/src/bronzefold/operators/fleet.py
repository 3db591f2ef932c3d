"""Reads the status of the nodes of the fleet."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import anyio
import attrs
import httpcore
import msgspec

from bronzefold import store
from bronzefold.core import exceptions
from bronzefold.store import keys

_STATUS_TIMEOUT_S = 2.0
_POLL_INTERVAL_S = 0.1


@attrs.frozen
class NodeView:
  """A registered node with its status.

  Attributes:
    node: Name of the node.
    address: IP:port for callers.
    status: The node's status, None if the node does not respond.
  """

  node: str
  address: str
  status: dict[str, Any] | None


async def read_nodes(
  client: store.StoreClient, fallback_addresses: Iterable[str] = ()
) -> list[NodeView]:
  """Fetches the status of every registered node.

  Args:
    client: Client of the store.
    fallback_addresses: Addresses of nodes, IP:port, that are queried if the
      list of nodes cannot be read from the store.

  Returns:
    The nodes, sorted by name.
  """
  try:
    listing = await client.list_prefix(keys.NODE_PREFIX)
    records = [msgspec.json.decode(e.value) for e in listing.entries]
    addresses = {r["node"]: r["caller_address"] for r in records}
  except exceptions.StoreError:
    addresses = {address: address for address in fallback_addresses}
  views: list[NodeView] = []

  async def add_view(node: str, address: str) -> None:
    status = await _fetch_status(address)
    views.append(NodeView(node, address, status))

  async with anyio.create_task_group() as tasks:
    for node, address in addresses.items():
      tasks.start_soon(add_view, node, address)
  return sorted(views, key=lambda view: view.node)


async def await_in_force(
  client: store.StoreClient,
  kind: str,
  name: str,
  revision: int,
  timeout_s: float,
) -> list[NodeView]:
  """Waits until a change is in force on every registered node.

  Args:
    client: Client of the store.
    kind: "documents" or "zones".
    name: Name of the service or availability zone.
    revision: Revision of the change.
    timeout_s: Longest wait in seconds.

  Returns:
    The nodes on which it is not in force yet. Empty once it is in force on
    every node; also empty after the time limit if the last completed read
    found no registered node or failed, or no read was completed.
  """
  lagging: list[NodeView] = []
  with anyio.move_on_after(timeout_s):
    while True:
      views = await read_nodes(client)
      lagging = [v for v in views if not _is_in_force(v, kind, name, revision)]
      if views and not lagging:
        return []
      await anyio.sleep(_POLL_INTERVAL_S)
  return lagging


def _is_in_force(view: NodeView, kind: str, name: str, revision: int) -> bool:
  return view.status is not None and view.status[kind].get(name, 0) >= revision


async def _fetch_status(address: str) -> dict[str, Any] | None:
  try:
    with anyio.fail_after(_STATUS_TIMEOUT_S):
      async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("GET", f"http://{address}/v1/status")
    return msgspec.json.decode(response.content)
  except _FETCH_ERRORS:
    return None


_FETCH_ERRORS = (
  OSError,
  TimeoutError,
  msgspec.MsgspecError,
  httpcore.NetworkError,
  httpcore.ProtocolError,
  httpcore.TimeoutException,
)
