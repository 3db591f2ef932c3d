"""Keeps a node running when one of its tasks meets an unforeseen error."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import logging

import anyio

from bronzefold.core import events

_RESTART_PAUSE_S = 0.5

_logger = logging.getLogger(__name__)


async def run_guarded(work: Callable[[], Awaitable[None]]) -> bool:
  """Runs a function once; an unforeseen error is logged.

  A failed assertion is an invariant that does not hold, and ends the process.

  Args:
    work: The function.

  Returns:
    True when it ended without an error.
  """
  try:
    await work()
  except AssertionError:
    raise
  except Exception as error:
    name = getattr(work, "__qualname__", repr(work))
    events.TASK_FAILED.log(_logger, task=name, reason=repr(error))
    _logger.debug("task failed", exc_info=error)
    return False
  return True


async def supervise(work: Callable[[], Awaitable[None]]) -> None:
  """Runs a task that never ends, and starts it again when it fails."""
  while not await run_guarded(work):
    await anyio.sleep(_RESTART_PAUSE_S)
