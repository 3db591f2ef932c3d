"""Registration of the fleet's nodes in the store.

Answers hundreds of nodes that start, restart or lose the store at once. An
entry names a node and its addresses; whether the node is alive is shown by its
heartbeats. Entries outlast restarts and outages, so neither makes the nodes
write them again, and no lease has to be renewed.
"""

from __future__ import annotations

from collections.abc import Iterable
import logging
import random

import anyio
import attrs
import msgspec

from bronzefold import store
from bronzefold.core import clock
from bronzefold.core import events
from bronzefold.core import exceptions
from bronzefold.core.clock import Seconds
from bronzefold.gateway import backoff
from bronzefold.gateway import coordinator
from bronzefold.gateway import replica
from bronzefold.gateway import rollouts
from bronzefold.peers import membership

CHECK_PERIOD_S = 1.0
# The store's content arrives some milliseconds after the start.
FIRST_CHECK_PERIOD_S = 0.05
# Longer than a graceful stop and the start after it.
MIN_SILENCE_S = 20.0
MAX_SILENCE_S = 3600.0
# After a longer time without a check this node was paused itself.
MAX_CHECK_GAP_S = 3.0
FIRST_RETRY_PAUSE_S = 0.5
MAX_RETRY_PAUSE_S = 4.0

_logger = logging.getLogger(__name__)


def must_write_entry(
  entry: store.Entry | None,
  value: str,
  written_revision: int,
  known_revision: int,
) -> bool:
  """Decides whether a node writes its entry.

  Another process that has taken over the node's name keeps the entry.

  Args:
    entry: The node's entry as far as it is known; None if there is none.
    value: The value that the entry should have.
    written_revision: Revision at which the entry had that value last; 0 if it
      never had while this process runs.
    known_revision: Store revision up to which entries are known; 0 if none are.
  """
  if not known_revision or written_revision > known_revision:
    return False
  if entry is None:
    return True
  return not written_revision and entry.value != value


class SilenceLog:
  """Since when registered nodes have been silent, as seen by this node."""

  def __init__(self) -> None:
    self._silent_since: dict[str, Seconds] = {}
    self._limits_s: dict[str, Seconds] = {}
    self._updated_at: Seconds | None = None

  def update(self, silent: Iterable[str], now: Seconds) -> None:
    """Records which nodes are silent.

    Args:
      silent: Names of the nodes from which nothing was heard lately.
      now: Monotonic time. If the previous update was more than
        ``MAX_CHECK_GAP_S`` ago, this node was paused, which says nothing about
        the others: their silence counts from now.
    """
    last_at = now if self._updated_at is None else self._updated_at
    known = {} if now - last_at > MAX_CHECK_GAP_S else self._silent_since
    self._silent_since = {node: known.get(node, now) for node in silent}
    self._updated_at = now

  def list_departed(self, rank: int, now: Seconds) -> list[str]:
    """Lists the nodes whose entries this node should remove.

    Args:
      rank: Number of nodes that should do so before this one; their removals
        are known here when its turn comes.
      now: Monotonic time.
    """
    delay_s = rank * rollouts.WRITE_DELAY_PER_RANK_S
    return [
      node
      for node, since in self._silent_since.items()
      if now - since >= self._get_limit(node) + delay_s
    ]

  def get_silence(self, node: str, now: Seconds) -> Seconds:
    """Returns how long a node has been silent, in seconds.

    Args:
      node: Name of the node.
      now: Monotonic time.
    """
    return now - self._silent_since.get(node, now)

  def record_removal(self, node: str) -> None:
    """Records that a node's entry was removed.

    If the node writes it again, it was only cut off from this one, which then
    waits twice as long.

    Args:
      node: Name of the node.
    """
    self._limits_s[node] = min(MAX_SILENCE_S, 2.0 * self._get_limit(node))
    self._silent_since.pop(node, None)

  def _get_limit(self, node: str) -> Seconds:
    return self._limits_s.get(node, MIN_SILENCE_S)


class Registrar:
  """Keeps this node's entry, and removes those of nodes that are gone."""

  def __init__(
    self,
    client: store.StoreClient,
    store_replica: replica.Replica,
    members: membership.Membership,
    fleet: coordinator.FleetCoordinator,
  ) -> None:
    """Creates a registrar; ``run`` is a task.

    Args:
      client: Client of the store.
      store_replica: Replica in which the entries are looked up.
      members: The nodes of the fleet, this one included.
      fleet: Coordinator that tells which nodes are silent.
    """
    self._client = client
    self._replica = store_replica
    self._members = members
    self._fleet = fleet
    self._silence = SilenceLog()
    self._backoff = backoff.Backoff(FIRST_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S)
    self._written_revision = 0
    self._is_leaving = False

  async def run(self) -> None:
    """Checks the entries periodically until cancelled."""
    while True:
      try:
        await self._write_own_entry()
        await self._remove_departed(clock.read_monotonic())
      except exceptions.StoreError as error:
        events.RECORD_NOT_WRITTEN.log(
          _logger, key=replica.NODE_PREFIX, reason=error.detail
        )
        await anyio.sleep(self._backoff.record_failure(random.random()))
      is_known = bool(self._replica.revision)
      await anyio.sleep(CHECK_PERIOD_S if is_known else FIRST_CHECK_PERIOD_S)

  def leave(self) -> None:
    """Stops writing this node's entry.

    The entry stays: most nodes that leave are restarted. Other nodes remove it
    if this one does not return.
    """
    self._is_leaving = True

  async def _write_own_entry(self) -> None:
    node = self._members.own_member.node
    entry = self._replica.get_node_entry(node)
    value = encode_member(self._members.own_member)
    if entry is not None and entry.value == value:
      self._written_revision = max(self._written_revision, entry.revision)
    if self._is_leaving or not must_write_entry(
      entry, value, self._written_revision, self._replica.revision
    ):
      return
    self._written_revision = await self._client.put(
      replica.NODE_PREFIX + node, value, entry.revision if entry else 0
    )
    self._backoff.record_success()

  async def _remove_departed(self, now: Seconds) -> None:
    self._silence.update(self._fleet.list_silent_nodes(now), now)
    rank = self._fleet.get_removal_rank(now)
    if rank is None:
      return
    for node in self._silence.list_departed(rank, now):
      entry = self._replica.get_node_entry(node)
      if entry is not None:
        silent_s = self._silence.get_silence(node, now)
        self._silence.record_removal(node)
        await self._client.delete(entry.key, entry.revision)
        events.NODE_REMOVED.log(
          _logger, member=node, silent_s=round(silent_s, 1)
        )
        self._backoff.record_success()


def encode_member(member: membership.Member) -> str:
  """Encodes a node's entry, which does not change while the node runs.

  Args:
    member: The node.
  """
  lasting = attrs.evolve(
    member, state=membership.STARTING, demand=0.0, reaches_upstreams=True
  )
  return msgspec.json.encode(lasting).decode()
