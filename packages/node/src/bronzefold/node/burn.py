"""Request counts for the burn report, and their histories in the store."""

from __future__ import annotations

import msgspec

from bronzefold import store
from bronzefold.core import burn
from bronzefold.core import exceptions
from bronzefold.core.clock import Seconds
from bronzefold.store import keys


class BurnRecorder:
  """Sums counts of requests until they are written to the store."""

  def __init__(self) -> None:
    """Creates a recorder without counts."""
    self._counts: dict[str, dict[str, burn.RequestCounts]] = {}

  def record_counts(
    self, service: str, route: str, counts: burn.RequestCounts
  ) -> None:
    """Adds counts to those of a route."""
    routes = self._counts.setdefault(service, {})
    routes[route] = routes.get(route, burn.RequestCounts()) + counts

  def pop_counts(self) -> dict[str, dict[str, burn.RequestCounts]]:
    """Returns all counts by service and route, and resets them to zero."""
    counts, self._counts = self._counts, {}
    return counts


class BurnHistoryWriter:
  """Adds the counts of a recorder to the histories in the store."""

  def __init__(self, client: store.StoreClient) -> None:
    """Creates a writer.

    Args:
      client: Client of the store.
    """
    self._client = client

  async def save_counts(
    self, recorder: BurnRecorder, now_wall: Seconds
  ) -> None:
    """Writes the counts of a recorder to the store and resets them.

    Counts that the store does not confirm stay in the recorder.

    Args:
      recorder: The recorder of the leader.
      now_wall: Time since the Unix epoch, seconds.
    """
    for service, routes in recorder.pop_counts().items():
      if not await self._add_to_history(service, routes, now_wall):
        for route, counts in routes.items():
          recorder.record_counts(service, route, counts)

  async def _add_to_history(
    self, service: str, routes: dict[str, burn.RequestCounts], now_wall: Seconds
  ) -> bool:
    key = keys.BURN_PREFIX + service
    try:
      entry = await self._client.get(key)
      history = _decode(entry.value) if entry else burn.History()
      updated = burn.add_counts(history, routes, now_wall)
      value = msgspec.json.encode(updated).decode()
      await self._client.put(key, value, entry.revision if entry else 0)
    except exceptions.StoreError:
      return False
    return True


def _decode(value: str) -> burn.History:
  try:
    return msgspec.json.decode(value, type=burn.History)
  except (msgspec.MsgspecError, RecursionError):
    # An unreadable history is replaced by an empty one.
    return burn.History()
