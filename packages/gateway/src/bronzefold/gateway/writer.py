"""Writes the states of moves between versions into the store."""

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

PERIOD_S = 0.4  # a bad version must get nothing 5 s after its 50th bad answer

_logger = logging.getLogger(__name__)

EncodeRecord = Callable[[rollouts.RolloutRecord], tuple[str, str]]


class RolloutWriter:
  """Writes what this node's turn is to write.

  Any hub may write. Each write holds only if the record is still the one that
  the decision was made on, so a final state is written once.
  """

  def __init__(
    self,
    client: store.StoreClient,
    moves: rollouts.Rollouts,
    nodes: coordinator.FleetCoordinator,
    encode: EncodeRecord,
  ) -> None:
    """Creates a writer; ``run`` is a task.

    Args:
      client: The store.
      moves: The moves.
      nodes: Tells whose turn it is.
      encode: Returns the key and value of a record.
    """
    self._client = client
    self._moves = moves
    self._nodes = nodes
    self._encode = encode

  async def run(self) -> None:
    """Writes until cancelled."""
    while True:
      if self._moves.has_orders:
        await self._write_due(clock.read_monotonic())
      await anyio.sleep(PERIOD_S)

  async def _write_due(self, now: Seconds) -> None:
    rank = self._nodes.get_write_rank(now)
    if rank is None:
      return
    for record in self._moves.list_due_records(rank, now):
      await self._write(record)

  async def _write(self, record: rollouts.RolloutRecord) -> None:
    key, value = self._encode(record)
    try:
      revision = await self._client.put(key, value, record.revision)
    except exceptions.StoreError as error:
      # Another node may have written; the watch brings what stands there.
      events.RECORD_NOT_WRITTEN.log(_logger, key=key, reason=error.detail)
      return
    written = attrs.evolve(record, revision=revision)
    if self._moves.set_record(written):
      events.VERSION_MOVED.log(
        _logger,
        service=record.service,
        version=record.version,
        state=record.state.value,
        written=True,
      )
