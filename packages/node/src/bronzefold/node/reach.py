"""Whether this node reaches any upstream, and what follows if it does not.

Answers a partition between a node and all upstreams, while the store and the
other nodes still reach it. Its upstreams would be out for the whole fleet as
long as it owns them.
"""

from __future__ import annotations

from collections.abc import Callable
import logging
import random

import anyio

from bronzefold import upstreams
from bronzefold.core import events
from bronzefold.core import exceptions
from bronzefold.node import configuration
from bronzefold.node import ownership
from bronzefold.peers import membership

CHECK_PERIOD_S = 0.25
PROBE_COUNT = 3
PROBE_TIMEOUT_S = 0.5  # a status is answered within a few ms

_UNREACHED_ERRORS = (exceptions.ConnectFailedError, exceptions.TimedOutError)

_logger = logging.getLogger(__name__)


class ReachMonitor:
  """Withdraws this node as an owner while it reaches no upstream."""

  def __init__(
    self,
    config: configuration.Configuration,
    owned: ownership.Ownership,
    members: membership.Membership,
    announce: Callable[[], None],
  ) -> None:
    """Creates a monitor; ``run`` is a task.

    Args:
      config: The configuration in force.
      owned: The upstreams that this node owns.
      members: The nodes of the fleet.
      announce: Tells the other nodes the state of this node.
    """
    self._config = config
    self._ownership = owned
    self._members = members
    self._announce = announce

  async def run(self) -> None:
    """Checks the paths to the upstreams until cancelled."""
    while True:
      if self._is_doubtful():
        self._set_reach(await self._is_any_reached())
      await anyio.sleep(CHECK_PERIOD_S)

  def _is_doubtful(self) -> bool:
    """True if this node reaches none, or all its upstreams fail at once."""
    executors = self._ownership.list_executors()
    return not self._members.own_member.reaches_upstreams or (
      bool(executors) and all(executor.is_failing for executor in executors)
    )

  async def _is_any_reached(self) -> bool:
    """Asks a few upstreams, whoever owns them, for their status."""
    entries = [
      entry
      for document in self._config.documents.values()
      for entry in document.upstreams
    ]
    probed = random.sample(entries, min(PROBE_COUNT, len(entries)))
    results: list[bool] = []

    async def probe(address: str) -> None:
      results.append(await _is_reached(address))

    async with anyio.create_task_group() as tasks:
      for entry in probed:
        tasks.start_soon(probe, entry.address)
    return any(results)

  def _set_reach(self, is_reached: bool) -> None:
    if is_reached == self._members.own_member.reaches_upstreams:
      return
    self._members.set_reach(is_reached)
    event = (
      events.UPSTREAMS_REACHED if is_reached else events.UPSTREAMS_UNREACHABLE
    )
    event.log(_logger, upstreams=len(self._ownership.list_executors()))
    self._announce()


async def _is_reached(address: str) -> bool:
  connection = upstreams.UpstreamConnection(address)
  try:
    outcome = await connection.fetch_status(PROBE_TIMEOUT_S)
  finally:
    with anyio.CancelScope(shield=True):
      await connection.close()
  return outcome.is_ok() or not isinstance(outcome.error, _UNREACHED_ERRORS)
