"""What the nodes of the fleet say of themselves."""

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

_TIMEOUT_S = 2.0
_POLL_S = 0.1


@attrs.frozen
class NodeView:
  """A registered node with its status.

  Attributes:
    node: Name of the node.
    address: IP:port for callers.
    status: The node's status, None if it does not answer.
  """

  node: str
  address: str
  status: dict[str, Any] | None


async def read_nodes(
  client: store.StoreClient, extra: Iterable[str] = ()
) -> list[NodeView]:
  """Asks every registered node for its status.

  Args:
    client: The platform.
    extra: Addresses to ask when the platform does not answer.

  Returns:
    The nodes, by name.
  """
  try:
    listing = await client.list_prefix(keys.NODE_PREFIX)
    records = [msgspec.json.decode(e.value) for e in listing.entries]
    addresses = {r["node"]: r["caller_address"] for r in records}
  except exceptions.StoreError:
    addresses = {address: address for address in extra}
  views: list[NodeView] = []

  async def ask(node: str, address: str) -> None:
    status = await _fetch_status(address)
    views.append(NodeView(node, address, status))

  async with anyio.create_task_group() as tasks:
    for node, address in addresses.items():
      tasks.start_soon(ask, node, address)
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
    client: The platform.
    kind: "documents" or "zones".
    name: Name of the service or availability zone.
    revision: Revision of the change.
    timeout_s: Longest wait.

  Returns:
    The nodes on which it is not in force; empty when it is everywhere.
  """
  behind: list[NodeView] = []
  with anyio.move_on_after(timeout_s):
    while True:
      views = await read_nodes(client)
      behind = [v for v in views if not _has(v, kind, name, revision)]
      if views and not behind:
        return []
      await anyio.sleep(_POLL_S)
  return behind


def _has(view: NodeView, kind: str, name: str, revision: int) -> bool:
  return view.status is not None and view.status[kind].get(name, 0) >= revision


async def _fetch_status(address: str) -> dict[str, Any] | None:
  try:
    with anyio.fail_after(_TIMEOUT_S):
      async with httpcore.AsyncConnectionPool() as pool:
        reply = await pool.request("GET", f"http://{address}/v1/status")
    return msgspec.json.decode(reply.content)
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
