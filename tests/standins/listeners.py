"""Listeners of a test in its own event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import unittest

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def listen(test: unittest.IsolatedAsyncioTestCase, serve: Serve) -> str:
  """Serves connections until the end of a test.

  Args:
    test: The test.
    serve: Serves one connection, which is closed after it.

  Returns:
    The address, IP:port.
  """

  async def serve_and_close(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> None:
    with contextlib.suppress(ConnectionError):
      await serve(reader, writer)
    writer.close()
    with contextlib.suppress(ConnectionError):
      await writer.wait_closed()

  server = await asyncio.start_server(serve_and_close, "127.0.0.1", 0)
  test.addAsyncCleanup(_wait_for_others)
  test.addCleanup(server.close)
  return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def _wait_for_others() -> None:
  """Waits until the tasks that serve connections have ended."""
  others = asyncio.all_tasks() - {asyncio.current_task()}
  await asyncio.gather(*others)
