"""Exchanges with an upstream that forgets idle connections."""

import asyncio
import contextlib
import unittest

from bronzefold.upstreams import connection
from tests.standins import site as sites

MAX_IDLE_S = 0.3


class ForgettingUpstream:
  """Resets a connection when a request arrives after a long pause.

  Attributes:
    address: IP:port; empty until it listens.
    executed_ids: Ids of the requests that it executed.
  """

  def __init__(self):
    self.address = ""
    self.executed_ids = []

  async def listen(self):
    server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
    self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    return server

  async def _serve(self, reader, writer):
    loop = asyncio.get_running_loop()
    idle_since = loop.time()
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
      while (request := await sites.read_request(reader)) is not None:
        if loop.time() - idle_since > MAX_IDLE_S:
          writer.transport.abort()
          break
        request_id = request.headers["x-request-id"]
        self.executed_ids.append(request_id)
        headers = {"x-request-id": request_id, "x-instance": "i"}
        writer.write(sites.format_response(200, headers, b"{}"))
        idle_since = loop.time()
    writer.close()


class IdleConnectionTest(unittest.IsolatedAsyncioTestCase):
  """An action, a pause and another action."""

  async def asyncSetUp(self):
    self.upstream = ForgettingUpstream()
    server = await self.upstream.listen()
    self.addAsyncCleanup(server.wait_closed)
    self.addCleanup(server.close)
    self.connection = connection.UpstreamConnection(self.upstream.address)
    self.addAsyncCleanup(self.connection.close)

  async def send(self, name):
    """Sends an action; returns True if it was served."""
    result = await self.connection.send(
      connection.Exchange(name, "/v1/action", b"{}", 1.0, key=name)
    )
    return result.is_ok()

  async def test_actions_after_any_pause_are_served(self):
    for number, pause_s in enumerate((0.05, 0.2, 0.29, 0.31, 0.5)):
      with self.subTest(pause_s=pause_s):
        self.assertTrue(await self.send(f"a{number}"))
        await asyncio.sleep(pause_s)
        self.assertTrue(await self.send(f"b{number}"))

  async def test_connection_in_steady_use_stays_open(self):
    for number in range(10):
      self.assertTrue(await self.send(f"c{number}"))
    self.assertEqual(self.connection.opened, 1)


if __name__ == "__main__":
  unittest.main()
