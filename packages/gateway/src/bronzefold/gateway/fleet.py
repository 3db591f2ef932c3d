"""The nodes of the fleet, as this node knows them."""

from __future__ import annotations

import logging

import attrs
import msgspec

from bronzefold import store
from bronzefold.core import events
from bronzefold.core.clock import Seconds
from bronzefold.gateway import settings

_logger = logging.getLogger(__name__)


@attrs.frozen
class Node:
  """A registered node.

  Attributes:
    node: Its name.
    zone: Its availability zone.
    request_address: IP:port for callers' requests.
    peer_address: IP:port for other nodes.
  """

  node: str
  zone: str
  request_address: str
  peer_address: str


class Fleet:
  """Knows which nodes run."""

  def __init__(self, own: settings.GatewaySettings) -> None:
    """Creates a fleet of one node.

    Args:
      own: Settings of this node.
    """
    self._own = Node(own.node, own.zone, own.request_address, own.peer_address)
    self._nodes: dict[str, Node] = {}
    self.is_serving = False

  def encode_own(self) -> str:
    """Returns this node's registration."""
    return msgspec.json.encode(self._own).decode()

  def apply(self, entry: store.Entry) -> None:
    """Applies a registration or its removal."""
    before = self._nodes.get(entry.key)
    if entry.value is None:
      self._nodes.pop(entry.key, None)
    else:
      try:
        self._nodes[entry.key] = msgspec.json.decode(entry.value, type=Node)
      except msgspec.MsgspecError as error:
        events.ENTRY_REFUSED.log(_logger, key=entry.key, reason=str(error))
        return
    if before != self._nodes.get(entry.key):
      events.NODE_CHANGED.log(
        _logger, key=entry.key, is_registered=entry.value is not None
      )

  def retain(self, keys: set[str]) -> None:
    """Forgets the nodes whose registration is not among ``keys``."""
    for key in self._nodes.keys() - keys:
      self.apply(store.Entry(key, None, 0))

  def count_nodes(self, now: Seconds) -> int:
    """Counts the nodes that may run, this one included."""
    del now
    return len({self._own.node, *(n.node for n in self._nodes.values())})

  def list_addresses(self) -> list[str]:
    """Lists where callers should send requests."""
    others = {
      node.request_address
      for node in self._nodes.values()
      if node.node != self._own.node
    }
    own = [self._own.request_address] if self.is_serving else []
    return [*own, *sorted(others)]
