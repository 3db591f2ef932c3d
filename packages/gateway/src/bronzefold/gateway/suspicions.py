"""Exchange of suspected requests between nodes.

A request that crashes upstreams comes again at any node. News of it is flooded
over all links; a node passes on what is new to it. Hubs repeat all that they
know from time to time, for nodes that were cut off, and tell it to nodes that
have just started.
"""

from __future__ import annotations

from collections.abc import Callable

from bronzefold import peers
from bronzefold.core import quarantine
from bronzefold.core.clock import Seconds
from bronzefold.gateway import topology
from bronzefold.peers import messages

# Well below the time that a node may take until it knows of a change.
REPEAT_PERIOD_S = 2.0


class SuspicionExchange:
  """Informs other nodes of suspected requests, and is informed by them."""

  def __init__(
    self,
    network: peers.PeerNetwork,
    suspects: quarantine.Quarantine,
    get_topology: Callable[[], topology.Topology],
  ) -> None:
    """Creates an exchange that is informed of changes of the quarantine.

    Args:
      network: Connections to the other nodes.
      suspects: The suspected requests that this node knows of.
      get_topology: Returns the current topology.
    """
    self._network = network
    self._suspects = suspects
    self._get_topology = get_topology
    self._repeated_at = 0.0
    suspects.on_change = self._announce

  def handle_message(self, message: messages.Suspicions, now: Seconds) -> None:
    """Merges what another node knows."""
    for suspicion in message.suspicions:
      self._suspects.merge(suspicion, now)

  def repeat(self, now: Seconds) -> None:
    """Tells all neighbours what this node knows, if it is a hub and it is due.

    Args:
      now: Monotonic time.
    """
    if now - self._repeated_at < REPEAT_PERIOD_S:
      return
    self._repeated_at = now
    suspicions = tuple(self._suspects.list_suspicions(now))
    if suspicions and self._get_topology().is_hub:
      self._send(messages.Suspicions(suspicions))

  def greet(self, node: str, now: Seconds) -> None:
    """Tells a node that has just started what this node knows."""
    suspicions = tuple(self._suspects.list_suspicions(now))
    if suspicions:
      self._network.send(node, messages.Suspicions(suspicions))

  def _announce(self, suspicion: quarantine.Suspicion, now: Seconds) -> None:
    del now
    self._send(messages.Suspicions((suspicion,)))

  def _send(self, message: messages.Suspicions) -> None:
    for member in self._get_topology().neighbours:
      self._network.send(member.node, message)
