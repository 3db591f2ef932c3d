"""The entry nodes that a node names to callers.

Answers callers that ask any node of a large fleet. Most nodes hear from a few
hubs only; if those were all that they named, small nodes among them would get
searches that need the processors of large ones.
"""

from __future__ import annotations

from collections.abc import Iterable
import itertools

import attrs

from bronzefold.core.clock import Seconds
from bronzefold.gateway import topology
from bronzefold.peers import membership

MAX_ADDRESSES = 64  # limit of the platform


class EntryDirectory:
  """Entry nodes known to this node, by heartbeats or by reports of hubs."""

  def __init__(
    self, members: membership.Membership, max_report_age_s: Seconds
  ) -> None:
    """Creates a directory without reports.

    Args:
      members: The nodes of the fleet, this one included.
      max_report_age_s: How long a report counts, in seconds; about as long as a
        node without a heartbeat counts as alive.
    """
    self._members = members
    self._max_report_age_s = max_report_age_s
    self._reports: dict[str, _Report] = {}

  def record_report(
    self, hub: str, addresses: tuple[str, ...], now: Seconds
  ) -> None:
    """Records the entry nodes that a hub knows to be alive.

    Args:
      hub: Name of the hub.
      addresses: Their caller addresses, IP:port.
      now: Monotonic time.
    """
    self._reports[hub] = _Report(addresses, now)

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

    A hub may be cut off from some entry nodes, so a single report suffices. One
    that is no hub any more lives on and reports no more.
    """
    reports = (
      report.addresses
      for hub, report in self._reports.items()
      if now - report.received_at <= self._max_report_age_s
      and self._members.is_alive(hub, now)
    )
    return sorted(set(itertools.chain.from_iterable(reports)))


@attrs.frozen
class _Report:
  """The entry nodes that a hub has reported.

  Attributes:
    addresses: Their caller addresses, IP:port.
    received_at: Monotonic time of its arrival.
  """

  addresses: tuple[str, ...]
  received_at: Seconds


def sum_demand(members: Iterable[membership.Member]) -> float:
  """Returns how many processor cores the requests of some nodes use."""
  return sum(member.demand for member in members)
