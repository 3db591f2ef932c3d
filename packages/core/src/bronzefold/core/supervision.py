"""Keeps a node running when one of its tasks fails unexpectedly."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import logging

import anyio

from bronzefold.core import events

_RESTART_DELAY_S = 0.5

_logger = logging.getLogger(__name__)


async def run_guarded(work: Callable[[], Awaitable[None]]) -> bool:
  """Runs a function once and logs an unexpected error.

  A failed assertion is logged as well: the other requests of the process must
  not end with it.

  Args:
    work: The function.

  Returns:
    True when the function returned without an error.
  """
  try:
    await work()
  except Exception as error:
    function = getattr(work, "func", work)  # of a partial function
    name = getattr(function, "__qualname__", repr(function))
    events.TASK_FAILED.log(_logger, task=name, reason=repr(error))
    _logger.debug("background task failed", exc_info=error)
    return False
  return True


async def supervise(work: Callable[[], Awaitable[None]]) -> None:
  """Runs a function that should never return; restarts it when it fails."""
  while not await run_guarded(work):
    await anyio.sleep(_RESTART_DELAY_S)
