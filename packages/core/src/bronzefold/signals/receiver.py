"""Waits for the signals of a process in its event loop."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import logging
import signal

from bronzefold import signals
from bronzefold.core import events

_logger = logging.getLogger(__name__)


async def receive_signals(
  queue: signals.SignalQueue,
) -> AsyncIterator[signal.Signals]:
  """Yields signals as they arrive, also those that arrived before; never ends.

  Args:
    queue: Signals of this process.
  """
  loop = asyncio.get_running_loop()
  arrived = asyncio.Event()
  # A handler may run between any two steps of the loop's thread.
  queue.listen(lambda: loop.call_soon_threadsafe(arrived.set))
  try:
    while True:
      while (number := queue.take()) is not None:
        events.SIGNAL_RECEIVED.log(_logger, signal=number.name)
        yield number
      arrived.clear()
      await arrived.wait()
  finally:
    queue.listen(None)
