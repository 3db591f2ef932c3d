"""The entry nodes that a node names to callers.

Answers callers that ask any node of a large fleet. Most nodes hear from a few
hubs only; if those were all that they named, small nodes among them would get
searches that need the processors of large ones.
"""

from __future__ import annotations

from collections.abc import Iterable
import itertools

from bronzefold.core.clock import Seconds
from bronzefold.gateway import topology
from bronzefold.peers import membership

MAX_ADDRESSES = 64  # limit of the platform


class EntryDirectory:
  """Entry nodes known to this node, by heartbeats or by reports of hubs."""

  def __init__(self, members: membership.Membership) -> None:
    """Creates a directory without reports.

    Args:
      members: The nodes of the fleet, this one included.
    """
    self._members = members
    self._addresses_by_hub: dict[str, tuple[str, ...]] = {}

  def record_report(self, hub: str, addresses: tuple[str, ...]) -> None:
    """Records the entry nodes that a hub knows to be alive.

    Args:
      hub: Name of the hub.
      addresses: Their caller addresses, IP:port.
    """
    self._addresses_by_hub[hub] = addresses

  def list_addresses(self, is_hub: bool, now: Seconds) -> list[str]:
    """Lists the caller addresses of the entry nodes.

    Args:
      is_hub: True if this node is a hub, which hears from all entry nodes.
      now: Monotonic time.

    Returns:
      At most ``MAX_ADDRESSES`` addresses, IP:port. A node that is not a hub and
      hears from none lists the best of the nodes that it knows.
    """
    reported = [] if is_hub else self._list_reported(now)
    if reported:
      return reported[:MAX_ADDRESSES]
    serving = self._members.list_useful(now)
    chosen = topology.choose_entry_nodes(serving, sum_demand(serving))
    return [member.caller_address for member in chosen[:MAX_ADDRESSES]]

  def _list_reported(self, now: Seconds) -> list[str]:
    """Lists the addresses in the last report of any hub that is alive.

    A hub may be cut off from some entry nodes, so a single report suffices.
    """
    reports = (
      addresses
      for hub, addresses in self._addresses_by_hub.items()
      if self._members.is_alive(hub, now)
    )
    return sorted(set(itertools.chain.from_iterable(reports)))


def sum_demand(members: Iterable[membership.Member]) -> float:
  """Returns how many processor cores the requests of some nodes use."""
  return sum(member.demand for member in members)
