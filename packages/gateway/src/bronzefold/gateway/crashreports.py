"""Exchange of reports on requests under which upstreams crashed.

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
from bronzefold.gateway import inventory
from bronzefold.gateway import topology
from bronzefold.peers import messages

# Well below the time that a node may take until it knows of a change.
REPEAT_PERIOD_S = 2.0
# Age up to which a report shows that its upstreams are down; they return after
# some seconds.
FRESH_S = 1.0


class CrashReportExchange:
  """Informs other nodes of suspected requests, and is informed by them."""

  def __init__(
    self,
    network: peers.PeerNetwork,
    suspects: quarantine.Quarantine,
    upstreams: inventory.Inventory,
    get_topology: Callable[[], topology.Topology],
    node: str = "",
  ) -> None:
    """Creates an exchange that is informed of changes of the quarantine.

    Args:
      network: Connections to the other nodes.
      suspects: The suspected requests that this node knows of.
      upstreams: The inventory of upstreams.
      get_topology: Returns the current topology.
      node: Name of this node.
    """
    self._network = network
    self._suspects = suspects
    self._upstreams = upstreams
    self._get_topology = get_topology
    self._repeated_at = 0.0
    suspects.on_change = self._announce
    suspects.node = node

  def handle_message(
    self, message: messages.CrashReports, now: Seconds
  ) -> None:
    """Merges what another node knows."""
    for report in message.reports:
      self._suspects.merge(report, now)
      if report.age_s < FRESH_S:
        self._record_failures(report, now)

  def _record_failures(
    self, report: quarantine.CrashReport, now: Seconds
  ) -> None:
    """Records that the upstreams of a report are down.

    Otherwise this node would take one that is left for one of several.
    """
    crashed = filter(None, map(self._upstreams.find, report.upstreams))
    for upstream in crashed:
      if not upstream.health.failures:
        upstream.health.record_failure(now, is_unreachable=True)

  def repeat(self, now: Seconds) -> None:
    """Tells all neighbours what this node knows, if it is a hub and it is due.

    Args:
      now: Monotonic time.
    """
    if now - self._repeated_at < REPEAT_PERIOD_S:
      return
    self._repeated_at = now
    reports = tuple(self._suspects.list_reports(now))
    if reports and self._get_topology().is_hub:
      self._send(messages.CrashReports(reports))

  def greet(self, node: str, now: Seconds) -> None:
    """Tells a node that has just started what this node knows."""
    reports = tuple(self._suspects.list_reports(now))
    if reports:
      self._network.send(node, messages.CrashReports(reports))

  def _announce(self, report: quarantine.CrashReport, now: Seconds) -> None:
    del now
    self._send(messages.CrashReports((report,)))

  def _send(self, message: messages.CrashReports) -> None:
    for member in self._get_topology().neighbours:
      self._network.send(member.node, message)
