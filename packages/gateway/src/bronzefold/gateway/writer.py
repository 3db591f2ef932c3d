"""Writes the states of rollouts to the store."""

from __future__ import annotations

from collections.abc import Callable
import logging

import anyio
import attrs

from bronzefold import store
from bronzefold.core import clock
from bronzefold.core import events
from bronzefold.core import exceptions
from bronzefold.core.clock import Seconds
from bronzefold.gateway import coordinator
from bronzefold.gateway import rollouts

# A failing version must get no more requests 5 s after its 50th bad response.
WRITE_PERIOD_S = 0.4

_logger = logging.getLogger(__name__)

EncodeRecord = Callable[[rollouts.RolloutRecord], tuple[str, str]]


class RolloutWriter:
  """Writes the rollout records that this node is due to write.

  Every hub may write, in the order of its rank. A write is conditional on the
  revision of the record that the decision was based on, so a final state is
  written only once.
  """

  def __init__(
    self,
    client: store.StoreClient,
    all_rollouts: rollouts.Rollouts,
    fleet: coordinator.FleetCoordinator,
    encode: EncodeRecord,
  ) -> None:
    """Creates a writer; ``run`` is a task.

    Args:
      client: Client of the store.
      all_rollouts: The rollouts known to this node.
      fleet: Coordinator that returns this node's write rank.
      encode: Encodes a record as the key and value of a store entry.
    """
    self._client = client
    self._rollouts = all_rollouts
    self._fleet = fleet
    self._encode = encode

  async def run(self) -> None:
    """Writes due records periodically until cancelled."""
    while True:
      if self._rollouts.has_orders:
        await self._write_due_records(clock.read_monotonic())
      await anyio.sleep(WRITE_PERIOD_S)

  async def _write_due_records(self, now: Seconds) -> None:
    rank = self._fleet.get_write_rank(now)
    if rank is None:
      return
    for record in self._rollouts.list_due_records(rank, now):
      await self._write_record(record)

  async def _write_record(self, record: rollouts.RolloutRecord) -> None:
    key, value = self._encode(record)
    try:
      revision = await self._client.put(key, value, record.revision)
    except exceptions.StoreError as error:
      # Another node may have written the record; the watch then delivers it.
      events.RECORD_NOT_WRITTEN.log(_logger, key=key, reason=error.detail)
      return
    written = attrs.evolve(record, revision=revision)
    if self._rollouts.set_record(written):
      events.VERSION_MOVED.log(
        _logger,
        service=record.service,
        version=record.version,
        state=record.state.value,
        written=True,
      )
